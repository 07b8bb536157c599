// Package resp encodes RESP2 arrays and bulk strings, and parses values in a buffer as their bytes arrive. It does no
// I/O.
package resp

import "strconv"

// AppendArrayHeader appends the header of an array of n bulk strings, which the caller has to append next, to dst.
func AppendArrayHeader(dst []byte, n int) []byte { return appendHeader(dst, '*', n) }

// AppendBulk appends text, encoded as a bulk string, to dst.
func AppendBulk[T []byte | string](dst []byte, text T) []byte {
	dst = appendHeader(dst, '$', len(text))
	dst = append(dst, text...)
	return append(dst, '\r', '\n')
}

// appendHeader appends the line of a header, which consists of a kind and a count or length.
func appendHeader(dst []byte, kind byte, n int) []byte {
	dst = append(dst, kind)
	dst = strconv.AppendInt(dst, int64(n), 10)
	return append(dst, '\r', '\n')
}

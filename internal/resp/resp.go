// Package resp parses RESP2 values out of a buffer as their bytes arrive, and encodes them. It does no I/O.
package resp

import "strconv"

// AppendArrayHeader appends the header of an array of n bulk strings.
func AppendArrayHeader(dst []byte, n int) []byte { return appendHeader(dst, '*', n) }

// AppendBulk appends a bulk string.
func AppendBulk[T []byte | string](dst []byte, text T) []byte {
	dst = appendHeader(dst, '$', len(text))
	dst = append(dst, text...)
	return append(dst, '\r', '\n')
}

// appendHeader appends a kind with a count or length.
func appendHeader(dst []byte, kind byte, n int) []byte {
	dst = append(dst, kind)
	dst = strconv.AppendInt(dst, int64(n), 10)
	return append(dst, '\r', '\n')
}

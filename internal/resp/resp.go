// Package resp parses RESP2 values out of a ring buffer as their bytes arrive, and encodes them. It does no I/O.
package resp

import (
	"bytes"
	"errors"
	"strconv"

	"ravensill/internal/bufconn"
)

// Limits of a value.
const (
	MaxBulkBytes  = 64 << 10  // bytes of a bulk string
	MaxValueBytes = 128 << 10 // bytes of a value: a ring of this size holds any that is accepted
	maxLine       = 4 << 10   // bytes of a line
	maxElements   = 16        // elements of an array
)

// Errors of the stream. None is recoverable: where the next value begins is not known.
var (
	ErrKind  = errors.New("unknown kind of value")
	ErrLine  = errors.New("line too long or not ended by CR LF")
	ErrCount = errors.New("bad length or count")
	ErrNest  = errors.New("array holds more than bulk strings")
	ErrSize  = errors.New("value too large")
)

// Value is a line (kinds +, - and :), a bulk string ($) or a flat array of bulk strings (*).
type Value struct {
	Kind  byte
	Line  []byte   // of +, - and :
	Parts [][]byte // of $ and *; nil stands for null
}

// Parser is the state of parsing a value whose bytes have not all arrived. Its zero value is ready to use.
type Parser struct {
	kind         byte // of the value; 0: not known yet
	offset       int  // bytes of the value parsed so far
	elementsLeft int  // bulk strings to come
	inBulk       bool // the header of a bulk string was parsed
	bulkSize     int  // bytes of that one
	elements     []element
	spans        [][]byte // of the last value
	consumed     int      // bytes of the last value, dropped by the next call
}

// element is the place of a bulk string in the value.
type element struct {
	offset int
	size   int // -1: null
}

// Next returns the next whole value, or false if it has not arrived. The value is valid until the next call and until more bytes
// are read into the ring.
func (p *Parser) Next(r *bufconn.Buffer) (v Value, ok bool, err error) {
	if p.consumed > 0 {
		r.Drop(p.consumed)
		p.consumed = 0
	}
	r.ReleaseSpans()
	for {
		if p.inBulk {
			if r.Len() < p.offset+p.bulkSize+2 {
				return v, false, nil
			}
			if r.At(p.offset+p.bulkSize) != '\r' || r.At(p.offset+p.bulkSize+1) != '\n' {
				return v, false, ErrCount
			}
			p.elements = append(p.elements, element{p.offset, p.bulkSize})
			p.offset += p.bulkSize + 2
			p.inBulk = false
			p.elementsLeft--
		} else {
			if r.Len() == p.offset {
				return v, false, nil
			}
			first := r.At(p.offset)
			if p.kind == 0 && bytes.IndexByte([]byte("+-:*$"), first) < 0 {
				return v, false, ErrKind
			}
			if p.kind != 0 && first != '$' {
				return v, false, ErrNest
			}
			length, err := lineLength(r, p.offset)
			if length < 0 || err != nil {
				return v, false, err
			}
			text := r.Span(p.offset+1, length-1)
			if first != '*' && first != '$' {
				p.consumed, p.offset = length+2, 0
				return Value{Kind: first, Line: text}, true, nil
			}
			if p.kind == 0 {
				p.kind, p.elementsLeft = first, 1
			}
			count, ok := parseLength(text)
			p.offset += length + 2
			switch {
			case first == '*':
				if !ok || count < 1 || count > maxElements {
					return v, false, ErrCount
				}
				p.elementsLeft = count
				continue
			case ok && count == -1:
				p.elements = append(p.elements, element{0, -1})
				p.elementsLeft--
			case !ok || count < 0 || count > MaxBulkBytes:
				return v, false, ErrCount
			case p.offset+count+2 > MaxValueBytes:
				return v, false, ErrSize
			default:
				p.bulkSize, p.inBulk = count, true
			}
		}
		if p.elementsLeft == 0 {
			return p.value(r), true, nil
		}
	}
}

// More reports whether the ring holds bytes after the value that Next returned last.
func (p *Parser) More(r *bufconn.Buffer) bool { return r.Len() > p.consumed }

// value returns the value, all of whose bytes have arrived, and resets the parser.
func (p *Parser) value(r *bufconn.Buffer) Value {
	p.spans = p.spans[:0]
	for _, element := range p.elements {
		if element.size < 0 {
			p.spans = append(p.spans, nil)
		} else {
			p.spans = append(p.spans, r.Span(element.offset, element.size))
		}
	}
	value := Value{Kind: p.kind, Parts: p.spans}
	p.consumed = p.offset
	p.kind, p.offset, p.elements = 0, 0, p.elements[:0]
	return value
}

// lineLength returns the length of the line at an offset, without its CR LF; -1 if it has not arrived.
func lineLength(r *bufconn.Buffer, offset int) (int, error) {
	for length := 0; offset+length < r.Len(); length++ {
		if r.At(offset+length) != '\n' {
			continue
		}
		if length < 2 || r.At(offset+length-1) != '\r' {
			return 0, ErrLine
		}
		return length - 1, nil
	}
	if r.Len()-offset > maxLine {
		return 0, ErrLine
	}
	return -1, nil
}

// parseLength parses a whole number in its canonical form.
func parseLength(text []byte) (int, bool) {
	if len(text) == 0 || len(text) > 7 {
		return 0, false
	}
	n, err := strconv.Atoi(string(text))
	return n, err == nil && text[0] != '+' && (text[0] != '0' || n == 0)
}

// AppendArrayHeader appends the header of an array of n bulk strings.
func AppendArrayHeader(dst []byte, n int) []byte { return appendHeader(dst, '*', n) }

// AppendBulk appends a bulk string.
func AppendBulk[T []byte | string](dst []byte, b T) []byte {
	return append(append(appendHeader(dst, '$', len(b)), b...), '\r', '\n')
}

// appendHeader appends a kind with a length.
func appendHeader(dst []byte, kind byte, n int) []byte {
	return append(strconv.AppendInt(append(dst, kind), int64(n), 10), '\r', '\n')
}

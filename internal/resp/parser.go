package resp

import (
	"errors"
	"strconv"

	"ravensill/internal/bufconn"
)

// Limits of a value.
const (
	MaxBulkBytes  = 64 << 10  // largest bulk string
	MaxValueBytes = 128 << 10 // largest encoded value: a buffer of this size can hold every value that is accepted
	maxLineBytes  = 4 << 10   // longest line
	maxElements   = 16        // most elements of an array
	maxDigits     = 7         // most digits of a length or count
)

// Errors of a malformed stream. After any of them the stream can't be parsed further, because it is unknown where the
// next value begins.
var (
	ErrUnknownType   = errors.New("unknown kind of value")
	ErrInvalidLine   = errors.New("line too long or not ended by CR LF")
	ErrInvalidLength = errors.New("bad length or count")
	ErrNestedArray   = errors.New("array holds more than bulk strings")
	ErrValueTooLarge = errors.New("value too large")
)

// lineEndBytes is the length of CR LF.
const lineEndBytes = 2

// Value is a RESP2 value. Its Kind is the first byte of the encoding: +, - or : for a line, $ for a bulk string, * for
// an array, all of whose elements are bulk strings.
type Value struct {
	Kind        byte
	Line        []byte   // text of a line, without its kind and CR LF
	BulkStrings [][]byte // the bulk string, or the elements of the array; nil for a null bulk string
	Discarded   bool     // whether the content of an array was discarded, so that BulkStrings is nil
}

// Parser parses the values of one stream, and keeps the state of a value whose bytes have not all arrived. Its zero
// value is ready to use. It is not safe for concurrent use.
type Parser struct {
	kind         byte      // kind of the bulk string or array that is being parsed; 0: not known yet
	offset       int       // bytes of the value that are parsed
	elementsLeft int       // bulk strings that are not completely parsed
	headerParsed bool      // whether the header of the next bulk string is parsed
	elementSize  int       // size of that bulk string in bytes
	elements     []element // bulk strings that are completely parsed
	discarding   bool      // whether the content of the array is dropped as it arrives
	dropped      int       // bytes of the array that were dropped
	spans        [][]byte  // BulkStrings of the latest value; its memory is reused
	consumed     int       // bytes of the latest value, which the next call of Next drops
}

// element is the position of a bulk string's content in the encoded value.
type element struct {
	offset int // from the first byte of the value
	size   int // in bytes; nullSize for a null bulk string
}

// nullSize is the size of a null bulk string.
const nullSize = -1

// Next returns the next value in the buffer, or false if not all of it has arrived. The value is valid until the next
// call or until the buffer changes. The buffer must be the same in all calls.
func (p *Parser) Next(in *bufconn.Buffer) (value Value, ok bool, err error) {
	p.Release(in)
	if p.discarding {
		return p.discardElements(in)
	}
	if p.kind == 0 {
		line, ok, err := p.parseStart(in)
		if ok || err != nil {
			return line, ok, err
		}
		if p.kind == 0 {
			return Value{}, false, nil
		}
	}
	for p.elementsLeft > 0 {
		if ok, err := p.parseElement(in); !ok {
			return Value{}, false, err
		}
	}
	return p.value(in), true, nil
}

// Release ends the validity of the value that Next returned last, and drops its bytes. A buffer that is empty after
// that releases its memory, which otherwise stays allocated until the next call of Next.
func (p *Parser) Release(in *bufconn.Buffer) {
	if p.consumed > 0 {
		in.Drop(p.consumed)
		p.consumed = 0
	}
	in.ReleaseSpans()
}

// More reports whether the buffer holds bytes behind the value that Next returned last.
func (p *Parser) More(in *bufconn.Buffer) bool { return in.Len() > p.consumed }

// parseStart parses the start of a value. If the value is a line that has arrived, it returns the value and true. For a
// bulk string, or an array whose header has arrived, it sets kind and elementsLeft and returns false.
func (p *Parser) parseStart(in *bufconn.Buffer) (line Value, ok bool, err error) {
	if in.Len() == 0 {
		return Value{}, false, nil
	}
	kind := in.At(0)
	switch kind {
	case '+', '-', ':':
		text, ok, err := p.parseLine(in)
		if !ok {
			return Value{}, false, err
		}
		p.consumed = p.offset
		p.offset = 0
		return Value{Kind: kind, Line: text}, true, nil
	case '*':
		return Value{}, false, p.parseArrayHeader(in)
	case '$':
		p.kind = kind
		p.elementsLeft = 1
		return Value{}, false, nil
	}
	return Value{}, false, ErrUnknownType
}

// parseArrayHeader parses the header of an array. It sets kind and elementsLeft if all of the header has arrived.
func (p *Parser) parseArrayHeader(in *bufconn.Buffer) error {
	text, ok, err := p.parseLine(in)
	if !ok {
		return err
	}
	count, valid := parseLength(text)
	if !valid || count < 1 || count > maxElements {
		return ErrInvalidLength
	}
	p.kind = '*'
	p.elementsLeft = count
	return nil
}

// parseElement parses the next bulk string and adds it to the elements. It returns false if not all of it has arrived.
func (p *Parser) parseElement(in *bufconn.Buffer) (ok bool, err error) {
	if !p.headerParsed {
		if ok, err := p.parseBulkHeader(in); !ok {
			return false, err
		}
	}
	if p.elementSize == nullSize {
		p.addElement(element{size: nullSize})
		return true, nil
	}
	end := p.offset + p.elementSize
	if in.Len() < end+lineEndBytes {
		return false, nil
	}
	if in.At(end) != '\r' || in.At(end+1) != '\n' {
		return false, ErrInvalidLength
	}
	p.addElement(element{offset: p.offset, size: p.elementSize})
	p.offset = end + lineEndBytes
	return true, nil
}

// parseBulkHeader parses the header of a bulk string. It returns false if not all of it has arrived.
func (p *Parser) parseBulkHeader(in *bufconn.Buffer) (ok bool, err error) {
	if in.Len() == p.offset {
		return false, nil
	}
	if in.At(p.offset) != '$' {
		return false, ErrNestedArray
	}
	text, ok, err := p.parseLine(in)
	if !ok {
		return false, err
	}
	size, valid := parseLength(text)
	if !valid || size < nullSize || size > MaxBulkBytes {
		return false, ErrInvalidLength
	}
	if size != nullSize && p.dropped+p.offset+size+lineEndBytes > MaxValueBytes {
		return false, ErrValueTooLarge
	}
	p.elementSize = size
	p.headerParsed = true
	return true, nil
}

// addElement adds a bulk string, all of which has arrived, to the elements.
func (p *Parser) addElement(e element) {
	p.elements = append(p.elements, e)
	p.elementsLeft--
	p.headerParsed = false
}

// value returns the bulk string or array that consists of the elements, and resets the state for the next value.
func (p *Parser) value(in *bufconn.Buffer) Value {
	p.spans = p.spans[:0]
	for _, e := range p.elements {
		if e.size == nullSize {
			p.spans = append(p.spans, nil)
			continue
		}
		p.spans = append(p.spans, in.Span(e.offset, e.size))
	}
	value := Value{Kind: p.kind, BulkStrings: p.spans}
	p.consumed = p.offset
	p.kind = 0
	p.offset = 0
	p.elements = p.elements[:0]
	return value
}

// parseLine returns the text of the line at offset, without its kind and its CR LF, and moves offset behind the line.
// It returns false if not all of the line has arrived.
func (p *Parser) parseLine(in *bufconn.Buffer) (text []byte, ok bool, err error) {
	length, err := lineLength(in, p.offset)
	if length < 0 || err != nil {
		return nil, false, err
	}
	text = in.Span(p.offset+1, length-1)
	p.offset += length + lineEndBytes
	return text, true, nil
}

// lineLength returns the length of the line at an offset, without its CR LF, or -1 if not all of the line has arrived.
func lineLength(in *bufconn.Buffer, offset int) (int, error) {
	for length := 0; offset+length < in.Len(); length++ {
		if in.At(offset+length) != '\n' {
			continue
		}
		if length < lineEndBytes || in.At(offset+length-1) != '\r' {
			return 0, ErrInvalidLine
		}
		return length - 1, nil
	}
	if in.Len()-offset > maxLineBytes {
		return 0, ErrInvalidLine
	}
	return -1, nil
}

// parseLength parses a whole number of at most maxDigits characters. It is not valid with a plus sign or leading zeros.
func parseLength(text []byte) (n int, valid bool) {
	if len(text) == 0 || len(text) > maxDigits {
		return 0, false
	}
	n, err := strconv.Atoi(string(text))
	isCanonical := text[0] != '+' && (text[0] != '0' || n == 0)
	return n, err == nil && isCanonical
}

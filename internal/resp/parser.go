package resp

import (
	"errors"
	"strconv"

	"ravensill/internal/bufconn"
)

// Limits of a value.
const (
	MaxBulkBytes  = 64 << 10  // of a bulk string
	MaxValueBytes = 128 << 10 // of a value: a buffer of this size holds any that is accepted
	maxLineBytes  = 4 << 10
	maxElements   = 16 // of an array
	maxDigits     = 7  // of a length or count
)

// Errors of the stream. None is recoverable: it is unknown where the next value begins.
var (
	ErrUnknownType   = errors.New("unknown kind of value")
	ErrInvalidLine   = errors.New("line too long or not ended by CR LF")
	ErrInvalidLength = errors.New("bad length or count")
	ErrNestedArray   = errors.New("array holds more than bulk strings")
	ErrValueTooLarge = errors.New("value too large")
)

// lineEndBytes is the length of CR LF.
const lineEndBytes = 2

// Value is a line (kinds +, - and :), a bulk string ($) or a flat array of bulk strings (*).
type Value struct {
	Kind        byte
	Line        []byte   // of +, - and :
	BulkStrings [][]byte // of $ and *; nil stands for null
}

// Parser is the state of parsing a value whose bytes have not all arrived. Its zero value is ready to use.
type Parser struct {
	kind         byte // of a bulk string or array; 0: not known yet
	offset       int  // bytes of the value parsed so far
	elementsLeft int  // bulk strings to come
	inBulk       bool // the header of a bulk string was parsed
	bulkSize     int  // bytes of that one
	elements     []element
	spans        [][]byte // of the latest value
	consumed     int      // bytes of the latest value, dropped by the next call
}

// element is the position of a bulk string in the value.
type element struct {
	offset int
	size   int // nullSize for null
}

// nullSize is the size of a null bulk string.
const nullSize = -1

// Next returns the next complete value, or false if it has not arrived. The value is valid until the next call and
// until more bytes are read into the buffer.
func (p *Parser) Next(in *bufconn.Buffer) (value Value, ok bool, err error) {
	if p.consumed > 0 {
		in.Drop(p.consumed)
		p.consumed = 0
	}
	in.ReleaseSpans()
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

// More reports whether the buffer holds bytes after the value that Next returned last.
func (p *Parser) More(in *bufconn.Buffer) bool { return in.Len() > p.consumed }

// parseStart parses the start of a value. It returns true with a value that is a line, and sets the kind of others.
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

// parseArrayHeader parses the header of an array, and sets the kind if all of it has arrived.
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

// parseElement parses the next bulk string, or returns false if not all of it has arrived.
func (p *Parser) parseElement(in *bufconn.Buffer) (ok bool, err error) {
	if !p.inBulk {
		if ok, err := p.parseBulkHeader(in); !ok {
			return false, err
		}
	}
	if p.bulkSize == nullSize {
		p.addElement(element{size: nullSize})
		return true, nil
	}
	end := p.offset + p.bulkSize
	if in.Len() < end+lineEndBytes {
		return false, nil
	}
	if in.At(end) != '\r' || in.At(end+1) != '\n' {
		return false, ErrInvalidLength
	}
	p.addElement(element{offset: p.offset, size: p.bulkSize})
	p.offset = end + lineEndBytes
	return true, nil
}

// parseBulkHeader parses the header of a bulk string, or returns false if not all of it has arrived.
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
	if size != nullSize && p.offset+size+lineEndBytes > MaxValueBytes {
		return false, ErrValueTooLarge
	}
	p.bulkSize = size
	p.inBulk = true
	return true, nil
}

// addElement adds a bulk string that has arrived.
func (p *Parser) addElement(e element) {
	p.elements = append(p.elements, e)
	p.elementsLeft--
	p.inBulk = false
}

// value returns the value, all of whose bytes have arrived, and resets the parser.
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

// parseLine returns the text of the line at the offset, without its kind and its CR LF, and moves the offset behind it.
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

// lineLength returns the length of the line at an offset, without its CR LF; -1 if it has not arrived.
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

// parseLength parses a whole number in its canonical form.
func parseLength(text []byte) (n int, valid bool) {
	if len(text) == 0 || len(text) > maxDigits {
		return 0, false
	}
	n, err := strconv.Atoi(string(text))
	isCanonical := text[0] != '+' && (text[0] != '0' || n == 0)
	return n, err == nil && isCanonical
}

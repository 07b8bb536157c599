package resp

import "ravensill/internal/bufconn"

// Discard drops what has arrived of the incomplete array for which Next has just returned false. The rest is dropped by
// the calls of Next as it arrives: Next checks its form and returns the array as discarded once it is complete. Discard
// fails, as the stream can't be parsed further, if the value is no array or nothing of it can be dropped.
func (p *Parser) Discard(in *bufconn.Buffer) error {
	if p.kind != '*' {
		return ErrInvalidLine
	}
	p.discarding = true
	p.elements = p.elements[:0]
	if p.dropParsed(in) == 0 {
		return ErrInvalidLine
	}
	return nil
}

// Discarding reports whether the rest of an array is still to be dropped.
func (p *Parser) Discarding() bool { return p.discarding }

// dropParsed drops all bytes that are parsed, and those that belong to the content of the current element. It returns
// how many it dropped.
func (p *Parser) dropParsed(in *bufconn.Buffer) (count int) {
	count = p.offset
	if p.headerParsed && p.elementSize > 0 {
		content := min(in.Len()-p.offset, p.elementSize)
		p.elementSize -= content
		count += content
	}
	in.Drop(count)
	p.offset = 0
	p.dropped += count
	return count
}

// discardElements drops the elements of a discarded array as far as they have arrived. Once the array is complete, it
// returns the array and resets the state for the next value.
func (p *Parser) discardElements(in *bufconn.Buffer) (value Value, ok bool, err error) {
	for p.elementsLeft > 0 {
		ok, err := p.parseElement(in)
		if err != nil {
			return Value{}, false, err
		}
		p.dropParsed(in)
		if !ok {
			return Value{}, false, nil
		}
	}
	value = Value{Kind: p.kind, Discarded: true}
	p.discarding = false
	p.dropped = 0
	p.kind = 0
	p.elements = p.elements[:0]
	return value, true, nil
}

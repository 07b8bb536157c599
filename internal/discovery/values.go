package discovery

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
)

const (
	maxListBytes   = 32 << 20 // of one list: 87,000 endpoints, indented
	maxBufferBytes = 1 << 20  // a larger buffer is released after its list

	whiteSpace = " \t\r\n"
)

var errListTooLong = errors.New("list too long")

// valueReader splits a body into JSON values, which may be separated by white space. It is the reader of a JSON
// decoder, from which it withholds the white space between values: the decoder would buffer it until the next value
// comes.
type valueReader struct {
	body     io.Reader
	received func()            // called for any bytes
	update   func(list string) // called with each value once it is complete
	phase    func(phase)       // called with inValue where a value begins, and with following behind its end

	inValue   bool // a value has begun and is not complete
	remaining int  // bytes that the value may still have
}

// run reads the body until an error, which it returns.
func (r *valueReader) run() error {
	r.remaining = maxListBytes
	decoder := json.NewDecoder(r)
	for {
		var list rawValue
		if err := decoder.Decode(&list); err != nil {
			return err
		}
		r.update(string(list))
		buffered, _ := io.ReadAll(decoder.Buffered())
		buffered = bytes.TrimLeft(buffered, whiteSpace)
		r.inValue = len(buffered) > 0
		r.remaining = maxListBytes - len(buffered)
		if len(list) > maxBufferBytes {
			decoder = json.NewDecoder(io.MultiReader(bytes.NewReader(buffered), r))
		}
		r.phase(following)
		if r.inValue {
			r.phase(inValue)
		}
	}
}

// Read reads bytes of a value for the decoder.
func (r *valueReader) Read(p []byte) (int, error) {
	for {
		n, err := r.body.Read(p)
		if n > 0 {
			r.received()
		}
		if !r.inValue {
			n = copy(p, bytes.TrimLeft(p[:n], whiteSpace))
			r.inValue = n > 0
			if r.inValue {
				r.phase(inValue)
			}
		}
		r.remaining -= n
		if r.remaining < 0 {
			return 0, errListTooLong
		}
		if n > 0 || err != nil {
			return n, err
		}
	}
}

// rawValue is the text of a JSON value as it was received.
type rawValue string

// UnmarshalJSON copies the text once.
func (v *rawValue) UnmarshalJSON(text []byte) error {
	*v = rawValue(text)
	return nil
}

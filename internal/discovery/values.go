package discovery

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
)

const (
	maxListBytes   = 32 << 20 // longest list; an indented list of 87,000 endpoints fits in
	maxBufferBytes = 1 << 20  // after a longer list the decoder and its buffer are replaced, to free the memory

	whiteSpace = " \t\r\n"
)

var errListTooLong = errors.New("list too long")

// valueReader splits a response body into JSON values, which may be separated by white space. It is also the io.Reader
// of the JSON decoder that finds the end of each value. It drops the white space between values, because the decoder
// would buffer all of it until the next value comes.
type valueReader struct {
	body       io.Reader
	onReceived func()            // called for each read that returned bytes, white space included
	onValue    func(list string) // called with each value once it is complete
	onPhase    func(phase)       // called with inValue when a value begins, and with betweenValues when it has ended

	inValue   bool // a value has begun and is not complete
	remaining int  // bytes that may still be read before the value is too long
}

// run reads the body until it ends or fails, and returns the error: io.EOF if the body ended after a complete value.
func (r *valueReader) run() error {
	r.remaining = maxListBytes
	decoder := json.NewDecoder(r)
	for {
		var list rawValue
		if err := decoder.Decode(&list); err != nil {
			return err
		}
		r.onValue(string(list))
		buffered, _ := io.ReadAll(decoder.Buffered())
		buffered = bytes.TrimLeft(buffered, whiteSpace)
		r.inValue = len(buffered) > 0
		r.remaining = maxListBytes - len(buffered)
		if len(list) > maxBufferBytes {
			decoder = json.NewDecoder(io.MultiReader(bytes.NewReader(buffered), r))
		}
		r.onPhase(betweenValues)
		if r.inValue {
			r.onPhase(inValue)
		}
	}
}

// Read returns bytes of a value to the decoder. It blocks while only white space arrives between values.
func (r *valueReader) Read(p []byte) (int, error) {
	for {
		n, err := r.body.Read(p)
		if n > 0 {
			r.onReceived()
		}
		if !r.inValue {
			n = copy(p, bytes.TrimLeft(p[:n], whiteSpace))
			r.inValue = n > 0
			if r.inValue {
				r.onPhase(inValue)
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

// rawValue is the text of a JSON value, exactly as received.
type rawValue string

// UnmarshalJSON copies the text out of the decoder's buffer. A json.RawMessage would be copied a second time to become
// a string.
func (v *rawValue) UnmarshalJSON(text []byte) error {
	*v = rawValue(text)
	return nil
}

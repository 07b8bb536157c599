// Package hosts speaks with the hosts that reqs are dispatched to. Wire names end here; it decides nothing
// and sends nothing twice.
package hosts

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strconv"

	"ravensill/gateway"
	"ravensill/internal/resp"
)

// Stage tells how far a dispatch had come.
type Stage int

const (
	Connecting Stage = iota // no connection yet
	Writing                 // a part of it may be written
	Sent                    // its last byte is written: the host may have run it
)

func (s Stage) String() string { return [...]string{"connecting", "writing", "sent"}[s] }

// Why a dispatch was ended from here.
var (
	ErrTimedOut = errors.New("timed out")
	ErrCanceled = errors.New("canceled")
)

// Failure is a dispatch that got no answer, with how far it had come.
type Failure struct {
	Stage Stage
	Err   error
}

func (f *Failure) Error() string { return fmt.Sprintf("%v while %v", f.Err, f.Stage) }
func (f *Failure) Unwrap() error { return f.Err }

// Result says the same in the words of the interface.
func (f *Failure) Result() gateway.Result {
	switch {
	case f.Stage < Sent && errors.Is(f.Err, ErrCanceled):
		return gateway.Skipped
	case f.Stage < Sent:
		return gateway.Unreached
	case errors.Is(f.Err, ErrTimedOut):
		return gateway.TimedOut
	case errors.Is(f.Err, ErrCanceled):
		return gateway.Canceled
	}
	return gateway.Broken
}

var errReply = errors.New("malformed answer")

// read makes out an answer: its value, nil where it has none, and into e the result and the figures that came
// along. names are those of the load report's fields. The value holds as long as the bytes it was read from.
func read(v resp.Value, names []string, e *gateway.Event) (value []byte, err error) {
	switch v.Kind {
	case '*':
		if v.Parts[0] == nil || len(v.Parts) > 3 {
			return nil, errReply
		}
		if len(v.Parts) > 1 {
			err = usage(v.Parts[1], e)
		}
		if len(v.Parts) > 2 && err == nil {
			err = load(v.Parts[2], names, e)
		}
		return v.Parts[0], err
	case '$': // of a probe
		if v.Parts[0] == nil {
			return nil, errReply
		}
		return nil, load(v.Parts[0], names, e)
	case '-':
		words := bytes.Split(v.Line, []byte{' '})
		if e.Result = gateway.Errored; string(words[0]) == "BUSY" {
			e.Result = gateway.Busy
		}
		for _, w := range words[1:] {
			if bytes.HasPrefix(w, []byte("used=")) || bytes.HasPrefix(w, []byte("cost=")) {
				err = usage(w, e)
			} else if bytes.IndexByte(w, '=') > 0 {
				err = load(w, names, e)
			}
			if err != nil {
				return nil, err
			}
		}
		return nil, nil
	}
	return nil, errReply
}

func usage(text []byte, e *gateway.Event) error {
	return pairs(text, func(name string, x float64) {
		switch name {
		case "used":
			e.Used = 1 + int(x)
		case "cost":
			e.Units = x
		}
	})
}

func load(text []byte, names []string, e *gateway.Event) error {
	return pairs(text, func(name string, x float64) {
		if i := slices.Index(names, name); i >= 0 {
			if e.Load == nil {
				e.Load = make([]float64, len(names))
			}
			e.Load[i] = x
		}
	})
}

func pairs(text []byte, f func(name string, x float64)) error {
	for len(text) > 0 {
		var pair []byte
		pair, text, _ = bytes.Cut(text, []byte{','})
		name, value, ok := bytes.Cut(pair, []byte{'='})
		x, err := strconv.ParseFloat(string(value), 64)
		if !ok || err != nil || x < 0 || x > 1e12 || x != x {
			return errReply
		}
		f(string(name), x)
	}
	return nil
}

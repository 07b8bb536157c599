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

// Reply is what a host answers. Its value holds as long as the bytes that it was read from.
type Reply struct {
	Result gateway.Result
	Value  []byte
	Used   int       // 1 + percent; 0 none
	Units  float64   // settled; 0 none
	Load   []float64 // by the report's fields; nil none
	probe  bool      // it answers a probe
}

var errReply = errors.New("malformed answer")

// read makes out an answer. names are those of the load report's fields.
func read(v resp.Value, names []string) (r Reply, err error) {
	switch v.Kind {
	case '$':
		if v.Parts[0] == nil {
			return r, errReply
		}
		r.probe = true
		return r, r.report(v.Parts[0], names)
	case '*':
		if v.Parts[0] == nil || len(v.Parts) > 3 {
			return r, errReply
		}
		r.Value = v.Parts[0]
		if len(v.Parts) > 1 {
			err = r.figures(v.Parts[1])
		}
		if len(v.Parts) > 2 && err == nil {
			err = r.report(v.Parts[2], names)
		}
		return r, err
	case '-':
		r.Result = gateway.Errored
		words := bytes.Split(v.Line, []byte{' '})
		if string(words[0]) == "BUSY" {
			r.Result = gateway.Busy
		}
		for _, w := range words[1:] {
			if bytes.HasPrefix(w, []byte("used=")) || bytes.HasPrefix(w, []byte("cost=")) {
				err = r.figures(w)
			} else if bytes.IndexByte(w, '=') > 0 {
				err = r.report(w, names)
			}
			if err != nil {
				return r, err
			}
		}
		return r, nil
	}
	return r, errReply
}

func (r *Reply) figures(text []byte) error {
	return pairs(text, func(name string, x float64) {
		switch name {
		case "used":
			r.Used = 1 + int(x)
		case "cost":
			r.Units = x
		}
	})
}

func (r *Reply) report(text []byte, names []string) error {
	return pairs(text, func(name string, x float64) {
		if i := slices.Index(names, name); i >= 0 {
			if r.Load == nil {
				r.Load = make([]float64, len(names))
			}
			r.Load[i] = x
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

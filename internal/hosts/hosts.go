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

// What says nothing of the host.
var (
	errSpoilt = errors.New("spoilt answer") // they come from any host alike
	errRoom   = errors.New("no descriptor free")
	errGone   = errors.New("the host is gone")
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
	case f.Stage < Sent && (errors.Is(f.Err, ErrCanceled) || errors.Is(f.Err, errRoom) || errors.Is(f.Err, errGone) || errors.Is(f.Err, errTurn)):
		return gateway.Skipped
	case f.Stage < Sent:
		return gateway.Unreached
	case errors.Is(f.Err, ErrTimedOut):
		return gateway.TimedOut
	case errors.Is(f.Err, ErrCanceled):
		return gateway.Canceled
	case errors.Is(f.Err, errSpoilt):
		return gateway.Spoilt
	}
	return gateway.Broken
}

var errReply = errors.New("malformed answer")

// read makes out an answer: its value, nil where it has none, and into e the result and the figures that came
// along. names are those of the load report's fields. The value holds as long as the bytes it was read from.
// A value is owed to its client whatever comes with it: figures that can't be read are not told.
func read(v resp.Value, names []string, e *gateway.Event) (value []byte, err error) {
	switch v.Kind {
	case '*':
		if v.Parts[0] == nil || len(v.Parts) > 3 {
			return nil, errReply
		}
		if len(v.Parts) > 1 {
			usage(v.Parts[1], e)
		}
		if len(v.Parts) > 2 {
			load(v.Parts[2], names, e)
		}
		return v.Parts[0], nil
	case '$': // of a probe
		if v.Parts[0] == nil {
			return nil, errReply
		}
		load(v.Parts[0], names, e)
		return nil, nil
	case '-':
		words := bytes.Split(v.Line, []byte{' '})
		if e.Result = gateway.Errored; string(words[0]) == "BUSY" {
			e.Result = gateway.Busy
		}
		for _, w := range words[1:] {
			if bytes.HasPrefix(w, []byte("used=")) || bytes.HasPrefix(w, []byte("cost=")) {
				usage(w, e)
			} else if bytes.IndexByte(w, '=') > 0 {
				load(w, names, e)
			}
		}
		return nil, nil
	}
	return nil, errReply
}

func usage(text []byte, e *gateway.Event) {
	used, units := 0, 0.0
	if pairs(text, func(name string, x float64) {
		switch name {
		case "used":
			used = 1 + int(x)
		case "cost":
			units = x
		}
	}) {
		e.Used, e.Units = used, units
	}
}

// load takes in a report that has all fields; a part of one would tell noughts for the rest.
func load(text []byte, names []string, e *gateway.Event) {
	report, seen := make([]float64, len(names)), 0
	if pairs(text, func(name string, x float64) {
		if i := slices.Index(names, name); i >= 0 {
			report[i] = x
			seen++
		}
	}) && seen == len(names) && seen > 0 {
		e.Load = report
	}
}

// pairs hands on each name and figure, and tells whether all could be read.
func pairs(text []byte, f func(name string, x float64)) bool {
	for len(text) > 0 {
		var pair []byte
		pair, text, _ = bytes.Cut(text, []byte{','})
		name, value, ok := bytes.Cut(pair, []byte{'='})
		x, err := strconv.ParseFloat(string(value), 64)
		if !ok || err != nil || x < 0 || x > 1e9 || x != x {
			return false
		}
		f(string(name), x)
	}
	return true
}

package simwire

import (
	"encoding/base64"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"ravensill/gateway"
)

// fields reads the values of one line in order and keeps the first fault.
type fields struct {
	word, rest string
	more       bool
	err        error
}

func (f *fields) begin(word, rest string) { *f = fields{word: word, rest: rest, more: rest != ""} }

func (f *fields) fail(name, why string) {
	if f.err == nil {
		f.err = fmt.Errorf("%s: %s: %s", f.word, name, why)
	}
}

// end gives the first fault; a value left over is one.
func (f *fields) end() error {
	if f.more && f.err == nil {
		return fmt.Errorf("%s: too many values", f.word)
	}
	return f.err
}

func (f *fields) text(name string) string {
	if !f.more {
		f.fail(name, "missing")
		return ""
	}
	var part string
	part, f.rest, f.more = strings.Cut(f.rest, " ")
	if part == "" {
		f.fail(name, "empty")
	}
	return part
}

// tail takes the rest of the line.
func (f *fields) tail(name string) string {
	if !f.more {
		f.fail(name, "missing")
	}
	f.more = false
	return f.rest
}

// value reads a number from 0 on that may be absent ("-" reads as 0).
func (f *fields) value(name string, most float64, whole bool) float64 {
	return f.between(name, 0, most, whole)
}

func (f *fields) between(name string, least, most float64, whole bool) float64 {
	part := f.text(name)
	if part == "-" || f.err != nil {
		return 0
	}
	v, err := strconv.ParseFloat(part, 64)
	switch {
	case err != nil || math.IsNaN(v) || whole && v != math.Trunc(v):
		f.fail(name, fmt.Sprintf("%.40q is no number of its kind", part))
	case v < least || v > most:
		f.fail(name, fmt.Sprintf("%.40s is out of range", part))
	default:
		return v
	}
	return 0
}

func (f *fields) whole(name string, most int) int    { return int(f.value(name, float64(most), true)) }
func (f *fields) decimal(name string) float64        { return f.value(name, 1e15, false) }
func (f *fields) signed(name string) float64         { return f.between(name, -1e15, 1e15, false) }
func (f *fields) time(name string) int64             { return int64(f.value(name, math.MaxInt64/us/2, true)) * us }
func (f *fields) duration(name string) time.Duration { return time.Duration(f.time(name)) }
func (f *fields) instant(name string) gateway.Time   { return gateway.Time(f.time(name)) }
func (f *fields) yes(name string) bool               { return f.whole(name, 1) == 1 }

func (f *fields) number(name string) uint64 {
	part := f.text(name)
	v, err := strconv.ParseUint(part, 10, 64)
	if err != nil {
		f.fail(name, fmt.Sprintf("%.40q is no whole number", part))
	}
	return v
}

func (f *fields) choice(name string, words ...string) int {
	part := f.text(name)
	for i, w := range words {
		if part == w {
			return i
		}
	}
	f.fail(name, fmt.Sprintf("unknown word %.40q", part))
	return 0
}

func (f *fields) result(name string) gateway.Result {
	return gateway.Result(f.choice(name, "done", "err", "busy", "etimedout", "econnrefused", "econnreset",
		"ecanceled", "skipped"))
}

// bytes reads a peer's message. One that is garbled reads as empty: it is the sender's fault, not the wire's.
func (f *fields) bytes(name string) []byte {
	part := f.text(name)
	b, err := base64.StdEncoding.DecodeString(part)
	if part == "-" || err != nil {
		return nil
	}
	return b
}

func (f *fields) row(name string) []float64 {
	part := f.text(name)
	if part == "-" {
		return nil
	}
	var row []float64
	for _, p := range strings.Split(part, ",") {
		v, err := strconv.ParseFloat(p, 64)
		if err != nil && p != "-" {
			f.fail(name, fmt.Sprintf("%.40q is no number", p))
		}
		row = append(row, v)
	}
	return row
}

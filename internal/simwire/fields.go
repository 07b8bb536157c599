package simwire

import (
	"encoding/base64"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"ravensill/gateway"
)

const (
	maxMicroseconds = math.MaxInt64 / 1000 / 2 // half of the longest time.Duration
	maxDecimal      = 1e15

	absent = "-" // in the place of a value
)

// fieldReader reads the values of one line in order and keeps the first error.
type fieldReader struct {
	word string // the first of the line
	rest string // of the line, behind the values read
	more bool   // a value is left, which may be empty
	err  error
}

func newFieldReader(line string) fieldReader {
	word, rest, _ := strings.Cut(line, " ")
	return fieldReader{word: word, rest: rest, more: rest != ""}
}

func (r *fieldReader) fail(name, reason string) {
	if r.err == nil {
		r.err = fmt.Errorf("%s: %s: %s", r.word, name, reason)
	}
}

// end returns the first error; a value that was not read is one.
func (r *fieldReader) end() error {
	if r.more && r.err == nil {
		return fmt.Errorf("%s: too many values", r.word)
	}
	return r.err
}

func (r *fieldReader) text(name string) string {
	if !r.more {
		r.fail(name, "missing")
		return ""
	}
	var value string
	value, r.rest, r.more = strings.Cut(r.rest, " ")
	if value == "" {
		r.fail(name, "empty")
	}
	return value
}

// remainder returns the rest of the line.
func (r *fieldReader) remainder(name string) string {
	if !r.more {
		r.fail(name, "missing")
	}
	r.more = false
	return r.rest
}

// number reads a number within bounds; an absent one reads as 0.
func (r *fieldReader) number(name string, least, most float64, integral bool) float64 {
	text := r.text(name)
	if text == absent || r.err != nil {
		return 0
	}
	value, err := strconv.ParseFloat(text, 64)
	switch {
	case err != nil || math.IsNaN(value) || integral && value != math.Trunc(value):
		r.fail(name, fmt.Sprintf("%.40q is no number of its kind", text))
	case value < least || value > most:
		r.fail(name, fmt.Sprintf("%.40s is out of range", text))
	default:
		return value
	}
	return 0
}

func (r *fieldReader) integer(name string, most int) int {
	return int(r.number(name, 0, float64(most), true))
}

func (r *fieldReader) boolean(name string) bool { return r.integer(name, 1) == 1 }

func (r *fieldReader) decimal(name string) float64 { return r.number(name, 0, maxDecimal, false) }

func (r *fieldReader) signedDecimal(name string) float64 {
	return r.number(name, -maxDecimal, maxDecimal, false)
}

// duration reads a duration in microseconds.
func (r *fieldReader) duration(name string) time.Duration {
	return time.Duration(r.number(name, 0, maxMicroseconds, true)) * time.Microsecond
}

// instant reads an instant in microseconds.
func (r *fieldReader) instant(name string) gateway.Time { return gateway.Time(r.duration(name)) }

func (r *fieldReader) hostID(name string) uint32 { return uint32(r.integer(name, math.MaxUint32)) }

// unsigned reads an integer of 64 bits, of which a float64 would lose some.
func (r *fieldReader) unsigned(name string) uint64 {
	text := r.text(name)
	value, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		r.fail(name, fmt.Sprintf("%.40q is no whole number", text))
	}
	return value
}

// choice returns the index of a value among the words.
func (r *fieldReader) choice(name string, words ...string) int {
	text := r.text(name)
	if i := slices.Index(words, text); i >= 0 {
		return i
	}
	r.fail(name, fmt.Sprintf("unknown word %.40q", text))
	return 0
}

func (r *fieldReader) result(name string) gateway.Result {
	return gateway.Result(r.choice(name, "done", "err", "busy", "etimedout", "econnrefused", "econnreset",
		"ecanceled", "skipped"))
}

// gossip reads a message of a peer. One that is garbled reads as empty: it is an error of the sender, not of the line.
func (r *fieldReader) gossip(name string) []byte {
	text := r.text(name)
	message, err := base64.StdEncoding.DecodeString(text)
	if text == absent || err != nil {
		return nil
	}
	return message
}

// loadReport reads the numbers of a load report; an absent number reads as 0.
func (r *fieldReader) loadReport(name string) []float64 {
	text := r.text(name)
	if text == absent {
		return nil
	}
	var report []float64
	for _, number := range strings.Split(text, ",") {
		value, err := strconv.ParseFloat(number, 64)
		if err != nil && number != absent {
			r.fail(name, fmt.Sprintf("%.40q is no number", number))
		}
		report = append(report, value)
	}
	return report
}

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
	maxMicroseconds = math.MaxInt64 / 1000 / 2 // half of the longest time.Duration, in microseconds
	maxDecimal      = 1e15                     // largest magnitude of a decimal

	absentValue = "-" // stands for a value that is not given
)

// fieldReader reads the values of one line in order. After the first error, which it keeps, values may be zero. The
// names passed to its methods are those of fields in errors.
type fieldReader struct {
	messageType string // first word of the line
	unread      string // the line after the values that were read
	hasMore     bool   // another value follows, which may be empty
	err         error
}

// newFieldReader returns a reader of the values after the message type of a line.
func newFieldReader(line string) fieldReader {
	word, rest, _ := strings.Cut(line, " ")
	return fieldReader{messageType: word, unread: rest, hasMore: rest != ""}
}

// setError keeps an error about a field, unless there is an earlier one.
func (r *fieldReader) setError(name, reason string) {
	if r.err == nil {
		r.err = fmt.Errorf("%s: %s: %s", r.messageType, name, reason)
	}
}

// finish returns the first error. It is an error if not all values were read.
func (r *fieldReader) finish() error {
	if r.hasMore && r.err == nil {
		return fmt.Errorf("%s: too many values", r.messageType)
	}
	return r.err
}

// text reads a value, which must not be empty.
func (r *fieldReader) text(name string) string {
	if !r.hasMore {
		r.setError(name, "missing")
		return ""
	}
	var value string
	value, r.unread, r.hasMore = strings.Cut(r.unread, " ")
	if value == "" {
		r.setError(name, "empty")
	}
	return value
}

// remainder reads the rest of the line as one value, which may contain spaces.
func (r *fieldReader) remainder(name string) string {
	if !r.hasMore {
		r.setError(name, "missing")
	}
	r.hasMore = false
	return r.unread
}

// number reads a number from minimum to maximum; absentValue reads as 0.
func (r *fieldReader) number(name string, minimum, maximum float64, integral bool) float64 {
	text := r.text(name)
	if text == absentValue || r.err != nil {
		return 0
	}
	value, err := strconv.ParseFloat(text, 64)
	switch {
	case err != nil || math.IsNaN(value) || integral && value != math.Trunc(value):
		r.setError(name, fmt.Sprintf("%.40q is no number of its kind", text))
	case value < minimum || value > maximum:
		r.setError(name, fmt.Sprintf("%.40s is out of range", text))
	default:
		return value
	}
	return 0
}

func (r *fieldReader) integer(name string, maximum int) int {
	return int(r.number(name, 0, float64(maximum), true))
}

// boolean reads 0 or 1.
func (r *fieldReader) boolean(name string) bool { return r.integer(name, 1) == 1 }

func (r *fieldReader) decimal(name string) float64 { return r.number(name, 0, maxDecimal, false) }

func (r *fieldReader) signedDecimal(name string) float64 {
	return r.number(name, -maxDecimal, maxDecimal, false)
}

// duration reads a duration in microseconds.
func (r *fieldReader) duration(name string) time.Duration {
	return time.Duration(r.number(name, 0, maxMicroseconds, true)) * time.Microsecond
}

// instant reads an instant in microseconds by the simulator's clock.
func (r *fieldReader) instant(name string) gateway.Time { return gateway.Time(r.duration(name)) }

func (r *fieldReader) hostID(name string) uint32 { return uint32(r.integer(name, math.MaxUint32)) }

// unsigned reads an integer of 64 bits, which number can't, because a float64 has fewer significant bits.
func (r *fieldReader) unsigned(name string) uint64 {
	text := r.text(name)
	value, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		r.setError(name, fmt.Sprintf("%.40q is no whole number", text))
	}
	return value
}

// choice reads one of the words and returns its index.
func (r *fieldReader) choice(name string, words ...string) int {
	text := r.text(name)
	if i := slices.Index(words, text); i >= 0 {
		return i
	}
	r.setError(name, fmt.Sprintf("unknown word %.40q", text))
	return 0
}

// result reads a gateway.Result. Its words are in the order of the constants.
func (r *fieldReader) result(name string) gateway.Result {
	return gateway.Result(r.choice(name, "done", "err", "busy", "etimedout", "econnrefused", "econnreset",
		"ecanceled", "skipped"))
}

// gossip reads a message of a peer in Base64. A malformed one reads as nil, like an absent one, because it is an error
// of the sender, not of the line.
func (r *fieldReader) gossip(name string) []byte {
	text := r.text(name)
	message, err := base64.StdEncoding.DecodeString(text)
	if text == absentValue || err != nil {
		return nil
	}
	return message
}

// loadReport reads the numbers of a load report, separated by commas. An absent number reads as 0, an absent report as
// nil.
func (r *fieldReader) loadReport(name string) []float64 {
	text := r.text(name)
	if text == absentValue {
		return nil
	}
	var report []float64
	for _, number := range strings.Split(text, ",") {
		value, err := strconv.ParseFloat(number, 64)
		if err != nil && number != absentValue {
			r.setError(name, fmt.Sprintf("%.40q is no number", number))
		}
		report = append(report, value)
	}
	return report
}

package resp

import (
	"fmt"
	"strings"
	"testing"

	"ravensill/internal/bufconn"
	"ravensill/internal/golden"
)

// parse parses the pieces in turn and returns a trace of all values.
func parse(pieces ...string) string {
	var trace strings.Builder
	in, p := bufconn.NewBuffer(MaxValueBytes), Parser{}
	for _, piece := range pieces {
		in.Write([]byte(piece))
		for {
			v, ok, err := p.Next(in)
			if err != nil {
				return trace.String() + err.Error() + "\n"
			}
			if !ok {
				break
			}
			fmt.Fprintf(&trace, "%c %q %q\n", v.Kind, v.Line, v.Parts)
		}
	}
	return trace.String()
}

const stream = "*2\r\n$4\r\nINFO\r\n$4\r\nload\r\n-BUSY 12\r\n*3\r\n$10\r\nva\r\nlue\r\n\x00\r\n$-1\r\n$0\r\n\r\n$3\r\na=1\r\n+PONG\r\n:7\r\n"

// TestCut checks that the same bytes, cut anywhere, give the same values.
func TestCut(t *testing.T) {
	whole := parse(stream)
	golden.Check(t, whole)
	for i := range stream {
		if got := parse(stream[:i], stream[i:]); got != whole {
			t.Errorf("cut at %d: %s", i, got)
		}
	}
	if got := parse(strings.Split(stream, "")...); got != whole {
		t.Errorf("byte by byte: %s", got)
	}
}

// TestFaults checks the errors of malformed streams.
func TestFaults(t *testing.T) {
	var all strings.Builder
	for _, s := range []string{"x", "\n", "PING\r\n", "+a\n", "*0\r\n", "*-1\r\n", "*17\r\n", "*1\r\n+a\r\n", "*1\r\n*1\r\n", "$-2\r\n",
		"$65537\r\n", "$99999999\r\n", "$01\r\n", "$+1\r\n", "$1\r\nab\r\n", "$1\r\na\rb", "*2\r\n$1\r\na\r\nb",
		"+" + strings.Repeat("a", maxLine), fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$%[1]d\r\n", MaxBulkBytes, strings.Repeat("b", MaxBulkBytes))} {
		got := strings.TrimSpace(parse(s))
		fmt.Fprintf(&all, "%.20q %s\n", s, got)
	}
	golden.Check(t, all.String())
}

// FuzzParser checks that no input panics, and that a cut input gives the same values as a whole one.
func FuzzParser(f *testing.F) {
	f.Add(stream, 7)
	f.Add("*1\r\n$3\r\nabc\r\n*", 3)
	f.Fuzz(func(t *testing.T, s string, at int) {
		if at < 0 || at > len(s) || len(s) > MaxValueBytes/2 {
			return
		}
		if whole, cut := parse(s), parse(s[:at], s[at:]); whole != cut {
			t.Errorf("whole %q, cut at %d %q", whole, at, cut)
		}
	})
}

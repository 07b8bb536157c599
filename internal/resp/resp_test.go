package resp

import (
	"fmt"
	"strings"
	"testing"

	"ravensill/internal/golden"
	"ravensill/internal/ring"
)

// parse takes all values out of the pieces in turn.
func parse(pieces ...string) string {
	var said strings.Builder
	in, p := ring.New(Most), Parser{}
	for _, piece := range pieces {
		in.Write([]byte(piece))
		for {
			v, ok, err := p.Next(in)
			if err != nil {
				return said.String() + err.Error() + "\n"
			}
			if !ok {
				break
			}
			fmt.Fprintf(&said, "%c %q %q\n", v.Kind, v.Line, v.Parts)
		}
	}
	return said.String()
}

const stream = "*2\r\n$4\r\nINFO\r\n$4\r\nload\r\n-BUSY 12\r\n*3\r\n$10\r\nva\r\nlue\r\n\x00\r\n$-1\r\n$0\r\n\r\n$3\r\na=1\r\n+PONG\r\n:7\r\n"

func TestCut(t *testing.T) { // the same bytes cut anywhere give the same values
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

func TestFaults(t *testing.T) {
	var all strings.Builder
	for _, s := range []string{"x", "\n", "PING\r\n", "+a\n", "*0\r\n", "*-1\r\n", "*17\r\n", "*1\r\n+a\r\n", "*1\r\n*1\r\n", "$-2\r\n",
		"$65537\r\n", "$99999999\r\n", "$01\r\n", "$+1\r\n", "$1\r\nab\r\n", "$1\r\na\rb", "*2\r\n$1\r\na\r\nb",
		"+" + strings.Repeat("a", mostLine), fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$%[1]d\r\n", MostBulk, strings.Repeat("b", MostBulk))} {
		got := strings.TrimSpace(parse(s))
		fmt.Fprintf(&all, "%.20q %s\n", s, got)
	}
	golden.Check(t, all.String())
}

// FuzzParser: no bytes may panic, and none may give more when cut than whole.
func FuzzParser(f *testing.F) {
	f.Add(stream, 7)
	f.Add("*1\r\n$3\r\nabc\r\n*", 3)
	f.Fuzz(func(t *testing.T, s string, at int) {
		if at < 0 || at > len(s) || len(s) > Most/2 {
			return
		}
		if whole, cut := parse(s), parse(s[:at], s[at:]); whole != cut {
			t.Errorf("whole %q, cut at %d %q", whole, at, cut)
		}
	})
}

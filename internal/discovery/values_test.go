package discovery

import (
	"fmt"
	"io"
	"strings"
	"testing"

	"ravensill/internal/golden"
)

// splitValues returns the values of a body, and the error that ended it.
func splitValues(body io.Reader) (values []string, err error) {
	reader := &valueReader{
		body:     body,
		received: func() {},
		update:   func(value string) { values = append(values, value) },
		phase:    func(phase) {},
	}
	err = reader.run()
	return values, err
}

// splitCut describes the values of a text that is read in two pieces.
func splitCut(text string, at int) string {
	values, err := splitValues(io.MultiReader(strings.NewReader(text[:at]), strings.NewReader(text[at:])))
	var description strings.Builder
	for _, value := range values {
		fmt.Fprintf(&description, "%q\n", value)
	}
	fmt.Fprintln(&description, err)
	return description.String()
}

// Values stand on a line each, are indented, or follow each other directly; a cut at any byte changes nothing.
func TestValueReaderSplitsBodyCutAnywhere(t *testing.T) {
	var trace strings.Builder
	for _, text := range []string{
		"{\"a\":1}\n\n{\"b\":\n[2,\r\n\t3]}\n\n \n{}{}[]\n7\n",
		"\n\n{\"no\":\n\n{}",
		"{\"a b\":\"  \"}\nx",
		"{} {",
	} {
		uncut := splitCut(text, len(text))
		fmt.Fprintf(&trace, "%q\n%s", text, uncut)
		for i := range text {
			if got := splitCut(text, i); got != uncut {
				t.Errorf("%q cut at %d: %s", text, i, got)
			}
		}
	}
	tooLong := "[" + strings.Repeat("\n", maxListBytes)
	fmt.Fprint(&trace, splitCut(strings.Repeat("\n", 2*maxListBytes)+"{}"+tooLong, 9))
	golden.Check(t, trace.String())
}

func FuzzValueReaderSplitsBodyCutAnywhere(f *testing.F) {
	f.Add("\n{\"a\":\n[]} {}\n", 9)
	f.Fuzz(func(t *testing.T, text string, at int) {
		if at < 0 || at > len(text) {
			return
		}
		uncut := splitCut(text, len(text))
		got := splitCut(text, at)
		if got != uncut {
			t.Errorf("uncut %q, cut at %d %q", uncut, at, got)
		}
	})
}

// A list of 87,000 endpoints arrives, and so does the one behind it, with a cut before the end of one or within the
// other.
func TestValueReaderReadsListOfLargeFleet(t *testing.T) {
	entry := server("s-00000", "10.100.100.100:6379", "active")
	list := `{"servers":[` + strings.Repeat(entry+",\n    ", 87_000) + entry + `]}`
	next := `{"version":2}`
	for _, at := range []int{len(list) - 1, len(list) + 5} {
		body := list + next
		lists, err := splitValues(io.MultiReader(strings.NewReader(body[:at]), strings.NewReader(body[at:])))
		if err != io.EOF || len(lists) != 2 || lists[0] != list || lists[1] != next {
			t.Errorf("cut at %d: %d lists, %v", at, len(lists), err)
		}
	}
}

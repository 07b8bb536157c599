package discovery

import (
	"fmt"
	"io"
	"strings"
	"testing"

	"ravensill/internal/golden"
)

// splitValues returns the values of a body and the error at its end.
func splitValues(body io.Reader) (values []string, err error) {
	reader := &valueReader{
		body:       body,
		onReceived: func() {},
		onValue:    func(value string) { values = append(values, value) },
		onPhase:    func(phase) {},
	}
	err = reader.run()
	return values, err
}

// splitInTwoReads describes the values of a text whose first part, of the length at, is read separately.
func splitInTwoReads(text string, at int) string {
	values, err := splitValues(io.MultiReader(strings.NewReader(text[:at]), strings.NewReader(text[at:])))
	var description strings.Builder
	for _, value := range values {
		fmt.Fprintf(&description, "%q\n", value)
	}
	fmt.Fprintln(&description, err)
	return description.String()
}

// Values may stand on a line each, be indented, or follow each other directly. Wherever a read ends within the body,
// the same values must result.
func TestValueReaderSplitsBodyCutAnywhere(t *testing.T) {
	var trace strings.Builder
	for _, text := range []string{
		"{\"a\":1}\n\n{\"b\":\n[2,\r\n\t3]}\n\n \n{}{}[]\n7\n",
		"\n\n{\"no\":\n\n{}",
		"{\"a b\":\"  \"}\nx",
		"{} {",
	} {
		uncut := splitInTwoReads(text, len(text))
		fmt.Fprintf(&trace, "%q\n%s", text, uncut)
		for i := range text {
			if got := splitInTwoReads(text, i); got != uncut {
				t.Errorf("%q read in two parts, the first of %d bytes: %s", text, i, got)
			}
		}
	}
	tooLong := "[" + strings.Repeat("\n", maxListBytes)
	fmt.Fprint(&trace, splitInTwoReads(strings.Repeat("\n", 2*maxListBytes)+"{}"+tooLong, 9))
	golden.Check(t, trace.String())
}

func FuzzValueReaderSplitsBodyCutAnywhere(f *testing.F) {
	f.Add("\n{\"a\":\n[]} {}\n", 9)
	f.Fuzz(func(t *testing.T, text string, at int) {
		if at < 0 || at > len(text) {
			return
		}
		uncut := splitInTwoReads(text, len(text))
		got := splitInTwoReads(text, at)
		if got != uncut {
			t.Errorf("read at once %q, in two parts, the first of %d bytes, %q", uncut, at, got)
		}
	})
}

// A list of 87,000 endpoints is short enough, and the next list is read although the decoder is replaced after a list
// that long. The first read ends just before the end of the first list or within the second one.
func TestValueReaderReadsListOfLargeFleet(t *testing.T) {
	entry := entryText("s-00000", "10.100.100.100:6379", "active")
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

package emulator

import (
	"strings"
	"testing"
	"time"

	"ravensill/internal/golden"
)

// A number that has expired begins anew at 0; an expiry is set once.
func TestCounterAddsAndExpiresNumbers(t *testing.T) {
	counter, err := NewCounter()
	if err != nil {
		t.Fatal(err)
	}
	defer counter.Close()
	conn := dial(t, counter.Addr())
	var text string
	call := func(words ...string) {
		conn.send(words...)
		text += strings.Join(words, " ") + ": " + conn.readAnswer() + "\n"
	}
	call("INCRBYFLOAT", "a", "1.5")
	call("PEXPIRE", "a", "600000", "NX")
	call("PEXPIRE", "a", "1", "NX")
	call("INCRBYFLOAT", "a", "-1")
	call("INCRBYFLOAT", "a", "x")
	call("GET", "a")
	call("INCRBYFLOAT", "b", "2")
	call("PEXPIRE", "b", "1", "NX")
	time.Sleep(2 * time.Millisecond)
	call("INCRBYFLOAT", "b", "3")
	golden.Check(t, text)
}

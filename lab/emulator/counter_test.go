package emulator

import (
	"strings"
	"testing"
	"time"

	"ravensill/internal/golden"
)

// Gateways rely on the expiry to forget old periods: a number that has expired must start at 0 again, and a second
// PEXPIRE NX must not extend the first expiry.
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

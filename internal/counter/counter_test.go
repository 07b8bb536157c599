package counter

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/netip"
	"slices"
	"testing"
	"time"

	"ravensill/gateway"
	"ravensill/internal/clock"
	"ravensill/internal/sockets"
)

const (
	testTimeout = 50 * time.Millisecond // timeout of a call, by the clock of the test

	// waitLimit is longer than any step of a test takes even on a busy machine.
	waitLimit = 10 * time.Second
)

// testCounter is a Counter whose event loop, clock and server the test controls.
type testCounter struct {
	*testing.T
	counter  *Counter
	loop     chan func()   // functions for the event loop, which runUntil runs
	now      clock.Instant // time that the counter reads
	answers  []string      // since the latest call of expect, as answer formats them
	server   net.Conn      // the server's end of the connection
	commands *bufio.Reader // reads the commands that the server has received
}

// answer formats the answer of a call for comparison.
func answer(name uint64, result gateway.Result, total float64) string {
	return fmt.Sprintf("%d %d %g", name, result, total)
}

// newTestCounter returns a testCounter that is connected to its server.
func newTestCounter(t *testing.T) *testCounter {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	c := &testCounter{T: t, loop: make(chan func(), 100), now: clock.Instant(time.Second)}
	address := netip.MustParseAddrPort(listener.Addr().String())
	runOnLoop := func(f func()) { c.loop <- f }
	now := func() clock.Instant { return c.now }
	onAnswer := func(e gateway.Event) {
		c.answers = append(c.answers, answer(e.CounterName, e.Result, e.CounterTotal))
	}
	c.counter = New(sockets.Kernel{}, address, testTimeout, runOnLoop, now, onAnswer)
	c.counter.Connect()
	c.server, err = listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	c.server.SetDeadline(time.Now().Add(waitLimit))
	c.commands = bufio.NewReader(c.server)
	c.runUntil(func() bool { return c.counter.link != nil })
	t.Cleanup(c.counter.Close)
	return c
}

// runUntil runs the event loop until a condition holds. It fails the test if nothing happens for waitLimit.
func (c *testCounter) runUntil(condition func() bool) {
	c.Helper()
	for !condition() {
		select {
		case f := <-c.loop:
			f()
		case <-time.After(waitLimit):
			c.Fatalf("nothing happened for %v and the condition does not hold; answers: %v", waitLimit, c.answers)
		}
	}
}

// reply sends bytes from the server to the counter.
func (c *testCounter) reply(text string) { io.WriteString(c.server, text) }

// expect runs the event loop until as many answers have arrived, and compares them.
func (c *testCounter) expect(answers ...string) {
	c.Helper()
	c.runUntil(func() bool { return len(c.answers) >= len(answers) })
	if !slices.Equal(c.answers, answers) {
		c.Errorf("answers %q, want %q", c.answers, answers)
	}
	c.answers = nil
}

// Each call must send INCRBYFLOAT and PEXPIRE, and answers must come in the order of the calls. A reply that arrives
// after its call timed out must not be taken for the reply of a later call, which would get a wrong total.
func TestCountSendsCommandsAndAnswersInOrder(t *testing.T) {
	c := newTestCounter(t)
	c.counter.Increment(7, 1, 10*time.Second)
	c.counter.Increment(8, -2.5, 1)
	c.counter.Flush()
	want := "*3\r\n$11\r\nINCRBYFLOAT\r\n$11\r\nravensill:7\r\n$1\r\n1\r\n" +
		"*4\r\n$7\r\nPEXPIRE\r\n$11\r\nravensill:7\r\n$5\r\n10000\r\n$2\r\nNX\r\n" +
		"*3\r\n$11\r\nINCRBYFLOAT\r\n$11\r\nravensill:8\r\n$4\r\n-2.5\r\n" +
		"*4\r\n$7\r\nPEXPIRE\r\n$11\r\nravensill:8\r\n$1\r\n1\r\n$2\r\nNX\r\n"
	sent := make([]byte, len(want))
	io.ReadFull(c.commands, sent)
	if string(sent) != want {
		t.Errorf("sent %q, want %q", sent, want)
	}
	c.reply("$1\r\n3\r\n:1\r\n-OOM command not allowed\r\n:0\r\n")
	c.expect(answer(7, gateway.Succeeded, 3), answer(8, gateway.Busy, 0))

	c.counter.Increment(9, 1, 1)
	c.now = c.now.Add(testTimeout + 10*time.Millisecond)
	c.counter.TimeOutCalls(c.now)
	c.expect(answer(9, gateway.TimedOut, 0))

	c.counter.Increment(10, 1, 1)
	c.reply("$1\r\n1\r\n:1\r\n$1\r\n2\r\n:1\r\n") // late replies to the call for counter 9, then those for counter 10
	c.expect(answer(10, gateway.Succeeded, 2))
}

// However the connection ends, each call in flight must be answered exactly once, and a call without a connection must
// be answered immediately. Otherwise requests would wait for a total that never comes.
func TestLostConnectionAnswersCallsOnce(t *testing.T) {
	for name, fault := range map[string]func(c *testCounter){
		"garbled":  func(c *testCounter) { c.reply("what\r\n") },
		"no_float": func(c *testCounter) { c.reply("$3\r\nnan\r\n") },
		"null":     func(c *testCounter) { c.reply("$-1\r\n") },
		"closed":   func(c *testCounter) { c.server.Close() },
		"silent": func(c *testCounter) {
			c.now = c.now.Add(overdueFactor*testTimeout + time.Millisecond)
			c.counter.TimeOutCalls(c.now)
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := newTestCounter(t)
			c.counter.Increment(7, 1, 1)
			c.counter.Increment(8, 1, 1)
			fault(c)
			c.runUntil(func() bool { return c.counter.link == nil })
			if len(c.answers) != 2 {
				t.Errorf("the two calls got the answers %q, want one answer each", c.answers)
			}
			c.answers = nil
			c.counter.Increment(9, 1, 1)
			c.expect(answer(9, gateway.Unreachable, 0))
			if c.counter.TimeOutCalls(c.now.Add(100*time.Millisecond)) != 0 {
				t.Error("a call is still in flight after the connection was lost")
			}
		})
	}
}

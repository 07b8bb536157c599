package counter

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"ravensill/gateway"
	"ravensill/internal/sockets"
)

const ms = int64(time.Millisecond)

// testCounter is a counter whose loop and clock the test runs, with a server that the test plays.
type testCounter struct {
	*testing.T
	counter  *Counter
	loop     chan func()
	now      int64
	answers  []string      // given since the last expect
	server   net.Conn      // the server's end of the connection
	requests *bufio.Reader // what the server received
}

// newTestCounter returns a connected counter.
func newTestCounter(t *testing.T) *testCounter {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	c := &testCounter{T: t, loop: make(chan func(), 100), now: 1000 * ms}
	c.counter = New(sockets.Kernel{}, netip.MustParseAddrPort(listener.Addr().String()), 50*ms, func(f func()) { c.loop <- f }, func() int64 { return c.now },
		func(e gateway.Event) {
			c.answers = append(c.answers, fmt.Sprintf("%d %d %g", e.CounterName, e.Result, e.CounterTotal))
		})
	c.counter.Connect()
	if c.server, err = listener.Accept(); err != nil {
		t.Fatal(err)
	}
	c.server.SetDeadline(time.Now().Add(10 * time.Second))
	c.requests = bufio.NewReader(c.server)
	c.runUntil(func() bool { return c.counter.link != nil })
	t.Cleanup(c.counter.Close)
	return c
}

// runUntil runs the loop until a condition holds.
func (c *testCounter) runUntil(condition func() bool) {
	for !condition() {
		select {
		case f := <-c.loop:
			f()
		case <-time.After(10 * time.Second):
			c.Fatalf("waited in vain; answers so far: %v", c.answers)
		}
	}
}

// reply sends bytes of the server.
func (c *testCounter) reply(text string) { io.WriteString(c.server, text) }

// expect waits for answers and compares them.
func (c *testCounter) expect(answers ...string) {
	c.Helper()
	c.runUntil(func() bool { return len(c.answers) >= len(answers) })
	if got := strings.Join(c.answers, ", "); got != strings.Join(answers, ", ") {
		c.Errorf("answers %s, want %s", got, strings.Join(answers, ", "))
	}
	c.answers = nil
}

// TestCounterCalls checks that a call is two commands, and its answers: in order, refused, timed out, and what follows a time-out.
func TestCounterCalls(t *testing.T) {
	c := newTestCounter(t)
	c.counter.Count(7, 1, 10*int64(time.Second))
	c.counter.Count(8, -2.5, 1)
	c.counter.Flush()
	want := "*3\r\n$11\r\nINCRBYFLOAT\r\n$11\r\nravensill:7\r\n$1\r\n1\r\n" +
		"*4\r\n$7\r\nPEXPIRE\r\n$11\r\nravensill:7\r\n$5\r\n10000\r\n$2\r\nNX\r\n" +
		"*3\r\n$11\r\nINCRBYFLOAT\r\n$11\r\nravensill:8\r\n$4\r\n-2.5\r\n" +
		"*4\r\n$7\r\nPEXPIRE\r\n$11\r\nravensill:8\r\n$1\r\n1\r\n$2\r\nNX\r\n"
	sent := make([]byte, len(want))
	if io.ReadFull(c.requests, sent); string(sent) != want {
		t.Errorf("sent %q, want %q", sent, want)
	}
	c.reply("$1\r\n3\r\n:1\r\n-OOM command not allowed\r\n:0\r\n")
	c.expect(fmt.Sprint("7 ", int(gateway.Succeeded), " 3"), fmt.Sprint("8 ", int(gateway.Busy), " 0"))
	c.counter.Count(9, 1, 1)
	c.now += 60 * ms
	c.counter.Expire(c.now)
	c.expect(fmt.Sprint("9 ", int(gateway.TimedOut), " 0"))
	c.counter.Count(10, 1, 1)
	c.reply("$1\r\n1\r\n:1\r\n$1\r\n2\r\n:1\r\n") // late, and then in time
	c.expect(fmt.Sprint("10 ", int(gateway.Succeeded), " 2"))
}

// TestCounterConnectionLost checks that each call in flight is answered once, whatever ends the connection, and that later calls end at once.
func TestCounterConnectionLost(t *testing.T) {
	for name, fault := range map[string]func(c *testCounter){
		"garbled":  func(c *testCounter) { c.reply("what\r\n") },
		"no_float": func(c *testCounter) { c.reply("$3\r\nnan\r\n") },
		"null":     func(c *testCounter) { c.reply("$-1\r\n") },
		"closed":   func(c *testCounter) { c.server.Close() },
		"silent":   func(c *testCounter) { c.now += 1001 * ms; c.counter.Expire(c.now) },
	} {
		t.Run(name, func(t *testing.T) {
			c := newTestCounter(t)
			c.counter.Count(7, 1, 1)
			c.counter.Count(8, 1, 1)
			fault(c)
			c.runUntil(func() bool { return c.counter.link == nil })
			if len(c.answers) != 2 {
				t.Errorf("two calls ended as %v", c.answers)
			}
			c.answers = nil
			c.counter.Count(9, 1, 1)
			c.expect(fmt.Sprint("9 ", int(gateway.Unreachable), " 0"))
			if c.counter.Expire(c.now+100*ms) != 0 {
				t.Error("something is still awaited")
			}
		})
	}
}

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
)

const ms = int64(time.Millisecond)

// bench is a counter in a loop of its own, on a clock that the test moves, beside a server that the test plays.
type bench struct {
	*testing.T
	c    *Counter
	work chan func()
	now  int64
	got  []string
	conn net.Conn
	in   *bufio.Reader
}

func newBench(t *testing.T) *bench {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	b := &bench{T: t, work: make(chan func(), 100), now: 1000 * ms}
	b.c = New(netip.MustParseAddrPort(l.Addr().String()), 50*ms, func(f func()) { b.work <- f }, func() int64 { return b.now },
		func(e gateway.Event) { b.got = append(b.got, fmt.Sprintf("%d %d %g", e.Name, e.Result, e.Total)) })
	b.c.Connect()
	if b.conn, err = l.Accept(); err != nil {
		t.Fatal(err)
	}
	b.conn.SetDeadline(time.Now().Add(10 * time.Second))
	b.in = bufio.NewReader(b.conn)
	b.until(func() bool { return b.c.link != nil })
	t.Cleanup(b.c.Close)
	return b
}

// until lets the loop work until it is so.
func (b *bench) until(so func() bool) {
	for !so() {
		select {
		case f := <-b.work:
			f()
		case <-time.After(10 * time.Second):
			b.Fatalf("waited in vain; answers so far: %v", b.got)
		}
	}
}

func (b *bench) say(text string) { io.WriteString(b.conn, text) }

func (b *bench) want(answers ...string) {
	b.Helper()
	b.until(func() bool { return len(b.got) >= len(answers) })
	if got := strings.Join(b.got, ", "); got != strings.Join(answers, ", ") {
		b.Errorf("answers %s, want %s", got, strings.Join(answers, ", "))
	}
	b.got = nil
}

func TestCalls(t *testing.T) { // a call is two commands; answers in order, refusals, a time-out, and what comes behind it
	b := newBench(t)
	b.c.Count(7, 1, 10*int64(time.Second))
	b.c.Count(8, -2.5, 1)
	b.c.Flush()
	want := "*3\r\n$11\r\nINCRBYFLOAT\r\n$11\r\nravensill:7\r\n$1\r\n1\r\n" +
		"*4\r\n$7\r\nPEXPIRE\r\n$11\r\nravensill:7\r\n$5\r\n10000\r\n$2\r\nNX\r\n" +
		"*3\r\n$11\r\nINCRBYFLOAT\r\n$11\r\nravensill:8\r\n$4\r\n-2.5\r\n" +
		"*4\r\n$7\r\nPEXPIRE\r\n$11\r\nravensill:8\r\n$1\r\n1\r\n$2\r\nNX\r\n"
	sent := make([]byte, len(want))
	if io.ReadFull(b.in, sent); string(sent) != want {
		t.Errorf("sent %q, want %q", sent, want)
	}
	b.say("$1\r\n3\r\n:1\r\n-OOM command not allowed\r\n:0\r\n")
	b.want(fmt.Sprint("7 ", int(gateway.Passed), " 3"), fmt.Sprint("8 ", int(gateway.Busy), " 0"))
	b.c.Count(9, 1, 1)
	b.now += 60 * ms
	b.c.Expire(b.now)
	b.want(fmt.Sprint("9 ", int(gateway.TimedOut), " 0"))
	b.c.Count(10, 1, 1)
	b.say("$1\r\n1\r\n:1\r\n$1\r\n2\r\n:1\r\n") // late, and then in time
	b.want(fmt.Sprint("10 ", int(gateway.Passed), " 2"))
}

func TestLost(t *testing.T) { // each call under way ends once, whatever ends the connection; then calls end at once
	for name, fault := range map[string]func(b *bench){
		"garbled":  func(b *bench) { b.say("what\r\n") },
		"no_float": func(b *bench) { b.say("$3\r\nnan\r\n") },
		"null":     func(b *bench) { b.say("$-1\r\n") },
		"closed":   func(b *bench) { b.conn.Close() },
		"silent":   func(b *bench) { b.now += 1001 * ms; b.c.Expire(b.now) },
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t)
			b.c.Count(7, 1, 1)
			b.c.Count(8, 1, 1)
			fault(b)
			b.until(func() bool { return b.c.link == nil })
			if len(b.got) != 2 {
				t.Errorf("two calls ended as %v", b.got)
			}
			b.got = nil
			b.c.Count(9, 1, 1)
			b.want(fmt.Sprint("9 ", int(gateway.Unreached), " 0"))
			if b.c.Expire(b.now+100*ms) != 0 {
				t.Error("something is still awaited")
			}
		})
	}
}

package hosts

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"ravensill/gateway"
	"ravensill/internal/clock"
	"ravensill/internal/golden"
)

// Whatever arrives on a connection before the next command is written on it, that command runs once, on another
// connection, and gets no answer but its own. What arrives as it is written is not taken for its answer either.
func TestBytesBeforeNextCommandAreNotItsAnswer(t *testing.T) {
	arrivals := []struct {
		name   string
		arrive func(c *net.TCPConn)
	}{
		{"a second answer", func(c *net.TCPConn) { io.WriteString(c, valueAnswer("a")) }},
		{"half a line", func(c *net.TCPConn) { io.WriteString(c, "*3\r\n$") }},
		{"its end", func(c *net.TCPConn) { c.CloseWrite() }},
		{"a reset", reset},
	}
	var trace strings.Builder
	for _, arrival := range arrivals {
		reachesLoop := arrival.name != "half a line" // which is no answer yet
		for _, moment := range []string{"before it is chosen", "before it is written", "as it is written"} {
			if moment == "as it is written" && arrival.name != "a second answer" {
				continue // the command may have run: the host may have read it before the connection ended
			}
			h := newScriptedHost(t)
			result := h.sendWhileBytesArrive(moment, reachesLoop, arrival.arrive)
			fmt.Fprintf(&trace, "%s, %s: %s\n", arrival.name, moment, result)
		}
	}
	golden.Check(t, trace.String())
}

// sendWhileBytesArrive sends "b" on a used connection on which arrive happens at the given moment, and returns its
// result. The loop receives what arrived, if it reaches the loop at all, after it has flushed "b".
func (h *scriptedHost) sendWhileBytesArrive(moment string, reachesLoop bool, arrive func(c *net.TCPConn)) string {
	c := h.serveFirst()
	handleArrival := func() {}
	arriveNow := func() {
		arrive(c)
		if reachesLoop {
			handleArrival = <-h.work
		}
	}
	if moment == "before it is chosen" {
		arriveNow()
	}
	h.schedule("b", 0)
	switch moment {
	case "before it is written":
		arriveNow()
	case "as it is written":
		afterCheck := func() { // between the check of the connection and the write
			arriveNow()
			h.advance(1)
		}
		h.onClockRead.Store(&afterCheck)
	}
	h.Flush()
	handleArrival()
	if moment != "as it is written" {
		h.answerCommand(h.accept())
	}
	h.runUntilResults(2)
	return h.results[1]
}

// A second answer that arrives milliseconds after the first, when the next command is scheduled, is not taken for that
// command's answer: nothing would distinguish the two.
func TestLateSecondAnswerIsDiscarded(t *testing.T) {
	const delay = 4 * time.Millisecond
	h := newScriptedHost(t)
	c := h.serveFirst()
	h.advance(delay - defaultReuseDelay)
	h.schedule("b", 0)
	h.Flush()
	io.WriteString(c, valueAnswer("a"))
	h.runWork(1)
	h.answerCommand(h.accept())
	h.runUntilResults(2)
	golden.Check(t, h.trace())
}

// connectionBreaks are ways in which a connection ends under an attempt. The command is scheduled and not yet written.
var connectionBreaks = []struct {
	name       string
	body       int // bytes
	breakUnder func(h *scriptedHost, c *net.TCPConn)
}{
	{"reset before it is written", 0, func(h *scriptedHost, c *net.TCPConn) {
		reset(c)
		handleEnd := <-h.work
		h.Flush()
		handleEnd()
	}},
	{"reset after a part is written", exceedsSocketBuffers, func(h *scriptedHost, c *net.TCPConn) {
		h.Flush()
		reset(c)
		h.runWork(1)
	}},
	{"given up after a part is written", exceedsSocketBuffers, func(h *scriptedHost, c *net.TCPConn) {
		h.Flush()
		h.advance(attemptTimeout + 1)
		h.Flush()
	}},
	{"reset after its last byte is written, unread", 0, func(h *scriptedHost, c *net.TCPConn) {
		h.Flush()
		reset(c)
		h.runWork(1)
	}},
	{"ended after it is read", 0, func(h *scriptedHost, c *net.TCPConn) {
		h.Flush()
		h.readCommand(c)
		c.CloseWrite()
		h.runWork(1)
	}},
	{"reset in the answer", 0, func(h *scriptedHost, c *net.TCPConn) {
		h.Flush()
		h.readCommand(c)
		io.WriteString(c, valueAnswer("v")[:12])
		reset(c)
		h.runWork(1)
	}},
	{"ended in the answer", 0, func(h *scriptedHost, c *net.TCPConn) {
		h.Flush()
		h.readCommand(c)
		io.WriteString(c, valueAnswer("v")[:12])
		c.CloseWrite()
		h.runWork(1)
	}},
	{"reset after the answer", 0, func(h *scriptedHost, c *net.TCPConn) {
		h.Flush()
		h.readCommand(c)
		io.WriteString(c, valueAnswer("v"))
		h.runWork(1)
		reset(c)
		h.runWork(1)
	}},
}

const exceedsSocketBuffers = 150 << 10 // bytes

// How much of a command was written when its connection broke decides whether it may have run.
func TestBrokenConnectionResultDependsOnStage(t *testing.T) {
	var trace strings.Builder
	for _, test := range connectionBreaks {
		h := newScriptedHost(t)
		h.schedule("a", test.body)
		h.runWork(1)
		test.breakUnder(h, <-h.conns)
		h.runUntilResults(1)
		fmt.Fprintf(&trace, "%s: %s; %d connections\n", test.name, h.results[0], h.openConns)
	}
	golden.Check(t, trace.String())
}

// A connection that comes up after the deadline of the attempt that waits for it carries nothing of that attempt, and
// serves the next.
func TestConnectionAfterDeadlineServesNextAttempt(t *testing.T) {
	h := newScriptedHost(t)
	release := h.holdDials()
	h.schedule("a", 0)
	h.advance(attemptTimeout + 1)
	release()
	h.runWork(1)
	h.Flush()
	h.runUntilResults(1)
	h.advance(defaultReuseDelay)
	h.schedule("b", 0)
	h.Flush()
	h.answerCommand(<-h.conns)
	h.runUntilResults(2)
	golden.Check(t, h.trace())
}

// A value is served whatever comes with it or behind it, each attempt gets its own, and a malformed answer ends its
// connection.
func TestMalformedAnswerEndsConnection(t *testing.T) {
	a, b := valueAnswer("a"), valueAnswer("b")
	tests := []string{ // the answers to two commands, cut at |; what follows "late" comes when the connection is idle
		a + a + "|" + b,
		a + "+no|" + b,
		a + "late" + a + "|" + b,
		"*3\r\n$1\r\na\r\n$5\r\nused=\r\n$3\r\n=,=\r\n|" + b, // reports that can't be parsed
		"*3\r\n$3000000000\r\naaaa|" + b,
		":5\r\n|" + b,
		"*3\r\n$4\r\nabcdefgh\r\n|" + b,
		"*3\r\n$4\r\nab|" + b, // never complete
	}
	var trace strings.Builder
	for _, test := range tests {
		answers := make(chan string, 2)
		for answer := range strings.SplitSeq(test, "|") {
			answers <- answer
		}
		close(answers)
		idle, written := make(chan struct{}), make(chan struct{})
		addr := serveConns(t, func(_ int, c *net.TCPConn) {
			answerEach(c, func(string) bool {
				answer, more := <-answers
				now, late, isLate := strings.Cut(answer, "late")
				io.WriteString(c, now)
				if isLate {
					<-idle
					io.WriteString(c, late)
					close(written)
				}
				return more
			})
		})
		loop := newTestLoop(t, addr, manyConns)
		loop.send()
		loop.runUntilResults(1)
		if strings.Contains(test, "late") {
			close(idle)
			<-written
		}
		loop.advance(defaultReuseDelay)
		loop.send()
		loop.runUntilResults(2)
		fmt.Fprintf(&trace, "%.60q\n  %s\n", test, strings.Join(loop.results, "; "))
	}
	golden.Check(t, trace.String())
}

// serveOne answers the first command on the first connection with text. It closes answered after that, and ended when
// the connection has ended.
func serveOne(t *testing.T, text string) (addr string, answered, ended chan struct{}) {
	answered = make(chan struct{})
	ended = make(chan struct{})
	addr = serveConns(t, func(number int, c *net.TCPConn) {
		if number > 0 {
			return
		}
		buf := make([]byte, 99)
		c.Read(buf)
		io.WriteString(c, text)
		close(answered)
		c.Read(buf)
		close(ended)
	})
	return addr, answered, ended
}

// A canceled attempt may have run, and the host sees the end of its connection.
func TestCancelEndsConnection(t *testing.T) {
	addr, answered, ended := serveOne(t, "")
	loop := newTestLoop(t, addr, manyConns)
	attempt := loop.send()
	loop.runWork(1)
	loop.Flush()
	<-answered
	attempt.Cancel(ErrCanceled)
	<-ended
	golden.Check(t, loop.trace())
}

// An attempt that is canceled before it has a connection never ran, and the connection serves another.
func TestCancelWhileConnectingKeepsConnection(t *testing.T) {
	listener := listen(t)
	loop := newTestLoop(t, listener.Addr().String(), manyConns)
	attempt := loop.send()
	attempt.Cancel(ErrTimedOut)
	attempt.Cancel(ErrTimedOut) // without effect
	loop.runWork(1)
	if len(loop.pool(1).idle) != 1 {
		t.Error("its connection was not kept")
	}
	loop.Remove(1)
	loop.send()
	loop.SetAddress(1, hostAddr(listener))
	listener.Close()
	loop.send()
	loop.runUntilResults(3)
	golden.Check(t, loop.trace())
}

// A probe accepts a load report and no value, and an attempt the reverse.
func TestProbeAcceptsOnlyLoadReport(t *testing.T) {
	var trace strings.Builder
	for _, answer := range []string{"$16\r\nutilization=0.25\r\n", "*1\r\n$1\r\nv\r\n", "-NOPERM\r\n"} {
		for _, probe := range []bool{true, false} {
			addr, _, _ := serveOne(t, answer)
			loop := newTestLoop(t, addr, manyConns)
			loop.loadFields = []string{"utilization"}
			if probe {
				loop.Probe(1, func(event gateway.Event, _ []byte, _ clock.Instant) {
					loop.results = append(loop.results, fmt.Sprintf("result %d, load %v", event.Result, event.LoadReport))
				})
			} else {
				loop.send()
			}
			loop.runUntilResults(1)
			fmt.Fprintf(&trace, "%q, probe %t: %s\n", answer, probe, loop.results)
		}
	}
	golden.Check(t, trace.String())
}

package hosts

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"ravensill/gateway"
	"ravensill/internal/clock"
	"ravensill/internal/sockets"
)

const (
	attemptTimeout = 20 * time.Second // time until both deadlines of attempts made by testLoop.schedule
	testTimeout    = 20 * time.Second // time after which a test that waits fails

	// manyConns is a connection limit that no test reaches.
	manyConns = 9
	// noWriteDeadline is a write deadline that no test reaches.
	noWriteDeadline = clock.Instant(1e18)
)

// testLoop is a transport with one host, which has the number 1, and its event loop, which the test runs step by step.
// It records the results of attempts.
type testLoop struct {
	*testing.T
	*Transport
	work    chan func()  // functions queued for the event loop
	clock   atomic.Int64 // the transport's time in nanoseconds
	results []string     // one line for each attempt that has ended, in that order
}

func newTestLoop(t *testing.T, addr string, maxConns int) *testLoop {
	const connectTimeout = 250 * time.Millisecond
	l := &testLoop{T: t, work: make(chan func(), 99)}
	runOnLoop := func(f func()) { l.work <- f }
	l.Transport = NewTransport(Options{
		System:         sockets.Kernel{},
		RunOnLoop:      runOnLoop,
		Now:            l.readClock,
		ConnectTimeout: connectTimeout,
		IdleTimeout:    time.Second,
		MaxConns:       maxConns,
	})
	l.SetAddress(1, netip.MustParseAddrPort(addr))
	return l
}

// readClock returns the time that the test has set.
func (l *testLoop) readClock() clock.Instant { return clock.Instant(l.clock.Load()) }

// advance sets the clock forward.
func (l *testLoop) advance(d time.Duration) { l.clock.Add(int64(d)) }

// useRealTime makes the transport use real time instead of clock.
func (l *testLoop) useRealTime() {
	start := time.Now()
	l.Transport.now = func() clock.Instant { return clock.Instant(time.Since(start)) }
}

// send makes an attempt whose deadline is two milliseconds away, and flushes it.
func (l *testLoop) send() *Attempt {
	command := Command{Head: []byte("*2\r\n"), BeforeTimeLeft: []byte("d=")}
	deadline := l.Transport.now().Add(2 * time.Millisecond)
	attempt := l.Send(1, command, deadline, noWriteDeadline, l.recordResult("result"))
	l.Flush()
	return attempt
}

// schedule makes an attempt and does not flush it. Its command begins with name and has a body of that many bytes.
func (l *testLoop) schedule(name string, bodySize int) *Attempt {
	command := Command{Head: []byte(name + " "), Tail: make([]byte, bodySize)}
	deadline := l.Transport.now().Add(attemptTimeout)
	return l.Send(1, command, deadline, deadline, l.recordResult(name+": result"))
}

// recordResult returns a handler that adds the result to results, after a label.
func (l *testLoop) recordResult(label string) ResultHandler {
	return func(event gateway.Event, value []byte, _ clock.Instant) {
		l.results = append(l.results, fmt.Sprintf("%s %d, value %q", label, event.Result, value))
	}
}

// trace returns the recorded results, one per line.
func (l *testLoop) trace() string { return strings.Join(l.results, "\n") + "\n" }

// runWork waits for the next n functions queued for the event loop, and runs them.
func (l *testLoop) runWork(n int) {
	for range n {
		(<-l.work)()
	}
}

// runUntilConnected runs the event loop until no dial is in progress.
func (l *testLoop) runUntilConnected() {
	for l.pool(1).dialing > 0 {
		l.runWork(1)
	}
}

// runUntilResults runs the event loop until n attempts have ended.
func (l *testLoop) runUntilResults(n int) {
	l.Helper()
	for len(l.results) < n {
		select {
		case f := <-l.work:
			f()
			l.Flush()
		case <-time.After(testTimeout):
			l.Fatalf("too few attempts ended: %q", l.results)
		}
	}
}

// listen returns a listener on a loopback port, which is closed at the end of the test.
func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	return listener
}

// serveConns listens on addr, accepts connections, and runs handle for each on a goroutine of its own, with the number
// of the connection, counted from 0. At the end of the test it closes all connections and waits for the goroutines.
func serveConns(t *testing.T, handle func(number int, c *net.TCPConn)) (addr string) {
	t.Helper()
	var (
		listener  = listen(t)
		conns     []net.Conn // accepted; owned by the accepting goroutine until it has ended
		accepting sync.WaitGroup
		handling  sync.WaitGroup
	)
	accepting.Go(func() {
		for number := 0; ; number++ {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			conns = append(conns, c)
			handling.Go(func() { handle(number, c.(*net.TCPConn)) })
		}
	})
	t.Cleanup(func() {
		listener.Close()
		accepting.Wait()
		for _, c := range conns {
			c.Close()
		}
		handling.Wait()
	})
	return listener.Addr().String()
}

// answerEach calls answer for each command, which has to arrive in one read, until the connection ends or answer
// returns false.
func answerEach(c net.Conn, answer func(command string) bool) {
	buf := make([]byte, 99)
	for {
		n, err := c.Read(buf)
		if err != nil || !answer(string(buf[:n])) {
			return
		}
	}
}

// valueAnswer returns an answer with a value of one byte and without usage and load reports.
func valueAnswer(value string) string { return fmt.Sprintf("*3\r\n$1\r\n%s\r\n$-1\r\n$-1\r\n", value) }

// reset closes a connection with a reset.
func reset(c *net.TCPConn) {
	c.SetLinger(0)
	c.Close()
}

// scriptedHost is a testLoop for tests that play the host themselves, on each connection that is accepted. Both ends of
// a connection have small socket buffers.
type scriptedHost struct {
	*testLoop
	conns chan *net.TCPConn // accepted

	// onClockRead, if not nil, is called once, when the transport reads the time for the next time.
	onClockRead atomic.Pointer[func()]
}

func newScriptedHost(t *testing.T) *scriptedHost {
	const bufferBytes = 4096
	conns := make(chan *net.TCPConn, manyConns)
	addr := serveConns(t, func(_ int, c *net.TCPConn) {
		c.SetReadBuffer(bufferBytes)
		conns <- c
	})
	h := &scriptedHost{testLoop: newTestLoop(t, addr, manyConns), conns: conns}
	h.Transport.now = func() clock.Instant {
		if f := h.onClockRead.Swap(nil); f != nil {
			(*f)()
		}
		return h.readClock()
	}
	dial := h.Dial
	h.Dial = func(addr string) (net.Conn, error) {
		c, err := dial(addr)
		if err == nil {
			c.(*net.TCPConn).SetWriteBuffer(bufferBytes)
		}
		return c, err
	}
	return h
}

// holdDials blocks dials until release is called.
func (h *scriptedHost) holdDials() (release func()) {
	released := make(chan struct{})
	dial := h.Dial
	h.Dial = func(addr string) (net.Conn, error) {
		<-released
		return dial(addr)
	}
	return func() { close(released) }
}

// accept waits until all dials have ended, flushes, and returns the next accepted connection.
func (h *scriptedHost) accept() *net.TCPConn {
	h.runUntilConnected()
	h.Flush()
	return <-h.conns
}

// readCommand reads a command without a body and returns its name.
func (h *scriptedHost) readCommand(c *net.TCPConn) string {
	h.Helper()
	var text []byte
	b := make([]byte, 1)
	for bytes.Count(text, []byte{'\n'}) < 2 {
		if _, err := io.ReadFull(c, b); err != nil {
			h.Fatalf("read %q of a command, then %v", text, err)
		}
		text = append(text, b[0])
	}
	name, _, _ := strings.Cut(string(text), " ")
	return name
}

// answerCommand reads a command without a body and answers it with its name as the value.
func (h *scriptedHost) answerCommand(c *net.TCPConn) {
	h.Helper()
	io.WriteString(c, valueAnswer(h.readCommand(c)))
}

// serveFirst makes an attempt with the command "a", answers it, and returns its connection, which is idle and past its
// reuse delay then.
func (h *scriptedHost) serveFirst() *net.TCPConn {
	h.Helper()
	h.schedule("a", 0)
	c := h.accept()
	h.answerCommand(c)
	h.runWork(1)
	h.advance(defaultReuseDelay)
	return c
}

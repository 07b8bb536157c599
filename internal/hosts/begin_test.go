package hosts

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"

	"ravensill/gateway"
	"ravensill/internal/golden"
)

// far is a desk whose host is played by the test, connection by connection, and whose loop turns when told.
type scriptedHost struct {
	*testLoop
	conns chan *net.TCPConn
	tick  atomic.Pointer[func()] // done once, as the clock is read next
}

func newScriptedHost(t *testing.T) *scriptedHost {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	f := &scriptedHost{testLoop: newTestLoop(t, l.Addr().String(), 9), conns: make(chan *net.TCPConn, 9)}
	f.Transport.now = func() int64 {
		if tick := f.tick.Swap(nil); tick != nil {
			(*tick)()
		}
		return f.now.Load()
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			c.(*net.TCPConn).SetReadBuffer(4096)
			t.Cleanup(func() { c.Close() })
			f.conns <- c.(*net.TCPConn)
		}
	}()
	dial := f.Dial
	f.Dial = func(addr string) (net.Conn, error) {
		c, err := dial(addr)
		if err == nil {
			c.(*net.TCPConn).SetWriteBuffer(4096)
		}
		return c, err
	}
	return f
}

// ask dispatches a command with a body and does not yet write it.
func (f *scriptedHost) ask(name string, body int) *Attempt {
	command := Command{Head: []byte(name + " "), Tail: make([]byte, body)}
	deadline := f.now.Load() + 20e9
	return f.Send(1, command, deadline, deadline, func(e gateway.Event, value []byte, _ int64) {
		f.out = append(f.out, fmt.Sprintf("%s: result %d, value %q", name, e.Result, value))
	})
}

// pass runs the next n pieces of work.
func (f *scriptedHost) pass(n int) {
	for range n {
		(<-f.work)()
	}
}

// up runs the loop until no dial is out, and gives the connection.
func (f *scriptedHost) up() *net.TCPConn {
	for f.pool(1).dialing > 0 {
		f.pass(1)
	}
	f.Flush()
	return <-f.conns
}

// reads reads a command without a body, and gives its name.
func (f *scriptedHost) reads(c *net.TCPConn) string {
	var text []byte
	for b := make([]byte, 1); bytes.Count(text, []byte{'\n'}) < 2; text = append(text, b[0]) {
		if _, err := io.ReadFull(c, b); err != nil {
			f.Fatalf("%q and %v", text, err)
		}
	}
	name, _, _ := strings.Cut(string(text), " ")
	return name
}

func value(of string) string { return fmt.Sprintf("*3\r\n$1\r\n%s\r\n$-1\r\n$-1\r\n", of) }

func cut(c *net.TCPConn) {
	c.SetLinger(0)
	c.Close()
}

// first serves one command, and gives its connection, free and rested.
func (f *scriptedHost) first() *net.TCPConn {
	f.ask("a", 0)
	c := f.up()
	f.reads(c)
	io.WriteString(c, value("a"))
	f.pass(1)
	f.now.Add(defaultReuseDelay)
	return c
}

// Whatever comes on a connection at whatever moment before the next command is written on it, that command runs once, on another,
// and gets no answer but its own. What can only have come before it was written is not taken for its answer either.
func TestBytesBeforeNextCommand(t *testing.T) {
	var all strings.Builder
	for _, x := range []struct {
		what string
		do   func(c *net.TCPConn)
	}{
		{"a second answer", func(c *net.TCPConn) { io.WriteString(c, value("a")) }},
		{"half a line", func(c *net.TCPConn) { io.WriteString(c, "*3\r\n$") }},
		{"its end", func(c *net.TCPConn) { c.CloseWrite() }},
		{"a reset", func(c *net.TCPConn) { cut(c) }},
	} {
		for _, when := range []string{"before it is chosen", "before it is written", "as it is written"} {
			f := newScriptedHost(t)
			c := f.first()
			var late func()
			comes := func() {
				x.do(c)
				if late = func() {}; x.what != "half a line" { // that brings the loop nothing yet
					late = <-f.work
				}
			}
			if when == "before it is chosen" {
				comes()
			}
			f.ask("b", 0)
			if when == "before it is written" {
				comes()
			}
			if when == "as it is written" {
				if x.what != "a second answer" {
					continue // it may have run: the host may have read it before it ended
				}
				tick := func() { // between the look at the connection and the write
					comes()
					f.now.Add(1)
				}
				f.tick.Store(&tick)
			}
			f.Flush()
			late()
			if when != "as it is written" {
				c = f.up()
				io.WriteString(c, value(f.reads(c)))
			}
			f.until(2)
			fmt.Fprintf(&all, "%s, %s: %s\n", x.what, when, f.out[1])
		}
	}
	golden.Check(t, all.String())
}

// A second answer that comes milliseconds after the first, when the next command is out, is not taken for the answer of that:
// nothing would tell the two apart.
func TestLateSecondAnswer(t *testing.T) {
	f := newScriptedHost(t)
	c := f.first()
	f.now.Add(4e6 - defaultReuseDelay)
	f.ask("b", 0)
	f.Flush()
	io.WriteString(c, value("a"))
	f.pass(1)
	c = f.up()
	io.WriteString(c, value(f.reads(c)))
	f.until(2)
	golden.Check(t, strings.Join(f.out, "\n")+"\n")
}

// How far a command came when its connection broke tells whether it may have run.
func TestConnectionBreaksAtEachStage(t *testing.T) {
	const large = 150 << 10 // more than the sockets take
	var all strings.Builder
	for _, x := range []struct {
		what string
		body int
		do   func(f *scriptedHost, c *net.TCPConn)
	}{
		{"reset before it is written", 0, func(f *scriptedHost, c *net.TCPConn) {
			cut(c)
			late := <-f.work
			f.Flush()
			late()
		}},
		{"reset after a part is written", large, func(f *scriptedHost, c *net.TCPConn) {
			f.Flush()
			cut(c)
			f.pass(1)
		}},
		{"given up after a part is written", large, func(f *scriptedHost, c *net.TCPConn) {
			f.Flush()
			f.now.Add(20e9 + 1)
			f.Flush()
		}},
		{"reset after its last byte is written, unread", 0, func(f *scriptedHost, c *net.TCPConn) {
			f.Flush()
			cut(c)
			f.pass(1)
		}},
		{"ended after it is read", 0, func(f *scriptedHost, c *net.TCPConn) {
			f.Flush()
			f.reads(c)
			c.CloseWrite()
			f.pass(1)
		}},
		{"reset in the answer", 0, func(f *scriptedHost, c *net.TCPConn) {
			f.Flush()
			f.reads(c)
			io.WriteString(c, value("v")[:12])
			cut(c)
			f.pass(1)
		}},
		{"ended in the answer", 0, func(f *scriptedHost, c *net.TCPConn) {
			f.Flush()
			f.reads(c)
			io.WriteString(c, value("v")[:12])
			c.CloseWrite()
			f.pass(1)
		}},
		{"reset after the answer", 0, func(f *scriptedHost, c *net.TCPConn) {
			f.Flush()
			f.reads(c)
			io.WriteString(c, value("v"))
			f.pass(1)
			cut(c)
			f.pass(1)
		}},
	} {
		f := newScriptedHost(t)
		f.ask("a", x.body)
		f.pass(1)
		x.do(f, <-f.conns)
		f.until(1)
		fmt.Fprintf(&all, "%s: %s; %d connections\n", x.what, f.out[0], f.openConns)
	}
	golden.Check(t, all.String())
}

// A connection that comes up when the time of what waits for it is over carries nothing of it.
func TestConnectionAfterDeadline(t *testing.T) {
	f := newScriptedHost(t)
	up := make(chan struct{})
	dial := f.Dial
	f.Dial = func(addr string) (net.Conn, error) {
		<-up
		return dial(addr)
	}
	f.ask("a", 0)
	f.now.Add(20e9 + 1)
	close(up)
	f.pass(1)
	f.Flush()
	f.until(1)
	f.now.Add(defaultReuseDelay) // the connection rests, and is good for the next
	f.ask("b", 0)
	f.Flush()
	c := <-f.conns
	io.WriteString(c, value(f.reads(c)))
	f.until(2)
	golden.Check(t, strings.Join(f.out, "\n")+"\n")
}

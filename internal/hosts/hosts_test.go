package hosts

import (
	"fmt"
	"io"
	"net"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"ravensill/gateway"
	"ravensill/internal/bufconn"
	"ravensill/internal/golden"
	"ravensill/internal/resp"
	"ravensill/internal/sockets"
)

func reply(text string) string {
	in, p := bufconn.NewBuffer(resp.MaxValueBytes), resp.Parser{}
	in.Write([]byte(text))
	v, ok, err := p.Next(in)
	if err != nil || !ok {
		return fmt.Sprintf("whole %t, %v", ok, err)
	}
	var e gateway.Event
	value, err := parseAnswer(v, []string{"outstanding", "utilization"}, &e)
	return fmt.Sprintf("result %d, value %q, null %t, used %d, %g units, load %v, %v", e.Result, value, value == nil, e.Usage, e.Units, e.LoadReport, err)
}

func TestParseAnswers(t *testing.T) {
	var all strings.Builder
	for _, s := range []string{"*3\r\n$2\r\nab\r\n$14\r\nused=37,cost=4\r\n$30\r\noutstanding=7,utilization=0.61\r\n",
		"*3\r\n$2\r\nab\r\n$-1\r\n$-1\r\n", "*1\r\n$0\r\n\r\n", "*3\r\n$-1\r\n$-1\r\n$-1\r\n", "*2\r\n$1\r\na\r\n$4\r\nused\r\n",
		"*2\r\n$1\r\na\r\n$7\r\nused=-1\r\n", "*4\r\n$1\r\na\r\n$-1\r\n$-1\r\n$-1\r\n", "-ERR failed\r\n", "-ERR failed used=120 utilization=1\r\n",
		"-ERR failed utilization=x\r\n", "-BUSY\r\n", "-BUSY used=5 outstanding=9\r\n", "-SYNTAX no\r\n", "$16\r\nutilization=0.25\r\n", "$-1\r\n",
		"+PONG\r\n", ":1\r\n", "*3\r\n$2\r\nab\r\n$-1\r\n"} {
		fmt.Fprintf(&all, "%q\n  %s\n", s, reply(s))
	}
	golden.Check(t, all.String())
}

func FuzzReplies(f *testing.F) {
	f.Add("*3\r\n$2\r\nab\r\n$14\r\nused=37,cost=4\r\n$16\r\nutilization=0.61\r\n")
	f.Add("-ERR failed used=1 utilization=0.1\r\n")
	f.Fuzz(func(t *testing.T, s string) { reply(s) })
}

func TestFailureResults(t *testing.T) { // how far it had come tells whether it may have run
	var all strings.Builder
	for _, why := range []error{errMalformed, io.EOF, ErrTimedOut, ErrCanceled} {
		for stage := Connecting; stage <= Sent; stage++ {
			f := &Failure{stage, why}
			fmt.Fprintf(&all, "%v: result %d, never ran %t\n", f, f.Result(), f.Result().NeverRan())
		}
	}
	golden.Check(t, all.String())
}

// desk is the event loop of a transport with one host, and the results of its attempts.
type testLoop struct {
	*testing.T
	*Transport
	work chan func()
	now  atomic.Int64
	out  []string
}

func newTestLoop(t *testing.T, addr string, most int) *testLoop {
	d := &testLoop{T: t, work: make(chan func(), 99)}
	d.Transport = NewTransport(sockets.Kernel{}, func(f func()) { d.work <- f }, func() int64 { return 0 }, nil, 250e6, 1e9, most)
	d.Transport.now = func() int64 { return d.now.Load() }
	d.SetAddress(1, netip.MustParseAddrPort(addr))
	return d
}

func (d *testLoop) send() *Attempt {
	command := Command{Head: []byte("*2\r\n"), Before: []byte("d=")}
	s := d.Send(1, command, d.now.Load()+2e6, 1e18, func(e gateway.Event, value []byte, _ int64) {
		d.out = append(d.out, fmt.Sprintf("result %d, value %q", e.Result, value))
	})
	d.Flush()
	return s
}

// until runs the loop until n sends ended.
func (d *testLoop) until(n int) {
	for len(d.out) < n {
		select {
		case f := <-d.work:
			f()
			d.Flush()
		case <-time.After(20 * time.Second):
			d.Fatalf("only %q ended", d.out)
		}
	}
}

// A connection carries one send at a time, serves the next, and ends before the host's machine would end it.
func TestConnections(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				for buf := make([]byte, 99); ; {
					if n, err := c.Read(buf); err != nil || string(buf[:n]) != "*2\r\n$3\r\nd=2\r\n" {
						c.Close()
						return
					}
					io.WriteString(c, "*1\r\n$1\r\nv\r\n")
				}
			}()
		}
	}()
	d := newTestLoop(t, l.Addr().String(), 2)
	d.send()
	d.send()
	d.send() // no descriptor is left for it: it never ran
	d.until(3)
	d.now.Add(defaultReuseDelay)
	d.send()
	d.until(4)
	for d.pool(1).dialing > 0 { // the first may have served all before the second was up
		(<-d.work)()
	}
	if d.openConns != 2 || len(d.pool(1).idle) != 2 {
		t.Errorf("%d connections, %d free", d.openConns, len(d.pool(1).idle))
	}
	d.now.Add(defaultReuseDelay)
	d.send()
	d.SetAddress(1, netip.MustParseAddrPort("127.0.0.1:1")) // it moved: what is out there ends, and nothing follows
	d.until(5)
	if d.openConns != 0 {
		t.Errorf("%d connections to where the host was", d.openConns)
	}
	d.SetAddress(1, netip.MustParseAddrPort(l.Addr().String()))
	d.send()
	d.until(6)
	d.now.Add(2e9)
	d.CloseIdle()
	if d.openConns != 0 {
		t.Errorf("%d connections kept for too long", d.openConns)
	}
	golden.Check(t, strings.Join(d.out, "\n")+"\n")
}

// What was given up before it had a connection never ran, and the connection serves another.
func TestStopWhileConnecting(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d := newTestLoop(t, l.Addr().String(), 9)
	s := d.send()
	s.Cancel(ErrTimedOut)
	s.Cancel(ErrTimedOut) // once only
	(<-d.work)()
	if len(d.pool(1).idle) != 1 {
		t.Error("its connection was not kept")
	}
	d.Transport.Remove(1)
	d.send() // to one that is gone
	d.SetAddress(1, netip.MustParseAddrPort(l.Addr().String()))
	l.Close()
	d.send()
	d.until(3)
	golden.Check(t, strings.Join(d.out, "\n")+"\n")
}

// Each connection's answers in turn, cut at |. A value is served whatever comes with it or behind it, each send gets
// its own, and what is spoilt ends its connection.
func TestMalformedAnswers(t *testing.T) {
	v := func(s string) string { return "*3\r\n$1\r\n" + s + "\r\n$-1\r\n$-1\r\n" }
	var all strings.Builder
	for _, x := range []string{
		v("a") + v("a") + "|" + v("b"),                            // a second copy
		v("a") + "+no|" + v("b"),                                  // part of one
		v("a") + "late" + v("a") + "|" + v("b"),                   // one that comes when the connection is free
		"*3\r\n$1\r\na\r\n$5\r\nused=\r\n$3\r\n=,=\r\n|" + v("b"), // nothing but figures that can't be read
		"*3\r\n$3000000000\r\naaaa|" + v("b"), ":5\r\n|" + v("b"), "*3\r\n$4\r\nabcdefgh\r\n|" + v("b"),
		"*3\r\n$4\r\nab|" + v("b"), // never whole
	} {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		first, written := make(chan struct{}), make(chan struct{})
		go func() {
			answers := strings.Split(x, "|")
			for i := 0; ; {
				c, err := l.Accept()
				if err != nil {
					return
				}
				defer c.Close()
				for buf := make([]byte, 99); i < len(answers); i++ {
					if _, err := c.Read(buf); err != nil {
						break
					}
					now, late, ok := strings.Cut(answers[i], "late")
					if io.WriteString(c, now); ok {
						<-first
						io.WriteString(c, late)
						close(written)
					}
				}
			}
		}()
		d := newTestLoop(t, l.Addr().String(), 9)
		d.send()
		d.until(1)
		if strings.Contains(x, "late") {
			close(first)
			<-written
		}
		d.now.Add(defaultReuseDelay)
		d.send()
		d.until(2)
		fmt.Fprintf(&all, "%.60q\n  %s\n", x, strings.Join(d.out, "; "))
	}
	golden.Check(t, all.String())
}

// one takes one connection in, reads its first command, and answers it with text, if any.
func one(t *testing.T, text string) (addr string, read, ended chan struct{}) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	read, ended = make(chan struct{}), make(chan struct{})
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		buf := make([]byte, 99)
		c.Read(buf)
		io.WriteString(c, text)
		close(read)
		c.Read(buf)
		close(ended)
	}()
	return l.Addr().String(), read, ended
}

func TestCanceled(t *testing.T) { // a dispatch called off may have run, and the host is told by its connection's end
	addr, read, ended := one(t, "")
	d := newTestLoop(t, addr, 9)
	s := d.send()
	(<-d.work)()
	d.Flush()
	<-read
	s.Cancel(ErrCanceled)
	<-ended
	golden.Check(t, strings.Join(d.out, "\n")+"\n")
}

func TestProbe(t *testing.T) { // a probe tells the load; a value is no answer to it, nor a load report one to a req
	var all strings.Builder
	for _, x := range []string{"$16\r\nutilization=0.25\r\n", "*1\r\n$1\r\nv\r\n", "-NOPERM\r\n"} {
		for _, probe := range []bool{true, false} {
			addr, _, _ := one(t, x)
			d := newTestLoop(t, addr, 9)
			d.loadFields = []string{"utilization"}
			if probe {
				d.Probe(1, func(e gateway.Event, value []byte, _ int64) {
					d.out = append(d.out, fmt.Sprintf("result %d, load %v", e.Result, e.LoadReport))
				})
			} else {
				d.send()
			}
			d.until(1)
			fmt.Fprintf(&all, "%q, probe %t: %s\n", x, probe, d.out)
		}
	}
	golden.Check(t, all.String())
}

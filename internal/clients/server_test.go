package clients

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"ravensill/internal/golden"
)

// rig is a server whose loop the test turns, by hand: what its readers bring lies in work until then.
type rig struct {
	*testing.T
	*Server
	work  chan func()
	clock atomic.Int64
	open  []*Answer // arrived, in order
	have  map[*Conn]bool
	trace strings.Builder
	addr  string
}

func newRig(t *testing.T, most int) *rig {
	r := &rig{T: t, work: make(chan func(), 99), have: map[*Conn]bool{}}
	r.clock.Store(1)
	r.Server = NewServer(NewCatalog(words), most, func(f func()) { r.work <- f }, r.clock.Load, func(a *Answer, _ int64, id, _ string, _, _ int, _ int64,
		_ float64, _, _ int, _ bool, _, _, _, _ []byte) {
		if id == "panic" {
			panic("fault")
		}
		r.open = append(r.open, a)
	})
	l, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.End)
	r.addr = l.Addr().String()
	r.Listen(l)
	return r
}

func (r *rig) note(text string) { fmt.Fprintln(&r.trace, text) }

// wait waits for what readers and sockets do by themselves.
func (r *rig) wait(what string, ok func() bool) {
	r.Helper()
	for limit := time.Now().Add(20 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(limit) {
			r.Fatalf("never: %s; so far:\n%s", what, r.trace.String())
		}
	}
}

// turn turns the loop until ok, as the node does.
func (r *rig) turn(what string, ok func() bool) {
	r.Helper()
	r.wait(what, func() bool {
		for k := len(r.work); k > 0; k-- {
			(<-r.work)()
		}
		r.Flush()
		return ok()
	})
}

type far struct {
	*rig
	*net.TCPConn
	r *bufio.Reader
	c *Conn // the near end
}

// client connects one that the loop knows.
func (r *rig) client() *far {
	r.Helper()
	c, err := net.Dial("tcp4", r.addr)
	if err != nil {
		r.Fatal(err)
	}
	r.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(20 * time.Second))
	f := &far{rig: r, TCPConn: c.(*net.TCPConn), r: bufio.NewReader(c)}
	r.turn("known", func() bool {
		for k := range r.conns {
			if !r.have[k] {
				r.have[k], f.c = true, k
			}
		}
		return f.c != nil
	})
	return f
}

func (f *far) send(ids ...string) {
	text := ""
	for _, id := range ids {
		text += command("CALL.GET", get, id, list)
	}
	io.WriteString(f.TCPConn, text)
}

// got gives a line that the client gets, or the end of the stream.
func (f *far) got() string {
	line, err := f.r.ReadString('\n')
	if err != nil {
		return line + err.Error()
	}
	return strings.TrimSuffix(line, "\r\n")
}

func many(n int) (ids []string) {
	for i := range n {
		ids = append(ids, fmt.Sprint("r", i))
	}
	return ids
}

// A client pipelines far more than may be open, and goes while its commands lie before the loop; another while the first of them
// are open. Its reader waited for a place among the open, did not see the end, and all were sent on one after the other.
func TestFloodGoes(t *testing.T) {
	r := newRig(t, 9)
	a, b := r.client(), r.client()
	a.send(many(1000)...)
	a.Close()
	r.wait("the end seen", a.c.left.Load)
	r.turn("ended", func() bool { return a.c.closed })
	r.note(fmt.Sprintf("of a client gone before the loop turned: %d arrived", len(r.open)))
	b.send(many(1000)...)
	r.turn("as many open as may be", func() bool { return len(r.open) == mostOpen })
	b.Close()
	r.wait("the end seen", b.c.left.Load)
	for _, o := range r.open[:9] {
		if !o.Gone() {
			t.Error("an open one is not told as gone")
		}
		o.Denied(0) // the module has not heard of it
	}
	r.Flush() // nor has the loop, yet no other takes their places
	r.turn("ended", func() bool { return b.c.closed })
	r.note(fmt.Sprintf("of one that goes later: %d arrived", len(r.open)))
	golden.Check(t, r.trace.String())
}

// A client pipelines more than its reader takes ahead of the loop, and stays: it waits, goes on, and each has its answer.
func TestFloodStays(t *testing.T) {
	r := newRig(t, 9)
	f := r.client()
	go f.send(many(9000)...)
	r.wait("the reader waits", func() bool {
		f.c.mu.Lock()
		defer f.c.mu.Unlock()
		return f.c.bytes > mostAhead
	})
	answers := make(chan int)
	go func() {
		n := 0
		for ; n < 9000 && f.got() == "-BUSY"; n++ {
		}
		answers <- n
	}()
	r.turn("all answered", func() bool {
		for _, o := range r.open {
			o.Denied(0)
		}
		r.open = nil
		select {
		case n := <-answers:
			r.note(fmt.Sprintf("%d answers; %d bytes ahead, %d open", n, f.c.bytes, len(f.c.wait)))
			return true
		default:
			return false
		}
	})
	golden.Check(t, r.trace.String())
}

// An idle connection is closed, to be tidy, for room, or at the end, and a command comes: read and on its way to the loop,
// unread, or behind the close. The first two are answered, the last is never sent on, and its client sees the end, no reset.
func TestCommandCrossesClose(t *testing.T) {
	var all strings.Builder
	for _, x := range []struct {
		name  string
		close func(r *rig)
	}{{"tidy", func(r *rig) { r.Tidy() }}, {"room", func(r *rig) { r.makeRoom() }}, {"retire", func(r *rig) { r.Retire() }}} {
		r := newRig(t, 1)
		f := r.client()
		f.send("first")
		r.turn("first arrived", func() bool { return len(r.open) == 1 })
		r.open[0].Passed([]byte("one"))
		r.Flush()
		r.clock.Add(quiet + 1)
		r.tidied = r.now() // it did not stand still
		f.send("second")
		r.wait("second read", func() bool { return f.c.link.Reads() > f.c.seen && len(r.work) > 0 })
		x.close(r)
		r.turn("second arrived, or the end", func() bool { return len(r.open) == 2 || f.c.closed })
		r.note(fmt.Sprintf("%s: a command on its way: %d arrived, closed %t", x.name, len(r.open), f.c.closed || f.c.half))
		if len(r.open) == 2 {
			r.open[1].Passed([]byte("two"))
		}
		r.Flush()
		r.clock.Add(quiet + 1)
		r.tidied = r.now()
		r.turn("quiet", func() bool { return f.c.half || f.c.link.Quiet(f.c.seen) })
		x.close(r)
		r.note(fmt.Sprintf("%s: nothing on its way: closed %t", x.name, f.c.closed || f.c.half))
		f.send("third") // behind the close, the answers not taken yet
		r.note(fmt.Sprintf("%s: its client gets %s %s %s %s, then %s", x.name, f.got(), f.got(), f.got(), f.got(), f.got()))
		f.Close()
		r.turn("forgotten", func() bool { return f.c.closed })
		r.note(fmt.Sprintf("%s: %d arrived, %d open", x.name, len(r.open), r.Count()))
		all.WriteString(r.trace.String())
	}
	golden.Check(t, all.String())
}

// A client is turned away under a half-read command while it is owed an answer, and what comes until its connection can end is
// answered, too: none is read and left without a word.
func TestTurnedAwayUnderAnswer(t *testing.T) {
	r := newRig(t, 9)
	f := r.client()
	f.send("owed")
	r.turn("arrived", func() bool { return len(r.open) == 1 })
	half := command("CALL.GET", get, "late", list)
	io.WriteString(f.TCPConn, half[:30])
	r.turn("half of it read", func() bool { return f.c.part > 0 })
	r.clock.Add(unasked + 1)
	r.tidied = r.now()
	r.Tidy()
	io.WriteString(f.TCPConn, half[30:])
	f.send("behind")
	r.turn("both come", func() bool { return f.c.asked == 3 })
	r.open[0].Denied(0)
	r.Flush()
	for range 5 {
		r.note(f.got())
	}
	r.note(fmt.Sprintf("%d arrived", len(r.open)))
	golden.Check(t, r.trace.String())
}

// A fault in the program under one of three pipelined commands: each has its answer, in order, and the connection goes on.
func TestPanicUnderCommand(t *testing.T) {
	r := newRig(t, 9)
	f := r.client()
	f.send("a", "panic", "b")
	r.turn("all begun", func() bool { return len(r.open) == 2 })
	r.open[1].Passed([]byte("b"))
	r.open[0].Passed([]byte("a"))
	f.send("c")
	r.turn("the next", func() bool { return len(r.open) == 3 })
	r.open[2].Denied(0)
	r.Flush()
	for range 6 {
		r.note(f.got())
	}
	golden.Check(t, r.trace.String())
}

// A client that takes nothing of what it is owed, and never closes, is cut off in the end, and holds no place; so is one that was
// asked to end.
func TestClientTakesNothing(t *testing.T) {
	for _, end := range []bool{false, true} {
		r := newRig(t, 9)
		f := r.client()
		f.send(many(mostOpen)...)
		r.turn("arrived", func() bool { return len(r.open) == mostOpen })
		for i := 0; f.c.slowAt == 0; i++ { // until the system takes no more
			r.open[i].Passed(make([]byte, 60<<10))
			r.Flush()
		}
		if end {
			f.c.fault(errBad)
		}
		for _, step := range []int64{stuck, 1} {
			r.clock.Add(step)
			r.tidied = r.now()
			r.Tidy()
			r.note(fmt.Sprintf("asked to end %t: open %d", end, r.Count()))
		}
		if !end {
			golden.Check(t, r.trace.String())
		} else if r.Count() > 0 {
			t.Error("one that was asked to end is held for ever")
		}
	}
}

// Connections that the system took in while the loop was busy, up to the moment when no more are taken in: each is served.
func TestUnlistenBehind(t *testing.T) {
	r := newRig(t, 99)
	var all []*far
	for range 20 {
		c, err := net.Dial("tcp4", r.addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		c.SetDeadline(time.Now().Add(20 * time.Second))
		io.WriteString(c, command("PING"))
		all = append(all, &far{rig: r, TCPConn: c.(*net.TCPConn), r: bufio.NewReader(c)})
	}
	r.Unlisten()
	r.turn("no more taken in", func() bool { return !r.accepting })
	r.turn("asked", func() bool {
		n := 0
		for c := range r.conns {
			n += c.asked
		}
		return n == len(all)
	})
	r.Flush()
	for i, f := range all {
		if a := f.got(); a != "+PONG" {
			t.Errorf("connection %d of %d: %s", i, len(all), a)
		}
	}
}

package node

import (
	"fmt"
	"io"
	"net"
	"net/netip"
	"runtime"
	"strings"
	"testing"
	"time"

	"ravensill/gateway"
	"ravensill/internal/clients"
	"ravensill/internal/config"
	"ravensill/internal/golden"
	"ravensill/internal/hosts"
	"ravensill/internal/logging"
)

// eager sends each req on, and again after each end while it is open; it prints what it hears.
type retryingDecider struct{ strings.Builder }

func (*retryingDecider) Reconfigure(gateway.Time, *gateway.Update) {}

func (m *retryingDecider) Decide(in *gateway.Batch, out gateway.Actions) {
	for _, e := range in.Events {
		switch e.Kind {
		case gateway.RequestArrived:
			fmt.Fprintf(m, "%s arrived\n", e.RequestID)
			out.StartAttempt(e.RequestID, 1, 0)
		case gateway.AttemptEnded:
			fmt.Fprintf(m, "%s attempt %d ended: result %d, closed %t\n", e.RequestID, e.Attempt, e.Result, e.Closed)
			if !e.Closed {
				out.StartAttempt(e.RequestID, 1, 0)
			}
		case gateway.ClientGone:
			fmt.Fprintf(m, "%s left\n", e.RequestID)
			out.CancelAttempt(e.RequestID, 1)
		}
	}
}

// A client goes in each moment of its request. Whatever its going crosses, nothing is sent on afterwards, and
// each attempt that the module decided on ends for it: else it would hold it as out for ever, and its limit
// would close.
func TestNoAttemptAfterClientGone(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	m := &retryingDecider{}
	n := New(&config.Config{
		Sockets: 100,
		Settings: &config.Settings{Membership: gateway.Membership{Count: 1}, Classes: []gateway.RequestClass{{}},
			Plans: []gateway.Plan{{}}, ConnectTimeout: 1e9},
	}, m)
	n.transport.SetAddress(1, netip.MustParseAddrPort(l.Addr().String()))
	arrive := func(id string) *clients.Answer {
		a := new(clients.AnswerQueue).Add()
		n.arrive(a, &clients.Request{ID: id, Customer: "c", Deadline: n.unixNano() + 1e12, Units: 1, Spread: 1})
		return a
	}
	arrive("before-it-is-heard-of").ClientGone()
	n.turn()
	a := arrive("with-the-end-of-its-attempt")
	n.turn()
	n.requests["with-the-end-of-its-attempt"].attempts[0].send.Cancel(hosts.ErrTimedOut)
	a.ClientGone()
	n.turn()
	a = arrive("while-it-waits-for-a-connection") // it ends at once, unsent
	n.turn()
	a.ClientGone()
	n.turn()
	a = arrive("under-its-attempt")
	for n.turn(); !n.requests["under-its-attempt"].attempts[0].send.Written(); n.turn() {
		(<-n.work)()
	}
	a.ClientGone()
	n.turn()
	n.requests["under-its-attempt"].attempts[0].send.Cancel(hosts.ErrTimedOut)
	n.turn()
	fmt.Fprintf(m, "%d requests and %d attempts are held\n", len(n.requests), len(n.inFlight))
	golden.Check(t, m.String())
}

// leaver has the client of each req go while the loop is busy with the round of its arrival, and sends it on.
type clientGoneDecider struct {
	retryingDecider
	n    *Node
	left func()
}

func (m *clientGoneDecider) Decide(in *gateway.Batch, out gateway.Actions) {
	for _, e := range in.Events {
		if e.Kind == gateway.RequestArrived {
			m.left()
			for a := m.n.requests[e.RequestID].answer; !a.IsClientGone(); {
				runtime.Gosched()
			}
		}
	}
	m.retryingDecider.Decide(in, out)
}

// The news that a client has gone overtakes what the loop is busy with: nothing is sent on behind it.
func TestClientGoneDuringBatch(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	all := make(chan net.Conn, 1)
	m := &clientGoneDecider{left: func() { (<-all).Close() }}
	addr, stop, ended := serve(t, m, func(n *Node) {
		m.n = n
		n.transport.SetAddress(1, netip.MustParseAddrPort(l.Addr().String()))
	}, "panic")
	c := dial(t, addr)
	fmt.Fprint(c, command("a", 1))
	all <- c
	stop()
	if n := len(ended()); n > 0 {
		t.Error("a panic")
	}
	fmt.Fprintf(m, "%d requests and %d attempts are held\n", len(m.n.requests), len(m.n.inFlight))
	golden.Check(t, m.String())
}

// A repeat of what may have run whose connection comes up when hosts no longer drop it is not written.
func TestNoRetryAfterDedupWindow(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	m := &retryingDecider{}
	for _, effect := range []gateway.Effect{gateway.Idempotent, gateway.Deduplicated} {
		n := New(&config.Config{Sockets: 100, Settings: &config.Settings{Membership: gateway.Membership{Count: 1},
			Classes: []gateway.RequestClass{{
				Effect:      effect,
				DedupWindow: 1,
			}}, Plans: []gateway.Plan{{}}, ConnectTimeout: 1e9}}, m)
		n.transport.SetAddress(1, netip.MustParseAddrPort(l.Addr().String()))
		n.arrive(new(clients.AnswerQueue).Add(), &clients.Request{
			ID:       "r",
			Customer: "c",
			Deadline: n.unixNano() + 1e12,
			Units:    1,
			Spread:   1,
		})
		n.turn()
		for i, r := 0, n.requests["r"]; i < 2; i++ {
			for ; !r.attempts[i].send.Written(); n.turn() {
				(<-n.work)()
			}
			if i == 0 {
				r.attempts[0].send.Cancel(hosts.ErrTimedOut) // it may have run
				n.turn()
			}
		}
		fmt.Fprintf(m, "effect %d: %d of %d attempts is out\n", effect, n.requests["r"].inFlight, len(n.requests["r"].attempts))
	}
	golden.Check(t, m.String())
}

// A repeat of what may have run is not written so late that a stall between the clock and the write takes it
// past the window.
func TestRetryKeepsStallAllowanceBeforeWindowEnd(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	const window = 10 * time.Second
	for _, test := range []struct {
		name   string
		left   time.Duration // of the window, when the connection is up
		result gateway.Result
	}{
		{"clear of the end", stallAllowance + 2*time.Second, gateway.TimedOut},
		{"within the allowance", stallAllowance - time.Millisecond, gateway.Unreachable},
	} {
		t.Run(test.name, func(t *testing.T) {
			m := &retryingDecider{}
			n := New(&config.Config{Sockets: 100, Settings: &config.Settings{Membership: gateway.Membership{Count: 1},
				Classes: []gateway.RequestClass{{Effect: gateway.Deduplicated, DedupWindow: window}}, Plans: []gateway.Plan{{}},
				ConnectTimeout: 1e9}}, m)
			n.transport.SetAddress(1, netip.MustParseAddrPort(l.Addr().String()))
			n.arrive(new(clients.AnswerQueue).Add(), &clients.Request{
				ID:       "r",
				Customer: "c",
				Deadline: n.unixNano() + 1e12,
				Units:    1,
				Spread:   1,
			})
			n.turn()
			r := n.requests["r"]
			written := func(i int) {
				for ; !r.attempts[i].send.Written(); n.turn() {
					(<-n.work)()
				}
			}
			written(0)
			r.attempts[0].send.Cancel(hosts.ErrTimedOut) // it may have run
			n.turn()
			n.unix += int64(window - test.left)
			written(1)
			r.attempts[1].send.Cancel(hosts.ErrTimedOut)
			n.turn()
			if want := fmt.Sprintf("r attempt 1 ended: result %d,", test.result); !strings.Contains(m.String(), want) {
				t.Errorf("%swant %q", m, want)
			}
		})
	}
}

// A panic where a dispatch is sent, or where its answer is handed on, leaves it neither out for the module nor
// held here.
func TestPanicLeavesNoAttemptInFlight(t *testing.T) {
	defer logging.SetOutput(io.Discard)()
	m := &retryingDecider{}
	n := New(&config.Config{
		Sockets: 100,
		Settings: &config.Settings{Membership: gateway.Membership{Count: 1}, Classes: []gateway.RequestClass{{}},
			Plans: []gateway.Plan{{}}, ConnectTimeout: 1e9},
	}, m)
	n.transport.SetAddress(1, netip.MustParseAddrPort("127.0.0.1:1"))
	arrive := func(id string) *clients.Answer {
		a := new(clients.AnswerQueue).Add() // its line has no ring: an answer panics
		n.arrive(a, &clients.Request{ID: id, Customer: "c", Deadline: n.unixNano() + 1e12, Units: 1, Spread: 1})
		return a
	}
	arrive("answered")
	n.step()
	d := n.requests["answered"].attempts[0]
	n.recoverPanics("loop", func() { d.end(gateway.Event{Result: gateway.Succeeded}, []byte("v"), n.unixNano()) })
	n.step()
	fleet := n.transport
	n.transport = nil
	a := arrive("sent")
	n.step()
	n.transport = fleet
	n.unix += 2e12
	n.step()
	a.ClientGone()
	n.step()
	fmt.Fprintf(m, "%d requests and %d attempts are held\n", len(n.requests), len(n.inFlight))
	golden.Check(t, m.String())
}

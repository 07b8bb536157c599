package node

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
	"ravensill/internal/config"
	"ravensill/internal/logging"
)

// faulty denies reqs, panics on those of customer f, and names what is not there on those of b.
type panickingDecider struct{}

func (panickingDecider) Reconfigure(gateway.Time, *gateway.Update) {}

func (panickingDecider) Decide(in *gateway.Batch, out gateway.Actions) {
	for _, e := range in.Events {
		if e.Kind == gateway.RequestArrived {
			switch e.Customer[15] {
			case 'f':
				panic("fault")
			case 'b':
				out.Reject("none such", 0)
				out.StartAttempt("none such", 1, 0)
				out.CancelAttempt(e.RequestID, 7)
			}
			out.Reject(e.RequestID, 0)
			out.Fail(e.RequestID) // too late: each req gets one answer
		}
	}
}

// serve runs a gateway with a module on an address of its own. lines gives those of its log that hold an event
// named there.
func serve(t *testing.T, m Decider, set func(*Node), events ...string) (addr string, stop func(), ended func() (lines []string)) {
	r, w := io.Pipe()
	t.Cleanup(logging.SetOutput(w))
	cfg := &config.Config{Listen: netip.MustParseAddrPort("127.0.0.1:0"), Discovery: "127.0.0.1:1", Sockets: 100,
		Settings: &config.Settings{
			Membership:     gateway.Membership{Count: 1},
			Classes:        []gateway.RequestClass{{}},
			ClassNames:     []string{"lookup"},
			Plans:          []gateway.Plan{{}},
			PlanNames:      []string{"team"},
			ConnectTimeout: 1e9,
		}}
	call, over := make(chan struct{}), make(chan error, 1)
	n := New(cfg, m)
	if set != nil {
		set(n)
	}
	go func() { over <- n.Run(call) }()
	log := bufio.NewScanner(r)
	for addr == "" && log.Scan() {
		if i := strings.Index(log.Text(), "listen="); i >= 0 {
			addr, _, _ = strings.Cut(log.Text()[i+7:], " ")
		}
	}
	seen := make(chan []string, 1)
	go func() {
		var lines []string
		for log.Scan() {
			for _, e := range events {
				if strings.Contains(log.Text(), "event="+e) {
					lines = append(lines, e)
				}
			}
		}
		seen <- lines
	}()
	return addr, func() { close(call) }, func() []string {
		if err := <-over; err != nil {
			t.Error(err)
		}
		w.Close()
		return <-seen
	}
}

func dial(t *testing.T, addr string) net.Conn {
	c, err := net.Dial("tcp4", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(20 * time.Second))
	return c
}

func command(customer string, id int) string {
	return fmt.Sprintf("*4\r\n$8\r\nCALL.GET\r\n$16\r\n000000000000000%s\r\n$1\r\n%d\r\n$46\r\nc=lookup,t=team,d=999,units=1,spread=1,first=0\r\n", customer, id)
}

// ask sends a command of a customer, or PING of none, and gives the answer.
func ask(t *testing.T, c net.Conn, customer string, id int) string {
	if customer == "" {
		io.WriteString(c, "*1\r\n$4\r\nPING\r\n")
	} else {
		io.WriteString(c, command(customer, id))
	}
	buf := make([]byte, 99)
	n, err := c.Read(buf)
	if err != nil {
		t.Fatal(err)
	}
	return string(buf[:n])
}

// A panic in the module costs the round's reqs an abort; the program and the connection live on.
func TestModulePanics(t *testing.T) {
	addr, stop, ended := serve(t, panickingDecider{}, nil, "panic where=module")
	c := dial(t, addr)
	got := ask(t, c, "", 0) // the module here never asks to be woken: PING is answered all the same
	for i, customer := range []string{"a", "f", "b"} {
		got += ask(t, c, customer, i)
	}
	if want := "+PONG\r\n-BUSY\r\n-ERR aborted\r\n-BUSY\r\n"; got != want {
		t.Errorf("%q, not %q", got, want)
	}
	c.Close()
	stop()
	if n := len(ended()); n != 1 {
		t.Errorf("%d lines on panics", n)
	}
}

// tired is woken often, and panics outside its rounds, once.
type tired struct {
	panickingDecider
	told bool
}

func (m *tired) Decide(in *gateway.Batch, out gateway.Actions) {
	out.SetTimer(1)
	m.panickingDecider.Decide(in, out)
}

func (m *tired) DecisionCounts() []gateway.DecisionCount {
	if !m.told {
		m.told = true
		panic("fault")
	}
	return nil
}

// A panic in the loop's own work costs that work, not the program.
func TestLoopPanics(t *testing.T) {
	addr, stop, ended := serve(t, &tired{}, nil, "panic where=loop")
	c := dial(t, addr)
	if got := ask(t, c, "", 0) + ask(t, c, "a", 1); got != "+PONG\r\n-BUSY\r\n" {
		t.Errorf("%q", got)
	}
	c.Close()
	stop()
	if n := len(ended()); n > 1 {
		t.Errorf("%d lines on panics", n)
	}
}

// mute decides nothing.
type mute struct{}

func (mute) Decide(*gateway.Batch, gateway.Actions)    {}
func (mute) Reconfigure(gateway.Time, *gateway.Update) {}

// A client that is owed an answer for ever, and does not close, holds the program no longer than its time.
func TestShutdownIsBounded(t *testing.T) {
	addr, stop, ended := serve(t, mute{}, nil, "connections_aborted clients=1", "stopped")
	c := dial(t, addr)
	ask(t, c, "", 0)
	io.WriteString(c, command("a", 1))
	stop()
	if got := fmt.Sprint(ended()); got != "[connections_aborted clients=1 stopped]" {
		t.Error(got)
	}
}

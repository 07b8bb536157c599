package node

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"log"
	"net"
	"net/netip"
	"os"
	"strings"
	"testing"
	"time"

	"ravensill/gateway"
	"ravensill/internal/config"
)

// faulty denies reqs, panics on those of customer f, and names what is not there on those of b.
type faulty struct{}

func (faulty) Round(in *gateway.Round, out gateway.Writer) {
	for _, e := range in.Events {
		if e.Kind == gateway.Arrived {
			switch e.Customer[15] {
			case 'f':
				panic("fault")
			case 'b':
				out.Deny("none such", 0)
				out.Dispatch("none such", 1, 0)
				out.Cancel(e.Req, 7)
			}
			out.Deny(e.Req, 0)
			out.Abort(e.Req) // too late: each req gets one answer
		}
	}
}

// A panic in the module costs the round's reqs an abort; the program and the connection live on.
func TestModulePanics(t *testing.T) {
	r, w := io.Pipe()
	log.SetOutput(w)
	defer log.SetOutput(os.Stderr)
	cfg := &config.Config{Listen: netip.MustParseAddrPort("127.0.0.1:0"), Discovery: "127.0.0.1:1", Sockets: 100,
		Settings: &config.Settings{Seat: gateway.Seat{Count: 1}, Fronts: []gateway.Frontend{{}}, FrontNames: []string{"lookup"},
			Plans: []gateway.Plan{{}}, PlanNames: []string{"team"}, ConnectTimeout: 1e9}}
	stop, ended := make(chan struct{}), make(chan error, 1)
	go func() { ended <- New(cfg, faulty{}).Run(stop) }()
	lines := bufio.NewScanner(r)
	addr := ""
	for addr == "" && lines.Scan() {
		if i := strings.Index(lines.Text(), "listen="); i >= 0 {
			addr, _, _ = strings.Cut(lines.Text()[i+7:], " ")
		}
	}
	seen := make(chan int, 1)
	go func() {
		n := 0
		for lines.Scan() {
			n += strings.Count(lines.Text(), "event=panic where=module")
		}
		seen <- n
	}()
	c, err := net.Dial("tcp4", addr)
	if err != nil {
		t.Fatal(err)
	}
	c.SetDeadline(time.Now().Add(20 * time.Second))
	// The module here never asks to be woken: PING is answered all the same.
	io.WriteString(c, "*1\r\n$4\r\nPING\r\n")
	got := make([]byte, 7)
	if _, err := io.ReadFull(c, got); err != nil {
		t.Fatal(err)
	}
	for i, customer := range []string{"a", "f", "b"} {
		fmt.Fprintf(c, "*4\r\n$8\r\nCALL.GET\r\n$16\r\n000000000000000%s\r\n$1\r\n%d\r\n$46\r\nc=lookup,t=team,d=999,units=1,spread=1,first=0\r\n", customer, i)
		buf := make([]byte, 99)
		n, err := c.Read(buf)
		if err != nil {
			t.Fatal(err)
		}
		got = append(got, buf[:n]...)
	}
	if want := "+PONG\r\n-BUSY\r\n-ERR aborted\r\n-BUSY\r\n"; !bytes.Equal(got, []byte(want)) {
		t.Errorf("%q, not %q", got, want)
	}
	c.Close()
	close(stop)
	if err := <-ended; err != nil {
		t.Error(err)
	}
	w.Close()
	if n := <-seen; n != 1 {
		t.Errorf("%d lines on panics", n)
	}
}

package hosts

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"ravensill/gateway"
	"ravensill/internal/logging"
	"ravensill/internal/sockets/socketstest"
)

// What the system answers to a call decides what an attempt's end says: a shortage of this machine is never charged to the host,
// and what may have run is never called "did not run".
func TestSystemErrorResults(t *testing.T) {
	local := []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL,
		syscall.ENETUNREACH, syscall.ENETDOWN, syscall.EINTR}
	remote := []syscall.Errno{syscall.ECONNREFUSED, syscall.ECONNRESET, syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.EPIPE}
	want := func(errno syscall.Errno, stage Stage, result gateway.Result, byHost bool) {
		t.Helper()
		failure := &Failure{stage, &net.OpError{Op: "dial", Err: os.NewSyscallError("call", errno)}}
		if failure.Result() != result || failure.byHost() != byHost {
			t.Errorf("%v: result %d, by the host %t; want %d, %t", failure, failure.Result(), failure.byHost(), result, byHost)
		}
	}
	for _, errno := range local {
		want(errno, Connecting, gateway.NotSent, false)
		want(errno, Writing, gateway.Unreachable, true)
		want(errno, Sent, gateway.Disconnected, true)
	}
	for _, errno := range remote {
		want(errno, Connecting, gateway.Unreachable, true)
		want(errno, Writing, gateway.Unreachable, true)
		want(errno, Sent, gateway.Disconnected, true)
	}
	for _, errno := range append(local, remote...) {
		if failure := (&Failure{Sent, errno}); failure.Result().NeverRan() {
			t.Errorf("%v: never ran", failure)
		}
	}
}

// newFaultyDesk is a desk of one host that answers every command, on a system whose calls the test makes fail.
func newFaultyDesk(t *testing.T) (*testLoop, *socketstest.System) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				for buffer := make([]byte, 64); ; {
					if _, err := c.Read(buffer); err != nil {
						return
					}
					io.WriteString(c, value("v"))
				}
			}()
		}
	}()
	d := newTestLoop(t, l.Addr().String(), 9)
	system := socketstest.New(1, nil)
	d.system = system
	d.Dial = func(addr string) (net.Conn, error) { return system.Dial(t.Context(), &net.Dialer{}, addr) }
	return d, system
}

// Dials fail for want of something on this machine: the attempts never ran and are not the host's failures, one line tells of it,
// and another of its end.
func TestDialShortage(t *testing.T) {
	var lines bytes.Buffer
	defer logging.SetOutput(&lines)()
	d, system := newFaultyDesk(t)
	system.Script(socketstest.Dial, socketstest.Errors(syscall.EADDRNOTAVAIL, syscall.EMFILE, syscall.ENOBUFS)...)
	for n := range 4 {
		d.send()
		d.until(n + 1)
	}
	want := fmt.Sprintf("result %d, value \"\"", gateway.NotSent)
	for _, out := range d.out[:3] {
		if out != want {
			t.Errorf("%s, want %s", out, want)
		}
	}
	if d.out[3] != `result 0, value "v"` {
		t.Errorf("afterwards: %s", d.out[3])
	}
	for text, want := range map[string]int{"event=dial_resources_exhausted": 1, "event=dial_resources_restored": 1, "event=host_failing": 0} {
		if got := strings.Count(lines.String(), text); got != want {
			t.Errorf("%d lines %s, want %d\n%s", got, text, want, &lines)
		}
	}
}

// Under a connection quota an attempt whose dial meets a shortage stays in the queue and is dialed again after a pause, as one
// that the store refuses is; it is not counted as the store's refusal.
func TestDialShortageUnderQuota(t *testing.T) {
	d, system := newFaultyDesk(t)
	began := time.Now()
	d.Transport.now = func() int64 { return int64(time.Since(began)) }
	limiter := d.LimitConnections(0, 19*time.Second, func(int64) int { return 1 }, func(int64) {})
	system.Script(socketstest.Dial, socketstest.Errors(syscall.ENFILE, syscall.EADDRNOTAVAIL)...)
	command := Command{Head: []byte("*2\r\n"), Before: []byte("d=")}
	d.Send(1, command, d.Transport.now()+int64(40*time.Second), 1e18, func(e gateway.Event, value []byte, _ int64) {
		d.out = append(d.out, fmt.Sprintf("result %d, value %q", e.Result, value))
	})
	d.until(1)
	if d.out[0] != `result 0, value "v"` || limiter.Refused > 0 || limiter.Dials != 3 {
		t.Errorf("%s; %d refused, %d dials", d.out[0], limiter.Refused, limiter.Dials)
	}
}

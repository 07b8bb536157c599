package hosts

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"ravensill/gateway"
	"ravensill/internal/clock"
	"ravensill/internal/logging"
	"ravensill/internal/sockets/socketstest"
)

// newLoopOnFaultySystem returns a loop whose host answers every command, on a system whose calls the test makes fail.
func newLoopOnFaultySystem(t *testing.T) (*testLoop, *socketstest.System) {
	addr := serveConns(t, func(_ int, c *net.TCPConn) {
		answerEach(c, func(string) bool {
			io.WriteString(c, valueAnswer("v"))
			return true
		})
	})
	loop := newTestLoop(t, addr, manyConns)
	system := socketstest.New(1, nil)
	loop.system = system
	loop.Dial = func(addr string) (net.Conn, error) { return system.Dial(t.Context(), &net.Dialer{}, addr) }
	return loop, system
}

// Attempts whose dial fails because this machine lacks a resource never ran and don't count against the host. Begin and
// end of the shortage are logged once each.
func TestDialShortageIsNotHostFault(t *testing.T) {
	var lines bytes.Buffer
	defer logging.SetOutput(&lines)()
	loop, system := newLoopOnFaultySystem(t)
	faults := socketstest.ErrorScript(syscall.EADDRNOTAVAIL, syscall.EMFILE, syscall.ENOBUFS)
	system.Script(socketstest.Dial, faults...)
	for n := range 4 {
		loop.send()
		loop.runUntilResults(n + 1)
	}
	want := fmt.Sprintf("result %d, value \"\"", gateway.NotSent)
	for _, result := range loop.results[:3] {
		if result != want {
			t.Errorf("%s, want %s", result, want)
		}
	}
	if got := loop.results[3]; got != `result 0, value "v"` {
		t.Errorf("after the shortage: %s", got)
	}
	wantLines := map[string]int{
		"event=dial_resources_exhausted": 1,
		"event=dial_resources_restored":  1,
		"event=host_failing":             0,
	}
	for text, want := range wantLines {
		if got := strings.Count(lines.String(), text); got != want {
			t.Errorf("%d lines %s, want %d\n%s", got, text, want, &lines)
		}
	}
}

// Under a connection quota an attempt whose dial meets a shortage stays in the queue and is dialed again after a pause.
// It does not count as refused by the store.
func TestDialShortageUnderQuotaIsRetried(t *testing.T) {
	loop, system := newLoopOnFaultySystem(t)
	loop.useRealTime()
	limiter := loop.LimitConnections(0, 19*time.Second, func(clock.Instant) int { return 1 }, func(time.Duration) {})
	system.Script(socketstest.Dial, socketstest.ErrorScript(syscall.ENFILE, syscall.EADDRNOTAVAIL)...)
	command := Command{Head: []byte("*2\r\n"), BeforeTimeLeft: []byte("d=")}
	deadline := loop.Transport.now().Add(40 * time.Second)
	loop.Send(1, command, deadline, noWriteDeadline, loop.recordResult("result"))
	loop.runUntilResults(1)
	if got := loop.results[0]; got != `result 0, value "v"` {
		t.Error(got)
	}
	if limiter.RefusedConnections > 0 || limiter.Dials != 3 {
		t.Errorf("%d refused, %d dials", limiter.RefusedConnections, limiter.Dials)
	}
}

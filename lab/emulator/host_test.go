package emulator

import (
	"fmt"
	"net"
	"os/exec"
	"strings"
	"sync"
	"testing"
	"time"

	"ravensill/internal/golden"
)

// Replies, refusals and the log of a host that serves, hangs, is killed and is started again.
func TestHostRepliesAndLogsInEachState(t *testing.T) {
	host, err := NewHost(HostOptions{
		ID:           "h",
		Listen:       "127.0.0.1:0",
		MaxConns:     2,
		ReportFields: []string{"outstanding"},
		Model:        Model{ErrorFraction: 0.5, MaxInFlight: 2},
	})
	if err != nil {
		t.Fatal(err)
	}
	defer host.Close()
	var text string
	conn := dial(t, host.Addr())
	call := func(words ...string) {
		conn.send(words...)
		text += fmt.Sprintf("%.30s: %s\n", strings.Join(words, " "), conn.readAnswer())
	}
	call("PING")
	call("SELECT", "0")
	call("INFO", "load")
	call("EVAL", "x")
	call("CALL.GET", "0000000000000001", "id")
	for i := range 4 {
		call("CALL.GET", "0000000000000001", fmt.Sprint("id", i), callArguments)
	}
	dial(t, host.Addr()).send("PING")
	for host.OpenConns() < 2 {
		time.Sleep(time.Millisecond)
	}
	text += fmt.Sprintf("third connection refused: %t\n", refused(host.Addr()))
	host.SetHanging(true)
	for i := range 3 { // the third is beyond MaxInFlight, and its answer waits for those of the others
		conn.send("CALL.GET", "0000000000000001", fmt.Sprint("held", i), callArguments)
	}
	for len(host.Log().Commands) < 7 {
		time.Sleep(time.Millisecond)
	}
	host.SetHanging(false)
	for range 3 {
		text += "after it hung: " + conn.readAnswer() + "\n"
	}
	host.Kill()
	text += "killed: " + conn.readAnswer() + "\n"
	if _, err := net.Dial("tcp4", host.Addr()); err == nil {
		t.Error("a killed host accepts connections")
	}
	if _, err := host.Start(); err != nil {
		t.Fatal(err)
	}
	conn = dial(t, host.Addr())
	call("PING")
	log := host.Log()
	text += fmt.Sprintf("refused %d, opened %d, peak %d, busy %d, bad %d\n",
		log.RefusedConns, log.AcceptedConns, log.PeakConns, log.BusyReplies, log.MalformedCommands)
	for _, command := range log.Commands {
		text += fmt.Sprintf("%s load %g: %s\n", command.ID, command.InFlight, command.Outcome)
	}
	golden.Check(t, text)
}

// refused reports whether a connection is refused, or reset after it came up.
func refused(addr string) bool {
	conn, err := net.Dial("tcp4", addr)
	if err != nil {
		return true
	}
	defer conn.Close()
	_, err = conn.Read(make([]byte, 1))
	return err != nil
}

// A child process that starts holds a copy of each descriptor until it runs; the host's port must be free all the same.
func TestHostRestartsWhileChildProcessesStart(t *testing.T) {
	host, err := NewHost(HostOptions{ID: "s-0001", Listen: "127.0.0.1:0"})
	if err != nil {
		t.Fatal(err)
	}
	defer host.Close()
	stop := make(chan struct{})
	var children sync.WaitGroup
	for range 4 {
		children.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					exec.Command("/bin/true").Run()
				}
			}
		})
	}
	for i := range 2000 {
		if _, err := host.Start(); err != nil {
			t.Errorf("start %d: %v", i, err)
			break
		}
	}
	close(stop)
	children.Wait()
}

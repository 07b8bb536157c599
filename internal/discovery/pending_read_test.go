package discovery

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"testing"

	"ravensill/internal/sockets"
)

// acceptWatch accepts a watch at the agent's side and reads its request.
func acceptWatch(t *testing.T, listener net.Listener) net.Conn {
	t.Helper()
	agent, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := http.ReadRequest(bufio.NewReader(agent)); err != nil {
		t.Fatal(err)
	}
	return agent
}

// Bytes in the socket and a list that is being processed are pending; both together too.
func TestPendingReadReportsUnprocessedBytes(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	pending := &PendingRead{}
	if pending.Pending() {
		t.Error("pending before the watch is connected")
	}
	received := make(chan bool)
	processed := make(chan bool)
	ended := make(chan bool)
	options := WatchOptions{
		System:       sockets.Kernel{},
		Address:      listener.Addr().String(),
		AfterVersion: 1,
		Timeouts:     longTimeouts(),
		Pending:      pending,
		OnReceived:   func() {},
		OnList: func(string) {
			received <- true
			<-processed
		},
	}
	go func() {
		defer close(ended)
		Watch(ctx, options)
	}()
	agent := acceptWatch(t, listener)
	defer agent.Close()
	io.WriteString(agent, "HTTP/1.1 200 OK\r\n\r\n{}{}")
	for range 2 {
		<-received
		if !pending.Pending() {
			t.Error("not pending while a list is processed")
		}
		processed <- true
	}
	for pending.Pending() { // until the watch reads again
		runtime.Gosched()
	}
	io.WriteString(agent, "{}")
	<-received
	if !pending.Pending() {
		t.Error("not pending while a list is processed")
	}
	io.WriteString(agent, "{}")
	processed <- true
	<-received
	cancel()
	processed <- true
	<-ended
	if pending.Pending() {
		t.Error("pending after the watch has ended")
	}
}

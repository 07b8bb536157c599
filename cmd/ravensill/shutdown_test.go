package main

import (
	"bufio"
	"fmt"
	"net"
	"syscall"
	"testing"
	"time"
)

// acceptTime is shorter than the time for which new clients are accepted after SIGTERM.
const acceptTime = 300 * time.Millisecond

// TestShutdownAnswersRequestsInFlight guards against clients that get no answer because of a shutdown. A gateway
// accepts connections for a while after SIGTERM, answers all open requests, and then closes each connection.
func TestShutdownAnswersRequestsInFlight(t *testing.T) {
	retryWhenSlow(t, func() string {
		received, receivedLater, release := make(chan struct{}), make(chan struct{}), make(chan struct{})
		host := newHost(t, func(command []string) string {
			switch command[1] {
			case "0000000000000001":
				close(received)
				<-release
			case "0000000000000003":
				close(receivedLater)
			}
			return successReply("v")
		})
		gateway := startGateway(t, nil, host)
		idle, active := gateway.connect(), gateway.connect()
		idle.roundTrip(respArray("PING"))
		active.send(requestCommand("order", 1))
		receive(gateway, received)
		stopRequested := time.Now()
		gateway.cmd.Process.Signal(syscall.SIGTERM)
		gateway.waitForLog("event=shutdown_started")
		checkNewClientServed(gateway, stopRequested)
		gateway.waitForLog("event=listener_closed")
		answers := make(chan string, 2)
		go func() {
			for range 2 {
				answers <- active.readAnswer()
			}
		}()
		active.send(requestCommand("lookup", 3)) // while the previous request is in flight
		select {
		case <-receivedLater:
		case a := <-answers:
			close(release)
			return failUnlessLate(t, stopRequested, fmt.Sprintf("%q, but the host has not received the later request", a))
		}
		close(release)
		for range 2 {
			if a := receive(gateway, answers); a != "v" {
				return failUnlessLate(t, stopRequested, fmt.Sprintf("the answer is %q, want v", a))
			}
		}
		idle.Close()
		active.Close()
		if err := receive(gateway, gateway.exited); err != nil {
			t.Error(err)
		}
		return ""
	})
}

// checkNewClientServed checks that a client that connects right after SIGTERM is served. A failure later than
// acceptTime after the signal is ignored: on a slow machine the gateway may accept no clients by then.
func checkNewClientServed(gateway *gatewayProcess, stopRequested time.Time) {
	conn, err := net.Dial("tcp4", gateway.addr)
	if err != nil {
		if time.Since(stopRequested) < acceptTime {
			gateway.Error(err)
		}
		return
	}
	gateway.Cleanup(func() { conn.Close() })
	c := &testClient{gateway, conn, bufio.NewReader(conn)}
	if a := c.roundTrip(requestCommand("lookup", 2)); a != "v" && time.Since(stopRequested) < acceptTime {
		gateway.Errorf("a client that connects after SIGTERM reads %s, want v", a)
	}
}

// TestShutdownServesOpenConnections guards against lost commands of clients that go on sending on their open
// connections without checking for the end of the stream. Each command is answered long after the listener is closed,
// and all connections end before a platform may kill the process.
func TestShutdownServesOpenConnections(t *testing.T) {
	retryWhenSlow(t, func() string {
		gateway := startGateway(t, configureAmpleBurst, valueHost(t))
		var clients []*testClient
		for range 40 {
			clients = append(clients, gateway.connect())
		}
		n := 0
		sendAll := func() (served int) { // sends one command on each connection
			for _, c := range clients {
				if n++; c.roundTrip(requestCommand("lookup", n)) == "v" {
					served++
				}
			}
			return served
		}
		sendAll()
		stopRequested := time.Now()
		gateway.cmd.Process.Signal(syscall.SIGTERM)
		gateway.waitForLog("event=listener_closed")
		for i := range 3 {
			if served := sendAll(); served < len(clients) {
				fault := fmt.Sprintf("round %d after the listener closed: %d of %d answered", i, served, len(clients))
				return failUnlessLate(t, stopRequested, fault)
			}
		}
		for _, c := range clients { // the gateway closes first
			if a := c.readAnswer(); a != "EOF" {
				t.Errorf("a connection ends with %s, want EOF", a)
			}
		}
		if err := receive(gateway, gateway.exited); err != nil {
			t.Error(err)
		}
		return ""
	})
}

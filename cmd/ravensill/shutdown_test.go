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

// TestShutdownAnswersRequestsInFlight checks that a gateway accepts connections for a while after SIGTERM, answers all
// requests that it has, and then closes each connection.
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
		active.send(requestCommand("lookup", 3)) // while the one before is in flight
		select {
		case <-receivedLater:
		case a := <-answers:
			close(release)
			return faultUnlessLate(t, stopRequested, fmt.Sprintf("%q, and the host has not received the later request", a))
		}
		close(release)
		for range 2 {
			if a := receive(gateway, answers); a != "v" {
				return faultUnlessLate(t, stopRequested, fmt.Sprintf("%q, not v", a))
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

// checkNewClientServed connects a client right after SIGTERM. One that connects or is answered after acceptTime, on a
// machine that is slow, shows nothing.
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
		gateway.Errorf("a client that connects after SIGTERM: %s", a)
	}
}

// TestShutdownServesOpenConnections has clients that don't check for the end of the stream and go on sending on their
// open connections. Each command is answered long after the listener closed, and all connections end before a platform
// may kill the process.
func TestShutdownServesOpenConnections(t *testing.T) {
	retryWhenSlow(t, func() string {
		gateway := startGateway(t, configureAmpleBurst, valueHost(t))
		var clients []*testClient
		for range 40 {
			clients = append(clients, gateway.connect())
		}
		n := 0
		sendAll := func() (served int) { // one command each
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
				fault := fmt.Sprintf("repeat %d after the listener closed: %d of %d answered", i, served, len(clients))
				return faultUnlessLate(t, stopRequested, fault)
			}
		}
		for _, c := range clients { // the gateway closes first
			if a := c.readAnswer(); a != "EOF" {
				t.Errorf("at the end: %s", a)
			}
		}
		if err := receive(gateway, gateway.exited); err != nil {
			t.Error(err)
		}
		return ""
	})
}

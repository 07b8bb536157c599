package main

import (
	"bufio"
	"fmt"
	"net"
	"syscall"
	"testing"
	"time"
)

// TestStop checks that a stopping gateway accepts connections for a while, answers what it has, and then closes each connection.
func TestStop(t *testing.T) {
	retryWhenSlow(t, func() string {
		received, receivedLater, release := make(chan struct{}), make(chan struct{}), make(chan struct{})
		h := newHost(t, func(cmd []string) string {
			switch cmd[1] {
			case "0000000000000001":
				close(received)
				<-release
			case "0000000000000003":
				close(receivedLater)
			}
			return successReply("v")
		})
		gateway := startGateway(t, nil, h)
		idle, active := gateway.connect(), gateway.connect()
		idle.roundTrip(respArray("PING"))
		active.send(requestCommand("order", 1))
		receive(gateway, received)
		stopRequested := time.Now()
		gateway.cmd.Process.Signal(syscall.SIGTERM)
		gateway.waitForLog("event=shutdown_started")
		if c, err := net.Dial("tcp4", gateway.addr); err == nil {
			defer c.Close()
			late := &testClient{gateway, c, bufio.NewReader(c)}
			if a := late.roundTrip(requestCommand("lookup", 2)); a != "v" && time.Since(stopRequested) < 300*time.Millisecond {
				t.Errorf("new after the call to stop: %s", a)
			}
		} else if time.Since(stopRequested) < 300*time.Millisecond { // a machine that stood still tells nothing
			t.Error(err)
		}
		gateway.waitForLog("event=listener_closed")
		answers := make(chan string, 2)
		go func() {
			for range 2 {
				answers <- active.readAnswer()
			}
		}()
		active.send(requestCommand("lookup", 3)) // taken in while the one before is open
		select {
		case <-receivedLater:
		case a := <-answers:
			close(release)
			return faultUnlessLate(t, stopRequested, fmt.Sprintf("%q, and the host has not had what came later", a))
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

// TestStopServesOpenConnections has clients that don't look for the end of the stream and go on sending on their open
// connections. Of 40 with one command at a time each lost one, which crossed the half-close and was dropped unanswered. Each
// command is answered long after the listener closed, and all connections end before a platform may kill the process.
func TestStopServesOpenConnections(t *testing.T) {
	retryWhenSlow(t, func() string {
		h := newHost(t, func([]string) string { return successReply("v") })
		gateway := startGateway(t, func(_, settings map[string]any) { settings["plans"].([]any)[0].(map[string]any)["burst"] = 1e6 }, h)
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
				return faultUnlessLate(t, stopRequested, fmt.Sprintf("round %d after the listener closed: %d of %d have an answer", i, served, len(clients)))
			}
		}
		for _, c := range clients { // by itself
			if a := c.readAnswer(); a != "EOF" {
				t.Errorf("at last: %s", a)
			}
		}
		if err := receive(gateway, gateway.exited); err != nil {
			t.Error(err)
		}
		return ""
	})
}

package clients

import (
	"syscall"
	"testing"

	"ravensill/internal/logging"
	"ravensill/internal/sockets/socketstest"
)

// No error of accept(2) ends the accept loop: each concerns one connection, or passes.
func TestAcceptErrorKeepsAccepting(t *testing.T) {
	errnos := []syscall.Errno{
		syscall.ECONNABORTED,
		syscall.EMFILE,
		syscall.ENFILE,
		syscall.ENOBUFS,
		syscall.ENOMEM,
		syscall.EINTR,
		syscall.EPERM,
		syscall.EPROTO,
		syscall.ENETUNREACH,
		syscall.EHOSTUNREACH,
		syscall.ETIMEDOUT,
	}
	for _, errno := range errnos {
		t.Run(errno.Error(), func(t *testing.T) {
			system := socketstest.New(1, nil)
			system.Script(socketstest.Accept, socketstest.ErrorScript(errno, errno)...)
			server := newTestServerOn(t, system, 9)
			if errno == syscall.ECONNABORTED { // two connections are lost with it
				server.dial()
				server.dial()
			}
			client := server.connect()
			client.sendText(command(verbPing))
			server.runLoop("received", func() bool { return client.conn.commandCount == 1 })
			server.Flush()
			if answer := client.readLine(); answer != "+PONG" {
				t.Error(answer)
			}
		})
	}
}

// Connections that the system completed before StopAccepting, while the loop was busy, are served.
func TestStopAcceptingServesCompletedConnections(t *testing.T) {
	const count = 20
	server := newTestServer(t, 99)
	var clients []*testClient
	for range count {
		client := server.newClient()
		client.sendText(command(verbPing))
		clients = append(clients, client)
	}
	server.StopAccepting()
	server.runLoop("accept loop ended", func() bool { return !server.accepting })
	server.runLoop("all commands received", func() bool {
		n := 0
		for conn := range server.conns {
			n += conn.commandCount
		}
		return n == count
	})
	server.Flush()
	for i, client := range clients {
		if answer := client.readLine(); answer != "+PONG" {
			t.Errorf("connection %d of %d: %s", i, count, answer)
		}
	}
}

// writerFunc is a function as a writer.
type writerFunc func(line []byte) (int, error)

func (f writerFunc) Write(line []byte) (int, error) { return f(line) }

// A command that is read between the choice of the connection to evict and its close keeps the connection open, and is
// answered.
func TestCommandReadDuringEvictionIsAnswered(t *testing.T) {
	server := newTestServer(t, 1)
	client := server.connect()
	client.send("first")
	server.runUntilRequests(1)
	server.reject(0)
	server.clock.Add(int64(logInterval + 1))
	sendSecond := writerFunc(func(line []byte) (int, error) { // the log line is written between the choice and the close
		client.send("second")
		client.waitUntilRead("second read")
		return len(line), nil
	})
	restoreLog := logging.SetOutput(sendSecond)
	defer restoreLog()
	server.evictConn()
	server.runUntilRequests(2)
	server.reject(1)
	if first, second := client.readLine(), client.readLine(); first != "-BUSY" || second != "-BUSY" {
		t.Errorf("answers %q and %q", first, second)
	}
}

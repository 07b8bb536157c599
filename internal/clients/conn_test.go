package clients

import (
	"strings"
	"testing"
	"time"

	"ravensill/internal/golden"
)

// A command whose time is over, and whose rest is read and not yet received by the loop, is answered as a complete one.
func TestCompleteCommandIsNotOverdue(t *testing.T) {
	server := newTestServer(t, 9)
	client := server.connect()
	text := getCommand("slow")
	client.sendPartial(text[:30])
	client.sendText(text[30:])
	client.waitUntilRead("the rest read")
	server.advance(commandTimeout + 1)
	server.CloseOverdue()
	server.runUntilRequests(1)
	server.reject(0)
	if got := client.readLine(); got != "-BUSY" {
		t.Errorf("answer %q", got)
	}
}

// A command that arrives as an idle connection is closed is answered if it is read before the close, and else never
// starts: its client sees the end of the stream, not a reset.
func TestCommandCrossingCloseIsAnsweredOrNeverStarted(t *testing.T) {
	closers := []struct {
		name  string
		close func(server *testServer)
	}{
		{"overdue", func(server *testServer) { server.CloseOverdue() }},
		{"evicted", func(server *testServer) { server.evictConn() }},
		{"draining", func(server *testServer) { server.Drain() }},
	}
	var trace strings.Builder
	for _, closer := range closers {
		server := newTestServer(t, 1)
		client := server.connect()
		client.crossClose(closer.name, func() { closer.close(server) })
		trace.WriteString(server.trace.String())
	}
	golden.Check(t, trace.String())
}

// crossClose closes the connection of a client three times as a command crosses the close, and records the outcome: the
// command is on its way to the loop, none is on its way, or it comes after the close.
func (c *testClient) crossClose(name string, closeConn func()) {
	c.Helper()
	server := c.testServer
	isClosed := func() bool { return c.conn.closed || c.conn.halfClosed }
	c.send("first")
	server.runUntilRequests(1)
	server.requests[0].Succeed([]byte("one"))
	server.Flush()

	server.advance(idleTimeout + 1)
	c.send("second")
	server.waitFor("second read", func() bool {
		return c.conn.link.ReadCount() > c.conn.readsSeen && len(server.work) > 0
	})
	closeConn()
	server.runLoop("second arrived, or closed", func() bool { return len(server.requests) == 2 || c.conn.closed })
	server.record("%s: a command on its way: %d arrived, closed %t", name, len(server.requests), isClosed())
	if len(server.requests) == 2 {
		server.requests[1].Succeed([]byte("two"))
	}
	server.Flush()

	server.advance(idleTimeout + 1)
	server.runLoop("quiet", func() bool { return c.conn.halfClosed || c.conn.link.NoInputSince(c.conn.readsSeen) })
	closeConn()
	server.record("%s: nothing on its way: closed %t", name, isClosed())

	c.send("third") // before the client has read the answers
	server.record("%s: its client gets %s %s %s %s, then %s",
		name, c.readLine(), c.readLine(), c.readLine(), c.readLine(), c.readLine())
	c.Close()
	c.runUntilClosed()
	server.record("%s: %d arrived, %d open", name, len(server.requests), server.ConnCount())
}

// Commands that arrive behind a partial one whose time is over, until the connection can end, are answered.
func TestCommandsBehindTimeoutAreAnswered(t *testing.T) {
	server := newTestServer(t, 9)
	client := server.connect()
	client.send("unanswered")
	server.runUntilRequests(1)
	text := getCommand("late")
	client.sendPartial(text[:30])
	server.advance(commandTimeout + 1)
	server.CloseOverdue()
	client.sendText(text[30:])
	client.send("next")
	server.runLoop("both received", func() bool { return client.conn.commandCount == 3 })
	server.reject(0)
	for range 5 {
		server.record("%s", client.readLine())
	}
	server.record("%d arrived", len(server.requests))
	golden.Check(t, server.trace.String())
}

// After a panic under one of three pipelined commands each is answered, in order, and the connection is still served.
func TestPanicUnderCommandIsAnswered(t *testing.T) {
	server := newTestServer(t, 9)
	client := server.connect()
	client.send("a", "panic", "b")
	server.runUntilRequests(2)
	server.requests[1].Succeed([]byte("b"))
	server.requests[0].Succeed([]byte("a"))
	client.send("c")
	server.runUntilRequests(3)
	server.reject(2)
	for range 6 {
		server.record("%s", client.readLine())
	}
	golden.Check(t, server.trace.String())
}

// stall sends requests that are answered until the client's side accepts no more bytes.
func (c *testClient) stall() {
	c.Helper()
	c.send(requestIDs(maxInFlight)...)
	c.runUntilRequests(maxInFlight)
	for i := 0; c.conn.stalledSince == 0; i++ {
		c.requests[i].Succeed(make([]byte, 60<<10))
		c.Flush()
	}
}

// A client that reads no answers and never closes is disconnected in the end, also if its connection is to end anyway.
func TestClientThatReadsNothingIsDisconnected(t *testing.T) {
	for _, closing := range []bool{false, true} {
		server := newTestServer(t, 9)
		client := server.connect()
		client.stall()
		if closing {
			client.conn.closeOnFault(errTooManyMalformed)
		}
		for _, step := range []time.Duration{writeStallTimeout, 1} {
			server.advance(step)
			server.CloseOverdue()
			server.record("closing %t: open %d", closing, server.ConnCount())
		}
		if !closing {
			golden.Check(t, server.trace.String())
		} else if server.ConnCount() > 0 {
			t.Error("a connection that is to end stays open")
		}
	}
}

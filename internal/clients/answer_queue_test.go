package clients

import (
	"bytes"
	"fmt"
	"io"
	"strconv"
	"strings"
	"testing"
	"time"

	"ravensill/internal/resp"
)

// valueOf returns a value of size bytes that differs from those of other requests.
func valueOf(request, size int) []byte { return bytes.Repeat([]byte{byte('a' + request%26)}, size) }

// readAnswer returns the next answer: the value, or the line of any other answer. If the stream ends, it returns the
// error's text.
func (c *testClient) readAnswer() string {
	line := c.readLine()
	size, isValue := strings.CutPrefix(line, "$")
	if !isValue {
		return line
	}
	n, err := strconv.Atoi(size)
	if err != nil {
		return line
	}
	value := make([]byte, n+len("\r\n"))
	if _, err := io.ReadFull(c.reader, value); err != nil {
		return err.Error()
	}
	return string(value[:n])
}

// readAnswers reads n answers while the test runs the event loop, and returns them.
func (c *testClient) readAnswers(n int) (answers []string) {
	c.Helper()
	done := make(chan []string)
	go func() {
		var all []string
		for range n {
			all = append(all, c.readAnswer())
		}
		done <- all
	}()
	c.runLoop(fmt.Sprintf("%d answers read", n), func() bool {
		select {
		case answers = <-done:
			return true
		default:
			return false
		}
	})
	return answers
}

// checkValues fails the test unless the answers are the values of the requests, in order.
func (c *testClient) checkValues(answers []string, size int) {
	c.Helper()
	for i, answer := range answers {
		if answer != string(valueOf(i, size)) {
			c.Fatalf("answer %d of %d is %.60q (%d bytes), not its value", i, len(answers), answer, len(answer))
		}
	}
}

// succeedAll answers the requests from the index first on with values.
func (s *testServer) succeedAll(first, size int) {
	for i := first; i < len(s.requests); i++ {
		s.requests[i].Succeed(valueOf(i, size))
	}
}

// TestPipelinedAnswersAreAllWritten guards against a connection that the gateway closes because more bytes of answers
// become ready at once than its output buffer holds, although its client reads: the requests on it got no answer.
func TestPipelinedAnswersAreAllWritten(t *testing.T) {
	const kib = 1 << 10
	sizes := []struct{ count, size int }{{200, 2 * kib}, {30, 24 * kib}, {12, resp.MaxBulkBytes}}
	cases := []struct {
		name   string
		answer func(c *testClient, size int)
		end    string // what the client reads after the values
	}{
		{"behind a missing answer", func(c *testClient, size int) {
			c.succeedAll(1, size)
			c.Flush()
			c.requests[0].Succeed(valueOf(0, size))
		}, ""},
		{"in one iteration of the loop", func(c *testClient, size int) { c.succeedAll(0, size) }, ""},
		{"before malformed bytes", func(c *testClient, size int) {
			c.sendText("malformed\r\n")
			c.succeedAll(1, size)
			c.runLoop("the end is received", func() bool { return c.conn.closing })
			c.requests[0].Succeed(valueOf(0, size))
		}, "-ERR unknown kind of value"},
		{"while the server drains", func(c *testClient, size int) {
			c.succeedAll(1, size)
			c.Drain()
			c.requests[0].Succeed(valueOf(0, size))
		}, "EOF"},
		{"before an incomplete command that is overdue", func(c *testClient, size int) {
			c.sendPartial(getCommand("late")[:30])
			c.advance(commandTimeout + 1)
			c.CloseOverdue()
			c.succeedAll(1, size)
			c.requests[0].Succeed(valueOf(0, size))
		}, "-ERR " + errCommandTimeout.Error()},
	}
	for _, test := range cases {
		for _, s := range sizes {
			t.Run(fmt.Sprintf("%s, %d of %d bytes", test.name, s.count, s.size), func(t *testing.T) {
				client := newTestServer(t, 9).connect()
				client.send(requestIDs(s.count)...)
				client.runUntilRequests(s.count)
				test.answer(client, s.size)
				client.checkValues(client.readAnswers(s.count), s.size)
				if test.end == "" {
					return
				}
				if end := client.readAnswers(1); end[0] != test.end {
					t.Errorf("the client reads %q behind the values, want %q", end[0], test.end)
				}
			})
		}
	}
}

// TestSlowReaderGetsAllAnswers guards against a client that is disconnected although it reads, because it reads more
// slowly than its requests are answered.
func TestSlowReaderGetsAllAnswers(t *testing.T) {
	const size = 60 << 10
	client := newTestServer(t, 9).connect()
	client.send(requestIDs(maxInFlight)...)
	client.runUntilRequests(maxInFlight)
	for i, request := range client.requests {
		request.Succeed(valueOf(i, size))
		client.Flush()
	}
	if client.conn.closed {
		t.Fatal("a client is disconnected before it had time to read")
	}
	if client.conn.stalledSince == 0 {
		t.Fatal("the socket accepts all answers, so that the test shows nothing")
	}
	var answers []string
	for client.conn.stalledSince > 0 {
		client.advance(writeStallTimeout - time.Second)
		client.CloseOverdue()
		sent := client.conn.sentTotal
		if client.conn.closed {
			t.Fatal("a client that reads is disconnected")
		}
		for client.conn.sentTotal == sent { // the kernel may need several reads before it accepts more
			answers = append(answers, client.readAnswer())
			client.Flush()
		}
	}
	client.checkValues(append(answers, client.readAnswers(maxInFlight-len(answers))...), size)
}

// TestConnIsNotEvictedWithAnswersInTransit guards against the eviction of a connection whose client has not received
// the answers yet, because it read so slowly that they were written long after they were set.
func TestConnIsNotEvictedWithAnswersInTransit(t *testing.T) {
	client := newTestServer(t, 1).connect()
	client.send(requestIDs(maxInFlight)...)
	client.runUntilRequests(maxInFlight)
	client.succeedAll(0, 60<<10)
	client.Flush()
	client.advance(writeStallTimeout / 2)
	client.readAnswers(maxInFlight)
	client.evictConn()
	if client.conn.closed {
		t.Error("the connection is evicted right after its answers were written")
	}
	client.advance(answerTransit + 1)
	client.evictConn()
	if !client.conn.closed {
		t.Error("the idle connection is not evicted")
	}
}

// TestFlushEndsDespiteNewCommands guards against an event loop that never gets to other connections, because a client's
// commands are answered at once and its reader adds further ones meanwhile.
func TestFlushEndsDespiteNewCommands(t *testing.T) {
	const endless = 100 * maxInFlight
	server := newTestServer(t, 9)
	client := server.connect()
	started := 0
	var run func(*Answer)
	run = func(a *Answer) {
		a.Reject(0)
		started++
		if started < endless {
			client.conn.enqueue(0, run)
		}
	}
	client.conn.enqueue(0, run)
	client.conn.receive()
	for calls := 1; started < endless; calls++ {
		if limit := (calls + 1) * maxInFlight; started > limit {
			t.Fatalf("%d commands are started after %d calls of Flush, over %d", started, calls, limit)
		}
		if !server.FlushDue() {
			t.Fatal("commands are queued that may start, but no flush is due")
		}
		server.Flush()
	}
}

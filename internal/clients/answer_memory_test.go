package clients

import (
	"fmt"
	"testing"

	"ravensill/internal/resp"
)

// checkAnswerMemory fails the test if the bytes counted as used differ from those of the answers that wait, or exceed
// the limit by more than one answer for each connection.
func (s *testServer) checkAnswerMemory() {
	s.Helper()
	waiting := 0
	for conn := range s.conns {
		waiting += conn.out.Len()
		for _, answer := range conn.pending {
			waiting += len(answer.text)
		}
	}
	if s.memory.used != waiting {
		s.Errorf("%d bytes are counted, but %d wait", s.memory.used, waiting)
	}
	if limit := s.memory.limit + len(s.conns)*(resp.MaxBulkBytes+maxReplyHeader); waiting > limit {
		s.Errorf("%d bytes of answers wait, over the limit of %d", waiting, limit)
	}
}

// TestAnswerMemoryIsBounded guards against a gateway that is killed for its memory, because answers of many connections
// wait behind missing ones. Each request is answered, some with an error in place of the value, and a client that waits
// for nothing gets all its values meanwhile.
func TestAnswerMemoryIsBounded(t *testing.T) {
	const size, perClient = resp.MaxBulkBytes, 40
	server := newTestServer(t, 9)
	server.memory.limit = 1 << 20
	var blocked []*testClient
	for range 4 {
		client := server.connect()
		first := len(server.requests)
		client.send(requestIDs(perClient)...)
		server.runLoop("started", func() bool { return len(server.requests) == first+perClient })
		for _, answer := range server.requests[first+1:] { // the first one is missing
			answer.Succeed(valueOf(0, size))
			server.checkAnswerMemory()
		}
		blocked = append(blocked, client)
	}

	reading := server.connect()
	first := len(server.requests)
	reading.send(requestIDs(perClient)...)
	server.runLoop("started", func() bool { return len(server.requests) == first+perClient })
	for i, answer := range server.requests[first:] {
		answer.Succeed(valueOf(i, size))
		server.checkAnswerMemory()
		if got := reading.readAnswers(1)[0]; got != string(valueOf(i, size)) {
			t.Fatalf("a client that reads gets %.60q", got)
		}
	}

	for k, client := range blocked {
		server.requests[k*perClient].Succeed(valueOf(0, size))
		server.checkAnswerMemory()
		values, dropped := 0, 0
		for _, answer := range client.readAnswers(perClient) {
			switch answer {
			case string(valueOf(0, size)):
				values++
			case "-ERR " + errAnswerDropped.Error():
				dropped++
			default:
				t.Fatalf("answer %.60q", answer)
			}
		}
		if values == 0 || dropped == 0 {
			t.Errorf("client %d: %d values and %d dropped, want some of both", k, values, dropped)
		}
	}
	server.checkAnswerMemory()
	if server.memory.used != 0 {
		t.Errorf("%d bytes are counted after all answers were read", server.memory.used)
	}
}

// TestAnswerIsOfferedToSocketBeforeItIsDropped guards against dropped values of a client that reads: in one iteration
// of the loop, more of its requests are answered than there is memory for.
func TestAnswerIsOfferedToSocketBeforeItIsDropped(t *testing.T) {
	const size, count = resp.MaxBulkBytes, 12
	server := newTestServer(t, 9)
	server.memory.limit = 4 * size
	client := server.connect()
	client.send(requestIDs(count)...)
	server.runUntilRequests(count)
	server.succeedAll(0, size)
	client.checkValues(client.readAnswers(count), size)
}

// TestCommandsWaitForAnswerMemory guards against requests that run although there is no memory for their answers: they
// stay queued until answers before them are written, and are answered then.
func TestCommandsWaitForAnswerMemory(t *testing.T) {
	const size = resp.MaxBulkBytes
	server := newTestServer(t, 9)
	server.memory.limit = 4 * size
	client := server.connect()
	client.send("0", "1", "2", "3")
	server.runUntilRequests(4)
	for _, answer := range server.requests[1:] {
		answer.Succeed(valueOf(0, size))
	}
	client.send("4")
	server.runLoop("received", func() bool { return client.conn.loadQueuedBytes() > 0 })
	server.Flush()
	if len(server.requests) != 4 {
		t.Error("a command started without memory for its answer")
	}
	server.requests[0].Succeed(valueOf(0, size))
	server.runUntilRequests(5)
	server.reject(4)
	if last := client.readAnswers(5)[4]; last != "-BUSY" {
		t.Errorf("the command that waited is answered %.60q", last)
	}
}

// TestClosedConnReleasesAnswerMemory guards against a limit that closed connections use up.
func TestClosedConnReleasesAnswerMemory(t *testing.T) {
	server := newTestServer(t, 9)
	for i := range 3 {
		client := server.connect()
		client.send(fmt.Sprint("missing", i), fmt.Sprint("set", i))
		server.runUntilRequests(2 * (i + 1))
		server.requests[2*i+1].Succeed(valueOf(0, resp.MaxBulkBytes))
		client.Close()
		client.runUntilClosed()
		server.checkAnswerMemory()
	}
	if server.memory.used != 0 {
		t.Errorf("%d bytes are counted without a connection", server.memory.used)
	}
}

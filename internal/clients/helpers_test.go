package clients

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"ravensill/gateway"
	"ravensill/internal/clock"
	"ravensill/internal/resp"
	"ravensill/internal/sockets"
)

// testTimeout is the time after which a test that waits fails.
const testTimeout = 20 * time.Second

// startCatalog is the catalog of the tests' servers.
var startCatalog = CatalogConfig{
	Classes:  []string{"lookup", "order"},
	Effects:  []gateway.Effect{gateway.Idempotent, gateway.Deduplicated},
	Plans:    []string{"basic", "team"},
	MaxUnits: []float64{8, 8},
	Members:  3,
	OwnIndex: 1,
}

const (
	testCustomer  = "00000000b4d65521"
	testArguments = "c=lookup,t=team,d=480,units=2,spread=3,first=1"
)

// command returns words as an array of bulk strings.
func command(words ...string) string {
	text := resp.AppendArrayHeader(nil, len(words))
	for _, word := range words {
		text = resp.AppendBulk(text, word)
	}
	return string(text)
}

// getCommand returns a request with an id that the servers of the tests accept.
func getCommand(id string) string { return command(verbGet, testCustomer, id, testArguments) }

// testServer is a server whose loop the test runs: functions for the loop stay in work until then.
type testServer struct {
	*testing.T
	*Server
	addr      string
	work      chan func()
	clock     atomic.Int64   // nanoseconds
	requests  []*Answer      // the answers of requests received, in order
	connected map[*Conn]bool // connections of clients that connect has returned
	trace     strings.Builder
}

// newTestServer listens on a loopback port. A request with the id "panic" panics in its handler.
func newTestServer(t *testing.T, maxConns int) *testServer {
	return newTestServerOn(t, sockets.Kernel{}, maxConns)
}

// newTestServerOn is newTestServer with the system calls of system.
func newTestServerOn(t *testing.T, system sockets.System, maxConns int) *testServer {
	s := &testServer{T: t, work: make(chan func(), 99), connected: map[*Conn]bool{}}
	s.clock.Store(1)
	onRequest := func(answer *Answer, request *Request) {
		if request.ID == "panic" {
			panic("fault")
		}
		s.requests = append(s.requests, answer)
	}
	runOnLoop := func(f func()) { s.work <- f }
	now := func() clock.Instant { return clock.Instant(s.clock.Load()) }
	s.Server = NewServer(system, NewCatalog(startCatalog), maxConns, runOnLoop, now, onRequest)
	listener, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.CloseAll)
	s.addr = listener.Addr().String()
	s.StartAccepting(listener)
	return s
}

// record adds a line to the trace.
func (s *testServer) record(format string, values ...any) {
	fmt.Fprintf(&s.trace, format+"\n", values...)
}

// advance sets the clock forward, by a process that has not paused meanwhile.
func (s *testServer) advance(d time.Duration) {
	s.clock.Add(int64(d))
	s.lastSweep = s.now()
}

// waitFor waits for a condition that readers and sockets bring about by themselves.
func (s *testServer) waitFor(what string, condition func() bool) {
	s.Helper()
	deadline := time.Now().Add(testTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			s.Fatalf("never: %s; so far:\n%s", what, s.trace.String())
		}
		time.Sleep(time.Millisecond)
	}
}

// runLoop runs the loop until a condition holds, as the node does.
func (s *testServer) runLoop(what string, condition func() bool) {
	s.Helper()
	s.waitFor(what, func() bool {
		for n := len(s.work); n > 0; n-- {
			(<-s.work)()
		}
		s.Flush()
		return condition()
	})
}

// runUntilRequests runs the loop until n requests have been received.
func (s *testServer) runUntilRequests(n int) {
	s.Helper()
	s.runLoop(fmt.Sprintf("%d requests", n), func() bool { return len(s.requests) == n })
}

// reject rejects all requests received from a first one on, and flushes the answers.
func (s *testServer) reject(first int) {
	for _, answer := range s.requests[first:] {
		answer.Reject(0)
	}
	s.Flush()
}

// dial opens a connection that the system completes, whether the server accepts it or not.
func (s *testServer) dial() *net.TCPConn {
	s.Helper()
	conn, err := net.Dial("tcp4", s.addr)
	if err != nil {
		s.Fatal(err)
	}
	s.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(testTimeout))
	return conn.(*net.TCPConn)
}

// testClient is a client connected to a testServer.
type testClient struct {
	*testServer
	*net.TCPConn
	reader *bufio.Reader
	conn   *Conn // the server's end; nil until the loop has registered it
}

// newClient returns a client whose connection the system completes.
func (s *testServer) newClient() *testClient {
	s.Helper()
	conn := s.dial()
	return &testClient{testServer: s, TCPConn: conn, reader: bufio.NewReader(conn)}
}

// connect connects a client and waits until the loop has registered it.
func (s *testServer) connect() *testClient {
	s.Helper()
	client := s.newClient()
	s.runLoop("registered", func() bool {
		for conn := range s.conns {
			if !s.connected[conn] {
				s.connected[conn] = true
				client.conn = conn
			}
		}
		return client.conn != nil
	})
	return client
}

// sendText sends bytes.
func (c *testClient) sendText(text string) { io.WriteString(c.TCPConn, text) }

// send sends one request for each id.
func (c *testClient) send(ids ...string) {
	text := ""
	for _, id := range ids {
		text += getCommand(id)
	}
	c.sendText(text)
}

// readLine returns the next line, or the error that ended the stream.
func (c *testClient) readLine() string {
	line, err := c.reader.ReadString('\n')
	if err != nil {
		return line + err.Error()
	}
	return strings.TrimSuffix(line, "\r\n")
}

// waitUntilRead waits until the reader has read more than the loop has received.
func (c *testClient) waitUntilRead(what string) {
	c.Helper()
	c.waitFor(what, func() bool { return c.conn.link.ReadCount() > c.conn.readsSeen })
}

// waitUntilGone waits until the reader has seen the end of the connection.
func (c *testClient) waitUntilGone() {
	c.Helper()
	c.waitFor("the client is gone", c.conn.clientGone.Load)
}

// runUntilClosed runs the loop until it has closed the connection.
func (c *testClient) runUntilClosed() {
	c.Helper()
	c.runLoop("closed", func() bool { return c.conn.closed })
}

// sendPartial sends a part of a command and waits until the loop has received it.
func (c *testClient) sendPartial(text string) {
	c.Helper()
	c.sendText(text)
	c.runLoop("a part received", func() bool { return c.conn.partialSince > 0 })
}

// requestIDs returns n different ids.
func requestIDs(n int) []string {
	var ids []string
	for i := range n {
		ids = append(ids, fmt.Sprint("r", i))
	}
	return ids
}

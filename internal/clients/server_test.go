package clients

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"ravensill/internal/golden"
	"ravensill/internal/logging"
	"ravensill/internal/sockets"
	"ravensill/internal/sockets/socketstest"
)

// testServer is a server whose loop the test runs: functions for the loop stay in work until then.
type testServer struct {
	*testing.T
	*Server
	work      chan func()
	clock     atomic.Int64
	requests  []*Answer      // the answers of requests received, in order
	connected map[*Conn]bool // connections of clients that connect has returned
	trace     strings.Builder
	addr      string
}

// newTestServer listens on a loopback port. A request with the id "panic" panics in its handler.
func newTestServer(t *testing.T, maxConns int) *testServer {
	return newTestServerOn(t, sockets.Kernel{}, maxConns)
}

func newTestServerOn(t *testing.T, system sockets.System, maxConns int) *testServer {
	s := &testServer{T: t, work: make(chan func(), 99), connected: map[*Conn]bool{}}
	s.clock.Store(1)
	s.Server = NewServer(system, NewCatalog(startCatalog), maxConns, func(f func()) { s.work <- f }, s.clock.Load, func(answer *Answer, request *Request) {
		if request.ID == "panic" {
			panic("fault")
		}
		s.requests = append(s.requests, answer)
	})
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
func (s *testServer) record(text string) { fmt.Fprintln(&s.trace, text) }

// waitFor waits for a condition that readers and sockets bring about by themselves.
func (s *testServer) waitFor(what string, condition func() bool) {
	s.Helper()
	for limit := time.Now().Add(20 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(limit) {
			s.Fatalf("never: %s; so far:\n%s", what, s.trace.String())
		}
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

// testClient is a client connected to a testServer.
type testClient struct {
	*testServer
	*net.TCPConn
	reader *bufio.Reader
	conn   *Conn // the server's end
}

// dial opens a connection that the system completes, whether the server accepts it or not.
func (s *testServer) dial() net.Conn {
	s.Helper()
	conn, err := net.Dial("tcp4", s.addr)
	if err != nil {
		s.Fatal(err)
	}
	s.Cleanup(func() { conn.Close() })
	return conn
}

// connect connects a client and waits until the loop has registered it.
func (s *testServer) connect() *testClient {
	s.Helper()
	conn := s.dial()
	conn.SetDeadline(time.Now().Add(20 * time.Second))
	client := &testClient{testServer: s, TCPConn: conn.(*net.TCPConn), reader: bufio.NewReader(conn)}
	s.runLoop("known", func() bool {
		for k := range s.conns {
			if !s.connected[k] {
				s.connected[k], client.conn = true, k
			}
		}
		return client.conn != nil
	})
	return client
}

// send sends one request for each id.
func (c *testClient) send(ids ...string) {
	text := ""
	for _, id := range ids {
		text += command("CALL.GET", get, id, list)
	}
	io.WriteString(c.TCPConn, text)
}

// readLine returns the next line, or the error that ended the stream.
func (c *testClient) readLine() string {
	line, err := c.reader.ReadString('\n')
	if err != nil {
		return line + err.Error()
	}
	return strings.TrimSuffix(line, "\r\n")
}

// requestIDs returns n different ids.
func requestIDs(n int) (ids []string) {
	for i := range n {
		ids = append(ids, fmt.Sprint("r", i))
	}
	return ids
}

// TestFloodOfClientThatLeaves has a client pipeline far more commands than may be in flight and disconnect while they are queued, and another
// while the first of them are in flight. The reader once waited for a place in flight, did not see the end, and all commands were
// sent on one after the other.
func TestFloodOfClientThatLeaves(t *testing.T) {
	server := newTestServer(t, 9)
	a, b := server.connect(), server.connect()
	a.send(requestIDs(1000)...)
	a.Close()
	server.waitFor("the end seen", a.conn.clientGone.Load)
	server.runLoop("ended", func() bool { return a.conn.closed })
	server.record(fmt.Sprintf("of a client gone before the loop turned: %d arrived", len(server.requests)))
	b.send(requestIDs(1000)...)
	server.runLoop("as many open as may be", func() bool { return len(server.requests) == maxInFlight })
	b.Close()
	server.waitFor("the end seen", b.conn.clientGone.Load)
	for _, answer := range server.requests[:9] {
		if !answer.IsClientGone() {
			t.Error("an open one is not told as gone")
		}
		answer.Reject(0) // the module has not heard of it
	}
	server.Flush() // nor has the loop, yet no other takes their places
	server.runLoop("ended", func() bool { return b.conn.closed })
	server.record(fmt.Sprintf("of one that goes later: %d arrived", len(server.requests)))
	golden.Check(t, server.trace.String())
}

// TestFloodOfClientThatStays has a client pipeline more than its reader queues, and stay: reading waits and goes on, and each command is
// answered.
func TestFloodOfClientThatStays(t *testing.T) {
	server := newTestServer(t, 9)
	client := server.connect()
	go client.send(requestIDs(9000)...)
	server.waitFor("the reader waits", func() bool {
		client.conn.mu.Lock()
		defer client.conn.mu.Unlock()
		return client.conn.queuedBytes > maxQueuedBytes
	})
	answers := make(chan int)
	go func() {
		n := 0
		for ; n < 9000 && client.readLine() == "-BUSY"; n++ {
		}
		answers <- n
	}()
	server.runLoop("all answered", func() bool {
		for _, answer := range server.requests {
			answer.Reject(0)
		}
		server.requests = nil
		select {
		case n := <-answers:
			server.record(fmt.Sprintf("%d answers; %d bytes ahead, %d open", n, client.conn.queuedBytes, len(client.conn.waiting)))
			return true
		default:
			return false
		}
	})
	golden.Check(t, server.trace.String())
}

// TestEndBehindFullQueue has a client pipeline more than its reader queues, and close, while no command in flight is answered. The
// reader must come to the end all the same, and no queued command may start any more.
func TestEndBehindFullQueue(t *testing.T) {
	server := newTestServer(t, 9)
	client := server.connect()
	go func() {
		for range 30 { // several times the queue
			client.send(requestIDs(1000)...)
		}
		client.CloseWrite() // no reset tells of it where answers are written
	}()
	server.runLoop("the end seen", client.conn.clientGone.Load)
	for _, answer := range server.requests[:9] {
		answer.Reject(0)
	}
	server.runLoop("ended", func() bool { return client.conn.closed })
	if len(server.requests) != maxInFlight {
		t.Errorf("%d requests arrived, %d of them after the end", len(server.requests), len(server.requests)-maxInFlight)
	}
}

// TestEndBehindMalformedBytes has a client send more commands than may be in flight, then bytes that can't be understood and its
// end: the commands that wait must not start any more.
func TestEndBehindMalformedBytes(t *testing.T) {
	server := newTestServer(t, 9)
	client := server.connect()
	client.SetWriteBuffer(8 << 20)
	client.send(requestIDs(2 * maxInFlight)...)
	server.runLoop("as many open as may be", func() bool { return len(server.requests) == maxInFlight })
	go func() {
		io.WriteString(client.TCPConn, strings.Repeat("malformed\r\n", 100_000))
		client.CloseWrite()
	}()
	server.waitFor("the end seen", client.conn.clientGone.Load)
	for _, answer := range server.requests[:9] {
		answer.Reject(0)
	}
	server.runLoop("ended", func() bool { return client.conn.closed })
	if len(server.requests) != maxInFlight {
		t.Errorf("%d requests arrived, %d of them after the end", len(server.requests), len(server.requests)-maxInFlight)
	}
}

// writerFunc is a function as a writer.
type writerFunc func(line []byte) (int, error)

func (f writerFunc) Write(line []byte) (int, error) { return f(line) }

// TestCommandReadUnderEviction has a command read between the choice of the connection that makes room and its close: the
// connection stays, and the command is answered.
func TestCommandReadUnderEviction(t *testing.T) {
	server := newTestServer(t, 1)
	client := server.connect()
	client.send("first")
	server.runLoop("first arrived", func() bool { return len(server.requests) == 1 })
	server.requests[0].Reject(0)
	server.Flush()
	server.clock.Add(logInterval + 1)
	restoreLog := logging.SetOutput(writerFunc(func(line []byte) (int, error) { // of the line between the two
		client.send("second")
		server.waitFor("second read", func() bool { return client.conn.link.Reads() > client.conn.readsSeen })
		return len(line), nil
	}))
	defer restoreLog()
	server.makeRoom()
	server.runLoop("second arrived", func() bool { return len(server.requests) == 2 })
	server.requests[1].Reject(0)
	server.Flush()
	if first, second := client.readLine(), client.readLine(); first != "-BUSY" || second != "-BUSY" {
		t.Errorf("answers %q and %q", first, second)
	}
}

// TestWholeCommandIsNotOverdue has the rest of a slow command read when its time is up, and not yet received by the loop: it is
// answered as the command that it is.
func TestWholeCommandIsNotOverdue(t *testing.T) {
	server := newTestServer(t, 9)
	client := server.connect()
	text := command("CALL.GET", get, "slow", list)
	io.WriteString(client.TCPConn, text[:30])
	server.runLoop("half of it read", func() bool { return client.conn.partialSince > 0 })
	io.WriteString(client.TCPConn, text[30:])
	server.waitFor("the rest read", func() bool { return client.conn.link.Reads() > client.conn.readsSeen })
	server.clock.Add(commandTimeout + 1)
	server.lastSweep = server.now()
	server.CloseOverdue()
	server.runLoop("arrived", func() bool { return len(server.requests) == 1 })
	server.requests[0].Reject(0)
	server.Flush()
	if got := client.readLine(); got != "-BUSY" {
		t.Errorf("answer %q", got)
	}
}

// TestCommandCrossesClose ends an idle connection, by its timeout, to make room, or while draining, as a command comes: read and
// on its way to the loop, unread, or after the close. The first two are answered; the last is never sent on, and its client sees
// the end of the stream, not a reset.
func TestCommandCrossesClose(t *testing.T) {
	var all strings.Builder
	for _, test := range []struct {
		name  string
		close func(server *testServer)
	}{{"tidy", func(server *testServer) { server.CloseOverdue() }}, {"room", func(server *testServer) { server.makeRoom() }}, {"retire", func(server *testServer) { server.Drain() }}} {
		server := newTestServer(t, 1)
		client := server.connect()
		client.send("first")
		server.runLoop("first arrived", func() bool { return len(server.requests) == 1 })
		server.requests[0].Succeed([]byte("one"))
		server.Flush()
		server.clock.Add(idleTimeout + 1)
		server.lastSweep = server.now() // it did not stand still
		client.send("second")
		server.waitFor("second read", func() bool { return client.conn.link.Reads() > client.conn.readsSeen && len(server.work) > 0 })
		test.close(server)
		server.runLoop("second arrived, or the end", func() bool { return len(server.requests) == 2 || client.conn.closed })
		server.record(fmt.Sprintf("%s: a command on its way: %d arrived, closed %t", test.name, len(server.requests), client.conn.closed || client.conn.halfClosed))
		if len(server.requests) == 2 {
			server.requests[1].Succeed([]byte("two"))
		}
		server.Flush()
		server.clock.Add(idleTimeout + 1)
		server.lastSweep = server.now()
		server.runLoop("quiet", func() bool { return client.conn.halfClosed || client.conn.link.Quiet(client.conn.readsSeen) })
		test.close(server)
		server.record(fmt.Sprintf("%s: nothing on its way: closed %t", test.name, client.conn.closed || client.conn.halfClosed))
		client.send("third") // behind the close, the answers not taken yet
		server.record(fmt.Sprintf("%s: its client gets %s %s %s %s, then %s", test.name, client.readLine(), client.readLine(), client.readLine(), client.readLine(), client.readLine()))
		client.Close()
		server.runLoop("forgotten", func() bool { return client.conn.closed })
		server.record(fmt.Sprintf("%s: %d arrived, %d open", test.name, len(server.requests), server.Count()))
		all.WriteString(server.trace.String())
	}
	golden.Check(t, all.String())
}

// TestCommandsBehindTimeoutAreAnswered lets a partial command time out while an answer is due: commands that come until the connection can
// end are answered, too.
func TestCommandsBehindTimeoutAreAnswered(t *testing.T) {
	server := newTestServer(t, 9)
	client := server.connect()
	client.send("owed")
	server.runLoop("arrived", func() bool { return len(server.requests) == 1 })
	half := command("CALL.GET", get, "late", list)
	io.WriteString(client.TCPConn, half[:30])
	server.runLoop("half of it read", func() bool { return client.conn.partialSince > 0 })
	server.clock.Add(commandTimeout + 1)
	server.lastSweep = server.now()
	server.CloseOverdue()
	io.WriteString(client.TCPConn, half[30:])
	client.send("behind")
	server.runLoop("both come", func() bool { return client.conn.commandCount == 3 })
	server.requests[0].Reject(0)
	server.Flush()
	for range 5 {
		server.record(client.readLine())
	}
	server.record(fmt.Sprintf("%d arrived", len(server.requests)))
	golden.Check(t, server.trace.String())
}

// TestPanicUnderCommand panics under one of three pipelined commands: each is answered, in order, and the connection goes on.
func TestPanicUnderCommand(t *testing.T) {
	server := newTestServer(t, 9)
	client := server.connect()
	client.send("a", "panic", "b")
	server.runLoop("all begun", func() bool { return len(server.requests) == 2 })
	server.requests[1].Succeed([]byte("b"))
	server.requests[0].Succeed([]byte("a"))
	client.send("c")
	server.runLoop("the next", func() bool { return len(server.requests) == 3 })
	server.requests[2].Reject(0)
	server.Flush()
	for range 6 {
		server.record(client.readLine())
	}
	golden.Check(t, server.trace.String())
}

// TestClientThatReadsNothingIsDisconnected checks that a client that reads no answers and never closes is disconnected at last and holds no place,
// also if its connection was to end anyway.
func TestClientThatReadsNothingIsDisconnected(t *testing.T) {
	for _, end := range []bool{false, true} {
		server := newTestServer(t, 9)
		client := server.connect()
		client.send(requestIDs(maxInFlight)...)
		server.runLoop("arrived", func() bool { return len(server.requests) == maxInFlight })
		for i := 0; client.conn.stalledSince == 0; i++ { // until the system takes no more
			server.requests[i].Succeed(make([]byte, 60<<10))
			server.Flush()
		}
		if end {
			client.conn.closeOnFault(errTooManyMalformed)
		}
		for _, step := range []int64{writeStallTimeout, 1} {
			server.clock.Add(step)
			server.lastSweep = server.now()
			server.CloseOverdue()
			server.record(fmt.Sprintf("asked to end %t: open %d", end, server.Count()))
		}
		if !end {
			golden.Check(t, server.trace.String())
		} else if server.Count() > 0 {
			t.Error("one that was asked to end is held for ever")
		}
	}
}

// TestAcceptFaults checks that no error of accept(2) ends the accept loop: each is of that connection, or passes.
func TestAcceptFaults(t *testing.T) {
	errnos := []syscall.Errno{syscall.ECONNABORTED, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EINTR,
		syscall.EPERM, syscall.EPROTO, syscall.ENETUNREACH, syscall.EHOSTUNREACH, syscall.ETIMEDOUT}
	for _, errno := range errnos {
		t.Run(errno.Error(), func(t *testing.T) {
			system := socketstest.New(1, nil)
			system.Script(socketstest.Accept, socketstest.Errors(errno, errno)...)
			server := newTestServerOn(t, system, 9)
			if errno == syscall.ECONNABORTED { // two connections are lost in it
				server.dial()
				server.dial()
			}
			client := server.connect()
			io.WriteString(client.TCPConn, command("PING"))
			server.runLoop("asked", func() bool { return client.conn.commandCount == 1 })
			server.Flush()
			if answer := client.readLine(); answer != "+PONG" {
				t.Error(answer)
			}
		})
	}
}

// TestStopAcceptingServesCompletedConnections checks that connections that the system completed before StopAccepting, while the loop was busy, are served.
func TestStopAcceptingServesCompletedConnections(t *testing.T) {
	server := newTestServer(t, 99)
	var clients []*testClient
	for range 20 {
		c, err := net.Dial("tcp4", server.addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		c.SetDeadline(time.Now().Add(20 * time.Second))
		io.WriteString(c, command("PING"))
		clients = append(clients, &testClient{testServer: server, TCPConn: c.(*net.TCPConn), reader: bufio.NewReader(c)})
	}
	server.StopAccepting()
	server.runLoop("no more taken in", func() bool { return !server.accepting })
	server.runLoop("asked", func() bool {
		n := 0
		for c := range server.conns {
			n += c.commandCount
		}
		return n == len(clients)
	})
	server.Flush()
	for i, client := range clients {
		if a := client.readLine(); a != "+PONG" {
			t.Errorf("connection %d of %d: %s", i, len(clients), a)
		}
	}
}

package emulator

import (
	"errors"
	"io"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/tidwall/redcon"

	"ravensill/lab/actor"
)

// clientConn is a connection to a gateway. It has at most one request in flight. Its fields belong to the actor of its
// Clients.
type clientConn struct {
	clients     *Clients
	gateway     int
	conn        net.Conn
	current     *pendingRequest // request in flight; nil if the connection is idle
	answerCount int             // answers received so far
	timer       *time.Timer     // fails the request in flight when no answer arrives in time
	commands    chan []byte     // for writeCommands; holds at most one
	dialedAt    int64           // when the dial began, in ns of actor.Now
	writtenAt   atomic.Int64    // when the first write ended; 0: it has not. Set by writeCommands.
}

// newClientConn returns a client's end of a new connection, without a request.
func newClientConn(clients *Clients, dial dialResult) *clientConn {
	return &clientConn{
		clients:  clients,
		gateway:  dial.gateway,
		conn:     dial.conn,
		commands: make(chan []byte, 1),
		dialedAt: dial.startedAt,
	}
}

// pendingRequest is a request in flight.
type pendingRequest struct {
	Request
	index  int  // in the log of the clients
	resent bool // sent again because the gateway closed the connection
}

// encode returns the request as a RESP command.
func (p *pendingRequest) encode() []byte {
	elements := []string{"CALL.GET", p.Customer, p.ID, p.arguments}
	if p.post {
		elements[0] = "CALL.POST"
		if p.body != "" {
			elements = append(elements, p.body)
		}
	}
	command := redcon.AppendArray(nil, len(elements))
	for _, element := range elements {
		command = redcon.AppendBulkString(command, element)
	}
	return command
}

// send sends a request and fails it as unanswered if its timeout and the clients' grace period end before an answer
// arrives. A client that leaves closes the connection before, at its time.
func (c *clientConn) send(request *pendingRequest) {
	c.current = request
	c.commands <- request.encode() // does not block, because the previous request was answered
	c.timer = c.clients.After(request.Timeout+c.clients.grace, func() {
		if c.current == request {
			c.fail(Unanswered)
		}
	})
	if request.leaveTime > 0 {
		c.clients.After(request.leaveTime, func() {
			if c.current == request {
				c.fail(GaveUp)
			}
		})
	}
}

// writeCommands writes the queued commands. It ignores errors, because a connection that cannot be written also fails
// to be read, which ends it.
func (c *clientConn) writeCommands() {
	for command := range c.commands {
		c.conn.Write(command)
		c.writtenAt.CompareAndSwap(0, actor.Now())
	}
}

// writtenAfter returns the time from the start of the dial to the end of the first write, or to now if it has not
// ended.
func (c *clientConn) writtenAfter() time.Duration {
	writtenAt := c.writtenAt.Load()
	if writtenAt == 0 {
		writtenAt = actor.Now()
	}
	return time.Duration(writtenAt - c.dialedAt)
}

// close removes the connection from the clients and closes it.
func (c *clientConn) close() {
	delete(c.clients.conns, c)
	close(c.commands)
	c.conn.Close()
}

// fail closes the connection and ends the request in flight with a result. If the gateway closed the connection while
// the request was sent, the request is sent once more instead.
func (c *clientConn) fail(result Result) {
	clients := c.clients
	if !clients.conns[c] {
		return
	}
	c.close()
	isThis := func(other *clientConn) bool { return other == c }
	clients.idle[c.gateway] = slices.DeleteFunc(clients.idle[c.gateway], isThis)
	request := c.current
	c.current = nil
	if request == nil {
		return
	}
	c.timer.Stop()
	if result == ClosedInFlight && !request.resent {
		// A gateway may close an idle connection just as a request is sent on it, so the request is sent again on a new
		// connection.
		request.resent = true
		clients.log.Requests[request.index].Resent = true
		clients.send(request)
		return
	}
	if result == ClosedInFlight && c.answerCount == 0 {
		clients.log.Requests[request.index].WrittenAfter = c.writtenAfter()
	}
	clients.finish(request, result)
}

// readAnswers reads answers until the connection ends.
func (c *clientConn) readAnswers() {
	var unparsed []byte
	buf := make([]byte, 16<<10)
	for {
		n, err := c.conn.Read(buf)
		unparsed = append(unparsed, buf[:n]...)
		unparsed = c.parseAnswers(unparsed)
		if err != nil {
			partial := len(unparsed) > 0
			c.clients.Do(func() { c.fail(c.disconnectResult(partial, err)) })
			return
		}
	}
}

// parseAnswers passes all complete answers to the actor and returns the bytes of the incomplete one after them.
func (c *clientConn) parseAnswers(unparsed []byte) []byte {
	for {
		n, value := redcon.ReadNextRESP(unparsed)
		if n == 0 {
			return unparsed
		}
		if value.Type == redcon.Array && value.Count > 0 { // only the first element matters here
			value.ForEach(func(first redcon.RESP) bool {
				value = first
				return false
			})
		}
		kind := value.Type
		text := string(value.Data)
		null := value.Data == nil && kind == redcon.Bulk
		unparsed = unparsed[n:]
		c.clients.Do(func() { c.receiveAnswer(kind, text, null) })
	}
}

// disconnectResult returns the result of the request in flight on a connection that ended with err. partial says that a
// part of an answer had arrived, which makes it a reset. Without that, any error on a connection that carried answers
// before is taken for a close between two requests, because such a close may appear as a reset.
func (c *clientConn) disconnectResult(partial bool, err error) Result {
	if !partial && (errors.Is(err, io.EOF) || c.answerCount > 0) {
		return ClosedInFlight
	}
	return ConnectionReset
}

// receiveAnswer ends the request in flight with its answer. An answer without a request is counted as unexpected.
func (c *clientConn) receiveAnswer(kind redcon.Type, text string, null bool) {
	clients, request := c.clients, c.current
	if request == nil {
		if clients.conns[c] {
			clients.log.UnexpectedAnswers++
		}
		return
	}
	c.current = nil
	c.answerCount++
	c.timer.Stop()
	result := Failed
	switch {
	case kind == redcon.Bulk && !null:
		id, host, _ := strings.Cut(strings.TrimPrefix(text, "of "), " by ")
		request.Host = host
		result = Succeeded
		if id != request.ID || host == "" {
			result = WrongValue
		}
	case kind == redcon.Error && (text == "BUSY" || strings.HasPrefix(text, "BUSY ")):
		result = Rejected
		if ms, err := strconv.Atoi(strings.TrimPrefix(text, "BUSY ")); err == nil {
			request.RetryAfter = time.Duration(ms) * time.Millisecond
		}
	case kind == redcon.Error:
		request.ErrorText = text
	}
	clients.idle[c.gateway] = append(clients.idle[c.gateway], c)
	clients.finish(request, result)
}

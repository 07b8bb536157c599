package emulator

import (
	"errors"
	"io"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/tidwall/redcon"
)

// clientConn is one connection to a gateway. It carries one request at a time.
type clientConn struct {
	clients  *Clients
	gateway  int
	conn     net.Conn
	current  *pending // the request in flight; nil: idle
	answers  int      // received
	timer    *time.Timer
	commands chan []byte // for the writer; one at a time waits here
}

// pending is a request in flight.
type pending struct {
	Request
	index  int  // in the log
	resent bool // after a close that was under way as it was sent
}

// encode returns the command of a request.
func (p *pending) encode() []byte {
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

// send sends a request.
func (c *clientConn) send(request *pending) {
	c.current = request
	c.commands <- request.encode() // never blocks: the request before it was answered
	c.timer = c.clients.After(request.timeout+c.clients.grace, func() {
		if c.current == request {
			c.fail(Unanswered)
		}
	})
}

// writeCommands writes the commands. When that fails, reading fails too, and ends the connection.
func (c *clientConn) writeCommands() {
	for command := range c.commands {
		c.conn.Write(command)
	}
}

// close removes and closes the connection.
func (c *clientConn) close() {
	delete(c.clients.conns, c)
	close(c.commands)
	c.conn.Close()
}

// fail ends the connection and, with the result, its request in flight.
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
		// The gateway may close an idle connection just as a request is sent on it: retry on a new one.
		request.resent = true
		clients.log.Requests[request.index].Resent = true
		clients.send(request)
		return
	}
	clients.finish(request, result)
}

// readAnswers reads the answers until the connection ends.
func (c *clientConn) readAnswers() {
	var unparsed []byte
	buf := make([]byte, 16<<10)
	for {
		n, err := c.conn.Read(buf)
		unparsed = append(unparsed, buf[:n]...)
		unparsed = c.parseAnswers(unparsed)
		if err != nil {
			partial := len(unparsed) > 0
			c.clients.Do(func() { c.fail(c.failure(partial, err)) })
			return
		}
	}
}

// parseAnswers handles all complete answers and returns the bytes of the incomplete one.
func (c *clientConn) parseAnswers(unparsed []byte) []byte {
	for {
		n, value := redcon.ReadNextRESP(unparsed)
		if n == 0 {
			return unparsed
		}
		if value.Type == redcon.Array && value.Count > 0 { // only the first element counts
			value.ForEach(func(first redcon.RESP) bool {
				value = first
				return false
			})
		}
		kind := value.Type
		text := string(value.Data)
		null := value.Data == nil && kind == redcon.Bulk
		unparsed = unparsed[n:]
		c.clients.Do(func() { c.receive(kind, text, null) })
	}
}

// failure returns the result of a request whose connection ended. A close between two requests may appear as a reset.
func (c *clientConn) failure(partial bool, err error) Result {
	if !partial && (errors.Is(err, io.EOF) || c.answers > 0) {
		return ClosedInFlight
	}
	return ConnectionReset
}

// receive ends the request with its answer. An answer without a request is counted.
func (c *clientConn) receive(kind redcon.Type, text string, null bool) {
	clients, request := c.clients, c.current
	if request == nil {
		if clients.conns[c] {
			clients.log.UnexpectedAnswers++
		}
		return
	}
	c.current = nil
	c.answers++
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

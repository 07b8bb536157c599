package clients

import (
	"fmt"
	"log/slog"
	"runtime/debug"

	"ravensill/internal/bufconn"
	"ravensill/internal/clock"
)

// Conn is one client connection. Its fields belong to the loop, except the queue and the reader's fields.
type Conn struct {
	server *Server
	link   *bufconn.Link
	AnswerQueue
	commandQueue
	receiveFunc  func()        // receive as a value, made once
	done         chan struct{} // closed when the connection has ended: its reader waits for nothing then
	readsSeen    int64         // the link's count of reads whose commands the loop has received
	partialSince clock.Instant // when the first byte of an incomplete command was read, as far as received; 0: none
	flushPending bool          // in the server's list of unflushed or stalled connections
	commandCount int           // complete commands received
	lastAnswer   clock.Instant // when the latest answer was set; before that, when it connected
	stalledSince clock.Instant // when its client last accepted some of the unsent bytes; 0: nothing is unsent
	closing      bool          // no command is started; it ends when all are answered
	halfClosed   bool          // the sending side is closed
	closed       bool

	// The reader's.
	readAt       clock.Instant // when the latest bytes arrived
	partialBegan clock.Instant // when the first byte of an incomplete command was read; 0: none
	malformed    int           // malformed commands in a row
}

// register adds the connection to its server.
func (c *Conn) register() {
	c.server.conns[c] = true
	c.lastAnswer = c.server.now()
	c.halfCloseIfIdle()
}

// receive receives what the reader has queued.
func (c *Conn) receive() {
	c.readsSeen, c.partialSince = c.receiveProgress()
	c.startCommands()
	c.rejectOverflow()
	c.halfCloseIfIdle()
}

// startCommands starts queued commands up to the limit of commands in flight, and none of a client that is known to be
// gone.
func (c *Conn) startCommands() {
	for !c.closed && !c.clientGone.Load() && len(c.waiting) < maxInFlight {
		command, ok := c.dequeue()
		if !ok {
			return
		}
		c.commandCount++
		switch {
		case c.halfClosed: // the close crossed the command: the client sees the end and sends it again elsewhere
		case c.closing, command.rejected > 0:
			c.Add().Reject(0) // never started: the client may retry elsewhere at once, idempotent or not
		default:
			c.start(command.run)
		}
	}
}

// start runs one command. After a panic it is still answered: a missing answer would hold back all later ones for ever.
func (c *Conn) start(run func(*Answer)) {
	answer := c.Add()
	defer func() {
		if p := recover(); p != nil {
			slog.Error("panic", "where", "loop", "error", fmt.Sprint(p), "stack", debug.Stack())
			answer.Fail("aborted")
		}
	}()
	run(answer)
}

// answerReady schedules a flush of the answers that became ready.
func (c *Conn) answerReady(int) {
	if c.full {
		c.closeOnFault(errSlowReader)
		c.close()
		return
	}
	c.lastAnswer = c.server.now()
	if !c.flushPending {
		c.flushPending = true
		c.server.unflushed = append(c.server.unflushed, c)
	}
}

// closeIfOverdue ends the connection if its client is too slow or idle.
func (c *Conn) closeIfOverdue(now clock.Instant) {
	switch {
	case c.stalledSince > 0 && now.Sub(c.stalledSince) > writeStallTimeout:
		c.closeOnFault(errSlowReader)
		c.close()
	case c.closing, c.server.draining:
		c.halfCloseIfIdle()
	case c.commandOverdue(now):
		c.closeWithError(errCommandTimeout)
	case c.idleTooLong(now):
		c.halfCloseIfQuiet() // half-closed only: closing over bytes that arrive now would be a reset
	}
}

// commandOverdue reports whether a command is incomplete, or the first one missing, for too long. One whose rest is
// read, or about to be, is not: the connection would end over a complete command.
func (c *Conn) commandOverdue(now clock.Instant) bool {
	since := c.partialSince
	if since == 0 && c.commandCount == 0 {
		since = c.lastAnswer
	}
	return since > 0 && now.Sub(since) > commandTimeout && c.link.NoInputSince(c.readsSeen)
}

// idleTooLong reports whether a connection that had commands is idle for too long.
func (c *Conn) idleTooLong(now clock.Instant) bool {
	return c.idle() && c.commandCount > 0 && c.partialSince == 0 && now.Sub(c.lastAnswer) > idleTimeout
}

// flush writes answers, as far as the socket accepts them, and starts commands that waited for them.
func (c *Conn) flush() {
	unsentBefore := c.out.Len()
	if err := c.link.Flush(); err != nil {
		c.close()
		return
	}
	c.updateStall(unsentBefore)
	c.startCommands()
	c.halfCloseIfIdle()
}

// updateStall notes whether the latest flush has left unsent bytes, which the next Flush writes.
func (c *Conn) updateStall(unsentBefore int) {
	unsent := c.out.Len()
	if unsent == 0 {
		c.stalledSince = 0
		return
	}
	if unsent < unsentBefore || c.stalledSince == 0 {
		c.stalledSince = c.server.now()
	}
	c.flushPending = true
	c.server.stalled = append(c.server.stalled, c)
}

// idle reports whether no command is in flight and no answer unsent.
func (c *Conn) idle() bool { return len(c.waiting) == 0 && c.out.Len() == 0 }

// halfCloseIfIdle closes the sending side of a connection that is to end and has no answer due. So neither the latest
// answer nor a command on its way is reset away. While the server drains, a complete command that is unread, or on its
// way to the loop, is received first; a partial one is not waited for.
func (c *Conn) halfCloseIfIdle() {
	if c.closed || c.halfClosed || !c.idle() {
		return
	}
	switch {
	case c.closing:
		c.halfClosed = true
		c.link.CloseWrite(lingerTimeout)
	case c.server.draining:
		c.halfCloseIfQuiet()
	}
}

// halfCloseIfQuiet closes the sending side of an idle connection if nothing has arrived that the loop has not received.
// No command can be read between that check and the close: it would never be answered.
func (c *Conn) halfCloseIfQuiet() {
	if c.link.CloseWriteIfNoInputSince(c.readsSeen, lingerTimeout) {
		c.closing = true
		c.halfClosed = true
	}
}

// closeOnFault logs a fault of the client and ends the connection after the answers that are due.
func (c *Conn) closeOnFault(err error) {
	if c.closed {
		return
	}
	s := c.server
	now := s.now()
	if s.faultLog.due(now) {
		slog.Warn("client_fault", "error", err, "in_flight", len(c.waiting), "count", s.faultLog.logged(now))
	}
	c.closing = true
	c.halfCloseIfIdle()
}

// closeWithError ends the connection with an error line after the answers that are due.
func (c *Conn) closeWithError(err error) {
	c.Add().set(errorReply(err.Error()))
	c.closeOnFault(err)
}

// closeIfQuiet closes the connection if nothing has arrived that the loop has not received.
func (c *Conn) closeIfQuiet() {
	if c.link.CloseIfNoInputSince(c.readsSeen) {
		c.close()
	}
}

// close ends the connection at once. Its slot is released first, whatever happens in the callbacks after that.
func (c *Conn) close() {
	if c.closed {
		return
	}
	c.closed = true
	delete(c.server.conns, c)
	close(c.done)
	c.link.Close()
	select {
	case c.server.slotFreed <- struct{}{}:
	default:
	}
	c.AnswerQueue.end()
}

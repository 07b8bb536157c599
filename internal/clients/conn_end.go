package clients

import (
	"log/slog"

	"ravensill/internal/clock"
)

// closeIfOverdue ends the connection if its client accepts no bytes, does not complete a command, or is idle for too
// long.
func (c *Conn) closeIfOverdue(now clock.Instant) {
	switch {
	case c.stalledSince > 0 && now.Sub(c.stalledSince) > writeStallTimeout:
		c.disconnectSlowReader()
	case c.closing, c.server.draining:
		c.halfCloseIfIdle()
	case c.isCommandOverdue(now):
		c.setEndReason(CommandTimeout)
		c.closeWithError(errCommandTimeout)
	case c.isIdleTooLong(now):
		c.halfCloseIfNoInput(Idle) // a full close would reset the connection if bytes arrived now
	}
}

// disconnectSlowReader closes the connection of a client that does not read its answers.
func (c *Conn) disconnectSlowReader() {
	c.setEndReason(SlowReader)
	c.closeOnFault(errSlowReader)
	c.close()
}

// isCommandOverdue reports whether a command is incomplete, or the first command has not begun, for longer than
// commandTimeout. It returns false if bytes have arrived that the loop has not received, because they may complete the
// command.
func (c *Conn) isCommandOverdue(now clock.Instant) bool {
	since := c.partialSince
	if since == 0 && c.commandCount == 0 {
		since = c.lastAnswerAt
	}
	return since > 0 && now.Sub(since) > commandTimeout && c.link.NoInputSince(c.readsReceived)
}

// isIdleTooLong reports whether a connection that has had commands is idle for longer than idleTimeout.
func (c *Conn) isIdleTooLong(now clock.Instant) bool {
	return c.isIdle() && c.commandCount > 0 && c.partialSince == 0 && now.Sub(c.lastAnswerAt) > idleTimeout
}

// halfCloseIfIdle closes the sending side of a connection that is to end, once it is idle. A full close could reset the
// connection, by which the latest answer or a command on its way would be lost. While the server drains, a complete
// command that is unread or on its way to the loop is received first; an incomplete one is not waited for.
func (c *Conn) halfCloseIfIdle() {
	if c.closed || c.halfClosed || !c.isIdle() {
		return
	}
	switch {
	case c.closing:
		c.halfClosed = true
		c.link.CloseWrite(lingerTimeout)
	case c.server.draining:
		c.halfCloseIfNoInput(Drained)
	}
}

// halfCloseIfNoInput closes the sending side of an idle connection, for the given reason, if nothing has arrived that
// the loop has not received. No command can be read between that check and the close; such a command would never be
// answered.
func (c *Conn) halfCloseIfNoInput(reason EndReason) {
	if c.link.CloseWriteIfNoInputSince(c.readsReceived, lingerTimeout) {
		c.setEndReason(reason)
		c.closing = true
		c.halfClosed = true
	}
}

// closeOnFault logs a fault of the client and ends the connection once all commands in flight are answered.
func (c *Conn) closeOnFault(err error) {
	if c.closed {
		return
	}
	s := c.server
	now := s.now()
	if s.faultLog.recordEvent(now) {
		slog.Warn("client_fault", "error", err, "in_flight", len(c.pending), "count", s.faultLog.takeCount(now))
	}
	c.closing = true
	c.halfCloseIfIdle()
}

// closeWithError ends the connection once all commands in flight are answered, with an error as the last answer.
func (c *Conn) closeWithError(err error) {
	c.Add().set(errorReply(err.Error()))
	c.closeOnFault(err)
}

// closeIfNoInput closes the connection, to free its slot, if nothing has arrived that the loop has not received.
func (c *Conn) closeIfNoInput() {
	if c.link.CloseIfNoInputSince(c.readsReceived) {
		c.setEndReason(Evicted)
		c.close()
	}
}

// close ends the connection at once. It releases the slot before it calls the callbacks of answers, so that the slot is
// free even if one of them panics.
func (c *Conn) close() {
	if c.closed {
		return
	}
	c.closed = true
	c.countEnd()
	delete(c.server.conns, c)
	close(c.done)
	c.link.Close()
	select {
	case c.server.slotFreed <- struct{}{}:
	default:
	}
	c.link.Out.Free()
	c.commandQueue.release()
	c.AnswerQueue.dropPending()
}

// isReaderBehind reports whether bytes may be unread for longer than maxUnreadTime. It is not known then whether the
// client is still there.
func (c *Conn) isReaderBehind() bool {
	since := clock.Instant(c.unreadSince.Load())
	return since > 0 && !c.link.IsWaiting() && c.server.now().Sub(since) > maxUnreadTime
}

// hasClientLeft implements answerConn. The kernel is asked only if the reader may not have come to the end of the
// stream yet.
func (c *Conn) hasClientLeft(receivedAt clock.Instant) bool {
	allRead := c.link.IsWaiting() && c.server.now().Sub(receivedAt) <= maxUnreadTime
	return !allRead && c.link.PeerHasClosed()
}

package clients

import (
	"fmt"
	"log/slog"
	"runtime/debug"
	"sync/atomic"

	"ravensill/internal/bufconn"
	"ravensill/internal/clock"
)

// Conn is one client connection. Its fields belong to the event loop, except the command queue, which is safe for
// concurrent use, and the fields of the reader.
type Conn struct {
	server *Server
	link   *bufconn.Link
	AnswerQueue
	commandQueue
	receiveFunc   func()        // the method value receive, allocated once
	done          chan struct{} // closed when the connection has ended, to wake the reader
	readsReceived int64         // the link's ReadCount up to which the loop has received the commands
	partialSince  clock.Instant // readerPartialSince as last received by the loop
	flushPending  bool          // whether the connection is in the server's list unflushed or stalled
	commandCount  int           // commands that the loop has taken from the queue
	lastAnswerAt  clock.Instant // when an answer was last set or written in part, or when the client connected
	stalledSince  clock.Instant // when the client last accepted some of the bytes in out; 0: out is empty
	sentAtFlush   int64         // sentTotal after the latest flush
	closing       bool          // whether commands are rejected and the connection ends once all are answered
	halfClosed    bool          // whether the sending side is closed
	closed        bool
	endReason     EndReason // why the connection ends; ClientLeft until another reason is set

	// unreadSince is the time since which each read has filled the read buffer, so that further bytes may be unread; 0:
	// the latest read has emptied the socket. The reader sets it.
	unreadSince atomic.Int64

	// The following fields belong to the reader.
	readAt             clock.Instant // when the latest bytes were read
	readerPartialSince clock.Instant // when the first byte of the incomplete command was read; 0: none is incomplete
	malformedInRow     int           // number of malformed commands since the latest well-formed one or pause
	parsedReads        int64         // the link's ReadCount up to which all complete commands are queued
}

// register adds the connection to those of the server. While the server drains, it closes the sending side if nothing
// has arrived.
func (c *Conn) register() {
	c.server.conns[c] = true
	c.server.stats.Accepted++
	c.lastAnswerAt = c.server.now()
	c.halfCloseIfIdle()
}

// receive starts the commands that the reader has queued, and rejects them if they are too many.
func (c *Conn) receive() {
	c.readsReceived, c.partialSince = c.receiveProgress()
	c.startCommands()
	c.rejectOverflow()
	c.halfCloseIfIdle()
}

// rejectOverflow rejects the queued commands if they are too many, or if there is no memory in which their answers
// could wait: it would come too late for most of them, and they would take more memory meanwhile.
func (c *Conn) rejectOverflow() {
	if c.mayStartCommand() { // the next Flush starts them
		return
	}
	if c.mayStart() {
		c.rejectOver(c.server.queueShare())
	} else {
		c.rejectOver(0)
	}
}

// startCommands starts queued commands until maxInFlight commands are in flight, or until there is no memory in which
// further answers could wait. It starts none of a client that is known to be gone. After maxStartsPerTurn commands it
// leaves the others to the next Flush, so that connections take turns: the reader may add commands as fast as they are
// started, and hundreds of clients may do the same.
func (c *Conn) startCommands() {
	for range maxStartsPerTurn {
		if !c.mayStartCommand() {
			return
		}
		command, ok := c.dequeue()
		if !ok {
			return
		}
		c.commandCount++
		answer := c.startCommand(command)
		if answer != nil && !answer.done {
			answer.commandSize = command.size
		} else {
			c.commandQueue.memory.Add(-command.size)
		}
	}
	c.scheduleFlush()
}

// startCommand starts or rejects one command and returns its answer, nil for none.
func (c *Conn) startCommand(command queuedCommand) *Answer {
	switch {
	case c.halfClosed: // sent before the client saw the close: it gets no answer and is sent again elsewhere
		return nil
	case c.closing, command.rejected > 0:
		answer := c.Add()
		answer.Reject(0) // not started: the client may retry at once on another gateway, idempotent or not
		return answer
	}
	return c.start(command.run)
}

// mayStartCommand reports whether another command may start.
func (c *Conn) mayStartCommand() bool {
	if c.closed || c.clientGone.Load() {
		return false
	}
	return len(c.pending) < maxInFlight && c.mayStart()
}

// start runs one command and returns its answer. If that panics, the command is answered with an error: without an
// answer no later one could ever be written.
func (c *Conn) start(run func(*Answer)) (answer *Answer) {
	answer = c.Add()
	defer func() {
		if p := recover(); p != nil {
			slog.Error("panic", "where", "loop", "error", fmt.Sprint(p), "stack", debug.Stack())
			answer.Fail("aborted")
		}
	}()
	run(answer)
	return answer
}

// answerSet implements answerConn.
func (c *Conn) answerSet() {
	c.lastAnswerAt = c.server.now()
	c.scheduleFlush()
}

// scheduleFlush has the next Flush of the server include the connection.
func (c *Conn) scheduleFlush() {
	if !c.flushPending {
		c.flushPending = true
		c.server.unflushed = append(c.server.unflushed, c)
	}
}

// writeAnswers implements answerConn.
func (c *Conn) writeAnswers() error { return c.writeTo(c.link) }

// answerDropped implements answerConn.
func (c *Conn) answerDropped() {
	s := c.server
	now := s.now()
	if s.dropLog.recordEvent(now) {
		slog.Warn("answer_dropped",
			"unsent", c.unsent,
			"unsent_total", s.answerMemory.Used(),
			"limit", s.answerMemory.Limit(),
			"count", s.dropLog.takeCount(now),
		)
	}
}

// flush writes answers as far as the socket accepts them, and starts commands that had to wait for that.
func (c *Conn) flush() {
	if err := c.writeAnswers(); err != nil {
		c.setEndReason(WriteFailed)
		c.close()
		return
	}
	c.updateStall()
	c.startCommands()
	c.halfCloseIfIdle()
}

// updateStall records whether the client has accepted bytes since the latest flush, and whether unsent bytes are left.
// Those are written by the next Flush of the server.
func (c *Conn) updateStall() {
	progress := c.sentTotal > c.sentAtFlush
	c.sentAtFlush = c.sentTotal
	now := c.server.now()
	if progress {
		c.lastAnswerAt = now // the bytes are on their way to the client
	}
	if c.out.Len() == 0 {
		c.stalledSince = 0
		return
	}
	if progress || c.stalledSince == 0 {
		c.stalledSince = now
	}
	c.flushPending = true
	c.server.stalled = append(c.server.stalled, c)
}

// isIdle reports whether no command is in flight and no byte of an answer is unsent.
func (c *Conn) isIdle() bool { return len(c.pending) == 0 && c.out.Len() == 0 }

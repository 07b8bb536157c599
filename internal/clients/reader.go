package clients

import (
	"errors"
	"log/slog"
	"runtime"
	"runtime/debug"
	"time"

	"ravensill/internal/bufconn"
)

// floodPause is the pause of the reader each time more was queued than the connection may queue, because the client
// sends faster than the loop starts its commands.
const floodPause = 2 * time.Millisecond

// malformedPause is the pause of the reader after each maxMalformed malformed commands in a row, so that clients which
// send them at full speed take little processor time.
const malformedPause = 50 * time.Millisecond

// readCommands reads the connection until it ends and queues its commands for the event loop. It is the connection's
// goroutine, its reader, which also ends when the loop closes the connection.
func (c *Conn) readCommands() {
	s := c.server
	defer func() {
		if p := recover(); p != nil {
			slog.Error("panic", "where", "client", "error", p, "stack", debug.Stack())
		}
		c.clientGone.Store(true)
		c.link.In.Free()
		s.runOnLoop(c.close)
	}()
	parser := CommandParser{catalog: s.catalog}
	for {
		err := c.link.Read()
		switch {
		case err == nil:
			c.readAt = s.now()
			err = c.parseCommands(&parser)
		case errors.Is(err, bufconn.ErrNoMemory):
			err = parser.Discard(c.link.In)
		default:
			return // the client is gone, or the event loop has closed the connection
		}
		c.parsedReads = c.link.ReadCount()
		if err != nil {
			c.enqueueFault(err)
			c.notifyLoop()
			c.link.Discard()
			return
		}
		if !parser.Incomplete(c.link.In) {
			c.readerPartialSince = 0
		} else if c.readerPartialSince == 0 {
			c.readerPartialSince = c.readAt
		}
		unread := c.recordUnread()
		c.notifyLoop()
		if unread && c.link.PeerHasClosed() {
			return // what the client left unread need not be read
		}
		if unread {
			runtime.Gosched() // hundreds of clients that send at full speed delay others by one read each
		}
	}
}

// recordUnread records whether bytes may be unread behind those that were read last, and reports it.
func (c *Conn) recordUnread() bool {
	if !c.link.MayHoldMore() {
		c.unreadSince.Store(0)
		return false
	}
	if c.unreadSince.Load() == 0 {
		c.unreadSince.Store(int64(c.readAt))
	}
	return true
}

// parseCommands queues all complete commands that were read. It fails if the connection has to end: the bytes are not
// RESP arrays, or too many commands in a row are malformed while others need the connection's slot.
func (c *Conn) parseCommands(parser *CommandParser) error {
	for {
		ok, err := parser.Next(c.link.In, c)
		if err != nil {
			return err
		}
		if !ok {
			return nil
		}
		if c.malformedInRow < maxMalformed {
			continue
		}
		if c.server.endsMalformed.Load() {
			return errTooManyMalformed
		}
		c.malformedInRow = 0
		c.pauseAfterMalformed()
	}
}

// pauseAfterMalformed notifies the loop of the commands parsed so far and waits for malformedPause, or until the
// connection has ended. The connection does not count as idle meanwhile, since parsedReads stays behind. For a client
// that has closed it does not wait, so that the end is read soon.
func (c *Conn) pauseAfterMalformed() {
	c.notifyLoop()
	if c.link.PeerHasClosed() {
		return
	}
	select {
	case <-time.After(malformedPause):
	case <-c.done:
	}
}

// handleRequest implements commandHandler. It copies the request out of the read buffer and queues it.
func (c *Conn) handleRequest(parsed parsedRequest) {
	c.malformedInRow = 0
	if !c.admitsCommand(parsed.textSize()) {
		c.enqueueRejection()
		return
	}
	request := newQueuedRequest(&parsed, c.readAt)
	c.enqueueCommand(len(request.text), func(a *Answer) { c.startRequest(a, request) })
}

// startRequest passes a request to the server's handler. If the catalog has changed since the request was read so that
// it can't be served, startRequest answers it with an error instead. It rejects a request of a client that sends faster
// than it is read, because the client may have left.
func (c *Conn) startRequest(a *Answer, request *queuedRequest) {
	if err := c.server.catalog.recheck(&request.terms); err != nil {
		a.Fail(err.Error())
		return
	}
	if c.isReaderBehind() {
		a.Reject(c.server.retryAfterShortage())
		return
	}
	a.receivedAt = request.receivedAt
	c.server.onRequest(a, request.request())
}

// handlePing implements commandHandler.
func (c *Conn) handlePing() {
	c.enqueueCommand(0, func(a *Answer) { a.set([]byte(pongReply)) })
}

// handleDiscarded implements commandHandler. It queues a rejection: the client may send the command again when others
// have left memory for it.
func (c *Conn) handleDiscarded() {
	c.malformedInRow = 0
	c.enqueueRejection()
}

// enqueueRejection queues the rejection of a command for which there is no memory.
func (c *Conn) enqueueRejection() {
	c.enqueueCommand(0, func(a *Answer) { a.Reject(c.server.retryAfterShortage()) })
}

// handleMalformed implements commandHandler. It queues an error as the answer to the command. A command that names a
// removed class or plan does not count as malformed: the client may not know of the removal yet, so that many such
// commands in a row must not end the connection.
func (c *Conn) handleMalformed(reason error) {
	var removed *RemovedError
	if errors.As(reason, &removed) {
		c.malformedInRow = 0
	} else {
		c.malformedInRow++
	}
	c.enqueueCommand(0, func(a *Answer) { a.set(errorReply(reason.Error())) })
}

// enqueueFault queues the end of the connection because of a fault of the client, with an error as the last answer.
func (c *Conn) enqueueFault(err error) {
	c.readerPartialSince = 0
	c.enqueueEnd(func(a *Answer) {
		a.set(errorReply(err.Error()))
		c.setEndReason(Malformed)
		c.closeOnFault(err)
	})
}

// enqueueCommand queues a command whose text has size bytes.
func (c *Conn) enqueueCommand(size int, run func(*Answer)) {
	c.readerPartialSince = 0
	c.enqueue(size, run)
}

// notifyLoop notifies the event loop of queued commands and of the reader's progress. While more bytes are queued than
// the connection may queue, it waits until the loop has taken or rejected commands, or the connection has ended, and
// notifies the loop again.
func (c *Conn) notifyLoop() {
	for {
		notify, queuedBytes := c.postProgress(c.parsedReads, c.readerPartialSince)
		if notify {
			c.server.runOnLoop(c.receiveFunc)
		}
		if queuedBytes <= c.server.queueShare() {
			return
		}
		select {
		case <-c.hasSpace:
		case <-c.done:
			return
		}
		time.Sleep(floodPause)
	}
}

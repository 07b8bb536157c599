package clients

import (
	"errors"
	"log/slog"
	"runtime/debug"
	"time"
)

// floodPause is the pause after each maxQueuedBytes of a client that sends faster than the loop starts commands.
const floodPause = 2 * time.Millisecond

// readCommands reads the connection until it ends and queues its commands for the loop. It runs on the connection's
// goroutine, which ends when the loop closes the connection.
func (c *Conn) readCommands() {
	s := c.server
	defer func() {
		if p := recover(); p != nil {
			slog.Error("panic", "where", "client", "error", p, "stack", debug.Stack())
		}
		c.clientGone.Store(true)
		s.runOnLoop(c.close)
	}()
	parser := CommandParser{catalog: s.catalog}
	for {
		if err := c.link.Read(); err != nil {
			return // the client is gone, or the connection was closed here
		}
		c.readAt = s.now()
		if err := c.parseCommands(&parser); err != nil {
			c.enqueueFault(err)
			c.notifyLoop()
			c.link.Discard()
			return
		}
		if c.link.In.Len() == 0 {
			c.partialBegan = 0
		} else if c.partialBegan == 0 {
			c.partialBegan = c.readAt
		}
		c.notifyLoop()
	}
}

// parseCommands queues all complete commands that were read. An error ends the connection.
func (c *Conn) parseCommands(parser *CommandParser) error {
	for {
		ok, err := parser.Next(c.link.In, c)
		if err != nil {
			return err
		}
		if c.malformed >= maxMalformed {
			return errTooManyMalformed
		}
		if !ok {
			return nil
		}
	}
}

// handleRequest implements commandHandler: it copies the request out of the read buffer and queues it.
func (c *Conn) handleRequest(parsed parsedRequest) {
	c.malformed = 0
	request := newQueuedRequest(&parsed, c.readAt)
	c.enqueueCommand(len(request.text), func(a *Answer) { c.startRequest(a, request) })
}

// startRequest passes a request to the server's handler, unless the catalog has changed so that it can't be served.
func (c *Conn) startRequest(a *Answer, request *queuedRequest) {
	if err := c.server.catalog.recheck(&request.terms); err != nil {
		a.Fail(err.Error())
		return
	}
	c.server.onRequest(a, request.request())
}

// handlePing implements commandHandler.
func (c *Conn) handlePing() {
	c.enqueueCommand(0, func(a *Answer) { a.set([]byte(pongReply)) })
}

// handleMalformed implements commandHandler: a malformed command is answered with an error. One that names what was
// removed is well formed: its client may not know yet, and many such commands in a row don't end the connection.
func (c *Conn) handleMalformed(reason error) {
	var removed *RemovedError
	if errors.As(reason, &removed) {
		c.malformed = 0
	} else {
		c.malformed++
	}
	c.enqueueCommand(0, func(a *Answer) { a.set(errorReply(reason.Error())) })
}

// enqueueFault queues the end of the connection, with an error as the answer.
func (c *Conn) enqueueFault(err error) {
	c.enqueueCommand(0, func(a *Answer) {
		a.set(errorReply(err.Error()))
		c.closeOnFault(err)
	})
}

// enqueueCommand queues a command whose text has size bytes.
func (c *Conn) enqueueCommand(size int, run func(*Answer)) {
	c.partialBegan = 0
	c.enqueue(size, run)
}

// notifyLoop notifies the loop of queued commands, and waits until it has received them if too many bytes are queued.
func (c *Conn) notifyLoop() {
	notify, queuedBytes := c.postProgress(c.link.ReadCount(), c.partialBegan)
	if notify {
		c.server.runOnLoop(c.receiveFunc)
	}
	for queuedBytes > maxQueuedBytes {
		select {
		case <-c.hasSpace:
		case <-c.done:
			return
		}
		time.Sleep(floodPause)
		queuedBytes = c.loadQueuedBytes()
	}
}

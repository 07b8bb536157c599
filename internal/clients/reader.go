package clients

import (
	"errors"
	"log/slog"
	"runtime/debug"
	"sync"
	"time"

	"ravensill/internal/resp"
)

// queuedOverhead is what a queued command takes beside its text, in bytes.
const queuedOverhead = 128

// commandQueue passes commands from a connection's reader to the loop. The loop is notified of it once at a time: a flood of
// commands neither fills the loop's inbox nor keeps the reader from seeing that the client has gone, and commands not started
// by then never are.
type commandQueue struct {
	mu            sync.Mutex
	commands      []queuedCommand // not started, from head on
	head          int             // index of the next one to start
	queuedBytes   int             // size of the commands from head on
	readsPosted   int64           // the link's count of reads up to the last notification
	partialPosted int64           // partialBegan at that time
	notified      bool            // a notification is on its way to the loop
	hasRoom       chan struct{}   // holds a value once fewer than maxQueuedBytes are queued
}

// queuedCommand is one command that waits to be started, or several in a row that are rejected.
type queuedCommand struct {
	size     int // bytes
	run      func(*Answer)
	rejected int // commands that it stands for; 0: the one of run
}

// count returns how many commands it stands for.
func (q queuedCommand) count() int { return max(q.rejected, 1) }

// readCommands reads the connection until it ends and queues its commands for the loop.
func (c *Conn) readCommands() {
	s := c.server
	defer func() {
		if p := recover(); p != nil {
			slog.Error("panic", "where", "client", "error", p, "stack", debug.Stack())
		}
		c.clientGone.Store(true)
		s.runOnLoop(c.close)
	}()
	commands := CommandParser{catalog: s.catalog}
	for {
		if err := c.link.Read(); err != nil {
			return // the client is gone, or the connection was closed here
		}
		c.readAt = s.now()
		if err := c.parseCommands(&commands); err != nil {
			c.enqueue(0, func(a *Answer) {
				a.give(errorReply(err.Error()))
				c.closeOnFault(err)
			})
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

// parseCommands queues all whole commands that were read. An error ends the connection.
func (c *Conn) parseCommands(commands *CommandParser) error {
	for {
		ok, err := commands.Next(c.link.In, c)
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

// Arrive implements Door: it copies the request out of the read buffer, as the command to send to a host, and queues it. What
// changes in the catalog until the loop takes the request in counts too.
func (c *Conn) handleRequest(id, customer []byte, terms requestTerms, wait int64, retry bool, verb, before, after, body []byte) {
	elements, receivedAt := 4, c.readAt
	if body != nil {
		elements = 5
	}
	text := make([]byte, 0, len(verb)+len(customer)+len(id)+len(before)+len(after)+len(body)+64)
	text = resp.AppendBulk(resp.AppendBulk(resp.AppendBulk(resp.AppendArrayHeader(text, elements), verb), customer), id)
	idEnd := len(text)
	text = append(text, before...)
	beforeEnd := len(text)
	text = append(text, after...)
	afterEnd := len(text)
	if body != nil {
		text = resp.AppendBulk(text, body)
	}
	c.malformed = 0
	requestID, customerID := string(id), string(customer)
	c.enqueue(len(text), func(a *Answer) {
		if err := c.server.catalog.recheck(&terms); err != nil {
			a.Fail(err.Error())
			return
		}
		c.server.onRequest(a, &Request{
			ID:           requestID,
			Customer:     customerID,
			ReceivedAt:   receivedAt,
			Deadline:     receivedAt + wait,
			Class:        terms.Class,
			Plan:         terms.Plan,
			Units:        terms.Units,
			Spread:       terms.Spread,
			FirstGateway: terms.First,
			Retry:        retry,
			Head:         text[:idEnd],
			Before:       text[idEnd:beforeEnd],
			After:        text[beforeEnd:afterEnd],
			Tail:         text[afterEnd:],
		})
	})
}

// Ping implements Door.
func (c *Conn) handlePing() { c.enqueue(0, func(a *Answer) { a.give([]byte("+PONG\r\n")) }) }

// Refuse implements Door: a malformed command is answered with an error. One that names what was removed is well formed: its
// client may not know yet, and many such in a row don't end the connection.
func (c *Conn) handleMalformed(why error) {
	var removed *RemovedError
	if errors.As(why, &removed) {
		c.malformed = 0
	} else {
		c.malformed++
	}
	c.enqueue(0, func(a *Answer) { a.give(errorReply(why.Error())) })
}

// enqueue adds a command of so many bytes to the queue.
func (c *Conn) enqueue(size int, run func(*Answer)) {
	c.partialBegan = 0
	size += queuedOverhead
	c.mu.Lock()
	c.commands = append(c.commands, queuedCommand{size: size, run: run})
	c.queuedBytes += size
	c.mu.Unlock()
}

// notifyLoop tells the loop of queued commands, and waits until it has received them if too many bytes are queued.
func (c *Conn) notifyLoop() {
	c.mu.Lock()
	c.readsPosted, c.partialPosted = c.link.Reads(), c.partialBegan
	notify := !c.notified
	c.notified = true
	queued := c.queuedBytes
	c.mu.Unlock()
	if notify {
		c.server.runOnLoop(c.receiveFunc)
	}
	for queued > maxQueuedBytes {
		select {
		case <-c.hasRoom:
		case <-c.done:
			return
		}
		time.Sleep(floodPause)
		c.mu.Lock()
		queued = c.queuedBytes
		c.mu.Unlock()
	}
}

// rejectOverflow has all queued commands rejected if too many bytes are queued though the loop has started what it may. Else the
// reader would wait for places in flight, and would not see the end of a client that has closed behind what is unread: its
// commands would be sent on for nobody.
func (c *Conn) rejectOverflow() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.queuedBytes <= maxQueuedBytes {
		return
	}
	rejected := 0
	for _, command := range c.commands[c.head:] {
		rejected += command.count()
	}
	clear(c.commands)
	c.commands = append(c.commands[:0], queuedCommand{size: queuedOverhead, rejected: rejected})
	c.head = 0
	c.queuedBytes = queuedOverhead
	c.signalRoom()
}

// signalRoom wakes a reader that waits for room in the queue.
func (c *commandQueue) signalRoom() {
	select {
	case c.hasRoom <- struct{}{}:
	default:
	}
}

// dequeue removes the first queued command.
func (c *Conn) dequeue() (command queuedCommand, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.head == len(c.commands) {
		return command, false
	}
	first := &c.commands[c.head]
	if first.rejected > 1 {
		first.rejected--
		return queuedCommand{rejected: 1}, true
	}
	command = *first
	c.commands[c.head] = queuedCommand{} // for the garbage collector
	c.head++
	if c.head == len(c.commands) {
		c.commands = c.commands[:0]
		c.head = 0
		if cap(c.commands) > maxInFlight { // grown by a flood
			c.commands = nil
		}
	}
	c.queuedBytes -= command.size
	if c.queuedBytes <= maxQueuedBytes {
		c.signalRoom()
	}
	return command, true
}

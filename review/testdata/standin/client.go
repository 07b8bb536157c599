package main

import (
	"bufio"
	"fmt"
	"net"
	"sync"
	"time"
)

// call is one request of a client.
type call struct {
	id     string
	sentAt time.Time // when its last byte was written
	wait   time.Duration

	answeredAt time.Time // zero: no whole answer came
	kind       byte      // first byte of the answer
	text       string    // the answer's line, or the value
	end        error     // why the connection ended without an answer; nil: it did not
	endedAt    time.Time // when
}

// short returns the answer, cut for the record.
func (c *call) short() string {
	if len(c.text) > 60 {
		return fmt.Sprintf("%c%.40s.. (%d bytes)", c.kind, c.text, len(c.text))
	}
	return fmt.Sprintf("%c%s", c.kind, c.text)
}

// clientConn is a client's connection. Its commands may be written before earlier ones are answered.
type clientConn struct {
	conn net.Conn
	log  *record
	done chan struct{} // closed once the connection has ended

	mu      sync.Mutex
	waiting []*call // in the order of the commands
	ended   error   // nil: the connection is open
}

func dialClient(address string, log *record) (*clientConn, error) {
	conn, err := net.DialTimeout("tcp", address, 3*time.Second)
	if err != nil {
		return nil, err
	}
	c := &clientConn{conn: conn, log: log, done: make(chan struct{})}
	go c.read()
	return c, nil
}

// send writes a command and returns its call. It fails if the connection has ended.
func (c *clientConn) send(id string, wait time.Duration, words ...string) (*call, error) {
	next := &call{id: id, wait: wait}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended != nil {
		return nil, c.ended
	}
	if _, err := c.conn.Write(encodeCommand(words...)); err != nil {
		return nil, err
	}
	next.sentAt = time.Now()
	c.waiting = append(c.waiting, next)
	c.log.printf("client sends %s", id)
	return next, nil
}

// read reads answers until the connection ends.
func (c *clientConn) read() {
	defer close(c.done)
	reader := bufio.NewReaderSize(c.conn, 1<<18)
	for {
		kind, text, err := readAnswer(reader)
		c.mu.Lock()
		if err == nil && len(c.waiting) == 0 {
			err = errShape
		}
		if err != nil {
			c.endLocked(err)
			c.mu.Unlock()
			return
		}
		answered := c.waiting[0]
		c.waiting = c.waiting[1:]
		answered.answeredAt = time.Now()
		answered.kind = kind
		answered.text = text
		c.mu.Unlock()
		c.log.printf("client gets %s: %s", answered.id, answered.short())
	}
}

// endLocked notes the end of the connection at all calls that wait. The caller holds mu.
func (c *clientConn) endLocked(err error) {
	c.ended = err
	for _, left := range c.waiting {
		left.end = err
		left.endedAt = time.Now()
		c.log.printf("client gets no answer to %s: the connection has ended: %v", left.id, err)
	}
	c.waiting = nil
}

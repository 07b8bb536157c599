package publisher

import (
	"errors"
	"io"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"ravensill/configsync"
	"ravensill/internal/frames"
)

const (
	helloTimeout     = 5 * time.Second  // for a follower's first message
	writeTimeout     = 15 * time.Second // of one frame, a delta or a part of a snapshot
	closeTimeout     = time.Second      // for a follower to close after the final frame
	unansweredLimit  = 20 * time.Second // of sent bytes without a TCP acknowledgement
	sendBuffer       = 256 << 10        // bytes that the kernel buffers for a slow follower
	maxFollowerFrame = 4 << 10          // bytes; the longest message of a follower is a refusal with its reason
)

// connection is the connection of one follower. One goroutine reads from it and one writes to it, so that a slow
// follower blocks only its own writer.
type connection struct {
	publisher *Publisher
	conn      *net.TCPConn
	id        configsync.ConnectionID
	wake      chan struct{} // of capacity 1: there may be something to send
	ended     chan struct{} // closed by the reader
}

// countingReader counts the bytes read from a connection.
type countingReader struct {
	source io.Reader
	bytes  *atomic.Int64
}

// Read implements io.Reader.
func (c countingReader) Read(buffer []byte) (int, error) {
	n, err := c.source.Read(buffer)
	c.bytes.Add(int64(n))
	return n, err
}

// accept accepts followers' connections until the listener is closed.
func (p *Publisher) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil { // closed
			return
		}
		c := p.admit(conn.(*net.TCPConn))
		if c == nil {
			conn.Close()
			continue
		}
		p.tasks.Go(c.serve)
	}
}

// admit registers a connection. It returns nil beyond the limit of followers and after Close.
func (p *Publisher) admit(conn *net.TCPConn) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.done:
		return nil
	default:
	}
	if len(p.connections) >= p.cfg.MaxFollowers {
		p.counters.rejectedConnections.Add(1)
		return nil
	}
	p.counters.connected.Add(1)
	p.lastID++
	c := &connection{
		publisher: p,
		conn:      conn,
		id:        p.lastID,
		wake:      make(chan struct{}, 1),
		ended:     make(chan struct{}),
	}
	p.connections[c.id] = c
	return c
}

// closeConnections closes all connections. None is admitted after done is closed.
func (p *Publisher) closeConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.connections {
		c.conn.Close()
	}
}

// announce wakes all writers for a new version: at once, or, within the version interval after the wake before, once
// for all versions of the interval. Waking thousands of writers for each change of a burst would delay the next
// change. The caller holds the lock.
func (p *Publisher) announce() {
	if p.waking {
		return
	}
	wait := p.cfg.SenderLimits.VersionInterval - time.Since(p.lastWake)
	if wait <= 0 {
		p.wakeAll()
		return
	}
	p.waking = true
	time.AfterFunc(wait, p.announceLate)
}

// announceLate wakes all writers for the versions published since the wake before.
func (p *Publisher) announceLate() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waking = false
	p.wakeAll()
}

// wakeAll wakes all writers. The caller holds the lock.
func (p *Publisher) wakeAll() {
	p.lastWake = time.Now()
	for _, c := range p.connections {
		c.signal()
	}
}

func (c *connection) signal() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// serve reads a follower's messages until its connection ends.
func (c *connection) serve() {
	defer c.remove()
	c.conn.SetWriteBuffer(sendBuffer)
	setUnansweredLimit(c.conn)
	reader := frames.NewReader(countingReader{c.conn, &c.publisher.counters.bytesIn}, maxFollowerFrame)
	err := c.readHello(reader)
	if err != nil {
		c.countMalformed(err)
		return
	}
	var writer sync.WaitGroup
	writer.Go(c.write)
	c.countMalformed(c.read(reader))
	close(c.ended)
	c.conn.Close() // ends a write in progress
	writer.Wait()
}

// setUnansweredLimit has the kernel end a connection whose other side is gone, as after a network failure.
func setUnansweredLimit(conn *net.TCPConn) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return
	}
	raw.Control(func(descriptor uintptr) {
		milliseconds := int(unansweredLimit / time.Millisecond)
		unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, milliseconds)
	})
}

// readHello reads the first message and adds the follower to the sender.
func (c *connection) readHello(reader *frames.Reader) error {
	c.conn.SetReadDeadline(time.Now().Add(helloTimeout))
	message, err := reader.Next()
	if err != nil {
		return err
	}
	hello, ok := message.(*configsync.Hello)
	if !ok {
		return &frames.MalformedError{Err: errors.New("the first message is no hello")}
	}
	c.conn.SetReadDeadline(time.Time{})
	p := c.publisher
	p.mu.Lock()
	defer p.mu.Unlock()
	replaced, err := p.sender.Connect(time.Now(), c.id, hello)
	if previous := p.connections[replaced]; previous != nil {
		previous.conn.Close()
	}
	return err
}

// read passes the messages of the follower to the sender until the connection ends.
func (c *connection) read(reader *frames.Reader) error {
	for {
		message, err := reader.Next()
		if err != nil {
			return err
		}
		err = c.receive(message)
		if err != nil {
			return &frames.MalformedError{Err: err}
		}
		c.signal()
	}
}

func (c *connection) receive(message configsync.Message) error {
	if refusal, ok := message.(*configsync.Refusal); ok {
		slog.Warn("version_refused",
			"follower", c.conn.RemoteAddr(),
			"version", refusal.Version,
			"resource", refusal.Resource,
			"reason", refusal.Reason,
		)
	}
	p := c.publisher
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.sender.Receive(time.Now(), c.id, message)
}

// write executes the actions of the sender, one frame at a time. A version published while a frame is being written is
// considered after it, so a slow follower has at most one frame pending.
func (c *connection) write() {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		action := c.next()
		if !c.send(action.Frame) {
			c.conn.Close()
			return
		}
		if action.Close {
			c.closeWrite()
			return
		}
		if action.Frame != nil {
			continue
		}
		timer.Reset(time.Until(action.Wake))
		select {
		case <-c.wake:
		case <-timer.C:
		case <-c.ended:
			return
		}
	}
}

func (c *connection) next() configsync.Action {
	p := c.publisher
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.sender.Next(time.Now(), c.id)
}

func (c *connection) send(frame []byte) bool {
	if frame == nil {
		return true
	}
	c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	n, err := c.conn.Write(frame)
	c.publisher.counters.bytesOut.Add(int64(n))
	return err == nil
}

// closeWrite ends the connection after its final frame. The follower closes first, so that no reset overtakes the
// frame.
func (c *connection) closeWrite() {
	c.conn.CloseWrite()
	c.conn.SetReadDeadline(time.Now().Add(closeTimeout))
}

// countMalformed counts and logs an error that ended a connection, if it was a breach of the protocol.
func (c *connection) countMalformed(err error) {
	var malformed *frames.MalformedError
	var protocol *configsync.ProtocolVersionError
	if errors.As(err, &malformed) || errors.As(err, &protocol) {
		c.publisher.counters.malformed.Add(1)
		slog.Warn("follower_message_malformed", "follower", c.conn.RemoteAddr(), "error", err)
	}
}

// remove unregisters the connection and closes it.
func (c *connection) remove() {
	defer c.conn.Close()
	p := c.publisher
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sender.Disconnect(c.id)
	delete(p.connections, c.id)
}

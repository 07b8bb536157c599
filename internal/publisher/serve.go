package publisher

import (
	"errors"
	"io"
	"log/slog"
	"net"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"ravensill/configsync"
	"ravensill/internal/frames"
)

const (
	helloTimeout     = 5 * time.Second  // for a follower's first message
	writeTimeout     = 15 * time.Second // of one frame, a delta or a part of a snapshot
	farewellTimeout  = time.Second      // for a follower to close after the last frame
	unansweredLimit  = 20 * time.Second // of bytes on the way that the other side's kernel does not confirm
	sendBuffer       = 256 << 10        // bytes that the kernel holds for a follower that reads slowly
	maxFollowerFrame = 4 << 10          // bytes; the longest message of a follower is a refusal with its reason
)

// connection is one follower's connection. Two goroutines serve it: one reads, one writes, so that a follower that reads
// slowly holds up its own writer alone.
type connection struct {
	publisher *Publisher
	conn      *net.TCPConn
	id        configsync.FollowerID
	wake      chan struct{} // holds one: there may be something to send
	ended     chan struct{} // closed by the reader
}

// counted counts the bytes read from a connection.
type counted struct {
	source io.Reader
	bytes  *atomic.Int64
}

func (c counted) Read(buffer []byte) (int, error) {
	n, err := c.source.Read(buffer)
	c.bytes.Add(int64(n))
	return n, err
}

// accept takes followers in.
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

// admit gives a connection its place, nil where there is none.
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

// closeConnections ends all connections; no further one is admitted once done is closed.
func (p *Publisher) closeConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.connections {
		c.conn.Close()
	}
}

// announce has every writer look what its follower needs: at once, or, where that was a moment ago, once for all versions of
// the moment. Thousands of writers that look at each change of a burst would hold up the next one. The lock is held by the
// caller.
func (p *Publisher) announce() {
	if p.waking {
		return
	}
	wait := p.cfg.Sending.VersionInterval - time.Since(p.woken)
	if wait <= 0 {
		p.wakeAll()
		return
	}
	p.waking = true
	time.AfterFunc(wait, p.announceLate)
}

// announceLate wakes the writers for the versions that came since they were woken last.
func (p *Publisher) announceLate() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waking = false
	p.wakeAll()
}

// wakeAll has every writer look what its follower needs. The lock is held by the caller.
func (p *Publisher) wakeAll() {
	p.woken = time.Now()
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
	defer c.forget()
	c.conn.SetWriteBuffer(sendBuffer)
	setUnansweredLimit(c.conn)
	reader := frames.NewReader(counted{c.conn, &c.publisher.counters.bytesIn}, maxFollowerFrame)
	err := c.greet(reader)
	if err != nil {
		c.note(err)
		return
	}
	writing := make(chan struct{})
	go func() {
		defer close(writing)
		c.write()
	}()
	c.note(c.read(reader))
	close(c.ended)
	c.conn.Close() // ends a write under way
	<-writing
}

// setUnansweredLimit ends connections whose other side is gone, as behind a link that was cut.
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

// greet reads the first message and takes the follower in.
func (c *connection) greet(reader *frames.Reader) error {
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
	if former := p.connections[replaced]; former != nil {
		former.conn.Close()
	}
	return err
}

// read hands the follower's messages to the sender.
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

// write sends what the sender decides, one frame at a time. What changes while a frame is being written is looked at after
// it, so a follower has one frame pending, however slowly it reads.
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
			c.farewell()
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

// farewell ends the connection after its last frame. The follower closes first, so that no reset overtakes the frame.
func (c *connection) farewell() {
	c.conn.CloseWrite()
	c.conn.SetReadDeadline(time.Now().Add(farewellTimeout))
}

// note counts what ended a connection where it broke the protocol.
func (c *connection) note(err error) {
	var malformed *frames.MalformedError
	var protocol *configsync.ProtocolError
	if errors.As(err, &malformed) || errors.As(err, &protocol) {
		c.publisher.counters.malformed.Add(1)
		slog.Warn("follower_message_malformed", "follower", c.conn.RemoteAddr(), "error", err)
	}
}

// forget gives the connection's place away and ends it.
func (c *connection) forget() {
	defer c.conn.Close()
	p := c.publisher
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sender.Disconnect(c.id)
	delete(p.connections, c.id)
}

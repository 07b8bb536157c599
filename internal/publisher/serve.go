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
	helloTimeout          = 5 * time.Second  // longest wait for the first message of a follower, its Hello
	writeTimeout          = 15 * time.Second // longest write of one frame: a delta, a heartbeat or a part of a snapshot
	closeTimeout          = time.Second      // longest wait for a follower to close after the final frame
	tcpUserTimeout        = 20 * time.Second // the longest time that sent bytes may stay without a TCP acknowledgement
	sendBufferBytes       = 256 << 10        // size of the kernel's send buffer, which a slow follower fills
	maxFollowerFrameBytes = 4 << 10          // the longest message of a follower is a refusal with its reason
)

// connection is the connection of one follower. One goroutine reads from it (serve) and another one writes to it
// (runWriter), so that a slow follower blocks only its own writer.
type connection struct {
	publisher  *Publisher
	conn       *net.TCPConn
	id         configsync.ConnectionID
	wake       chan struct{} // signals the writer that there may be something to send; has capacity 1
	readerDone chan struct{} // closed when the reading goroutine has ended
}

// countingReader adds the number of bytes read from source to a counter.
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

// accept accepts followers' connections until the listener is closed, and starts a goroutine for each.
func (p *Publisher) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil { // closed
			return
		}
		c := p.register(conn.(*net.TCPConn))
		if c == nil {
			conn.Close()
			continue
		}
		p.tasks.Go(c.serve)
	}
}

// register adds a connection to p.connections. It returns nil if there are max_followers connections already, which it
// counts, or if the publisher is being closed. The caller then closes conn.
func (p *Publisher) register(conn *net.TCPConn) *connection {
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
	p.counters.acceptedConnections.Add(1)
	p.lastConnectionID++
	c := &connection{
		publisher:  p,
		conn:       conn,
		id:         p.lastConnectionID,
		wake:       make(chan struct{}, 1),
		readerDone: make(chan struct{}),
	}
	p.connections[c.id] = c
	return c
}

// closeConnections closes all connections. It is called after done is closed, from when on register adds no more.
func (p *Publisher) closeConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.connections {
		c.conn.Close()
	}
}

// announce wakes all writers to send a new version. It does so at once if the writers were last woken at least
// VersionInterval ago. Otherwise a timer wakes them at the end of that interval, once for all versions published until
// then: to wake thousands of writers for each change of a burst would delay the next change. The caller holds p.mu.
func (p *Publisher) announce() {
	if p.wakeScheduled {
		return
	}
	wait := p.cfg.SenderLimits.VersionInterval - time.Since(p.lastWake)
	if wait <= 0 {
		p.wakeAllWriters()
		return
	}
	p.wakeScheduled = true
	time.AfterFunc(wait, p.announceDelayed)
}

// announceDelayed wakes all writers at the end of the interval that announce has waited for.
func (p *Publisher) announceDelayed() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.wakeScheduled = false
	p.wakeAllWriters()
}

// wakeAllWriters signals the writers of all connections. The caller holds p.mu.
func (p *Publisher) wakeAllWriters() {
	p.lastWake = time.Now()
	for _, c := range p.connections {
		c.signal()
	}
}

// signal wakes the connection's writer, or has it look for something to send again if it is busy. It never blocks.
func (c *connection) signal() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// serve runs a connection until it ends: it reads the follower's Hello, starts the writer, and reads the messages that
// follow.
func (c *connection) serve() {
	defer c.unregister()
	c.conn.SetWriteBuffer(sendBufferBytes)
	setUserTimeout(c.conn)
	reader := frames.NewReader(countingReader{c.conn, &c.publisher.counters.bytesIn}, maxFollowerFrameBytes)
	err := c.readHello(reader)
	if err != nil {
		c.recordIfMalformed(err)
		return
	}
	var writer sync.WaitGroup
	writer.Go(c.runWriter)
	c.recordIfMalformed(c.readMessages(reader))
	close(c.readerDone)
	c.conn.Close() // makes a blocked write of the writer return
	writer.Wait()
}

// setUserTimeout sets TCP_USER_TIMEOUT, so that the kernel closes the connection when sent bytes stay unacknowledged
// for tcpUserTimeout. Otherwise a connection would stay open for long after its follower is lost, as in a network
// failure. Errors are ignored: the connection then works without this timeout.
func setUserTimeout(conn *net.TCPConn) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return
	}
	raw.Control(func(descriptor uintptr) {
		milliseconds := int(tcpUserTimeout / time.Millisecond)
		unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, milliseconds)
	})
}

// readHello reads the first message, which has to be a Hello, and adds the follower to the sender. If the same gateway
// has another connection, that one is closed.
func (c *connection) readHello(reader *frames.Reader) error {
	c.conn.SetReadDeadline(time.Now().Add(helloTimeout))
	message, err := reader.Next()
	if err != nil {
		return err
	}
	hello, ok := message.(*configsync.Hello)
	if !ok {
		return &frames.MalformedError{Err: errors.New("the first message of the follower is not a Hello")}
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

// readMessages passes the follower's messages to the sender until the connection ends, and returns the reason for its
// end. Each message may permit the sender to send the next version, so it wakes the writer.
func (c *connection) readMessages(reader *frames.Reader) error {
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

// receive passes one message to the sender. It logs a refusal. An error reports that the message violates the protocol.
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

// runWriter writes what the sender decides, one frame at a time, until the connection ends. It asks the sender again
// only after a frame is written, so a slow follower never has more than one frame queued; versions published in the
// meantime are merged into the next one.
func (c *connection) runWriter() {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		action := c.nextAction()
		if !c.writeFrame(action.Frame) {
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
		case <-c.readerDone:
			return
		}
	}
}

// nextAction returns what the sender decides to do for this follower now.
func (c *connection) nextAction() configsync.Action {
	p := c.publisher
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.sender.Next(time.Now(), c.id)
}

// writeFrame writes a frame, if it is not nil, and reports whether the connection can still be used.
func (c *connection) writeFrame(frame []byte) bool {
	if frame == nil {
		return true
	}
	c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	n, err := c.conn.Write(frame)
	c.publisher.counters.bytesOut.Add(int64(n))
	return err == nil
}

// closeWrite closes the sending side of the connection after its final frame, and gives the follower closeTimeout to
// close the connection. To close it fully at this point could reset it, and the follower would lose the frame.
func (c *connection) closeWrite() {
	c.conn.CloseWrite()
	c.conn.SetReadDeadline(time.Now().Add(closeTimeout))
}

// recordIfMalformed counts and logs the error that ended a connection if it reports a violation of the protocol. Other
// errors, such as a connection closed by the follower, are expected.
func (c *connection) recordIfMalformed(err error) {
	var malformed *frames.MalformedError
	var protocol *configsync.ProtocolVersionError
	if errors.As(err, &malformed) || errors.As(err, &protocol) {
		c.publisher.counters.malformedMessages.Add(1)
		slog.Warn("follower_message_malformed", "follower", c.conn.RemoteAddr(), "error", err)
	}
}

// unregister removes the connection from the sender and from p.connections, and closes it.
func (c *connection) unregister() {
	defer c.conn.Close()
	p := c.publisher
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sender.Disconnect(c.id)
	delete(p.connections, c.id)
}

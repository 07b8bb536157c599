package subscriber

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"ravensill/configsync"
	"ravensill/internal/clock"
	"ravensill/internal/frames"
)

// readAheadMessages is the number of messages that a connection reads ahead while the gateway applies a version. The
// publisher sends only heartbeats meanwhile, one a second.
const readAheadMessages = 16

// connection is a connection to a publisher. A goroutine of its own reads messages from it until close is called. All
// methods but Read and readMessages belong to the subscriber's goroutine.
type connection struct {
	conn     net.Conn
	bytesIn  *atomic.Int64   // counts the bytes read; shared by the subscriber's connections
	bytesOut *atomic.Int64   // counts the bytes written; shared by the subscriber's connections
	results  chan readResult // messages and the final error, from the reading goroutine
	done     chan struct{}   // closed by close
	reader   sync.WaitGroup  // the reading goroutine
	clock    clock.Clock

	// readAt is when bytes were last read: the monotonic time of clock, as a time.Duration. 0: none were read yet.
	// The reading goroutine sets it.
	readAt atomic.Int64

	// lastSeenReadAt is the value that readAt had at the latest call of hasNewBytes.
	lastSeenReadAt time.Duration
}

// readResult is a message read from a connection, or the error that ended the connection.
type readResult struct {
	message   configsync.Message
	malformed bool  // err reports a violation of the protocol
	err       error // nil: message is set
}

// newConnection takes ownership of conn and starts to read from it. It adds the numbers of bytes read and written to
// bytesIn and bytesOut.
func newConnection(conn net.Conn, clock clock.Clock, bytesIn, bytesOut *atomic.Int64) *connection {
	c := &connection{
		conn:     conn,
		bytesIn:  bytesIn,
		bytesOut: bytesOut,
		results:  make(chan readResult, readAheadMessages),
		done:     make(chan struct{}),
		clock:    clock,
	}
	c.reader.Go(c.readMessages)
	return c
}

// close closes the connection and waits until the reading goroutine has ended. It must be called once.
func (c *connection) close() {
	close(c.done)
	c.conn.Close()
	c.reader.Wait()
}

// Read implements io.Reader for the reading goroutine. It counts the bytes and records the time at which they were
// read.
func (c *connection) Read(buffer []byte) (int, error) {
	n, err := c.conn.Read(buffer)
	c.bytesIn.Add(int64(n))
	if n > 0 {
		c.readAt.Store(int64(c.clock.Monotonic()))
	}
	return n, err
}

// readMessages delivers messages to results until the connection ends, and then the error that ended it.
func (c *connection) readMessages() {
	reader := frames.NewReader(c, configsync.MaxFrameBytes)
	for {
		message, err := reader.Next()
		var malformed *frames.MalformedError
		r := readResult{message, errors.As(err, &malformed), err}
		select {
		case c.results <- r:
		case <-c.done:
			return
		}
		if err != nil {
			return
		}
	}
}

// send writes a message. If that fails, it closes the connection, so that the reading goroutine delivers an error.
func (c *connection) send(message configsync.Message) {
	c.conn.SetWriteDeadline(time.Now().Add(sendTimeout))
	n, err := c.conn.Write(configsync.Encode(message))
	c.bytesOut.Add(int64(n))
	if err != nil {
		c.conn.Close()
	}
}

// hasNewBytes reports whether bytes were read since its previous call. They count even if they don't complete a
// message.
func (c *connection) hasNewBytes() bool {
	readAt := time.Duration(c.readAt.Load())
	hasNew := readAt != c.lastSeenReadAt
	c.lastSeenReadAt = readAt
	return hasNew
}

// lastReadTime converts the time of the latest bytes seen by hasNewBytes to a time.Time, given the present time. Read
// records monotonic time, since a step of the wall clock would change how long a publisher counts as silent: a step
// forward would make a live publisher seem silent, and a step back would hide a silent one.
func (c *connection) lastReadTime(now time.Time) time.Time {
	return now.Add(c.lastSeenReadAt - c.clock.Monotonic())
}

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

// receivedCapacity is the number of messages that are read ahead while the gateway applies a version. They are
// heartbeats, one a second.
const receivedCapacity = 16

// link is a connection to a publisher, with a goroutine that reads from it until close.
type link struct {
	conn     net.Conn
	in       *atomic.Int64 // bytes
	out      *atomic.Int64 // bytes
	received chan received
	closed   chan struct{}
	reader   sync.WaitGroup
	clock    clock.Clock

	// readAt is the monotonic time of the latest bytes as a time.Duration; 0: none yet.
	readAt atomic.Int64

	// seenReadAt is readAt as of the latest call of readSince.
	seenReadAt time.Duration
}

// received is a message, or the error that ended the connection.
type received struct {
	message   configsync.Message
	malformed bool  // err reports a breach of the protocol
	err       error // nil: message is set
}

func newLink(conn net.Conn, clock clock.Clock, in, out *atomic.Int64) *link {
	l := &link{
		conn:     conn,
		in:       in,
		out:      out,
		received: make(chan received, receivedCapacity),
		closed:   make(chan struct{}),
		clock:    clock,
	}
	l.reader.Go(l.read)
	return l
}

// close closes the connection and waits for its goroutine.
func (l *link) close() {
	close(l.closed)
	l.conn.Close()
	l.reader.Wait()
}

// Read implements io.Reader. It notes the count and the time of the bytes.
func (l *link) Read(buffer []byte) (int, error) {
	n, err := l.conn.Read(buffer)
	l.in.Add(int64(n))
	if n > 0 {
		l.readAt.Store(int64(l.clock.Monotonic()))
	}
	return n, err
}

// read reads messages until the connection ends.
func (l *link) read() {
	reader := frames.NewReader(l, configsync.MaxFrameBytes)
	for {
		message, err := reader.Next()
		var malformed *frames.MalformedError
		r := received{message, errors.As(err, &malformed), err}
		select {
		case l.received <- r:
		case <-l.closed:
			return
		}
		if err != nil {
			return
		}
	}
}

// send writes a message. After an error it closes the connection, which the reader notices.
func (l *link) send(message configsync.Message) {
	l.conn.SetWriteDeadline(time.Now().Add(sendTimeout))
	n, err := l.conn.Write(configsync.Encode(message))
	l.out.Add(int64(n))
	if err != nil {
		l.conn.Close()
	}
}

// readSince reports whether bytes were received since the call before, of complete messages or not.
func (l *link) readSince() bool {
	readAt := time.Duration(l.readAt.Load())
	since := readAt != l.seenReadAt
	l.seenReadAt = readAt
	return since
}

// lastRead returns the time of the latest bytes seen by readSince, given the time now. It uses monotonic time: with
// the wall clock, a step forward would make a live publisher seem silent, and a step back would hide a silent one.
func (l *link) lastRead(now time.Time) time.Time {
	return now.Add(l.seenReadAt - l.clock.Monotonic())
}

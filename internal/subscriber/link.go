package subscriber

import (
	"errors"
	"net"
	"sync/atomic"
	"time"

	"ravensill/configsync"
	"ravensill/internal/clock"
	"ravensill/internal/frames"
)

// receivedRoom is how many messages are read ahead while the gateway puts a version in force: heartbeats of so many seconds.
const receivedRoom = 16

// link is a connection to a publisher with a goroutine that reads it.
type link struct {
	conn     net.Conn
	in       *atomic.Int64 // bytes
	out      *atomic.Int64 // bytes
	received chan received
	closed   chan struct{}
	ended    chan struct{} // the goroutine has ended
	clock    clock.Clock
	readAt   atomic.Int64 // monotonic time of the last bytes, in nanoseconds; 0: none came
	taken    int64        // readAt as of the last call of readSince
}

// received is a message, or why there are no more.
type received struct {
	message   configsync.Message
	malformed bool  // err tells how the other side broke the protocol
	err       error // nil: message is set
}

func newLink(conn net.Conn, clock clock.Clock, in, out *atomic.Int64) *link {
	l := &link{
		conn:     conn,
		in:       in,
		out:      out,
		received: make(chan received, receivedRoom),
		closed:   make(chan struct{}),
		ended:    make(chan struct{}),
		clock:    clock,
	}
	go l.read()
	return l
}

// close ends the connection and its goroutine.
func (l *link) close() {
	close(l.closed)
	l.conn.Close()
	<-l.ended
}

// Read counts what comes in.
func (l *link) Read(buffer []byte) (int, error) {
	n, err := l.conn.Read(buffer)
	l.in.Add(int64(n))
	if n > 0 {
		l.readAt.Store(int64(l.clock.Monotonic()))
	}
	return n, err
}

// read reads messages up to the end of the connection.
func (l *link) read() {
	defer close(l.ended)
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

// send writes a message. An error needs no answer: the reader notices the end of the connection.
func (l *link) send(message configsync.Message) {
	l.conn.SetWriteDeadline(time.Now().Add(sendTimeout))
	n, err := l.conn.Write(configsync.Encode(message))
	l.out.Add(int64(n))
	if err != nil {
		l.conn.Close()
	}
}

// readSince tells whether bytes came since the last call, of whole messages or not.
func (l *link) readSince() bool {
	at := l.readAt.Load()
	since := at != l.taken
	l.taken = at
	return since
}

// lastRead returns the time of the last bytes, given the time now. It goes by monotonic time: by the wall clock, a step forward
// would make a live publisher silent, and a step back would hide one that is.
func (l *link) lastRead(now time.Time) time.Time {
	return now.Add(time.Duration(l.taken) - l.clock.Monotonic())
}

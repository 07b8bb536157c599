package ring

import (
	"io"
	"net"
	"os"
	"syscall"
	"time"
)

// Link drives one TCP connection: its own goroutine reads into In, the node's loop writes out of Out. It
// knows no protocol.
type Link struct {
	In, Out *Ring
	conn    *net.TCPConn
	raw     syscall.RawConn
	write   func(fd uintptr) bool
	err     error
}

func NewLink(conn *net.TCPConn, mostIn, mostOut int) (*Link, error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return nil, err
	}
	l := &Link{In: New(mostIn), Out: New(mostOut), conn: conn, raw: raw}
	l.write = l.push
	return l, nil
}

// Read waits for bytes and puts them into In.
func (l *Link) Read() error {
	room := l.In.Room()
	if len(room) == 0 {
		return io.ErrShortBuffer
	}
	n, err := l.conn.Read(room)
	l.In.Filled(n)
	if n > 0 {
		return nil
	}
	return err
}

// Discard takes in what still comes, unseen, until the peer closes or time is up: a close over unread bytes
// would reset away the last answer.
func (l *Link) Discard(limit time.Duration) {
	l.conn.SetReadDeadline(time.Now().Add(limit))
	io.Copy(io.Discard, l.conn)
}

// Flush writes what the socket takes at once and never waits: a slow peer must not hold up the loop that
// serves all others. What is left stays in Out for the next Flush.
func (l *Link) Flush() error {
	l.err = nil
	if err := l.raw.Write(l.write); err != nil {
		return err
	}
	return l.err
}

func (l *Link) push(fd uintptr) bool {
	for l.Out.Len() > 0 {
		n, err := syscall.Write(int(fd), l.Out.Head())
		if err == syscall.EINTR {
			continue
		}
		if err == syscall.EAGAIN {
			break
		}
		if err != nil {
			l.err = os.NewSyscallError("write", err)
			break
		}
		l.Out.Drop(n)
	}
	return true
}

// CloseWrite ends the sending; the peer is read for a while longer.
func (l *Link) CloseWrite(limit time.Duration) {
	l.conn.CloseWrite()
	l.conn.SetReadDeadline(time.Now().Add(limit))
}

// Close ends the connection; a waiting Read returns.
func (l *Link) Close() { l.conn.Close() }

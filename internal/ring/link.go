package ring

import (
	"io"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"
	"unsafe"
)

// Link drives one TCP connection: its own goroutine reads into In, the node's loop writes out of Out. It
// knows no protocol.
type Link struct {
	In, Out *Ring
	conn    *net.TCPConn
	raw     syscall.RawConn
	write   func(fd uintptr) bool
	read    func(fd uintptr) bool
	peek    func(fd uintptr)
	quiet   bool
	reads   atomic.Int64
	pulling atomic.Bool
	room    []byte // of In, while reading
	got     int
	readErr error
	err     error
}

func NewLink(conn *net.TCPConn, mostIn, mostOut int) (*Link, error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return nil, err
	}
	l := &Link{In: New(mostIn), Out: New(mostOut), conn: conn, raw: raw}
	l.write, l.read, l.peek = l.push, l.pull, l.look
	return l, nil
}

// Read waits for bytes and puts them into In.
func (l *Link) Read() error {
	if l.room = l.In.Room(); len(l.room) == 0 {
		return io.ErrShortBuffer
	}
	if err := l.raw.Read(l.read); err != nil {
		return err
	}
	l.In.Filled(l.got)
	return l.readErr
}

// pull and push never wait in the kernel, so the runtime is not told of their calls: told of one that ends an
// idle spell, it wakes its watching thread, and it takes the processor away from one that lasts (a write to
// loopback does). That was a sixth to a third of all CPU.
func (l *Link) pull(fd uintptr) bool {
	l.pulling.Store(true)
	defer l.pulling.Store(false)
	for {
		n, _, errno := syscall.RawSyscall(syscall.SYS_READ, fd, uintptr(unsafe.Pointer(&l.room[0])), uintptr(len(l.room)))
		switch {
		case errno == syscall.EINTR:
			continue
		case errno == syscall.EAGAIN:
			return false
		case errno != 0:
			l.got, l.readErr = 0, os.NewSyscallError("read", errno)
		case n == 0:
			l.got, l.readErr = 0, io.EOF
		default:
			l.got, l.readErr = int(n), nil
		}
		l.reads.Add(1)
		return true
	}
}

// Quiet tells whether nothing came since the first so many Reads, neither bytes nor an end. It may be asked while
// a Read waits. The order counts: what the socket no longer holds is either being counted or has been.
func (l *Link) Quiet(reads int64) bool {
	return l.raw.Control(l.peek) == nil && l.quiet && !l.pulling.Load() && l.reads.Load() == reads
}

// Fresh tells whether nothing has come at all. A Read that is just at it does not count: the first one of a connection begins
// together with its first write, and there is no earlier answer whose rest it could bring.
func (l *Link) Fresh() bool { return l.raw.Control(l.peek) == nil && l.quiet && l.reads.Load() == 0 }

// Reads counts the Reads that brought something.
func (l *Link) Reads() int64 { return l.reads.Load() }

func (l *Link) look(fd uintptr) {
	var b [1]byte
	_, _, errno := syscall.RawSyscall6(syscall.SYS_RECVFROM, fd, uintptr(unsafe.Pointer(&b[0])), 1,
		syscall.MSG_PEEK|syscall.MSG_DONTWAIT, 0, 0)
	l.quiet = errno == syscall.EAGAIN
}

// Patience bounds how long the next Reads wait, all together; 0 lifts the bound.
func (l *Link) Patience(limit time.Duration) {
	at := time.Time{}
	if limit > 0 {
		at = time.Now().Add(limit)
	}
	l.conn.SetReadDeadline(at)
}

// Discard takes in what still comes, unseen, until the peer closes or the time that CloseWrite gives is up: a
// close over unread bytes would reset away the last answer. It reads slowly: a peer with 60 MB to send must not
// cost the others their part of the core.
func (l *Link) Discard() {
	for buf := make([]byte, 16<<10); ; time.Sleep(2 * time.Millisecond) {
		if _, err := l.conn.Read(buf); err != nil {
			return
		}
	}
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
		p := l.Out.Head()
		n, _, errno := syscall.RawSyscall(syscall.SYS_WRITE, fd, uintptr(unsafe.Pointer(&p[0])), uintptr(len(p)))
		switch errno {
		case 0:
			l.Out.Drop(int(n))
		case syscall.EINTR:
		case syscall.EAGAIN:
			return true
		default:
			l.err = os.NewSyscallError("write", errno)
			return true
		}
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

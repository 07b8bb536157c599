package bufconn

import (
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
	"unsafe"

	"ravensill/internal/sockets"
)

// The pace of Discard. The end of a peer that has closed follows the bytes that both systems hold in transit,
// and has to be seen soon.
const (
	discardChunkBytes = 256 << 10
	discardPause      = 2 * time.Millisecond
)

// Link reads and writes one TCP connection. One goroutine, the reader, reads into In; another one, the loop, writes out
// of Out.
type Link struct {
	In  *Buffer
	Out *Buffer

	system    sockets.System
	conn      *net.TCPConn
	raw       syscall.RawConn
	writeFunc func(fd uintptr) bool // method values, made once
	readFunc  func(fd uintptr) bool
	peekFunc  func(fd uintptr)

	// The reader's.
	readBuffer []byte // free space of In
	readCount  int    // bytes read into it
	readErr    error
	reads      atomic.Int64 // reads that returned bytes or an end
	reading    atomic.Bool  // a read is between taking bytes from the socket and being counted

	readMutex  sync.Mutex // locked from taking bytes from the socket until the read is counted
	readsEnded bool       // guarded by readMutex: no more is read from the socket

	// The loop's.
	wouldBlock bool // result of peekSocket: nothing to read
	writeErr   error
}

// NewLink returns a link whose buffers grow up to maxIn and maxOut bytes. It reads and writes by the calls of system.
func NewLink(system sockets.System, conn *net.TCPConn, maxIn, maxOut int) (*Link, error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return nil, fmt.Errorf("descriptor of %v: %w", conn.RemoteAddr(), err)
	}
	link := &Link{In: NewBuffer(maxIn), Out: NewBuffer(maxOut), system: system, conn: conn, raw: raw}
	link.writeFunc = link.writeSocket
	link.readFunc = link.readSocket
	link.peekFunc = link.peekSocket
	return link, nil
}

// Read waits for bytes and appends them to In. It returns io.EOF at the end of the stream.
func (l *Link) Read() error {
	l.readBuffer = l.In.FreeSpace()
	if len(l.readBuffer) == 0 {
		return io.ErrShortBuffer
	}
	if err := l.raw.Read(l.readFunc); err != nil {
		return err
	}
	l.In.Extend(l.readCount)
	return l.readErr
}

// readSocket reads what the socket holds, and returns false if that is nothing.
func (l *Link) readSocket(fd uintptr) bool {
	l.readMutex.Lock()
	defer l.readMutex.Unlock()
	l.reading.Store(true)
	defer l.reading.Store(false)
	if l.readsEnded {
		l.setReadResult(0, net.ErrClosed)
		return true
	}
	n, errno := l.system.Read(fd, l.readBuffer)
	for errno == syscall.EINTR {
		n, errno = l.system.Read(fd, l.readBuffer)
	}
	switch {
	case errno == syscall.EAGAIN:
		return false
	case errno != 0:
		l.setReadResult(0, os.NewSyscallError("read", errno))
	case n == 0:
		l.setReadResult(0, io.EOF)
	default:
		l.setReadResult(n, nil)
	}
	l.reads.Add(1)
	return true
}

// setReadResult sets the result of a read.
func (l *Link) setReadResult(count int, err error) {
	l.readCount = count
	l.readErr = err
}

// NoInputSince reports whether nothing, neither bytes nor an end, has arrived since Reads returned reads. It may be called
// while a Read waits. The order of the checks matters: what the socket no longer holds is either being counted or has
// been.
func (l *Link) NoInputSince(reads int64) bool {
	return l.socketEmpty() && !l.reading.Load() && l.reads.Load() == reads
}

// CloseIfNoInputSince closes the connection if nothing has arrived since Reads returned reads, and reports whether it did.
// No read can take bytes between the check and the close, as it could between Quiet and Close: a command that is read
// has to be answered.
func (l *Link) CloseIfNoInputSince(reads int64) bool {
	l.readMutex.Lock()
	quiet := l.socketEmpty() && l.reads.Load() == reads
	l.readsEnded = quiet
	l.readMutex.Unlock() // Close waits for a read under way, which may wait for the lock
	if quiet {
		l.Close()
	}
	return quiet
}

// CloseWriteIfNoInputSince calls CloseWrite if nothing has arrived since Reads returned reads, and reports whether it did.
// Bytes that are read after that arrived after the end was sent.
func (l *Link) CloseWriteIfNoInputSince(reads int64, limit time.Duration) bool {
	l.readMutex.Lock()
	defer l.readMutex.Unlock()
	if !l.socketEmpty() || l.reads.Load() != reads {
		return false
	}
	l.CloseWrite(limit)
	return true
}

// NoInputYet reports whether nothing has arrived at all. It ignores a Read that waits: the first Read of a connection begins
// together with its first write, and there is no earlier answer whose rest it could return.
func (l *Link) NoInputYet() bool { return l.socketEmpty() && l.reads.Load() == 0 }

// socketEmpty reports whether the socket holds neither bytes nor an end.
func (l *Link) socketEmpty() bool { return l.raw.Control(l.peekFunc) == nil && l.wouldBlock }

// ReadCount returns the number of reads that returned bytes or an end.
func (l *Link) ReadCount() int64 { return l.reads.Load() }

// peekSocket sets wouldBlock to whether the socket has nothing to read.
func (l *Link) peekSocket(fd uintptr) {
	var b [1]byte
	_, _, errno := syscall.RawSyscall6(syscall.SYS_RECVFROM, fd, uintptr(unsafe.Pointer(&b[0])), 1,
		syscall.MSG_PEEK|syscall.MSG_DONTWAIT, 0, 0)
	l.wouldBlock = errno == syscall.EAGAIN
}

// SetReadTimeout limits the total time for which the next Reads wait; 0 removes the limit.
func (l *Link) SetReadTimeout(limit time.Duration) {
	deadline := time.Time{}
	if limit > 0 {
		deadline = time.Now().Add(limit)
	}
	l.conn.SetReadDeadline(deadline)
}

// Discard reads and discards bytes until the peer closes or the time limit of CloseWrite is over: closing over unread
// bytes would reset away the latest answer. It reads at most discardChunkBytes in each discardPause: a peer with 60
// MB to send must not cost others their processor time.
func (l *Link) Discard() {
	buf := make([]byte, discardChunkBytes)
	for {
		if _, err := l.conn.Read(buf); err != nil {
			return
		}
		time.Sleep(discardPause)
	}
}

// Flush writes what the socket accepts at once and never waits: a slow peer must not delay the loop, which serves all
// others. The rest stays in Out for the next Flush.
func (l *Link) Flush() error {
	l.writeErr = nil
	if err := l.raw.Write(l.writeFunc); err != nil {
		return err
	}
	return l.writeErr
}

// writeSocket writes what the socket accepts.
func (l *Link) writeSocket(fd uintptr) bool {
	for l.Out.Len() > 0 {
		n, errno := l.system.Write(fd, l.Out.Head())
		switch {
		case errno == 0 && n > 0:
			l.Out.Drop(n)
		case errno == syscall.EINTR:
		case errno == 0, errno == syscall.EAGAIN: // a retry now would be a busy loop
			return true
		default:
			l.writeErr = os.NewSyscallError("write", errno)
			return true
		}
	}
	return true
}

// CloseWrite closes the sending side, and ends reads after the time limit.
func (l *Link) CloseWrite(limit time.Duration) {
	l.conn.CloseWrite()
	l.conn.SetReadDeadline(time.Now().Add(limit))
}

// Close closes the connection; a waiting Read returns net.ErrClosed.
func (l *Link) Close() { l.conn.Close() }

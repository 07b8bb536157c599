package bufconn

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"

	"ravensill/internal/memory"
	"ravensill/internal/sockets"
)

// ErrNoMemory is the error of Read if In is full and the budget does not admit more memory for it.
var ErrNoMemory = errors.New("no memory for what was received")

// Limits bound the buffers of a Link.
type Limits struct {
	MaxIn     int            // largest size of In, in bytes
	MaxOut    int            // largest size of Out, in bytes
	InBudget  *memory.Budget // beyond which In does not grow; nil: unlimited
	OutBudget *memory.Budget // in which the memory of Out is counted, whether admitted or not; nil: not counted
}

// Discard reads at most discardChunkBytes in each discardPause. If the peer has closed, the end of the stream follows
// the bytes that the kernels of both machines hold in transit; Discard has to be fast enough to reach it soon.
const (
	discardChunkBytes = 256 << 10
	discardPause      = 2 * time.Millisecond
)

// Link reads and writes one TCP connection. Two goroutines use it: one, the reader, calls Read, SetReadTimeout and
// Discard and owns In; the other, the event loop, calls all other methods and owns Out. ReadCount and Close may be
// called on both.
type Link struct {
	In  *Buffer // bytes that were read
	Out *Buffer // bytes to be written by Flush

	system    sockets.System
	conn      *net.TCPConn
	raw       syscall.RawConn
	writeFunc func(fd uintptr) bool // the method value writeSocket, allocated once
	readFunc  func(fd uintptr) bool // the method value readSocket
	peekFunc  func(fd uintptr)      // the method value peekSocket

	// The following fields belong to the reader, except the atomic ones.
	readBuffer []byte       // free space of In, for the read in progress
	bytesRead  int          // number of bytes that the latest read put into readBuffer
	readErr    error        // error of the latest read
	reads      atomic.Int64 // number of reads that returned bytes, an error or the end of the stream
	waiting    atomic.Bool  // whether the latest read found the socket empty, so that Read waits
	reading    atomic.Bool  // set from before a read takes input from the socket until that is counted in reads

	readMutex  sync.Mutex // locked from before a read takes input from the socket until that is counted in reads
	readsEnded bool       // guarded by readMutex: whether reads fail instead of taking input from the socket

	// The following fields belong to the event loop.
	wouldBlock bool  // result of peekSocket: whether there is nothing to read
	writeErr   error // error of the latest flush
}

// NewLink returns a link whose buffers In and Out grow within limits. It reads and writes through system.
func NewLink(system sockets.System, conn *net.TCPConn, limits Limits) (*Link, error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return nil, fmt.Errorf("access the descriptor of the connection to %v: %w", conn.RemoteAddr(), err)
	}
	link := &Link{In: NewBuffer(limits.MaxIn), Out: NewBuffer(limits.MaxOut), system: system, conn: conn, raw: raw}
	link.In.budget = limits.InBudget
	link.In.strict = true
	link.Out.budget = limits.OutBudget
	link.writeFunc = link.writeSocket
	link.readFunc = link.readSocket
	link.peekFunc = link.peekSocket
	return link, nil
}

// Read waits for bytes and appends them to In. It returns io.EOF at the end of the stream, io.ErrShortBuffer if In is
// full, and ErrNoMemory if In may not grow.
func (l *Link) Read() error {
	l.readBuffer = l.In.FreeSpace()
	if len(l.readBuffer) == 0 && l.In.IsAtLimit() {
		return io.ErrShortBuffer
	}
	if len(l.readBuffer) == 0 {
		l.bytesRead = 0
		return ErrNoMemory
	}
	if err := l.raw.Read(l.readFunc); err != nil {
		return err
	}
	l.In.Extend(l.bytesRead)
	return l.readErr
}

// readSocket reads what the socket holds, and returns false if it holds nothing, so that RawConn.Read waits.
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
		l.waiting.Store(true)
		return false
	case errno != 0:
		l.setReadResult(0, os.NewSyscallError("read", errno))
	case n == 0:
		l.setReadResult(0, io.EOF)
	default:
		l.setReadResult(n, nil)
	}
	l.waiting.Store(false)
	l.reads.Add(1)
	return true
}

// IsWaiting reports whether the reader has read all bytes that had arrived, and no further ones since.
func (l *Link) IsWaiting() bool { return l.waiting.Load() }

// MayHoldMore reports whether the latest Read left no space in In, or found none, so that the socket may hold further
// bytes. The reader calls it.
func (l *Link) MayHoldMore() bool { return l.bytesRead == len(l.readBuffer) }

// setReadResult stores the result of readSocket for Read.
func (l *Link) setReadResult(count int, err error) {
	l.bytesRead = count
	l.readErr = err
}

// NoInputSince reports whether neither bytes nor the end of the stream have arrived since ReadCount returned reads. It
// may be called while a Read waits. The socket is checked first: input that it no longer holds belongs to a read that
// is still being counted, which the second check detects, or is counted, which the third detects.
func (l *Link) NoInputSince(reads int64) bool {
	return l.socketEmpty() && !l.reading.Load() && l.reads.Load() == reads
}

// CloseIfNoInputSince closes the connection if nothing has arrived since ReadCount returned reads, and reports whether
// it did. No read can take bytes between the check and the close, as it could between NoInputSince and Close: a command
// that was read has to be answered.
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

// CloseWriteIfNoInputSince calls CloseWrite if nothing has arrived since ReadCount returned reads, and reports whether
// it did. Bytes that are read after that arrived after the sending side was closed.
func (l *Link) CloseWriteIfNoInputSince(reads int64, limit time.Duration) bool {
	l.readMutex.Lock()
	defer l.readMutex.Unlock()
	if !l.socketEmpty() || l.reads.Load() != reads {
		return false
	}
	l.CloseWrite(limit)
	return true
}

// NoInputYet reports whether nothing has ever arrived on the connection. Unlike NoInputSince it ignores a Read that is
// in progress: the first Read of a connection begins together with its first write, and there is no earlier answer
// whose rest it could return.
func (l *Link) NoInputYet() bool { return l.socketEmpty() && l.reads.Load() == 0 }

// socketEmpty reports whether the socket holds neither bytes nor an error nor the end of the stream.
func (l *Link) socketEmpty() bool { return l.raw.Control(l.peekFunc) == nil && l.wouldBlock }

// ReadCount returns the number of reads that returned bytes, an error or the end of the stream.
func (l *Link) ReadCount() int64 { return l.reads.Load() }

// peekSocket sets wouldBlock to whether the socket has nothing to read.
func (l *Link) peekSocket(fd uintptr) {
	var b [1]byte
	_, _, errno := syscall.RawSyscall6(syscall.SYS_RECVFROM, fd, uintptr(unsafe.Pointer(&b[0])), 1,
		syscall.MSG_PEEK|syscall.MSG_DONTWAIT, 0, 0)
	l.wouldBlock = errno == syscall.EAGAIN
}

// SetReadTimeout limits the time from now until which all following Reads together may wait; 0 removes the limit.
func (l *Link) SetReadTimeout(limit time.Duration) {
	deadline := time.Time{}
	if limit > 0 {
		deadline = time.Now().Add(limit)
	}
	l.conn.SetReadDeadline(deadline)
}

// discardBuffer receives the bytes that Discard reads. All links share it, because hundreds may discard at a time.
var discardBuffer struct {
	sync.Mutex
	bytes [discardChunkBytes]byte
}

// Discard reads and discards bytes until the peer closes or the time limit of CloseWrite is over, and releases In. If
// the connection were closed while bytes are unread, it would be reset and the peer could lose the latest answer.
// Discard reads at most discardChunkBytes in each discardPause: a peer with 60 MB to send must not use up the processor
// time that others need.
func (l *Link) Discard() {
	l.In.Free()
	for {
		if err := l.raw.Read(l.discardSocket); err != nil || l.readErr != nil {
			return
		}
		time.Sleep(discardPause)
	}
}

// discardSocket reads and discards what the socket holds, and returns false if it holds nothing.
func (l *Link) discardSocket(fd uintptr) bool {
	discardBuffer.Lock()
	defer discardBuffer.Unlock()
	l.readBuffer = discardBuffer.bytes[:]
	return l.readSocket(fd)
}

// Flush writes as many bytes of Out as the socket accepts at once. It never waits, because a slow peer must not delay
// the event loop, which serves all others. The rest stays in Out for the next Flush.
func (l *Link) Flush() error {
	l.writeErr = nil
	if err := l.raw.Write(l.writeFunc); err != nil {
		return err
	}
	return l.writeErr
}

// writeSocket writes what the socket accepts. It always returns true, so that RawConn.Write does not wait.
func (l *Link) writeSocket(fd uintptr) bool {
	for l.Out.Len() > 0 {
		n, errno := l.system.Write(fd, l.Out.Head())
		switch {
		case errno == 0 && n > 0:
			l.Out.Drop(n)
		case errno == syscall.EINTR:
		case errno == 0, errno == syscall.EAGAIN: // retrying at once would be a busy loop
			return true
		default:
			l.writeErr = os.NewSyscallError("write", errno)
			return true
		}
	}
	return true
}

// CloseWrite closes the sending side. Reads fail once the time limit is over.
func (l *Link) CloseWrite(limit time.Duration) {
	l.conn.CloseWrite()
	l.conn.SetReadDeadline(time.Now().Add(limit))
}

// PeerHasClosed reports whether the peer has closed or reset the connection, as far as this machine's kernel knows: the
// end of the stream may still be behind bytes that Read has not returned.
func (l *Link) PeerHasClosed() bool {
	closed := false
	err := l.raw.Control(func(fd uintptr) {
		descriptors := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		count, err := unix.Poll(descriptors, 0)
		closed = err == nil && count == 1 && descriptors[0].Revents&unix.POLLRDHUP != 0
	})
	return err != nil || closed
}

// RemoteAddr returns the address of the peer.
func (l *Link) RemoteAddr() net.Addr { return l.conn.RemoteAddr() }

// Close closes the connection. A Read that waits returns net.ErrClosed.
func (l *Link) Close() { l.conn.Close() }

package discovery

import (
	"io"
	"net"
	"os"
	"sync/atomic"
	"syscall"

	"ravensill/internal/sockets"
)

// PendingRead observes whether a watch has received bytes that are not processed yet.
type PendingRead struct{ conn atomic.Pointer[watchedConn] }

// Pending reports whether the watch has bytes that it has not read, or has read and not processed. Any goroutine may
// call it.
func (p *PendingRead) Pending() bool {
	c := p.conn.Load()
	if c == nil {
		return false
	}
	// In this order: bytes that have left the socket are being processed.
	return c.hasBytes() || c.processing.Load()
}

// watchedConn is the connection of a watch. What it read counts as being processed until the next Read.
type watchedConn struct {
	net.Conn
	system     sockets.System
	raw        syscall.RawConn
	processing atomic.Bool
}

func newWatchedConn(system sockets.System, conn net.Conn) (*watchedConn, error) {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	return &watchedConn{Conn: conn, system: system, raw: raw}, err
}

func (c *watchedConn) Read(p []byte) (n int, err error) {
	c.processing.Store(false)
	if len(p) == 0 {
		return 0, nil
	}
	errno := syscall.Errno(0)
	err = c.raw.Read(func(fd uintptr) bool {
		c.processing.Store(true)
		n, errno = c.system.Read(fd, p)
		for errno == syscall.EINTR {
			n, errno = c.system.Read(fd, p)
		}
		if errno == syscall.EAGAIN {
			c.processing.Store(false)
			return false
		}
		return true
	})
	switch {
	case err != nil:
		return 0, err
	case errno != 0:
		return 0, os.NewSyscallError("read", errno)
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}

// hasBytes reports whether the socket has bytes to read.
func (c *watchedConn) hasBytes() (some bool) {
	c.raw.Control(func(fd uintptr) {
		var peeked [1]byte
		n, _, _ := syscall.Recvfrom(int(fd), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		some = n > 0
	})
	return some
}

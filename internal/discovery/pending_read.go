package discovery

import (
	"io"
	"net"
	"os"
	"sync/atomic"
	"syscall"

	"ravensill/internal/sockets"
)

// PendingRead reports whether a watch has received bytes that it has not processed yet. The zero value is ready to use;
// it serves one watch.
type PendingRead struct{ conn atomic.Pointer[watchedConn] }

// Pending reports whether bytes are waiting in the watch's socket, or were read and not fully processed. It is false
// before the watch is connected and after it has ended. Any goroutine may call it.
func (p *PendingRead) Pending() bool {
	c := p.conn.Load()
	if c == nil {
		return false
	}
	// The socket is checked first: a read sets processing before it takes bytes from the socket, so the second check
	// sees bytes that have left it. In the other order, bytes read between the two checks would be missed.
	return c.hasUnreadBytes() || c.processing.Load()
}

// watchedConn is the connection of a watch. The bytes of a Read count as being processed until the next Read, since the
// watch reads again only after it has handled them.
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

// Read marks bytes as being processed before it takes them from the socket, so that Pending sees them at any moment.
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

// hasUnreadBytes reports whether the socket has bytes to read. It leaves them there.
func (c *watchedConn) hasUnreadBytes() (found bool) {
	c.raw.Control(func(fd uintptr) {
		var peeked [1]byte
		n, _, _ := syscall.Recvfrom(int(fd), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		found = n > 0
	})
	return found
}

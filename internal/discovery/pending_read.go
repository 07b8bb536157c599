package discovery

import (
	"io"
	"net"
	"os"
	"sync/atomic"
	"syscall"

	"ravensill/internal/sockets"
)

// PendingRead tells of one watch whether news lie in its connection that have not been handed on.
type PendingRead struct{ socket atomic.Pointer[watchedConn] }

// Pending reports that: bytes came that were not read, or those that were read last have not led to all that they hold. It
// may be asked at any time, by another goroutine. The order counts: what the socket no longer holds is being taken in.
func (f *PendingRead) Pending() bool {
	s := f.socket.Load()
	return s != nil && (s.hasBytes() || s.processing.Load())
}

// socket is a watch's connection that knows whether what it read is still being taken in: until the next Read.
type watchedConn struct {
	net.Conn
	system     sockets.System
	raw        syscall.RawConn
	processing atomic.Bool
}

func newWatchedConn(system sockets.System, c net.Conn) (*watchedConn, error) {
	raw, err := c.(*net.TCPConn).SyscallConn()
	return &watchedConn{Conn: c, system: system, raw: raw}, err
}

func (s *watchedConn) Read(p []byte) (n int, err error) {
	s.processing.Store(false)
	if len(p) == 0 {
		return 0, nil
	}
	errno := syscall.Errno(0)
	err = s.raw.Read(func(fd uintptr) bool {
		s.processing.Store(true)
		for n, errno = s.system.Read(fd, p); errno == syscall.EINTR; {
			n, errno = s.system.Read(fd, p)
		}
		if errno == syscall.EAGAIN {
			s.processing.Store(false)
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

func (s *watchedConn) hasBytes() (some bool) {
	s.raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, _ := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		some = n > 0
	})
	return some
}

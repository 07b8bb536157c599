package node

import (
	"errors"
	"net"
	"net/netip"
	"os"
	"syscall"
	"testing"
)

// Guards against a start that fails because the address or a resource is only temporarily unavailable, and against
// retries of errors that persist.
func TestListenRetriesPassingErrors(t *testing.T) {
	address := netip.MustParseAddrPort("127.0.0.1:1")
	bindError := func(errno syscall.Errno) error {
		return &net.OpError{Op: "listen", Err: os.NewSyscallError("bind", errno)}
	}
	temporary := []syscall.Errno{
		syscall.EADDRINUSE,
		syscall.EADDRNOTAVAIL,
		syscall.EMFILE,
		syscall.ENFILE,
		syscall.ENOBUFS,
		syscall.ENOMEM,
	}
	for _, errno := range temporary {
		attempts := 0
		err := listenWithRetry("listen", address, nil, func() error {
			attempts++
			if attempts < 3 {
				return bindError(errno)
			}
			return nil
		})
		if err != nil || attempts != 3 {
			t.Errorf("%v: %d attempts and error %v, want success at the third", errno, attempts, err)
		}
	}
	for _, errno := range []syscall.Errno{syscall.EACCES, syscall.EINVAL} {
		attempts := 0
		err := listenWithRetry("listen", address, nil, func() error {
			attempts++
			return bindError(errno)
		})
		if !errors.Is(err, errno) || attempts != 1 {
			t.Errorf("%v: %d attempts and error %v, want one attempt and its error", errno, attempts, err)
		}
	}
}

package node

import (
	"errors"
	"net"
	"net/netip"
	"os"
	"syscall"
	"testing"
)

// An address that can't be had for a moment is waited for; an error that does not pass ends the start at once,
// with the key.
func TestListenRetriesPassingErrors(t *testing.T) {
	address := netip.MustParseAddrPort("127.0.0.1:1")
	bindError := func(errno syscall.Errno) error {
		return &net.OpError{Op: "listen", Err: os.NewSyscallError("bind", errno)}
	}
	passing := []syscall.Errno{
		syscall.EADDRINUSE,
		syscall.EADDRNOTAVAIL,
		syscall.EMFILE,
		syscall.ENFILE,
		syscall.ENOBUFS,
		syscall.ENOMEM,
	}
	for _, errno := range passing {
		tries := 0
		err := listenWithRetry("listen", address, nil, func() error {
			tries++
			if tries < 3 {
				return bindError(errno)
			}
			return nil
		})
		if err != nil || tries != 3 {
			t.Errorf("%v: %d tries, %v", errno, tries, err)
		}
	}
	for _, errno := range []syscall.Errno{syscall.EACCES, syscall.EINVAL} {
		tries := 0
		err := listenWithRetry("listen", address, nil, func() error {
			tries++
			return bindError(errno)
		})
		if !errors.Is(err, errno) || tries != 1 {
			t.Errorf("%v: %d tries, %v", errno, tries, err)
		}
	}
}

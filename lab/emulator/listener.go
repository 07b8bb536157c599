package emulator

import (
	"net"
	"syscall"
)

// closeListener shuts a listener down before it closes it. A child process that is being started holds copies of all
// descriptors until it runs, so that closing alone would leave the port in use.
func closeListener(listener net.Listener) {
	raw, err := listener.(*net.TCPListener).SyscallConn()
	if err == nil {
		raw.Control(func(descriptor uintptr) { syscall.Shutdown(int(descriptor), syscall.SHUT_RDWR) })
	}
	listener.Close()
}

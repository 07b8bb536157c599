package emulator

import (
	"net"
	"syscall"
)

// closeListener shuts a listener down before closing it. A child process that is being started holds copies of all
// descriptors until it executes its program, so a close alone would leave the port in use.
func closeListener(listener net.Listener) {
	raw, err := listener.(*net.TCPListener).SyscallConn()
	if err == nil {
		raw.Control(func(descriptor uintptr) { syscall.Shutdown(int(descriptor), syscall.SHUT_RDWR) })
	}
	listener.Close()
}

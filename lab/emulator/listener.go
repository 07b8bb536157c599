package emulator

import (
	"net"
	"syscall"
)

// closeListener ends a listener at once. A process that this one is just starting holds copies of its descriptors until it
// runs: closed alone, the listener would go on until then.
func closeListener(l net.Listener) {
	raw, err := l.(*net.TCPListener).SyscallConn()
	if err == nil {
		raw.Control(func(descriptor uintptr) { syscall.Shutdown(int(descriptor), syscall.SHUT_RDWR) })
	}
	l.Close()
}

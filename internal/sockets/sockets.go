// Package sockets makes the system calls for the sockets of the gateway through an interface. Tests replace the kernel
// by a System that fails on purpose (package socketstest), to check that callers handle every result of a call.
package sockets

import (
	"context"
	"net"
	"net/netip"
	"syscall"
	"unsafe"
)

// System makes the system calls for sockets. It is safe for concurrent use.
type System interface {
	// Dial opens a TCP connection over IPv4 to a host:port address with the settings of a dialer.
	Dial(ctx context.Context, dialer *net.Dialer, address string) (*net.TCPConn, error)
	// Listen opens a TCP listener over IPv4.
	Listen(address netip.AddrPort) (*net.TCPListener, error)
	// Accept waits for the next connection of a listener.
	Accept(listener *net.TCPListener) (*net.TCPConn, error)
	// ListenPacket opens a UDP socket over IPv4.
	ListenPacket(address netip.AddrPort) (*net.UDPConn, error)
	// ReadPacket waits for a datagram, reads it into the buffer, cut off at the buffer's length, and returns its length
	// and sender.
	ReadPacket(conn *net.UDPConn, buffer []byte) (int, netip.AddrPort, error)
	// Read reads from a non-blocking descriptor; see read(2). The buffer must not be empty.
	Read(descriptor uintptr, buffer []byte) (int, syscall.Errno)
	// Write writes to a non-blocking descriptor; see write(2). The buffer must not be empty.
	Write(descriptor uintptr, buffer []byte) (int, syscall.Errno)
}

// Kernel is the System that makes the real system calls.
type Kernel struct{}

var _ System = Kernel{}

// Dial implements System.
func (Kernel) Dial(ctx context.Context, dialer *net.Dialer, address string) (*net.TCPConn, error) {
	conn, err := dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	return conn.(*net.TCPConn), nil
}

// Listen implements System.
func (Kernel) Listen(address netip.AddrPort) (*net.TCPListener, error) {
	return net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(address))
}

// Accept implements System.
func (Kernel) Accept(listener *net.TCPListener) (*net.TCPConn, error) { return listener.AcceptTCP() }

// ListenPacket implements System.
func (Kernel) ListenPacket(address netip.AddrPort) (*net.UDPConn, error) {
	return net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
}

// ReadPacket implements System.
func (Kernel) ReadPacket(conn *net.UDPConn, buffer []byte) (int, netip.AddrPort, error) {
	return conn.ReadFromUDPAddrPort(buffer)
}

// Read implements System. Read and Write never block in the kernel, so they use raw system calls, which the Go runtime
// does not notice. Otherwise it would wake its monitor thread for a call that ends an idle period, and would give the
// processor (P) of the goroutine to another thread during a call that takes long, such as a write to loopback.
func (Kernel) Read(descriptor uintptr, buffer []byte) (int, syscall.Errno) {
	n, _, errno := syscall.RawSyscall(
		syscall.SYS_READ,
		descriptor,
		uintptr(unsafe.Pointer(&buffer[0])),
		uintptr(len(buffer)),
	)
	return int(n), errno
}

// Write implements System. It uses a raw system call for the reasons given at Read.
func (Kernel) Write(descriptor uintptr, buffer []byte) (int, syscall.Errno) {
	n, _, errno := syscall.RawSyscall(
		syscall.SYS_WRITE,
		descriptor,
		uintptr(unsafe.Pointer(&buffer[0])),
		uintptr(len(buffer)),
	)
	return int(n), errno
}

// Package sockets makes the system calls of the gateway's sockets. Callers handle every result that a call may have,
// and tests replace the System by one that fails on purpose (package socketstest).
package sockets

import (
	"context"
	"net"
	"net/netip"
	"syscall"
	"unsafe"
)

// System makes the system calls. It is safe for concurrent use.
type System interface {
	// Dial opens a TCP connection over IPv4 with the settings of a dialer.
	Dial(ctx context.Context, dialer *net.Dialer, address string) (*net.TCPConn, error)
	// Listen opens a TCP listener over IPv4.
	Listen(address netip.AddrPort) (*net.TCPListener, error)
	// Accept waits for the next connection of a listener.
	Accept(listener *net.TCPListener) (*net.TCPConn, error)
	// ListenPacket opens a UDP socket over IPv4.
	ListenPacket(address netip.AddrPort) (*net.UDPConn, error)
	// ReadPacket reads a datagram and returns its length and sender.
	ReadPacket(conn *net.UDPConn, buffer []byte) (int, netip.AddrPort, error)
	// Read reads from a descriptor that does not block; see read(2). The buffer is not empty.
	Read(descriptor uintptr, buffer []byte) (int, syscall.Errno)
	// Write writes to a descriptor that does not block; see write(2). The buffer is not empty.
	Write(descriptor uintptr, buffer []byte) (int, syscall.Errno)
}

// Kernel makes the calls of the operating system.
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

// Read implements System. It and Write never wait in the kernel, so they use raw system calls, which the runtime does
// not notice: after one that ends an idle period it would wake its monitor thread, and during one that lasts, as a
// write to loopback does, it would take the processor away.
func (Kernel) Read(descriptor uintptr, buffer []byte) (int, syscall.Errno) {
	n, _, errno := syscall.RawSyscall(
		syscall.SYS_READ,
		descriptor,
		uintptr(unsafe.Pointer(&buffer[0])),
		uintptr(len(buffer)),
	)
	return int(n), errno
}

// Write implements System.
func (Kernel) Write(descriptor uintptr, buffer []byte) (int, syscall.Errno) {
	n, _, errno := syscall.RawSyscall(
		syscall.SYS_WRITE,
		descriptor,
		uintptr(unsafe.Pointer(&buffer[0])),
		uintptr(len(buffer)),
	)
	return int(n), errno
}

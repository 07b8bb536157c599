// Package socketstest provides a sockets.System for tests whose calls fail on purpose: as scripted call by call, or at
// random with a seed.
package socketstest

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"sync"
	"syscall"

	"ravensill/internal/sockets"
)

// Call is a kind of system call.
type Call int

// The kinds of calls of a sockets.System.
const (
	Dial Call = iota
	Listen
	Accept
	ListenPacket
	ReadPacket
	Read
	Write
	callCount // number of kinds
)

// callNames are the names of the system calls in errors, by Call.
var callNames = [callCount]string{"connect", "bind", "accept", "bind", "recvfrom", "read", "write"}

// Fault is the failure of a call.
type Fault struct {
	Errno    syscall.Errno // error of the call; 0: a short read or write instead
	MaxBytes int           // limit of the bytes that a short read or write transfers; only a write may transfer none
}

// Rate is the frequency of random faults in calls of one kind.
type Rate struct {
	Probability float64 // probability that a call has a fault, from 0 to 1
	Faults      []Fault // the possible faults, which are equally probable
}

// System is a sockets.System that makes some calls fail and passes the others to the kernel. It is safe for concurrent
// use.
type System struct {
	sockets.Kernel

	mu      sync.Mutex
	random  *rand.Rand
	rates   map[Call]Rate
	scripts map[Call][]*Fault // faults of the next calls, by kind of call; a nil element is a call without a fault
	counts  [callCount]int    // calls made, by kind of call
}

// New returns a System whose calls fail at random at the given rates; kinds of calls that have no rate don't fail. The
// same seed and order of calls give the same faults.
func New(seed uint64, rates map[Call]Rate) *System {
	return &System{
		random:  rand.New(rand.NewPCG(seed, 1)),
		rates:   rates,
		scripts: map[Call][]*Fault{},
	}
}

// Script appends to the script of a kind of call: the next calls of the kind have these faults, one each, where nil
// stands for no fault. Calls fail at random again once the script is over.
func (s *System) Script(call Call, faults ...*Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.scripts[call] = append(s.scripts[call], faults...)
}

// ErrorScript returns faults, to be passed to Script, by which one call after the other fails with the given errors.
func ErrorScript(errnos ...syscall.Errno) []*Fault {
	var faults []*Fault
	for _, errno := range errnos {
		faults = append(faults, &Fault{Errno: errno})
	}
	return faults
}

// CallCount returns the number of calls of a kind that were made, including those that failed.
func (s *System) CallCount(call Call) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts[call]
}

// nextFault counts a call of a kind and returns its fault, or nil if it has none.
func (s *System) nextFault(call Call) *Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts[call]++
	if script := s.scripts[call]; len(script) > 0 {
		s.scripts[call] = script[1:]
		return script[0]
	}
	rate := s.rates[call]
	if len(rate.Faults) == 0 || s.random.Float64() >= rate.Probability {
		return nil
	}
	return &rate.Faults[s.random.IntN(len(rate.Faults))]
}

// nextError counts a call of a kind and returns the error of its fault, wrapped as package net would wrap it, or nil if
// it has none.
func (s *System) nextError(call Call) error {
	fault := s.nextFault(call)
	if fault == nil {
		return nil
	}
	return &net.OpError{Op: callNames[call], Net: "ip4", Err: os.NewSyscallError(callNames[call], fault.Errno)}
}

// Dial implements sockets.System.
func (s *System) Dial(ctx context.Context, dialer *net.Dialer, address string) (*net.TCPConn, error) {
	if err := s.nextError(Dial); err != nil {
		return nil, err
	}
	return s.Kernel.Dial(ctx, dialer, address)
}

// Listen implements sockets.System.
func (s *System) Listen(address netip.AddrPort) (*net.TCPListener, error) {
	if err := s.nextError(Listen); err != nil {
		return nil, err
	}
	return s.Kernel.Listen(address)
}

// Accept implements sockets.System. As in the kernel, a call that fails with ECONNABORTED removes a connection from the
// listen queue; a call that fails with another error leaves the queue as it is.
func (s *System) Accept(listener *net.TCPListener) (*net.TCPConn, error) {
	err := s.nextError(Accept)
	if errors.Is(err, syscall.ECONNABORTED) {
		if conn, acceptErr := s.Kernel.Accept(listener); acceptErr == nil {
			conn.Close()
		}
	}
	if err != nil {
		return nil, err
	}
	return s.Kernel.Accept(listener)
}

// ListenPacket implements sockets.System.
func (s *System) ListenPacket(address netip.AddrPort) (*net.UDPConn, error) {
	if err := s.nextError(ListenPacket); err != nil {
		return nil, err
	}
	return s.Kernel.ListenPacket(address)
}

// ReadPacket implements sockets.System.
func (s *System) ReadPacket(conn *net.UDPConn, buffer []byte) (int, netip.AddrPort, error) {
	if err := s.nextError(ReadPacket); err != nil {
		return 0, netip.AddrPort{}, err
	}
	return s.Kernel.ReadPacket(conn, buffer)
}

// Read implements sockets.System. A short read transfers at least one byte, because zero would mean the end of the
// stream.
func (s *System) Read(descriptor uintptr, buffer []byte) (int, syscall.Errno) {
	fault := s.nextFault(Read)
	switch {
	case fault == nil:
		return s.Kernel.Read(descriptor, buffer)
	case fault.Errno != 0:
		return 0, fault.Errno
	}
	return s.Kernel.Read(descriptor, buffer[:min(max(fault.MaxBytes, 1), len(buffer))])
}

// Write implements sockets.System. A short write may transfer nothing.
func (s *System) Write(descriptor uintptr, buffer []byte) (int, syscall.Errno) {
	fault := s.nextFault(Write)
	switch {
	case fault == nil:
		return s.Kernel.Write(descriptor, buffer)
	case fault.Errno != 0:
		return 0, fault.Errno
	case fault.MaxBytes == 0:
		return 0, 0
	}
	return s.Kernel.Write(descriptor, buffer[:min(fault.MaxBytes, len(buffer))])
}

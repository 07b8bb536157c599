// Package socketstest provides a sockets.System that fails on purpose: by a script, call by call, or at random with a
// seed.
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

// The calls of a sockets.System.
const (
	Dial Call = iota
	Listen
	Accept
	ListenPacket
	ReadPacket
	Read
	Write
	calls
)

var callNames = [calls]string{"connect", "bind", "accept", "bind", "recvfrom", "read", "write"}

// Fault is the failure of a call.
type Fault struct {
	Errno    syscall.Errno // 0: a short read or write
	MaxBytes int           // that a short read or write transfers at most; a write may transfer none
}

// Rate is the probability of faults in a call.
type Rate struct {
	Probability float64 // that a call has a fault, 0 to 1
	Faults      []Fault // of which one is drawn, each with the same probability
}

// System makes the kernel's calls, some of which fail.
type System struct {
	sockets.Kernel

	mu      sync.Mutex
	random  *rand.Rand
	rates   map[Call]Rate
	scripts map[Call][]*Fault // faults of the next calls; nil: none
	counts  [calls]int
}

// New returns a system whose calls fail at random, the same way for the same seed and order of calls.
func New(seed uint64, rates map[Call]Rate) *System {
	return &System{
		random:  rand.New(rand.NewPCG(seed, 1)),
		rates:   rates,
		scripts: map[Call][]*Fault{},
	}
}

// Script sets the faults of the next calls of a kind, after which they fail at random again; nil is a call without a
// fault.
func (s *System) Script(call Call, faults ...*Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.scripts[call] = append(s.scripts[call], faults...)
}

// ErrorScript returns a script of errors.
func ErrorScript(numbers ...syscall.Errno) []*Fault {
	var faults []*Fault
	for _, errno := range numbers {
		faults = append(faults, &Fault{Errno: errno})
	}
	return faults
}

// CallCount returns the number of calls of a kind, failed ones included.
func (s *System) CallCount(call Call) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts[call]
}

// next returns the fault of the next call of a kind, nil for none.
func (s *System) next(call Call) *Fault {
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

// failure returns the error of the next call of a kind as package net would, nil for none.
func (s *System) failure(call Call) error {
	fault := s.next(call)
	if fault == nil {
		return nil
	}
	return &net.OpError{Op: callNames[call], Net: "ip4", Err: os.NewSyscallError(callNames[call], fault.Errno)}
}

// Dial implements sockets.System.
func (s *System) Dial(ctx context.Context, dialer *net.Dialer, address string) (*net.TCPConn, error) {
	if err := s.failure(Dial); err != nil {
		return nil, err
	}
	return s.Kernel.Dial(ctx, dialer, address)
}

// Listen implements sockets.System.
func (s *System) Listen(address netip.AddrPort) (*net.TCPListener, error) {
	if err := s.failure(Listen); err != nil {
		return nil, err
	}
	return s.Kernel.Listen(address)
}

// Accept implements sockets.System. ECONNABORTED removes a connection from the listen queue; after every other error it
// stays there.
func (s *System) Accept(listener *net.TCPListener) (*net.TCPConn, error) {
	err := s.failure(Accept)
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
	if err := s.failure(ListenPacket); err != nil {
		return nil, err
	}
	return s.Kernel.ListenPacket(address)
}

// ReadPacket implements sockets.System.
func (s *System) ReadPacket(conn *net.UDPConn, buffer []byte) (int, netip.AddrPort, error) {
	if err := s.failure(ReadPacket); err != nil {
		return 0, netip.AddrPort{}, err
	}
	return s.Kernel.ReadPacket(conn, buffer)
}

// Read implements sockets.System.
func (s *System) Read(descriptor uintptr, buffer []byte) (int, syscall.Errno) {
	fault := s.next(Read)
	switch {
	case fault == nil:
		return s.Kernel.Read(descriptor, buffer)
	case fault.Errno != 0:
		return 0, fault.Errno
	}
	return s.Kernel.Read(descriptor, buffer[:min(max(fault.MaxBytes, 1), len(buffer))])
}

// Write implements sockets.System.
func (s *System) Write(descriptor uintptr, buffer []byte) (int, syscall.Errno) {
	fault := s.next(Write)
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

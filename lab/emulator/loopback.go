package emulator

import (
	"fmt"
	"net"
	"net/netip"
	"os"
)

// FreeAddr tries ports below the system's ephemeral ones, so that a free one stays free until its user starts, and
// while its user restarts.
const (
	firstPort    = 20_000
	portCount    = 12_000
	portAttempts = 200
)

// LoopbackAddr returns address i of a network within 127.0.0.0/8, so that many servers can share one port.
func LoopbackAddr(network byte, i int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, network, byte((i + 1) >> 8), byte(i + 1)})
}

// LoopbackIndex is the inverse of Loopback. It returns -1 for an address outside the network.
func LoopbackIndex(network byte, addr netip.Addr) int {
	octets := addr.Unmap().As4()
	if octets[0] != 127 || octets[1] != network {
		return -1
	}
	return int(octets[2])<<8 + int(octets[3]) - 1
}

// FreeAddr returns address i of a network with a port that is free for TCP and UDP.
func FreeAddr(network byte, i int) (netip.AddrPort, error) {
	var err error
	for attempt := range portAttempts {
		port := firstPort + (os.Getpid()*31+attempt*97+i)%portCount
		addr := netip.AddrPortFrom(LoopbackAddr(network, i), uint16(port))
		if err = probePort(addr); err == nil {
			return addr, nil
		}
	}
	return netip.AddrPort{}, fmt.Errorf("free port at %s: %w", LoopbackAddr(network, i), err)
}

// probePort listens at an address for a moment, by TCP and by UDP.
func probePort(addr netip.AddrPort) error {
	listener, err := net.Listen("tcp4", addr.String())
	if err != nil {
		return err
	}
	closeListener(listener)
	packets, err := net.ListenPacket("udp4", addr.String())
	if err != nil {
		return err
	}
	return packets.Close()
}

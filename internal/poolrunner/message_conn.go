package poolrunner

import (
	"net"
	"net/netip"

	"ravensill/internal/sockets"
)

// messageConn sends and receives signed messages on a UDP socket. It is safe for concurrent use.
type messageConn struct {
	system sockets.System
	key    []byte
	socket *net.UDPConn
}

// openMessageConn opens a UDP socket at an address through system. key signs the messages that are sent and verifies
// those that are received.
func openMessageConn(system sockets.System, address netip.AddrPort, key []byte) (*messageConn, error) {
	socket, err := system.ListenPacket(address)
	if err != nil {
		return nil, err
	}
	return &messageConn{system: system, key: key, socket: socket}, nil
}

// close closes the socket, which ends read.
func (c *messageConn) close() { c.socket.Close() }

// send sends a message and reports whether it could be encoded. Errors of the kernel are ignored, since a datagram may
// be lost on the way in any case.
func (c *messageConn) send(to netip.AddrPort, message *Message) bool {
	datagram, err := Encode(c.key, message)
	if err != nil {
		return false
	}
	c.socket.WriteToUDPAddrPort(datagram, to)
	return true
}

// read calls handle for each received datagram until the socket is closed: with its message, or with the error of
// Decode.
func (c *messageConn) read(handle func(message *Message, err error, from netip.AddrPort)) {
	for datagram, from := range sockets.Datagrams(c.system, c.socket, maxDatagramBytes+1) {
		message, err := Decode(c.key, datagram)
		handle(message, err, from)
	}
}

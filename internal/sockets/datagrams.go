package sockets

import (
	"errors"
	"iter"
	"net"
	"net/netip"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// Datagrams returns the datagrams that arrive at a socket, each with its sender, until the socket is closed. A datagram
// is valid until the next one. Longer ones are cut off at maxBytes.
func Datagrams(system System, conn *net.UDPConn, maxBytes int) iter.Seq2[[]byte, netip.AddrPort] {
	return func(yield func([]byte, netip.AddrPort) bool) {
		buffer := make([]byte, maxBytes)
		var pause readBackoff
		for {
			n, from, err := system.ReadPacket(conn, buffer)
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err != nil { // such as an ICMP error for an earlier datagram to a peer that is down
				pause.waitAfterFailure()
				continue
			}
			pause.reset()
			if !yield(buffer[:n], from) {
				return
			}
		}
	}
}

// Bounds of the pause after a datagram that could not be read.
const (
	minReadBackoff = time.Millisecond
	maxReadBackoff = 100 * time.Millisecond
)

// readBackoff slows down a loop that reads datagrams while all reads fail. The zero value is ready to use.
type readBackoff struct{ backoff *backoff.ExponentialBackOff }

// waitAfterFailure waits after a read that failed, longer with each failure in a row.
func (p *readBackoff) waitAfterFailure() {
	if p.backoff == nil {
		p.backoff = backoff.NewExponentialBackOff()
		p.backoff.InitialInterval = minReadBackoff
		p.backoff.MaxInterval = maxReadBackoff
		p.backoff.Reset()
	}
	time.Sleep(p.backoff.NextBackOff())
}

// reset ends a row of failures.
func (p *readBackoff) reset() { p.backoff = nil }

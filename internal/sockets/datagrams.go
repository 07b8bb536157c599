package sockets

import (
	"errors"
	"iter"
	"net"
	"net/netip"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// Datagrams returns an iterator over the datagrams that arrive at a socket, each with its sender. It ends when the
// socket is closed; after other errors it pauses and goes on. A datagram is valid until the next one arrives, and is
// cut off after maxBytes.
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

// Bounds of the pause after a read that failed.
const (
	minReadBackoff = time.Millisecond
	maxReadBackoff = 100 * time.Millisecond
)

// readBackoff pauses a loop that reads datagrams while its reads fail, so that it does not use up the processor. The
// zero value is ready to use.
type readBackoff struct{ backoff *backoff.ExponentialBackOff }

// waitAfterFailure is called after a read that failed. It sleeps for a random time that grows with each failure in a
// row.
func (p *readBackoff) waitAfterFailure() {
	if p.backoff == nil {
		p.backoff = backoff.NewExponentialBackOff()
		p.backoff.InitialInterval = minReadBackoff
		p.backoff.MaxInterval = maxReadBackoff
		p.backoff.Reset()
	}
	time.Sleep(p.backoff.NextBackOff())
}

// reset is called after a read that succeeded. The next pause is as short as the first one.
func (p *readBackoff) reset() { p.backoff = nil }

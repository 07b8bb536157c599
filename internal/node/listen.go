package node

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"syscall"
	"time"

	"ravensill/internal/gossip"
	"ravensill/internal/peers"
	"ravensill/internal/sockets"
)

const (
	addressInUseTimeout = 25 * time.Second      // an earlier process of this gateway may still be shutting down
	shortageTimeout     = 5 * time.Second       // for an address or resource that the machine lacks
	listenRetryInterval = 20 * time.Millisecond // between attempts

	// reservedDescriptors are three standard streams, two of the runtime, the listener, datagrams, the counter, two
	// watches, a file, and those of the optional sections.
	reservedDescriptors = 16
)

// openSockets listens on the gateway's addresses, the one for datagrams first, before anything else of it runs.
// A process of this gateway that is still shutting down holds them, the one for datagrams up to its end.
func (n *Node) openSockets(stop <-chan struct{}) (listener *net.TCPListener, err error) {
	if len(n.cfg.Peers) > 0 {
		err = listenWithRetry("peer_listen", n.cfg.PeerListen, stop, func() (err error) {
			format := gossip.Format{Plans: len(n.cfg.Plans), Members: len(n.cfg.Peers), PlansByID: n.cfg.Configuration != nil}
			n.peerTransport, err = peers.Open(n.system, n.cfg.PeerListen, n.cfg.Peers, format)
			return err
		})
		if err != nil {
			return nil, err
		}
	}
	err = listenWithRetry("listen", n.cfg.Listen, stop, func() (err error) {
		listener, err = n.system.Listen(n.cfg.Listen)
		return err
	})
	return listener, err
}

var errStopRequested = errors.New("called to stop before it had its addresses")

// listenWithRetry calls listen until it succeeds, as long as the address is in use or the machine lacks a resource for
// it. key is the address's key in the configuration file.
func listenWithRetry(key string, addr netip.AddrPort, stop <-chan struct{}, listen func() error) error {
	began := time.Now()
	for logged := false; ; logged = true {
		err := listen()
		if err == nil {
			return nil
		}
		timeout := addressInUseTimeout
		if sockets.IsResourceExhausted(err) {
			timeout = shortageTimeout
		}
		if !sockets.IsTransientListenError(err) || time.Since(began) > timeout {
			return fmt.Errorf("%s: %w", key, err)
		}
		if !logged {
			logListenRetry(key, addr, timeout, err)
		}
		select {
		case <-stop:
			return errStopRequested
		case <-time.After(listenRetryInterval):
		}
	}
}

// logListenRetry logs that an address will be tried again for a time.
func logListenRetry(key string, addr netip.AddrPort, timeout time.Duration, err error) {
	if sockets.IsResourceExhausted(err) {
		slog.Warn("listen_address_unavailable", "key", key, "addr", addr, "wait", timeout, "error", err)
	} else {
		slog.Warn("listen_address_in_use", "key", key, "addr", addr, "wait", timeout, "error", err)
	}
}

// descriptorShares returns the most descriptors that clients and hosts may use, about 5/11 and 6/11 of those
// that are not reserved. The system's limit counts if it is lower than the configuration's: idle clients must
// not take the descriptors of the watch, the hosts and the listener.
func descriptorShares(configured int) (clients, hosts int) {
	most := configured
	var limit syscall.Rlimit
	err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit)
	if err == nil && limit.Cur < uint64(most) {
		slog.Warn("descriptor_limit_low", "limit", limit.Cur, "sockets", most)
		most = int(limit.Cur)
	}
	shared := min(most, max(most-reservedDescriptors, 1)*15/11)
	return shared / 3, shared * 2 / 5
}

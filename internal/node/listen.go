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
	// addressInUseTimeout is how long an address may be in use: a previous process of this gateway may be shutting down.
	addressInUseTimeout = 25 * time.Second

	// shortageTimeout is how long the machine may lack the address or a resource that is needed to listen.
	shortageTimeout = 5 * time.Second

	// listenRetryInterval is the wait between two attempts to listen on an address.
	listenRetryInterval = 20 * time.Millisecond

	// reservedDescriptors is the number of file descriptors kept back from clients and hosts: three standard streams, two
	// of the Go runtime, the listener, the gossip socket, the counter, two watches, a file, and the rest for the optional
	// sections of the configuration.
	reservedDescriptors = 16
)

// openSockets listens on the gateway's addresses, first on the one for gossip, before any other part of the gateway
// runs. It waits for a previous process of this gateway that is still shutting down. That process holds the gossip
// address until its end, and may hold the other one.
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

var errStopRequested = errors.New("stop requested while waiting for a listen address")

// listenWithRetry calls listen until it succeeds. It retries, up to a timeout, while the address is in use or the
// machine lacks the address or a resource, and returns any other error at once. If stop is closed meanwhile, it returns
// errStopRequested. key is the key of the address in the configuration file.
func listenWithRetry(key string, addr netip.AddrPort, stop <-chan struct{}, listen func() error) error {
	start := time.Now()
	for logged := false; ; logged = true {
		err := listen()
		if err == nil {
			return nil
		}
		timeout := addressInUseTimeout
		if sockets.IsResourceExhausted(err) {
			timeout = shortageTimeout
		}
		if !sockets.IsTransientListenError(err) || time.Since(start) > timeout {
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

// logListenRetry logs that listening on an address failed and is retried for up to timeout.
func logListenRetry(key string, addr netip.AddrPort, timeout time.Duration, err error) {
	if sockets.IsResourceExhausted(err) {
		slog.Warn("listen_address_unavailable", "key", key, "addr", addr, "wait", timeout, "error", err)
	} else {
		slog.Warn("listen_address_in_use", "key", key, "addr", addr, "wait", timeout, "error", err)
	}
}

// descriptorShares returns how many file descriptors clients and hosts may use: about 5/11 and 6/11 of those that are
// not reserved. If the system allows fewer descriptors than the configuration, the system's limit is shared out:
// otherwise idle clients could take the descriptors that the watch, the hosts and the listener need.
func descriptorShares(configured int) (clients, hosts int) {
	maxDescriptors := configured
	var limit syscall.Rlimit
	err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit)
	if err == nil && limit.Cur < uint64(maxDescriptors) {
		slog.Warn("descriptor_limit_low", "limit", limit.Cur, "sockets", maxDescriptors)
		maxDescriptors = int(limit.Cur)
	}
	available := min(maxDescriptors, max(maxDescriptors-reservedDescriptors, 1)*15/11)
	return available / 3, available * 2 / 5
}

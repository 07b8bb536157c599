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
	// an address is waited for at most so long: a former process of this gateway may drain yet
	formerProcessWait = 25 * time.Second
	// the same for what this machine is short of, such as an interface with the address: it may be a mistake in
	// the file
	shortageWait        = 5 * time.Second
	listenRetryInterval = 20 * time.Millisecond // between tries
	// descriptors: three streams, the runtime's two, listener, datagrams, counter, watch and the one before,
	// file, others of a section
	reservedDescriptors = 16
)

// openSockets takes the gateway's addresses, that of the datagrams first, before anything else of it runs. A
// former process that still serves what it has open holds them, its datagrams' address up to its end: a process
// that gave up then would not start at all.
func (n *Node) openSockets(stop <-chan struct{}) (listener *net.TCPListener, err error) {
	if len(n.cfg.Peers) > 0 {
		err = listenWithRetry("peer_listen", n.cfg.PeerListen, stop, func() (err error) {
			format := gossip.Format{Plans: len(n.cfg.Plans), Members: len(n.cfg.Peers), ByID: n.cfg.Configuration != nil}
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

var errStopped = errors.New("called to stop before it had its addresses")

// listenWithRetry tries to take an address until it is free, and as long as the machine is short of something for it.
func listenWithRetry(key string, addr netip.AddrPort, stop <-chan struct{}, try func() error) error {
	began := time.Now()
	for logged := false; ; logged = true {
		err := try()
		if err == nil {
			return nil
		}
		wait := formerProcessWait
		if sockets.IsShortage(err) {
			wait = shortageWait
		}
		if !sockets.IsPassing(err) || time.Since(began) > wait {
			return fmt.Errorf("%s: %w", key, err)
		}
		if !logged {
			logRetry(key, addr, wait, err)
		}
		select {
		case <-stop:
			return errStopped
		case <-time.After(listenRetryInterval):
		}
	}
}

// logRetry logs that an address will be tried again for the time of wait.
func logRetry(key string, addr netip.AddrPort, wait time.Duration, err error) {
	if sockets.IsShortage(err) {
		slog.Warn("listen_address_unavailable", "key", key, "addr", addr, "wait", wait, "error", err)
	} else {
		slog.Warn("listen_address_in_use", "key", key, "addr", addr, "wait", wait, "error", err)
	}
}

// sharedDescriptors returns how many the parts of the gateway may share out. Where the system's limit is lower than the
// configuration's it counts: idle clients that fill a part too large would keep the watch, the hosts and the loop that
// accepts from theirs. The rest, of what is open once each, is kept clear at any size.
func sharedDescriptors(most int) int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err == nil && limit.Cur < uint64(most) {
		slog.Warn("descriptor_limit_low", "limit", limit.Cur, "sockets", most)
		most = int(limit.Cur)
	}
	return min(most, max(most-reservedDescriptors, 1)*15/11) // of which clients get 5, hosts 6
}

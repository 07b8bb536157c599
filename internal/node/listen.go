package node

import (
	"errors"
	"fmt"
	"log"
	"net"
	"net/netip"
	"syscall"
	"time"

	"ravensill/internal/peers"
)

const (
	former = 25 * time.Second      // an address is waited for at most so long: a former life of this gateway may drain yet
	knock  = 20 * time.Millisecond // between tries
)

// addresses takes the gateway's addresses, that of the datagrams first, before anything else of it runs. A former life that
// still serves what it has open holds them, its datagrams' address up to its end: a process that gave up then would not
// start at all. It tells false where it is called to stop meanwhile.
func (n *Node) addresses(stop <-chan struct{}) (listener *net.TCPListener, ok bool, err error) {
	if len(n.cfg.Peers) > 0 {
		ok, err = claim("peer_listen", n.cfg.PeerListen, stop, func() (err error) {
			n.post, err = peers.Open(n.cfg.PeerListen, n.cfg.Peers, len(n.cfg.Plans))
			return err
		})
		if !ok {
			return nil, false, err
		}
	}
	ok, err = claim("listen", n.cfg.Listen, stop, func() (err error) {
		listener, err = net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(n.cfg.Listen))
		return err
	})
	return listener, ok, err
}

// claim tries to take an address until it is free.
func claim(key string, addr netip.AddrPort, stop <-chan struct{}, try func() error) (ok bool, err error) {
	limit := time.Now().Add(former)
	for told := false; ; told = true {
		if err = try(); err == nil {
			return true, nil
		}
		if !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(limit) {
			return false, fmt.Errorf("%s: %w", key, err)
		}
		if !told {
			log.Printf("event=address_taken key=%s addr=%s wait=%s", key, addr, former)
		}
		select {
		case <-stop:
			return false, nil
		case <-time.After(knock):
		}
	}
}

// Package peers carries messages between gateways as datagrams. It decides nothing.
package peers

import (
	"errors"
	"log"
	"net"
	"net/netip"
	"runtime/debug"
	"slices"

	"ravensill/internal/mail"
)

// Post is this gateway's place in the exchange.
type Post struct {
	conn  *net.UDPConn
	peers []netip.AddrPort
	seats map[netip.AddrPort]int // of the peers, by address
	plans int
}

// Open listens at the address; peers are those of the tier, by seat, and plans is how many there are.
func Open(listen netip.AddrPort, peers []netip.AddrPort, plans int) (*Post, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(listen))
	if err != nil {
		return nil, err
	}
	return &Post{conn: conn, peers: peers, seats: seatsByAddr(peers), plans: plans}, nil
}

// seatsByAddr finds senders at the same cost however many peers there are. Of two at one address the first counts.
func seatsByAddr(peers []netip.AddrPort) map[netip.AddrPort]int {
	seats := make(map[netip.AddrPort]int, len(peers))
	for seat, addr := range peers {
		if _, known := seats[addr]; !known {
			seats[addr] = seat
		}
	}
	return seats
}

// Listen hands on each sound message of a peer, known by its address, until Close. Others are dropped;
// dropped is called for each.
func (p *Post) Listen(heard func(seat int, body []byte), dropped func()) {
	defer func() {
		if e := recover(); e != nil {
			log.Printf("event=panic where=peers error=%q stack=%q", e, debug.Stack())
		}
	}()
	buf := make([]byte, mail.Most+1)
	for {
		n, from, err := p.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // such as a refusal told of an earlier message to a peer that is down
			continue
		}
		seat, known := p.seats[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]
		sound := false
		form := mail.Form{Plans: p.plans, Members: len(p.peers)}
		form.Read(buf[:n], func(uint64, uint64) bool {
			sound = true
			return false
		}, nil, nil)
		if !known || !sound {
			dropped()
			continue
		}
		heard(seat, slices.Clone(buf[:n]))
	}
}

// Tell sends a message; it may be lost.
func (p *Post) Tell(seat int, body []byte) {
	if seat >= 0 && seat < len(p.peers) && len(body) <= mail.Most {
		p.conn.WriteToUDPAddrPort(body, p.peers[seat])
	}
}

// Addr gives where this gateway listens, "none" where gateways do not message each other.
func (p *Post) Addr() string {
	if p == nil {
		return "none"
	}
	return p.conn.LocalAddr().String()
}

func (p *Post) Close() { p.conn.Close() }

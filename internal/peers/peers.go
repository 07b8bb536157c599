// Package peers carries messages between gateways as datagrams. It decides nothing.
package peers

import (
	"errors"
	"log"
	"net"
	"net/netip"
	"runtime/debug"
	"slices"
	"sync"

	"ravensill/internal/mail"
)

// Post is this gateway's place in the exchange.
type Post struct {
	conn *net.UDPConn

	mu        sync.RWMutex
	addresses []netip.AddrPort       // by member index
	members   map[netip.AddrPort]int // indices by address
	form      mail.Form              // of the messages that are taken in
}

// Member is the address of a gateway.
type Member struct {
	Index   int
	Address netip.AddrPort
}

// Open listens at the address. peers are the gateways of the fleet by member index, form is that of their messages.
func Open(listen netip.AddrPort, peers []netip.AddrPort, form mail.Form) (*Post, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(listen))
	if err != nil {
		return nil, err
	}
	return &Post{conn: conn, addresses: slices.Clone(peers), members: byAddress(peers), form: form}, nil
}

// byAddress finds senders at the same cost however many peers there are. Of two at one address the first counts.
func byAddress(peers []netip.AddrPort) map[netip.AddrPort]int {
	members := make(map[netip.AddrPort]int, len(peers))
	for index, address := range peers {
		if _, known := members[address]; !known {
			members[address] = index
		}
	}
	return members
}

// Change puts new addresses and the size of the fleet in force at once: a message is taken in by the old table or by the
// new one. Members from count on are gone; each new one below count has its address among the changed ones.
func (p *Post) Change(changed []Member, count int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for index := count; index < len(p.addresses); index++ {
		p.forget(index)
	}
	for _, member := range changed {
		if member.Index < len(p.addresses) {
			p.forget(member.Index)
		}
	}
	more := max(count-len(p.addresses), 0)
	p.addresses = slices.Grow(p.addresses, more)[:count]
	for _, member := range changed {
		p.addresses[member.Index] = member.Address
		p.members[member.Address] = member.Index
	}
	p.form.Members = count
}

// forget lets go of a member's address, unless that is another's.
func (p *Post) forget(index int) {
	address := p.addresses[index]
	if p.members[address] == index {
		delete(p.members, address)
	}
}

// sender tells which member a message is of, -1 for none, and the form that it should have.
func (p *Post) sender(from netip.AddrPort) (index int, form mail.Form) {
	p.mu.RLock()
	defer p.mu.RUnlock()
	index, known := p.members[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]
	if !known {
		return -1, p.form
	}
	return index, p.form
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
		member, form := p.sender(from)
		if member < 0 || !sound(form, buf[:n]) {
			dropped()
			continue
		}
		heard(member, slices.Clone(buf[:n]))
	}
}

// sound tells whether a message is of the form.
func sound(form mail.Form, message []byte) bool {
	whole := false
	form.Read(message, func(uint64, uint64) bool {
		whole = true
		return false
	}, nil, nil)
	return whole
}

// Tell sends a message; it may be lost.
func (p *Post) Tell(member int, body []byte) {
	p.mu.RLock()
	defer p.mu.RUnlock()
	if member >= 0 && member < len(p.addresses) && len(body) <= mail.Most {
		p.conn.WriteToUDPAddrPort(body, p.addresses[member])
	}
}

// Addr gives where this gateway listens, "none" where gateways do not message each other.
func (p *Post) Addr() string {
	if p == nil {
		return "none"
	}
	return p.conn.LocalAddr().String()
}

// Close ends Listen.
func (p *Post) Close() { p.conn.Close() }

// Package peers sends and receives gossip messages between gateways as UDP datagrams.
package peers

import (
	"log/slog"
	"net"
	"net/netip"
	"runtime/debug"
	"slices"
	"sync"

	"ravensill/internal/gossip"
	"ravensill/internal/sockets"
)

// Transport is this gateway's socket for gossip. It is safe for concurrent use.
type Transport struct {
	system sockets.System
	conn   *net.UDPConn

	mu        sync.RWMutex
	addresses []netip.AddrPort       // by member index
	members   map[netip.AddrPort]int // indices by address
	format    gossip.Format          // of the messages that are received
}

// unknownMember is the index of a sender that is no member.
const unknownMember = -1

// Member is the address of a gateway.
type Member struct {
	Index   int
	Address netip.AddrPort
}

// Open listens at the address by the calls of system. peers are the addresses of all gateways by member index, and
// format is that of their messages.
func Open(system sockets.System, listen netip.AddrPort, peers []netip.AddrPort,
	format gossip.Format) (*Transport, error) {
	conn, err := system.ListenPacket(listen)
	if err != nil {
		return nil, err
	}
	return &Transport{
		system:    system,
		conn:      conn,
		addresses: slices.Clone(peers),
		members:   indexByAddress(peers),
		format:    format,
	}, nil
}

// indexByAddress returns the member index of each address. Of two members at one address the first counts.
func indexByAddress(peers []netip.AddrPort) map[netip.AddrPort]int {
	members := make(map[netip.AddrPort]int, len(peers))
	for index, address := range peers {
		if _, known := members[address]; !known {
			members[address] = index
		}
	}
	return members
}

// UpdateMembers changes addresses and the number of gateways atomically: a message is received with the old table or with
// the new one. Members from count on are removed; each new one below count must have its address in changed.
func (t *Transport) UpdateMembers(changed []Member, count int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for index := count; index < len(t.addresses); index++ {
		t.removeAddress(index)
	}
	for _, member := range changed {
		if member.Index < len(t.addresses) {
			t.removeAddress(member.Index)
		}
	}
	added := max(count-len(t.addresses), 0)
	t.addresses = slices.Grow(t.addresses, added)[:count]
	for _, member := range changed {
		t.addresses[member.Index] = member.Address
		t.members[member.Address] = member.Index
	}
	t.format.Members = count
}

// removeAddress removes a member's address from the index, unless another member has it by now.
func (t *Transport) removeAddress(index int) {
	address := t.addresses[index]
	if t.members[address] == index {
		delete(t.members, address)
	}
}

// sender returns the index of the member with an address, unknownMember for none, and the format of its messages.
func (t *Transport) sender(from netip.AddrPort) (index int, format gossip.Format) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	index, known := t.members[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]
	if !known {
		return unknownMember, t.format
	}
	return index, t.format
}

// Listen calls received for each well-formed message from the address of a peer, and dropped for each other message,
// until Close. The callee may keep the body.
func (t *Transport) Listen(received func(member int, body []byte), dropped func()) {
	defer func() {
		if e := recover(); e != nil {
			slog.Error("panic", "where", "peers", "error", e, "stack", debug.Stack())
		}
	}()
	for message, from := range sockets.Datagrams(t.system, t.conn, gossip.MaxMessageBytes+1) {
		member, format := t.sender(from)
		if member == unknownMember || !wellFormed(format, message) {
			dropped()
			continue
		}
		received(member, slices.Clone(message))
	}
}

// wellFormed reports whether a message is of the format.
func wellFormed(format gossip.Format, message []byte) bool {
	valid := false
	header := func(uint64, uint64) bool {
		valid = true
		return false
	}
	format.Decode(message, header, nil, nil)
	return valid
}

// Send sends a message, which may be lost. It drops messages to unknown members and messages that are too long.
func (t *Transport) Send(member int, body []byte) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if member >= 0 && member < len(t.addresses) && len(body) <= gossip.MaxMessageBytes {
		t.conn.WriteToUDPAddrPort(body, t.addresses[member])
	}
}

// Addr returns the address that this gateway listens at, "none" for a nil transport.
func (t *Transport) Addr() string {
	if t == nil {
		return "none"
	}
	return t.conn.LocalAddr().String()
}

// Close ends Listen.
func (t *Transport) Close() { t.conn.Close() }

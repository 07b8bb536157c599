// Package peers sends gossip messages to other gateways, and receives theirs, as UDP datagrams.
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

// Transport is this gateway's UDP socket for gossip, with the addresses of all gateways. It is safe for concurrent use.
type Transport struct {
	system sockets.System
	conn   *net.UDPConn

	mu          sync.RWMutex
	addresses   []netip.AddrPort       // addresses of all gateways, by member index
	indexByAddr map[netip.AddrPort]int // member index by address
	format      gossip.Format          // format that received messages must have
}

// unknownMember stands for the member index of an address that no member has.
const unknownMember = -1

// Member is one gateway and the address that it receives gossip at.
type Member struct {
	Index   int // member index
	Address netip.AddrPort
}

// Open opens a UDP socket through system and listens at an address. addresses are those of all gateways, including this
// one, by member index. format is what received messages must have. Open fails if the socket can't be opened.
func Open(system sockets.System, listen netip.AddrPort, addresses []netip.AddrPort,
	format gossip.Format) (*Transport, error) {
	conn, err := system.ListenPacket(listen)
	if err != nil {
		return nil, err
	}
	return &Transport{
		system:      system,
		conn:        conn,
		addresses:   slices.Clone(addresses),
		indexByAddr: indexByAddress(addresses),
		format:      format,
	}, nil
}

// indexByAddress returns the member index of each address. If several members have the same address, the first one is
// taken.
func indexByAddress(peers []netip.AddrPort) map[netip.AddrPort]int {
	members := make(map[netip.AddrPort]int, len(peers))
	for index, address := range peers {
		if _, known := members[address]; !known {
			members[address] = index
		}
	}
	return members
}

// UpdateMembers sets the number of gateways to count and the addresses of changed members. Both take effect atomically
// for received messages. Members with an index of count or more are removed; each new member must be in changed, with
// an index below count.
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
		t.indexByAddr[member.Address] = member.Index
	}
	t.format.Members = count
}

// removeAddress removes the address of a member from indexByAddr, unless it is recorded for another member. The caller
// must hold mu for writing.
func (t *Transport) removeAddress(index int) {
	address := t.addresses[index]
	if t.indexByAddr[address] == index {
		delete(t.indexByAddr, address)
	}
}

// sender returns the index of the member with an address, or unknownMember, and the format that its messages must have.
func (t *Transport) sender(from netip.AddrPort) (index int, format gossip.Format) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	index, known := t.indexByAddr[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]
	if !known {
		return unknownMember, t.format
	}
	return index, t.format
}

// Listen receives messages until Close. It calls received for each message that is well-formed and comes from the
// address of a member, and dropped for any other message. received may keep body.
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

// wellFormed reports whether a message can be decoded with the format.
func wellFormed(format gossip.Format, message []byte) bool {
	valid := false
	header := func(uint64, uint64) bool {
		valid = true
		return false
	}
	format.Decode(message, header, nil, nil)
	return valid
}

// Send sends a message to a member, without a guarantee that it arrives. It drops the message if there is no such
// member or the message is longer than gossip.MaxMessageBytes.
func (t *Transport) Send(member int, message []byte) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if member >= 0 && member < len(t.addresses) && len(message) <= gossip.MaxMessageBytes {
		t.conn.WriteToUDPAddrPort(message, t.addresses[member])
	}
}

// Addr returns the address that this gateway listens at, or "none" for a nil Transport.
func (t *Transport) Addr() string {
	if t == nil {
		return "none"
	}
	return t.conn.LocalAddr().String()
}

// Close closes the socket, which makes Listen return.
func (t *Transport) Close() { t.conn.Close() }

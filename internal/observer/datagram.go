package observer

import (
	"net/netip"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"ravensill/counterfactual"
	"ravensill/internal/sockets"
)

// Kinds of datagrams, by their first byte.
const (
	kindSummary      = 'S' // a part of a summary follows
	kindConfirmation = 'A' // the name of the confirmed message follows
)

const maxNameBytes = 32 // of an encoded messageName

// datagram is a decoded datagram: a part of a summary or a confirmation.
type datagram struct {
	part         *counterfactual.SummaryPart
	confirmation *messageName
	sender       int // member index
}

// messageName identifies a message of one gateway.
type messageName struct {
	_           struct{} `cbor:",toarray"`
	Incarnation uint64
	Window      uint32
	Part        uint16
}

// readDatagrams passes datagrams to the loop until Close. It drops and counts malformed ones, and those from addresses
// of no member.
func (o *Observer) readDatagrams() {
	const maxBytes = counterfactual.MaxMessageBytes + 2 // the kind, and a byte by which a message is too long
	for bytes, from := range sockets.Datagrams(o.system, o.udp, maxBytes) {
		if len(bytes) == 0 {
			continue
		}
		d, ok := o.decode(bytes, from)
		if !ok {
			o.malformed.Add(1)
			continue
		}
		select {
		case o.datagrams <- d:
		case <-o.done:
			return
		}
	}
}

// decode decodes a datagram that is not empty.
func (o *Observer) decode(bytes []byte, from netip.AddrPort) (d datagram, ok bool) {
	d.sender = slices.Index(o.config.Peers, unmap(from))
	if d.sender < 0 {
		return d, false
	}
	kind := bytes[0]
	body := slices.Clone(bytes[1:])
	switch {
	case kind == kindSummary && o.ledger != nil:
		part, err := counterfactual.Decode(body)
		if err != nil || int(part.Gateway) != d.sender {
			return d, false
		}
		d.part = part
		return d, true
	case kind == kindConfirmation:
		d.confirmation = decodeMessageName(body)
		return d, d.confirmation != nil
	}
	return d, false
}

// unmap returns an address in its IPv4 form, if it has one.
func unmap(address netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(address.Addr().Unmap(), address.Port())
}

// encode encodes a name.
func (n *messageName) encode() []byte {
	encoded, err := cbor.Marshal(n)
	if err != nil {
		panic(err) // plain numbers always encode
	}
	return encoded
}

// decodeMessageName decodes a name, or returns nil if it is malformed.
func decodeMessageName(encoded []byte) *messageName {
	n := &messageName{}
	if len(encoded) > maxNameBytes || cbor.Unmarshal(encoded, n) != nil {
		return nil
	}
	return n
}

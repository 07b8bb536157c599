package observer

import (
	"net/netip"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"ravensill/counterfactual"
	"ravensill/internal/sockets"
)

// Kinds of datagrams, in their first byte.
const (
	kindSummary      = 'S' // followed by an encoded counterfactual.SummaryPart
	kindConfirmation = 'A' // followed by the messageID of the part that was received
)

const maxMessageIDBytes = 32 // limit for an encoded messageID; longer ones are malformed

// datagram is a decoded datagram. Either part or confirmation is set.
type datagram struct {
	part      *counterfactual.SummaryPart
	confirmed *messageID
	sender    int // member index of the gateway that sent it
}

// messageID identifies a part of a summary among those of one gateway. Its fields are those of
// counterfactual.SummaryPart.
type messageID struct {
	_           struct{} `cbor:",toarray"`
	Incarnation uint64
	Window      uint32
	Part        uint16 // SummaryPart.Index
}

// readDatagrams passes datagrams to the loop until Close. It drops and counts those that decode rejects, and ignores
// empty ones.
func (o *Observer) readDatagrams() {
	const maxBytes = counterfactual.MaxMessageBytes + 2 // one for the kind, one to detect longer messages
	for bytes, from := range sockets.Datagrams(o.system, o.udpConn, maxBytes) {
		if len(bytes) == 0 {
			continue
		}
		d, ok := o.decode(bytes, from)
		if !ok {
			o.rejectedDatagrams.Add(1)
			continue
		}
		select {
		case o.datagrams <- d:
		case <-o.done:
			return
		}
	}
}

// decode decodes a datagram that is not empty. It returns false if the sender's address is not that of a member, if the
// datagram is malformed, or if it is a summary of another gateway than the sender or for a collector, which this
// gateway is not.
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
		d.confirmed = decodeMessageID(body)
		return d, d.confirmed != nil
	}
	return d, false
}

// unmap returns an IPv4-mapped IPv6 address as an IPv4 address, as in the configuration, and others unchanged.
func unmap(address netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(address.Addr().Unmap(), address.Port())
}

// encode encodes the id as a CBOR array.
func (id *messageID) encode() []byte {
	encoded, err := cbor.Marshal(id)
	if err != nil {
		panic(err) // can't happen: the fields are integers
	}
	return encoded
}

// decodeMessageID decodes an id, or returns nil if it is malformed.
func decodeMessageID(encoded []byte) *messageID {
	id := &messageID{}
	if len(encoded) > maxMessageIDBytes || cbor.Unmarshal(encoded, id) != nil {
		return nil
	}
	return id
}

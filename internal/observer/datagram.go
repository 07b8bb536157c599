package observer

import (
	"errors"
	"net"
	"net/netip"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"ravensill/counterfactual"
	"ravensill/internal/sockets"
)

// The first byte of a datagram tells its kind.
const (
	kindSummary      = 'S' // a part of a summary follows
	kindConfirmation = 'A' // the name of the confirmed message follows
)

const maxNameBytes = 32 // of an encoded messageName

// datagram is a decoded datagram: a part of a summary, or a confirmation.
type datagram struct {
	part         *counterfactual.Part
	confirmation *messageName
	sender       int // member index; below 0: unknown
}

// messageName names a message of one gateway.
type messageName struct {
	_           struct{} `cbor:",toarray"`
	Incarnation uint64
	Window      uint32
	Part        uint16
}

// readDatagrams passes datagrams to the task. A sender is known by its address; malformed datagrams are dropped and counted.
func (o *Observer) readDatagrams() {
	buf := make([]byte, counterfactual.MaxBytes+2)
	var pause sockets.ReadBackoff
	for {
		n, from, err := o.system.ReadPacket(o.udp, buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // such as a refusal of an earlier datagram by a peer that is down
			pause.Failed()
			continue
		}
		pause.Succeeded()
		if n == 0 {
			continue
		}
		d, ok := o.decode(buf[:n], from)
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
func (o *Observer) decode(b []byte, from netip.AddrPort) (d datagram, ok bool) {
	d.sender = slices.Index(o.config.Peers, unmap(from))
	if d.sender < 0 {
		return d, false
	}
	body := slices.Clone(b[1:])
	switch {
	case b[0] == kindSummary && o.ledger != nil:
		part, err := counterfactual.Decode(body)
		if err != nil || int(part.Gateway) != d.sender {
			return d, false
		}
		d.part = part
		return d, true
	case b[0] == kindConfirmation:
		d.confirmation = decodeMessageName(body)
		return d, d.confirmation != nil
	}
	return d, false
}

// unmap returns an address in its IPv4 form.
func unmap(a netip.AddrPort) netip.AddrPort { return netip.AddrPortFrom(a.Addr().Unmap(), a.Port()) }

// encode encodes a name.
func (n *messageName) encode() []byte {
	b, err := cbor.Marshal(n)
	if err != nil {
		panic(err) // plain numbers always encode
	}
	return b
}

// decodeMessageName decodes a name, or returns nil if it is malformed.
func decodeMessageName(b []byte) *messageName {
	n := &messageName{}
	if len(b) > maxNameBytes || cbor.Unmarshal(b, n) != nil {
		return nil
	}
	return n
}

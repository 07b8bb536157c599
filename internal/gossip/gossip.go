// Package gossip encodes and decodes the messages that gateways send to each other. A message has, in this order:
//
//   - a version, one byte
//   - the incarnation of the sender
//   - the sequence number of the message
//   - where plans are named by ID, the number of gateways in the configuration of the sender
//   - the number of tags, and the tags, which identify hosts
//   - any number of cumulative counters of customers, up to the end of the message
//
// Integers are unsigned varints unless stated otherwise.
package gossip

import (
	"encoding/binary"
	"math"
)

const (
	versionByIndex = 3 // version of messages that name quota plans by index
	versionByID    = 4 // version of messages that name quota plans by ID
)

// Limits of one message. Decode ignores messages that exceed them.
const (
	MaxMessageBytes = 256
	MaxTags         = 100
)

// Flags of a counter: the lowest flagBits bits of an integer whose other bits are the index of the plan, if plans are
// named by index.
const (
	flagInitialDebt = 1 // the initial debt follows
	flagObsolete    = 2 // an integer follows that only older versions of the program sent; it is ignored
	flagBits        = 2
)

// Format is what two gateways must agree on to decode each other's messages. If plans are named by ID, gateways with
// different versions of the configuration can do so, as long as these have the same number of gateways: the routes of
// gossip depend on that number, so the header contains it and a message with another number is not decoded.
type Format struct {
	Plans     int  // number of quota plans; used only if plans are named by index
	Members   int  // number of gateways
	PlansByID bool // counters name quota plans by ID, rather than by index
}

// EncodeHeader returns the beginning of a message, up to the tags. Counters may be appended. A tag is encoded in two
// bytes, little-endian.
func (f Format) EncodeHeader(incarnation, sequence uint64, tags []uint16) []byte {
	message := appendUvarints([]byte{f.version()}, incarnation, sequence)
	if f.PlansByID {
		message = appendUvarints(message, uint64(f.Members))
	}
	message = appendUvarints(message, uint64(len(tags)))
	for _, tag := range tags {
		message = binary.LittleEndian.AppendUint16(message, tag)
	}
	return message
}

// EncodeCounter returns the encoded counter of a customer, to be appended to a message. hash identifies the customer
// and is encoded in four bytes, little-endian. plan is the ID of the customer's quota plan, encoded likewise, or its
// index, depending on the format. spread is the number of gateways that the customer's requests arrive at, and
// firstGateway the member index of the first of them. total is the cumulative count. A receiver that has no earlier
// count of the sender for the customer takes initialDebt, instead of the difference from the earlier count, as what was
// admitted.
func (f Format) EncodeCounter(hash, plan uint32, spread, firstGateway int, total, initialDebt uint64) []byte {
	entry := binary.LittleEndian.AppendUint32(nil, hash)
	var flags uint64
	if f.PlansByID {
		entry = binary.LittleEndian.AppendUint32(entry, plan)
	} else {
		flags = uint64(plan) << flagBits
	}
	if initialDebt > 0 {
		flags |= flagInitialDebt
	}
	entry = appendUvarints(entry, flags, uint64(spread), uint64(firstGateway), total)
	if initialDebt > 0 {
		entry = appendUvarints(entry, initialDebt)
	}
	return entry
}

// version returns the version of messages in the format.
func (f Format) version() byte {
	if f.PlansByID {
		return versionByID
	}
	return versionByIndex
}

func appendUvarints(message []byte, numbers ...uint64) []byte {
	for _, number := range numbers {
		message = binary.AppendUvarint(message, number)
	}
	return message
}

// Decode calls header once, then tag for each tag and counter for each counter of a message, in the order of the
// message. If header returns false, it calls nothing else, and tag and counter may be nil. Decode calls none of them if
// the message is truncated, exceeds a limit, has another version or another number of gateways, or names a plan index
// or a member that does not exist.
func (f Format) Decode(message []byte, header func(incarnation, sequence uint64) bool, tag func(uint16),
	counter func(hash, plan uint32, spread, firstGateway int, total, initialDebt uint64)) {
	if len(message) == 0 || len(message) > MaxMessageBytes || message[0] != f.version() {
		return
	}
	r := reader{rest: message[1:], ok: true}
	incarnation := r.readUvarint()
	sequence := r.readUvarint()
	if f.PlansByID && r.readUvarint() != uint64(f.Members) {
		return
	}
	tagCount := r.readUvarint()
	if !r.ok || tagCount > MaxTags || len(r.rest) < 2*int(tagCount) {
		return
	}
	tags := r.rest[:2*tagCount]
	counters := r.rest[2*tagCount:]
	if !f.validCounters(counters) || !header(incarnation, sequence) {
		return
	}
	for len(tags) > 0 {
		tag(binary.LittleEndian.Uint16(tags))
		tags = tags[2:]
	}
	r = reader{rest: counters, ok: true}
	for len(r.rest) > 0 {
		e := r.readCounter(f.PlansByID)
		counter(e.hash, e.plan, int(e.spread), int(e.firstGateway), e.total, e.initialDebt)
	}
}

// validCounters reports whether all encoded counters are complete and name plan indices and members that exist. A plan
// ID is not checked.
func (f Format) validCounters(counters []byte) bool {
	r := reader{rest: counters, ok: true}
	for len(r.rest) > 0 {
		e := r.readCounter(f.PlansByID)
		planKnown := f.PlansByID || int(e.plan) < f.Plans
		membersKnown := e.spread <= uint64(f.Members) && e.firstGateway < uint64(f.Members)
		if !r.ok || !planKnown || !membersKnown {
			return false
		}
	}
	return true
}

// counterEntry is a decoded counter. Its fields are the parameters of EncodeCounter.
type counterEntry struct {
	hash         uint32
	plan         uint32 // ID or index
	spread       uint64
	firstGateway uint64
	total        uint64
	initialDebt  uint64
}

// readCounter reads a counter. The result is valid only if r.ok is true afterwards.
func (r *reader) readCounter(byID bool) (e counterEntry) {
	e.hash = r.readUint32()
	if byID {
		e.plan = r.readUint32()
	}
	flags := r.readUvarint()
	if !byID {
		e.plan = uint32(min(flags>>flagBits, math.MaxUint32))
	}
	e.spread = r.readUvarint()
	e.firstGateway = r.readUvarint()
	e.total = r.readUvarint()
	if flags&flagInitialDebt > 0 {
		e.initialDebt = r.readUvarint()
	}
	if flags&flagObsolete > 0 {
		r.readUvarint()
	}
	return e
}

// reader reads integers from the front of rest.
type reader struct {
	rest []byte // not read yet
	ok   bool   // no integer so far was truncated or too large for 64 bits
}

func (r *reader) readUvarint() uint64 {
	number, length := binary.Uvarint(r.rest)
	if length <= 0 {
		r.ok = false
		return number
	}
	r.rest = r.rest[length:]
	return number
}

func (r *reader) readUint32() uint32 {
	if len(r.rest) < 4 {
		r.ok = false
		r.rest = nil
		return 0
	}
	number := binary.LittleEndian.Uint32(r.rest)
	r.rest = r.rest[4:]
	return number
}

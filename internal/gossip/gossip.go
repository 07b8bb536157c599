// Package gossip encodes and decodes the messages between gateways: a version, the sender's incarnation, the message's
// sequence number, tags of hosts, then cumulative counters of customers. Integers are varints unless said otherwise.
package gossip

import (
	"encoding/binary"
	"math"
)

const (
	versionByIndex = 3 // of messages that name a quota plan by its index
	versionByID    = 4 // of messages that name a quota plan by its ID
)

// Bounds of one message.
const (
	MaxMessageBytes = 256
	MaxTags         = 100
)

// Flags of a counter, below its plan's index.
const (
	flagOwed     = 1 // the number owed follows
	flagObsolete = 2 // another number follows, which older versions sent; it is ignored
	flagBits     = 2
)

// Format is what gateways must agree on to decode each other's messages. Where plans are named by ID, gateways with
// different versions of the configuration decode each other's messages. Their header has the number of gateways that
// the sender knows, and a message with another number is not decoded: the routes of gossip depend on it.
type Format struct {
	Plans     int  // number of quota plans; used only where plans are named by index
	Members   int  // number of gateways
	PlansByID bool // whether plans are named by ID
}

// EncodeHeader returns the beginning of a message. The tags have two bytes each, little-endian.
func (f Format) EncodeHeader(incarnation, number uint64, tags []uint16) []byte {
	message := appendNumbers([]byte{f.version()}, incarnation, number)
	if f.PlansByID {
		message = appendNumbers(message, uint64(f.Members))
	}
	message = appendNumbers(message, uint64(len(tags)))
	for _, tag := range tags {
		message = binary.LittleEndian.AppendUint16(message, tag)
	}
	return message
}

// EncodeCounter returns the entry of a customer's counter. The customer's hash has four bytes, little-endian, and so has the
// plan if it is named by ID; otherwise plan is its index. owed is what a receiver subtracts from total if it receives
// the counter for the first time.
func (f Format) EncodeCounter(hash, plan uint32, spread, first int, total, owed uint64) []byte {
	entry := binary.LittleEndian.AppendUint32(nil, hash)
	var flags uint64
	if f.PlansByID {
		entry = binary.LittleEndian.AppendUint32(entry, plan)
	} else {
		flags = uint64(plan) << flagBits
	}
	if owed > 0 {
		flags |= flagOwed
	}
	entry = appendNumbers(entry, flags, uint64(spread), uint64(first), total)
	if owed > 0 {
		entry = appendNumbers(entry, owed)
	}
	return entry
}

func (f Format) version() byte {
	if f.PlansByID {
		return versionByID
	}
	return versionByIndex
}

func appendNumbers(message []byte, numbers ...uint64) []byte {
	for _, number := range numbers {
		message = binary.AppendUvarint(message, number)
	}
	return message
}

// Decode calls header, tag and counter with the parts of a message, in their order. It calls none of them for a message
// that is truncated, has another version or another number of gateways, or names a plan's index or a member that does
// not exist. If header returns false, it calls nothing else.
func (f Format) Decode(message []byte, header func(incarnation, number uint64) bool, tag func(uint16),
	counter func(hash, plan uint32, spread, first int, total, owed uint64)) {
	if len(message) == 0 || len(message) > MaxMessageBytes || message[0] != f.version() {
		return
	}
	r := reader{rest: message[1:], ok: true}
	incarnation := r.number()
	number := r.number()
	if f.PlansByID && r.number() != uint64(f.Members) {
		return
	}
	tagCount := r.number()
	if !r.ok || tagCount > MaxTags || len(r.rest) < 2*int(tagCount) {
		return
	}
	tags := r.rest[:2*tagCount]
	counters := r.rest[2*tagCount:]
	if !f.validCounters(counters) || !header(incarnation, number) {
		return
	}
	for len(tags) > 0 {
		tag(binary.LittleEndian.Uint16(tags))
		tags = tags[2:]
	}
	r = reader{rest: counters, ok: true}
	for len(r.rest) > 0 {
		e := r.entry(f.PlansByID)
		counter(e.hash, e.plan, int(e.spread), int(e.first), e.total, e.owed)
	}
}

// validCounters reports whether all counters are complete and name plans and members that exist.
func (f Format) validCounters(counters []byte) bool {
	r := reader{rest: counters, ok: true}
	for len(r.rest) > 0 {
		e := r.entry(f.PlansByID)
		planKnown := f.PlansByID || int(e.plan) < f.Plans
		membersKnown := e.spread <= uint64(f.Members) && e.first < uint64(f.Members)
		if !r.ok || !planKnown || !membersKnown {
			return false
		}
	}
	return true
}

// entry is a decoded counter of a customer.
type entry struct {
	hash   uint32
	plan   uint32
	spread uint64
	first  uint64
	total  uint64
	owed   uint64
}

// entry reads a counter. Its result is valid only if r.ok holds afterwards.
func (r *reader) entry(byID bool) (e entry) {
	e.hash = r.uint32()
	if byID {
		e.plan = r.uint32()
	}
	flags := r.number()
	if !byID {
		e.plan = uint32(min(flags>>flagBits, math.MaxUint32))
	}
	e.spread = r.number()
	e.first = r.number()
	e.total = r.number()
	if flags&flagOwed > 0 {
		e.owed = r.number()
	}
	if flags&flagObsolete > 0 {
		r.number()
	}
	return e
}

// reader reads numbers from the front of rest. ok becomes false at the first that is truncated or too large.
type reader struct {
	rest []byte
	ok   bool
}

func (r *reader) number() uint64 {
	number, length := binary.Uvarint(r.rest)
	if length <= 0 {
		r.ok = false
		return number
	}
	r.rest = r.rest[length:]
	return number
}

func (r *reader) uint32() uint32 {
	if len(r.rest) < 4 {
		r.ok = false
		r.rest = nil
		return 0
	}
	number := binary.LittleEndian.Uint32(r.rest)
	r.rest = r.rest[4:]
	return number
}

// Package mail is the form of the messages between gateways: a version, the sender's life, the message's
// number, tags of hosts, then totals of customers. It decides nothing.
package mail

import (
	"encoding/binary"
	"math"
)

const (
	byIndex = 3   // version of the messages that name a quota plan by its index
	byID    = 4   // version of those that name it by its ID
	Most    = 256 // bytes in a message
	Tags    = 100 // hosts in a message
)

// Form is what the gateways of a fleet agree on about their messages. Where plans are named by ID, gateways of different
// versions of the configuration understand each other; a head then says how many gateways its sender knows of, and what
// comes from a fleet of another size is not read: who tells what to whom hangs on that number.
type Form struct {
	Plans, Members int // how many there are; Plans counts only where plans are named by index
	ByID           bool
}

// flags of a total, below its plan. What was given came with totals of earlier builds; it is passed over.
const owing, given = 1, 2

// Head begins a message.
func (f Form) Head(life, number uint64, tags []uint16) []byte {
	msg := numbers([]byte{byIndex}, life, number)
	if f.ByID {
		msg = numbers([]byte{byID}, life, number, uint64(f.Members))
	}
	msg = numbers(msg, uint64(len(tags)))
	for _, t := range tags {
		msg = binary.LittleEndian.AppendUint16(msg, t)
	}
	return msg
}

// Total is a customer's entry. owed is what a copy that hears it as its first takes off. plan is the plan's ID or its index.
func (f Form) Total(hash, plan uint32, spread, first int, total, owed uint64) []byte {
	entry := binary.LittleEndian.AppendUint32(nil, hash)
	flags, rest := uint64(plan)<<2, []uint64(nil)
	if f.ByID {
		entry, flags = binary.LittleEndian.AppendUint32(entry, plan), 0
	}
	if owed > 0 {
		flags, rest = flags|owing, append(rest, owed)
	}
	entry = numbers(entry, flags, uint64(spread), uint64(first), total)
	return numbers(entry, rest...)
}

func numbers(msg []byte, xs ...uint64) []byte {
	for _, x := range xs {
		msg = binary.AppendUvarint(msg, x)
	}
	return msg
}

// Read hands the parts of a message to head, tag and total in turn. It hands on nothing of one that is cut, of another
// version, of a fleet of another size, or names a plan's index or a member that is not there, nor after a head that says false.
func (f Form) Read(msg []byte, head func(life, number uint64) bool, tag func(uint16),
	total func(hash, plan uint32, spread, first int, total, owed uint64)) {
	version := byte(byIndex)
	if f.ByID {
		version = byID
	}
	if len(msg) == 0 || len(msg) > Most || msg[0] != version {
		return
	}
	r := reader{msg[1:], true}
	life, number := r.number(), r.number()
	if f.ByID && r.number() != uint64(f.Members) {
		return
	}
	tags := r.number()
	if !r.ok || tags > Tags || len(r.rest) < 2*int(tags) {
		return
	}
	hosts, totals := r.rest[:2*tags], r.rest[2*tags:]
	sound := func(e entry) bool {
		return r.ok && (f.ByID || int(e.plan) < f.Plans) && e.spread <= uint64(f.Members) && e.first < uint64(f.Members)
	}
	for r.rest = totals; len(r.rest) > 0; { // first to see whether all of it is sound
		if !sound(r.entry(f.ByID)) {
			return
		}
	}
	if !head(life, number) {
		return
	}
	for ; len(hosts) > 0; hosts = hosts[2:] {
		tag(binary.LittleEndian.Uint16(hosts))
	}
	for r.rest = totals; len(r.rest) > 0; {
		e := r.entry(f.ByID)
		total(e.hash, e.plan, int(e.spread), int(e.first), e.total, e.owed)
	}
}

// entry is a customer's total as it was read.
type entry struct {
	hash, plan                 uint32
	spread, first, total, owed uint64
}

func (r *reader) entry(byID bool) (e entry) {
	e.hash = r.word()
	if byID {
		e.plan = r.word()
	}
	flags := r.number()
	if !byID {
		e.plan = uint32(min(flags>>2, math.MaxUint32))
	}
	e.spread, e.first, e.total = r.number(), r.number(), r.number()
	if flags&owing > 0 {
		e.owed = r.number()
	}
	if flags&given > 0 {
		r.number()
	}
	return e
}

type reader struct {
	rest []byte
	ok   bool
}

func (r *reader) number() uint64 {
	x, n := binary.Uvarint(r.rest)
	r.ok = r.ok && n > 0
	r.rest = r.rest[max(n, 0):]
	return x
}

func (r *reader) word() uint32 {
	if len(r.rest) < 4 {
		r.ok, r.rest = false, nil
		return 0
	}
	x := binary.LittleEndian.Uint32(r.rest)
	r.rest = r.rest[4:]
	return x
}

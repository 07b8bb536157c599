// Package mail is the form of the messages between gateways: a version, the sender's life, the message's
// number, tags of hosts, then totals of customers. It decides nothing.
package mail

import "encoding/binary"

const (
	version = 3
	Most    = 256 // bytes in a message
	Tags    = 100 // hosts in a message
)

// flags of a total, below its plan. What was given came with totals of earlier builds; it is passed over.
const owing, given = 1, 2

// Head begins a message.
func Head(life, number uint64, tags []uint16) []byte {
	msg := numbers([]byte{version}, life, number, uint64(len(tags)))
	for _, t := range tags {
		msg = binary.LittleEndian.AppendUint16(msg, t)
	}
	return msg
}

// Total is a customer's entry. owed is what a copy that hears it as its first takes off.
func Total(hash uint32, plan, spread, first int, total, owed uint64) []byte {
	flags, rest := uint64(plan)<<2, []uint64(nil)
	if owed > 0 {
		flags, rest = flags|owing, append(rest, owed)
	}
	e := numbers(binary.LittleEndian.AppendUint32(nil, hash), flags, uint64(spread), uint64(first), total)
	return numbers(e, rest...)
}

func numbers(msg []byte, xs ...uint64) []byte {
	for _, x := range xs {
		msg = binary.AppendUvarint(msg, x)
	}
	return msg
}

// Read hands the parts of a message to head, tag and total in turn. It hands on nothing of one that is
// cut, of another version, or names a plan or seat that is not there, nor after a head that says false.
func Read(msg []byte, plans, seats int, head func(life, number uint64) bool, tag func(uint16),
	total func(hash uint32, plan, spread, first int, total, owed uint64)) {
	if len(msg) == 0 || len(msg) > Most || msg[0] != version {
		return
	}
	r := reader{msg[1:], true}
	life, number, tags := r.number(), r.number(), r.number()
	if !r.ok || tags > Tags || len(r.rest) < 2*int(tags) {
		return
	}
	hosts, totals := r.rest[:2*tags], r.rest[2*tags:]
	for _, act := range []bool{false, true} { // once to see whether all of it is sound
		for r.rest = totals; len(r.rest) > 0; {
			hash, flags, spread, first, sum := r.hash(), r.number(), r.number(), r.number(), r.number()
			owed := uint64(0)
			if flags&owing > 0 {
				owed = r.number()
			}
			if flags&given > 0 {
				r.number()
			}
			if !r.ok || flags>>2 >= uint64(plans) || spread > uint64(seats) || first >= uint64(seats) {
				return
			}
			if act {
				total(hash, int(flags>>2), int(spread), int(first), sum, owed)
			}
		}
		if !act {
			if !head(life, number) {
				return
			}
			for ; len(hosts) > 0; hosts = hosts[2:] {
				tag(binary.LittleEndian.Uint16(hosts))
			}
		}
	}
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

func (r *reader) hash() uint32 {
	if len(r.rest) < 4 {
		r.ok, r.rest = false, nil
		return 0
	}
	x := binary.LittleEndian.Uint32(r.rest)
	r.rest = r.rest[4:]
	return x
}

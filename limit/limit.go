// Package limit bounds the dispatches that one gateway has out, so that they can be answered in time: by
// increase and decrease (AIMD) on lateness, and at once where hosts tell that they have room.
package limit

const (
	Lateness = 0.35 // mean part of the response target that answers may take before the bound is cut
	Aim      = 0.85 // busy share that the bound lets the fleet reach where the hosts tell it
	growth   = 0.05 // part of its start that the bound grows by in a round trip while it is reached
	cut      = 0.85 // it is multiplied by this, once in as long as answers may take
	least    = 0.05 // of a dispatch: the bound's least; a busy share below it counts as this much
)

// Out is the bound at one gateway. Set Start, what a host adds to it at first, then call Hosts.
type Out struct {
	Start float64
	hosts int
	limit float64
	late  float64 // mean part of the target that answers take
	mean  float64 // mean dispatches out, as seen by answers
	busy  float64 // mean busy share told
	told  bool
	cutAt int64
}

// Hosts tells how many hosts there are now: the bound follows in proportion.
func (o *Out) Hosts(n int) {
	if o.hosts == 0 {
		o.limit = o.Start * float64(n)
	} else {
		o.limit *= float64(n) / float64(o.hosts)
	}
	o.hosts = n
}

// Allows tells whether one more may go, within a part of the bound, by chance one more: chance brings reqs
// together, and a bound under one is a chance. A part that can't be told (NaN) bounds nothing.
func (o *Out) Allows(out int, part, chance float64) bool {
	l := o.limit * part
	return !(float64(out+1) > l+chance*(1+min(l, 1)))
}

// Answered takes in an answer, lag after its dispatch; busy is the share that came with it, below 0 none.
func (o *Out) Answered(lag, target, now int64, out int, busy float64) {
	o.late += (min(float64(lag)/float64(target), 1) - o.late) / min(2+o.limit, 16)
	if busy >= 0 {
		if !o.told { // the first figures stand for what came before them
			o.busy, o.mean, o.told = min(busy, 1), float64(out), true
		}
		o.busy += (min(busy, 1) - o.busy) / 8
	}
	o.mean += (float64(out) - o.mean) / 16
	if o.late > Lateness {
		if now-o.cutAt >= int64(Lateness*float64(target)) {
			o.limit, o.cutAt = max(least, o.limit*cut), now
		}
		return
	}
	if float64(out+2) > o.limit {
		o.limit += min(o.limit, growth*o.Start*float64(o.hosts)/o.limit)
	}
	if o.told && o.busy < Aim {
		o.limit = max(o.limit, o.mean*Aim/max(o.busy, least))
	}
}

func (o *Out) Limit() float64 { return o.limit } // in dispatches
func (o *Out) Late() float64  { return o.late }  // mean part of the target that answers take

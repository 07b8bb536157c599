// Package limit bounds the dispatches that one gateway has out at once, so that what it sends can be
// answered within the response target: a deep queue at the hosts earns nothing, and a req that cannot be
// answered in time is better denied at once, with the time to come back.
//
// The bound is additive increase, multiplicative decrease on the lateness of answers (Chiu and Jain,
// "Analysis of the increase and decrease algorithms for congestion avoidance in computer networks", Computer
// Networks and ISDN Systems 17, 1989), as TCP's window is: it starts at a part of each host, grows while it is
// reached and answers come early, and is cut by 0.85 when answers take on average more than 0.35 of their
// target, at most once in that time.
//
// Beside it stands the hosts' own figure: where answers tell each host's busy share (a load report), the bound
// is kept at least at aim/busy times the mean number out from here. Every gateway of a fleet scales its own
// part by the same factor, so together they fill the hosts up to the aim and not beyond, however small the part
// of one gateway is. With hundreds of gateways, own dispatches are few and chance sways them; the growth by
// lateness alone then takes most of a short day, and the bound denies reqs for which the hosts have room.
//
// The package does no I/O; time is nanoseconds on the gateway's clock.
package limit

const (
	// Lateness is the mean part of the response target that answers may take before the bound is cut.
	Lateness = 0.35
	// Aim is the busy share of the hosts that the bound lets the fleet reach where the hosts tell it.
	Aim = 0.85
	// growth is the part of its start that the bound grows by in a round trip while it is reached.
	growth = 0.05
	cut    = 0.85 // the bound is multiplied by this when answers are late
	least  = 0.05 // the bound is never cut below this; under one, a dispatch goes by chance
	idle   = 0.05 // a busy share below this counts as this much: the bound stays finite
)

// Out is the bound on dispatches out at one gateway. The zero value is not ready: set Start, then call Hosts.
type Out struct {
	// Start is what one host adds to the bound at first: the dispatches out at each host from this gateway.
	Start float64
	hosts int
	limit float64 // the bound
	late  float64 // mean part of the target that answers take
	mean  float64 // mean dispatches out from here, as seen by answers
	busy  float64 // mean busy share that answers tell
	told  bool    // whether any answer told one
	cutAt int64
}

// Hosts tells the bound how many hosts there are now: it follows their number in proportion, and starts at
// Start for each host when there were none.
func (o *Out) Hosts(n int) {
	if o.hosts == 0 {
		o.limit = o.Start * float64(n)
	} else {
		o.limit *= float64(n) / float64(o.hosts)
	}
	o.hosts = n
}

// Allows tells whether one more dispatch may go with out already out. part (0 to 1] is the share of the
// bound open to this req, by its worth; chance, from 0 to 1, lets one more than the bound go now and then,
// since chance brings reqs together, and makes a bound under one a chance.
func (o *Out) Allows(out int, part, chance float64) bool {
	l := o.limit * part
	return !(float64(out+1) > l+chance*(1+min(l, 1))) // a part that can't be told (NaN) bounds nothing
}

// Answered takes in an answer that came lag after its dispatch, of a req with that target, with out dispatches
// still out from here, at now. busy is the busy share that came with it, from 0 to 1, or below 0 where none
// came.
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
		o.limit = max(o.limit, o.mean*Aim/max(o.busy, idle))
	}
}

// Limit is the bound now, in dispatches.
func (o *Out) Limit() float64 { return o.limit }

// Late is the mean part of the target that answers take.
func (o *Out) Late() float64 { return o.late }

// Set puts the bound at a value learned elsewhere, as a test or a restart from a snapshot does.
func (o *Out) Set(bound float64) { o.limit = bound }

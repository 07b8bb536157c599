// Package relay stands between processes on loopback. It carries their datagrams and streams, and loses, delays,
// doubles, reorders and cuts them as it is ordered to, one way or both. What happens to a datagram follows from the
// seed, from who sends it to whom, and from how many that pair has sent before: the same order of sending meets the
// same faults in every run.
package relay

import (
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"

	"ravensill/lab/actor"
)

// Way is what happens between two ends. Ways of several rules add up.
type Way struct {
	Loss    float64       // part of the datagrams that is lost
	Double  float64       // part that comes twice
	Reorder float64       // part that is held back by Hold, so that later ones pass it
	Hold    time.Duration // 0 leaves 50 ms
	Delay   time.Duration
	Jitter  time.Duration // up to so much more, evenly
	Cut     bool          // nothing passes; a stream stands still and goes on where it was when the cut heals
}

func (w Way) and(o Way) Way {
	return Way{Loss: 1 - (1-w.Loss)*(1-o.Loss), Double: 1 - (1-w.Double)*(1-o.Double),
		Reorder: 1 - (1-w.Reorder)*(1-o.Reorder), Hold: max(w.Hold, o.Hold), Delay: w.Delay + o.Delay,
		Jitter: w.Jitter + o.Jitter, Cut: w.Cut || o.Cut}
}

// Rule says what happens from some ends to others; none named stands for all.
type Rule struct {
	From, To []string
	Way
}

func (r *Rule) covers(from, to string) bool {
	return (r.From == nil || slices.Contains(r.From, from)) && (r.To == nil || slices.Contains(r.To, to))
}

// Relay is one task that owns the rules; each net of datagrams and each stream asks it.
type Relay struct {
	*actor.Actor
	seed    uint64
	rules   map[string][]Rule
	ways    map[[2]string]Way
	nets    []*Datagrams
	streams []*Stream
	waiting []waiting // pieces of streams that stand before a cut
}

type waiting struct {
	from, to string
	pass     chan time.Duration
}

// New starts one without faults.
func New(seed uint64) *Relay {
	return &Relay{Actor: actor.New(), seed: seed, rules: map[string][]Rule{}, ways: map[[2]string]Way{}}
}

// Set puts rules in force under a name, in place of those it had; none takes them away.
func (r *Relay) Set(name string, rules ...Rule) {
	r.Ask(func() {
		if delete(r.rules, name); len(rules) > 0 {
			r.rules[name] = rules
		}
		clear(r.ways)
		held := r.waiting
		r.waiting = nil
		for _, w := range held {
			r.pass(w)
		}
	})
}

// Cut parts two sides, both ways, under a name; Set(name) heals it.
func (r *Relay) Cut(name string, a, b []string) {
	r.Set(name, Rule{a, b, Way{Cut: true}}, Rule{b, a, Way{Cut: true}})
}

// way is what happens from one end to another.
func (r *Relay) way(from, to string) Way {
	key := [2]string{from, to}
	w, ok := r.ways[key]
	if !ok {
		for _, rules := range r.rules {
			for i := range rules {
				if rules[i].covers(from, to) {
					w = w.and(rules[i].Way)
				}
			}
		}
		r.ways[key] = w
	}
	return w
}

// pass lets a piece of a stream go, or keeps it before a cut. It is told how long it takes.
func (r *Relay) pass(w waiting) {
	if way := r.way(w.from, w.to); way.Cut {
		r.waiting = append(r.waiting, w)
	} else {
		w.pass <- way.Delay
	}
}

// Close ends the relay and all that it carries.
func (r *Relay) Close() {
	r.Ask(func() {
		for _, n := range r.nets {
			n.close()
		}
		for _, s := range r.streams {
			s.close()
		}
	})
	r.Actor.Stop()
}

// chance is the generator of the k-th datagram of a pair.
func (r *Relay) chance(net, from, to string, k uint64) *rand.Rand {
	h := fnv.New64a()
	for _, w := range []string{net, from, to} {
		h.Write([]byte(w))
		h.Write([]byte{0})
	}
	return rand.New(rand.NewPCG(r.seed^h.Sum64(), k))
}

// Fate is what a datagram meets: when each copy comes, none for one that is lost.
func (w Way) Fate(chance *rand.Rand) (after []time.Duration) {
	lose, double, late := chance.Float64(), chance.Float64(), chance.Float64()
	if w.Cut || lose < w.Loss {
		return nil
	}
	copies := 1
	if double < w.Double {
		copies = 2
	}
	for range copies {
		d := w.Delay + time.Duration(chance.Float64()*float64(w.Jitter))
		if late < w.Reorder {
			if late = 1; w.Hold > 0 {
				d += w.Hold
			} else {
				d += 50 * time.Millisecond
			}
		}
		after = append(after, d)
	}
	return after
}

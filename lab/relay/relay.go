// Package relay carries datagrams and streams between processes on loopback. By its rules it loses, delays,
// duplicates and reorders datagrams and blocks links, in one direction or both. What happens to a datagram follows
// from the seed, from its sender and receiver and from how many that pair has sent before, so that the same order of
// sending meets the same faults in every run.
package relay

import (
	"slices"
	"time"

	"ravensill/lab/actor"
)

// Rule says what happens from some ends to others.
type Rule struct {
	From []string // names of ends; nil: all
	To   []string // names of ends; nil: all
	Faults
}

// covers reports whether the rule concerns the link from one end to another.
func (r *Rule) covers(from, to string) bool {
	return (r.From == nil || slices.Contains(r.From, from)) && (r.To == nil || slices.Contains(r.To, to))
}

// link is the direction from one end to another.
type link struct {
	from string
	to   string
}

// Relay is an actor that owns the rules of all datagram networks and streams.
type Relay struct {
	*actor.Actor
	seed     uint64
	rules    map[string][]Rule
	faultsOf map[link]Faults // by the present rules
	networks []*DatagramNetwork
	streams  []*Stream
	blocked  []passRequest // of streams
}

// passRequest is a stream's request to pass a link. It is answered with the delay once the link is not blocked.
type passRequest struct {
	link  link
	delay chan time.Duration
}

// New starts a relay without faults.
func New(seed uint64) *Relay {
	return &Relay{Actor: actor.New(), seed: seed, rules: map[string][]Rule{}, faultsOf: map[link]Faults{}}
}

// SetRules puts rules in force under a name, in place of those before. Without rules it ends those before.
func (r *Relay) SetRules(name string, rules ...Rule) {
	r.Ask(func() {
		delete(r.rules, name)
		if len(rules) > 0 {
			r.rules[name] = rules
		}
		clear(r.faultsOf)
		requests := r.blocked
		r.blocked = nil
		for _, request := range requests {
			r.pass(request)
		}
	})
}

// Partition blocks the links between two sides in both directions, under a name; SetRules(name) heals the partition.
func (r *Relay) Partition(name string, a, b []string) {
	blocked := Faults{Blocked: true}
	r.SetRules(name, Rule{a, b, blocked}, Rule{b, a, blocked})
}

// faults returns the faults of the link from one end to another.
func (r *Relay) faults(from, to string) Faults {
	key := link{from, to}
	faults, ok := r.faultsOf[key]
	if ok {
		return faults
	}
	for _, rules := range r.rules {
		for i := range rules {
			if rules[i].covers(from, to) {
				faults = faults.combine(rules[i].Faults)
			}
		}
	}
	r.faultsOf[key] = faults
	return faults
}

// pass answers a stream's request, or keeps it while the link is blocked.
func (r *Relay) pass(request passRequest) {
	faults := r.faults(request.link.from, request.link.to)
	if faults.Blocked {
		r.blocked = append(r.blocked, request)
		return
	}
	request.delay <- faults.Delay
}

// Close ends the relay and all that it carries, and waits for its goroutines.
func (r *Relay) Close() {
	var networks []*DatagramNetwork
	var streams []*Stream
	r.Ask(func() {
		networks = r.networks
		streams = r.streams
		for _, network := range networks {
			network.close()
		}
		for _, stream := range streams {
			stream.close()
		}
	})
	for _, network := range networks {
		network.readers.Wait()
	}
	r.Actor.Stop()
	for _, stream := range streams {
		stream.goroutines.Wait()
	}
}

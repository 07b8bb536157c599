// Package relay forwards datagrams and streams between processes on loopback and injects network faults. Its rules
// lose, delay, duplicate and reorder datagrams, and block links in one direction or both. What happens to a datagram
// depends only on the seed, on its network, sender and receiver, and on how many datagrams that pair has sent before.
// So the same order of sending meets the same faults in every run.
package relay

import (
	"slices"
	"time"

	"ravensill/lab/actor"
)

// Rule sets the faults on all links from some nodes to others. A node is a process that the relay connects, called by a
// name that the caller of the relay chooses.
type Rule struct {
	From []string // names of nodes; nil: all
	To   []string // names of nodes; nil: all
	Faults
}

// covers reports whether the rule applies to the link from one node to another.
func (r *Rule) covers(from, to string) bool {
	return (r.From == nil || slices.Contains(r.From, from)) && (r.To == nil || slices.Contains(r.To, to))
}

// link is one direction between two nodes.
type link struct {
	from string
	to   string
}

// Relay is an actor that owns the rules of all datagram networks and streams. Its methods may be called by several
// goroutines at once.
type Relay struct {
	*actor.Actor
	seed            uint64
	rules           map[string][]Rule // by the name given to SetRules
	linkFaults      map[link]Faults   // cached faults of the links by the current rules
	networks        []*DatagramNetwork
	streams         []*Stream
	blockedRequests []passRequest // of streams whose link is blocked
}

// passRequest is the request of a stream to pass data over a link. The relay sends the link's delay on the channel,
// once the link is not blocked.
type passRequest struct {
	link  link
	delay chan time.Duration
}

// New starts a relay without rules. The random faults of datagrams depend on the seed.
func New(seed uint64) *Relay {
	return &Relay{Actor: actor.New(), seed: seed, rules: map[string][]Rule{}, linkFaults: map[link]Faults{}}
}

// SetRules replaces the rules that were set under a name; without rules it removes them. Rules under different names
// apply together.
func (r *Relay) SetRules(name string, rules ...Rule) {
	r.Ask(func() {
		delete(r.rules, name)
		if len(rules) > 0 {
			r.rules[name] = rules
		}
		clear(r.linkFaults)
		requests := r.blockedRequests
		r.blockedRequests = nil
		for _, request := range requests {
			r.pass(request)
		}
	})
}

// Partition blocks the links between two groups of nodes in both directions, by rules under a name. SetRules(name)
// removes the partition.
func (r *Relay) Partition(name string, a, b []string) {
	blocked := Faults{Blocked: true}
	r.SetRules(name, Rule{a, b, blocked}, Rule{b, a, blocked})
}

// faultsOf returns the combined faults of all rules that apply to the link from one node to another.
func (r *Relay) faultsOf(from, to string) Faults {
	key := link{from, to}
	faults, ok := r.linkFaults[key]
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
	r.linkFaults[key] = faults
	return faults
}

// pass answers a stream's request, or keeps it if the link is blocked.
func (r *Relay) pass(request passRequest) {
	faults := r.faultsOf(request.link.from, request.link.to)
	if faults.Blocked {
		r.blockedRequests = append(r.blockedRequests, request)
		return
	}
	request.delay <- faults.Delay
}

// Close stops the relay, closes all its sockets and connections and waits until its goroutines have ended.
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

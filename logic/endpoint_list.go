package logic

import (
	"cmp"
	"math"
	"slices"

	"ravensill/gateway"
	"ravensill/subset"
)

// updateList applies a complete list of endpoints or changes of it. The record of an endpoint that is gone is
// dropped, and the limit on attempts in flight changes in proportion to the number of endpoints.
func (s *endpointSet) updateList(kind gateway.ListKind, listed []gateway.Endpoint, now gateway.Time) {
	if kind == gateway.ListComplete || kind == gateway.ListCached {
		for _, e := range s.all {
			e.state = gateway.Gone
		}
	}
	for i, e := range s.recordsFor(listed) {
		s.updateEndpoint(e, &listed[i], now)
	}
	if kind == gateway.ListChanges || kind == gateway.ListComplete {
		s.listReceived = true
	}
	s.all = slices.DeleteFunc(s.all, func(e *endpoint) bool { return e.state == gateway.Gone })
	s.limit.SetEndpoints(len(s.all))
	s.chooseSubset()
}

// updateEndpoint applies one entry of a list. A changed start time means a new process: measurements of the
// previous process are dropped.
func (s *endpointSet) updateEndpoint(e *endpoint, listed *gateway.Endpoint, now gateway.Time) {
	if listed.StartedAt != e.announcedStart {
		e.announcedStart = listed.StartedAt
		e.startedAt = s.localStart(listed.StartedAt, now)
		e.relativeLatency = 1
		e.allowance = s.random.fraction()
		e.utilization = 0
		e.health = nil
	}
	e.state = listed.State
	e.Weight = listed.Weight
}

// byNumber compares an endpoint's number with a number, for binary searches in lists ordered by number.
func byNumber(e *endpoint, id uint32) int { return cmp.Compare(e.number, id) }

// recordsFor returns the record of each listed endpoint and creates those of unknown endpoints. It sorts all
// records once: inserting new endpoints one by one would take a quadratic number of moves.
func (s *endpointSet) recordsFor(listed []gateway.Endpoint) []*endpoint {
	known := s.all
	added := map[uint32]*endpoint{}
	records := make([]*endpoint, len(listed))
	for i, l := range listed {
		if k, found := slices.BinarySearchFunc(known, l.Host, byNumber); found {
			records[i] = known[k]
			continue
		}
		if added[l.Host] == nil {
			added[l.Host] = &endpoint{
				Endpoint:       subset.Endpoint{Hash: mix(uint64(l.Host) + 1)},
				number:         l.Host,
				announcedStart: math.MinInt64,
			}
			s.all = append(s.all, added[l.Host])
		}
		records[i] = added[l.Host]
	}
	if len(added) > 0 {
		slices.SortFunc(s.all, func(a, b *endpoint) int { return byNumber(a, b.number) })
	}
	return records
}

// chooseSubset marks the endpoints in this gateway's subset. With a subset the gateway keeps few connections and
// gets answers from each endpoint often. Endpoints outside the subset are used only if those in it are overloaded
// or unavailable.
func (s *endpointSet) chooseSubset() {
	var running []*subset.Endpoint
	for _, e := range s.all {
		e.InSubset = false
		if e.state == gateway.Running {
			running = append(running, &e.Endpoint)
		}
	}
	subset.AssignSubset(s.memberIndex, s.memberCount, running)
	s.collectInUse()
}

// collectInUse collects the endpoints that are in the subset or were sent an attempt. Requests and timers iterate
// over these alone, so that their cost does not grow with the list. Only choose falls back to all endpoints, which
// is rare.
func (s *endpointSet) collectInUse() {
	s.inUse = s.inUse[:0]
	for _, e := range s.all {
		if e.InSubset || e.contacted {
			s.inUse = append(s.inUse, e)
		}
	}
}

// activeEndpoints returns the endpoints with attempts in flight, ordered by number. It first removes from the active
// list those that have none left or are gone.
func (s *endpointSet) activeEndpoints() []*endpoint {
	s.active = slices.DeleteFunc(s.active, func(e *endpoint) bool {
		e.isActive = len(e.inFlight) > 0 && e.state != gateway.Gone
		return !e.isActive
	})
	return s.active
}

// recordContact adds an endpoint that is sent an attempt to the active endpoints and to those in use.
func (s *endpointSet) recordContact(e *endpoint) {
	if !e.isActive {
		e.isActive = true
		s.active = insertByNumber(s.active, e)
	}
	if !e.InSubset && !e.contacted {
		s.inUse = insertByNumber(s.inUse, e)
	}
	e.contacted = true
}

// insertByNumber inserts an endpoint into a list ordered by number, at its place in that order.
func insertByNumber(list []*endpoint, e *endpoint) []*endpoint {
	i, _ := slices.BinarySearchFunc(list, e.number, byNumber)
	return slices.Insert(list, i, e)
}

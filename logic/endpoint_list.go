package logic

import (
	"cmp"
	"math"
	"slices"

	"ravensill/gateway"
	"ravensill/subset"
)

// updateList applies a list of endpoints, or changes of it. An endpoint that is gone loses its record and its
// part of the limit on attempts in flight.
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

// updateEndpoint applies one entry of a list. A new start voids what was measured of the process before.
func (s *endpointSet) updateEndpoint(e *endpoint, listed *gateway.Endpoint, now gateway.Time) {
	if listed.StartedAt != e.announcedStart {
		e.announcedStart = listed.StartedAt
		e.startedAt = s.startOf(listed.StartedAt, now)
		e.relativeLatency = 1
		e.allowance = s.random.fraction()
		e.utilization = 0
		e.health = nil
	}
	e.state = listed.State
	e.Weight = listed.Weight
}

// byID compares an endpoint with an id, for binary searches.
func byID(e *endpoint, id uint32) int { return cmp.Compare(e.id, id) }

// recordsFor returns the record of each endpoint of a list, new ones for unknown endpoints. It sorts once: an
// insertion for each new endpoint would take a number of moves quadratic in the list's length.
func (s *endpointSet) recordsFor(listed []gateway.Endpoint) []*endpoint {
	known := s.all
	added := map[uint32]*endpoint{}
	records := make([]*endpoint, len(listed))
	for i, l := range listed {
		if k, found := slices.BinarySearchFunc(known, l.Host, byID); found {
			records[i] = known[k]
			continue
		}
		if added[l.Host] == nil {
			added[l.Host] = &endpoint{
				Endpoint:       subset.Endpoint{Hash: mix(uint64(l.Host) + 1)},
				id:             l.Host,
				announcedStart: math.MinInt64,
			}
			s.all = append(s.all, added[l.Host])
		}
		records[i] = added[l.Host]
	}
	if len(added) > 0 {
		slices.SortFunc(s.all, func(a, b *endpoint) int { return byID(a, b.id) })
	}
	return records
}

// chooseSubset marks this gateway's subset of the endpoints, so that it keeps few connections and gets answers
// from each often. The other endpoints serve when none of the subset can.
func (s *endpointSet) chooseSubset() {
	var running []*subset.Endpoint
	for _, e := range s.all {
		e.InSubset = false
		if e.state == gateway.Running {
			running = append(running, &e.Endpoint)
		}
	}
	subset.AssignSubset(s.memberIndex, s.memberCount, running)
	s.collectNearby()
}

// collectNearby collects the endpoints of the subset and those that were sent an attempt. Walks are over these,
// but for a rare one in choose: their cost does not grow with the list.
func (s *endpointSet) collectNearby() {
	s.nearby = s.nearby[:0]
	for _, e := range s.all {
		if e.InSubset || e.contacted {
			s.nearby = append(s.nearby, e)
		}
	}
}

// withAttempts returns the endpoints with attempts in flight, ordered by id.
func (s *endpointSet) withAttempts() []*endpoint {
	s.busy = slices.DeleteFunc(s.busy, func(e *endpoint) bool {
		e.inBusy = len(e.inFlight) > 0 && e.state != gateway.Gone
		return !e.inBusy
	})
	return s.busy
}

// recordContact records that an endpoint is sent an attempt.
func (s *endpointSet) recordContact(e *endpoint) {
	if !e.inBusy {
		e.inBusy = true
		s.busy = insertByID(s.busy, e)
	}
	if !e.InSubset && !e.contacted {
		s.nearby = insertByID(s.nearby, e)
	}
	e.contacted = true
}

// insertByID inserts an endpoint into a list that is ordered by id.
func insertByID(list []*endpoint, e *endpoint) []*endpoint {
	i, _ := slices.BinarySearchFunc(list, e.id, byID)
	return slices.Insert(list, i, e)
}

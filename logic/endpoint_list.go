package logic

import (
	"cmp"
	"math"
	"slices"

	"ravensill/gateway"
	"ravensill/subset"
)

// updateList takes in a list of endpoints, or changes of it. A record ends with its endpoint, as does its part of the limit on
// attempts in flight.
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

// updateEndpoint takes in one entry of a list. After a new start what was learned of the former process is void.
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

func byID(e *endpoint, id uint32) int { return cmp.Compare(e.id, id) }

// recordsFor returns the record of each endpoint of a list, new ones for those that are not known yet. It sorts the whole once, not
// each new endpoint into its place: a list of n endpoints would take n squared moves.
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
			added[l.Host] = &endpoint{id: l.Host, Endpoint: subset.Endpoint{Hash: mix(uint64(l.Host) + 1)}, announcedStart: math.MinInt64}
			s.all = append(s.all, added[l.Host])
		}
		records[i] = added[l.Host]
	}
	if len(added) > 0 {
		slices.SortFunc(s.all, func(a, b *endpoint) int { return byID(a, b.id) })
	}
	return records
}

// chooseSubset takes this gateway's subset of the endpoints: a gateway of many keeps few connections and hears often of each. The
// others serve where none of the subset will do.
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

// collectNearby collects the endpoints near this gateway: its subset, and those that it has sent to. All walks but the rare one of
// choose are of these, so that what a request or a timer costs does not grow with the list.
func (s *endpointSet) collectNearby() {
	s.nearby = s.nearby[:0]
	for _, e := range s.all {
		if e.InSubset || e.contacted {
			s.nearby = append(s.nearby, e)
		}
	}
}

// withAttempts returns the endpoints with attempts in flight, in the order of their ids. A timer walks these alone: to a gateway by
// itself all endpoints are near, and at rest it has none in flight.
func (s *endpointSet) withAttempts() []*endpoint {
	s.busy = slices.DeleteFunc(s.busy, func(e *endpoint) bool {
		e.inBusy = len(e.inFlight) > 0 && e.state != gateway.Gone
		return !e.inBusy
	})
	return s.busy
}

// markContacted notes that an endpoint is sent to.
func (s *endpointSet) markContacted(e *endpoint) {
	if !e.inBusy {
		e.inBusy = true
		s.busy = insertByID(s.busy, e)
	}
	if !e.InSubset && !e.contacted {
		s.nearby = insertByID(s.nearby, e)
	}
	e.contacted = true
}

func insertByID(list []*endpoint, e *endpoint) []*endpoint {
	i, _ := slices.BinarySearchFunc(list, e.id, byID)
	return slices.Insert(list, i, e)
}

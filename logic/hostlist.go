package logic

import (
	"cmp"
	"math"
	"slices"

	"ravensill/gateway"
	"ravensill/spread"
)

// The order in which the module keeps its hosts, by id. Nothing is decided here.

func byID(h *endpoint, id uint32) int { return cmp.Compare(h.id, id) }

// entries gives the record of each host of a list, new ones for those that are not known yet. It sorts the whole once, not
// each new host into its place: a list of n hosts would take n squared moves.
func (f *endpointSet) recordsFor(listed []gateway.Endpoint) []*endpoint {
	known, added := f.all, map[uint32]*endpoint{}
	entries := make([]*endpoint, len(listed))
	for i, l := range listed {
		if k, found := slices.BinarySearchFunc(known, l.Host, byID); found {
			entries[i] = known[k]
			continue
		}
		if added[l.Host] == nil {
			added[l.Host] = &endpoint{id: l.Host, Host: spread.Host{Hash: mix(uint64(l.Host) + 1)}, announcedStart: math.MinInt64}
			f.all = append(f.all, added[l.Host])
		}
		entries[i] = added[l.Host]
	}
	if len(added) > 0 {
		slices.SortFunc(f.all, func(a, b *endpoint) int { return byID(a, b.id) })
	}
	return entries
}

// gather collects the hosts near this gateway: its subset, and those that it has sent to. All walks but the rare one of
// pick are of these, so that what a request or a tick costs does not grow with the list.
func (f *endpointSet) collectNearby() {
	f.nearby = f.nearby[:0]
	for _, h := range f.all {
		if h.Held || h.contacted {
			f.nearby = append(f.nearby, h)
		}
	}
}

// active gives the hosts with attempts in flight, in the order of their ids. A tick walks these alone: to a gateway by itself
// all hosts are near, and at rest it has none in flight.
func (f *endpointSet) withAttempts() []*endpoint {
	f.busy = slices.DeleteFunc(f.busy, func(h *endpoint) bool {
		h.inBusy = len(h.inFlight) > 0 && h.state != gateway.Gone
		return !h.inBusy
	})
	return f.busy
}

// use notes that a host is sent to.
func (f *endpointSet) markContacted(h *endpoint) {
	if !h.inBusy {
		i, _ := slices.BinarySearchFunc(f.busy, h.id, byID)
		f.busy = slices.Insert(f.busy, i, h)
		h.inBusy = true
	}
	if !h.Held && !h.contacted {
		i, _ := slices.BinarySearchFunc(f.nearby, h.id, byID)
		f.nearby = slices.Insert(f.nearby, i, h)
	}
	h.contacted = true
}

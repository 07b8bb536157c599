package logic

import (
	"cmp"
	"math"
	"slices"

	"ravensill/gateway"
	"ravensill/spread"
)

// The order in which the module keeps its hosts, by id. Nothing is decided here.

func byID(h *host, id uint32) int { return cmp.Compare(h.id, id) }

// entries gives the record of each host of a list, new ones for those that are not known yet. It sorts the whole once, not
// each new host into its place: a list of n hosts would take n squared moves.
func (f *hostPool) entries(listed []gateway.Endpoint) []*host {
	known, added := f.all, map[uint32]*host{}
	entries := make([]*host, len(listed))
	for i, l := range listed {
		if k, found := slices.BinarySearchFunc(known, l.Host, byID); found {
			entries[i] = known[k]
			continue
		}
		if added[l.Host] == nil {
			added[l.Host] = &host{id: l.Host, Host: spread.Host{Hash: mix(uint64(l.Host) + 1)}, since: math.MinInt64}
			f.all = append(f.all, added[l.Host])
		}
		entries[i] = added[l.Host]
	}
	if len(added) > 0 {
		slices.SortFunc(f.all, func(a, b *host) int { return byID(a, b.id) })
	}
	return entries
}

// gather collects the hosts near this gateway: its subset, and those that it has sent to. All walks but the rare one of
// pick are of these, so that what a request or a tick costs does not grow with the list.
func (f *hostPool) gather() {
	f.near = f.near[:0]
	for _, h := range f.all {
		if h.Held || h.used {
			f.near = append(f.near, h)
		}
	}
}

// active gives the hosts with attempts in flight, in the order of their ids. A tick walks these alone: to a gateway by itself
// all hosts are near, and at rest it has none in flight.
func (f *hostPool) active() []*host {
	f.busyHosts = slices.DeleteFunc(f.busyHosts, func(h *host) bool {
		h.listedBusy = len(h.inFlight) > 0 && h.state != gateway.Gone
		return !h.listedBusy
	})
	return f.busyHosts
}

// use notes that a host is sent to.
func (f *hostPool) use(h *host) {
	if !h.listedBusy {
		i, _ := slices.BinarySearchFunc(f.busyHosts, h.id, byID)
		f.busyHosts = slices.Insert(f.busyHosts, i, h)
		h.listedBusy = true
	}
	if !h.Held && !h.used {
		i, _ := slices.BinarySearchFunc(f.near, h.id, byID)
		f.near = slices.Insert(f.near, i, h)
	}
	h.used = true
}

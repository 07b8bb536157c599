// Package discovery follows the list of hosts. Wire names end here; it decides nothing.
package discovery

import (
	"errors"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strings"

	"github.com/tidwall/gjson"

	"ravensill/gateway"
)

// Book turns lists into the words of the interface. It keeps the number of each host until that is forgotten.
type Book struct {
	zones, machines []string
	entries         map[string]*entry // by id
	byNumber        map[uint32]*entry
	byAddr          map[netip.AddrPort]*entry
	left            []entry // gone, the latest last
	Version         int64
	Even            bool // weights tell no size: each host's share is 1
}

const mostPast = 256

type entry struct {
	id      string
	number  uint32
	addr    netip.AddrPort
	since   int64
	leaving bool
}

func NewBook(zones, machines []string) *Book {
	return &Book{zones: zones, machines: machines, entries: map[string]*entry{}, byNumber: map[uint32]*entry{},
		byAddr: map[netip.AddrPort]*entry{}}
}

// Read makes out one list; it hands on nothing of a broken one. Where one entry alone can't be made out, the others count all
// the same, and odd tells of it: a drain must be kept whatever stands beside it. A host in a state that is not known is
// sent nothing new. An id told twice counts as told last. Told as gone is also a host that a whole list
// lacks, and one whose address a later started host has: what was sent there would reach that, cold as it is.
// A list of an older version than had comes from discovery that lags or counts anew. It is taken, but it does not put
// back a host that was told as leaving or gone and has not started again since.
// The cost grows with what the text holds; of changes it does not grow with the hosts that are listed already.
func (b *Book) Read(text string, place func(host uint32, addr netip.AddrPort)) (kind gateway.ListKind,
	hosts []gateway.Endpoint, odd, err error) {
	if !gjson.Valid(text) {
		return kind, nil, nil, errors.New("not JSON")
	}
	list := gjson.Parse(text)
	version, full, servers := list.Get("version"), list.Get("full"), list.Get("servers")
	if version.Type != gjson.Number || !full.IsBool() || !servers.IsArray() {
		return kind, nil, nil, errors.New("version, full or servers: missing, or not of its kind")
	}
	count := int(servers.Get("#").Int()) // grown step by step, a whole list would leave several times its size behind
	r := &reading{book: b, version: version.Int(), servers: make([]listedHost, 0, count), places: make(map[string]int, count)}
	servers.ForEach(func(_, server gjson.Result) bool {
		r.take(server)
		return true
	})
	gone := map[uint32]bool{}
	if kind = gateway.ListChanges; full.Bool() {
		kind = gateway.ListComplete
		r.missing(gone)
	}
	hosts, moved := r.enter(place)
	if len(b.byAddr) == 0 {
		b.byAddr = make(map[netip.AddrPort]*entry, len(moved))
	}
	if b.settle(moved, gone) {
		hosts = slices.DeleteFunc(hosts, func(l gateway.Endpoint) bool { return gone[l.Host] })
	}
	for _, number := range slices.Sorted(maps.Keys(gone)) {
		hosts = append(hosts, gateway.Endpoint{Host: number, State: gateway.Gone})
	}
	b.Version = r.version
	return kind, hosts, r.odd, nil
}

// reading is one list while it is made out.
type reading struct {
	book    *Book
	version int64
	servers []listedHost
	places  map[string]int // among the servers, by id, of all that the list names; nowhere: not to be taken
	odd     error          // of the last entry that can't be made out
}

const nowhere = -1

// listedHost is one entry of a list.
type listedHost struct {
	gateway.Endpoint
	id   string
	addr netip.AddrPort
	void bool // the list names its id again, further on
}

var states = []string{"active", "leaving", "left"} // as gateway.State counts them

// take makes out one entry of the list.
func (r *reading) take(text gjson.Result) {
	b, s := r.book, listedHost{id: text.Get("id").Str}
	before, named := r.places[s.id]
	if !named {
		before = nowhere
		r.places[s.id] = nowhere
	}
	addr, bad := netip.ParseAddrPort(text.Get("addr").Str)
	s.addr = addr
	known := b.entries[s.id]
	state := slices.Index(states, text.Get("state").Str)
	if state < 0 || bad != nil && state != int(gateway.Gone) || s.id == "" {
		r.odd = fmt.Errorf("servers: id, addr or state of %.80s", text.Raw)
		if s.id == "" || bad != nil && (known == nil || !known.addr.IsValid()) {
			return // nothing could be sent there
		}
		if state < 0 {
			state = int(gateway.Draining)
		}
	}
	s.Endpoint = b.listing(text, gateway.EndpointState(state))
	if before != nowhere {
		r.servers[before].void = true
		r.places[s.id] = nowhere
	}
	if r.version < b.Version && s.State != gateway.Gone {
		if known != nil && known.leaving && s.StartedAt <= known.since {
			s.State = gateway.Draining
		} else if known == nil && b.past(s.id, s.StartedAt) {
			return
		}
		if known != nil { // an older list does not know of the last start
			s.StartedAt = max(s.StartedAt, known.since)
		}
	}
	r.places[s.id] = len(r.servers)
	r.servers = append(r.servers, s)
}

// listing reads what an entry tells of its host.
func (b *Book) listing(text gjson.Result, state gateway.EndpointState) gateway.Endpoint {
	l := gateway.Endpoint{
		State:     state,
		Zone:      max(slices.Index(b.zones, text.Get("zone").Str), 0),
		Machine:   max(slices.Index(b.machines, text.Get("kind").Str), 0),
		Cell:      int(text.Get("cell").Int()),
		Weight:    text.Get("weight").Num,
		StartedAt: text.Get("started_ms").Int() * 1e6,
	}
	if b.Even {
		l.Weight = 1
	}
	return l
}

// past tells whether a host has gone that started no earlier.
func (b *Book) past(id string, since int64) bool {
	return slices.ContainsFunc(b.left, func(e entry) bool { return e.id == id && since <= e.since })
}

// missing adds the hosts that are listed and that a whole list does not name.
func (r *reading) missing(gone map[uint32]bool) {
	for id, e := range r.book.entries {
		if _, named := r.places[id]; !named {
			gone[e.number] = true
		}
	}
}

// enter keeps what the list tells, and gives the hosts by their numbers and those that have another address than before.
// First those that leave an address, then who takes it.
func (r *reading) enter(place func(host uint32, addr netip.AddrPort)) (hosts []gateway.Endpoint, moved []*entry) {
	hosts = make([]gateway.Endpoint, 0, len(r.servers))
	for i := range r.servers {
		s := &r.servers[i]
		if s.void {
			continue
		}
		e := r.book.entry(s.id)
		s.Host = e.number
		hosts = append(hosts, s.Endpoint)
		if s.State != gateway.Gone {
			e.since, e.leaving = s.StartedAt, s.State == gateway.Draining
		}
		if !s.addr.IsValid() {
			continue
		}
		if e.addr != s.addr || s.State == gateway.Gone {
			r.book.leave(e)
		}
		if s.State != gateway.Gone && e.addr != s.addr {
			e.addr, moved = s.addr, append(moved, e)
		}
		place(e.number, s.addr)
	}
	return hosts, moved
}

// settle gives each address that two have to the one that started later, adds the other to those that are gone, and tells
// whether there was any.
func (b *Book) settle(moved []*entry, gone map[uint32]bool) (some bool) {
	for _, e := range moved {
		o := b.byAddr[e.addr]
		if o != nil && o.since > e.since {
			o, e = e, o
		}
		if b.byAddr[e.addr] = e; o != nil {
			gone[o.number], some = true, true
		}
	}
	return some
}

func (b *Book) leave(e *entry) {
	if b.byAddr[e.addr] == e {
		delete(b.byAddr, e.addr)
	}
	e.addr = netip.AddrPort{}
}

// Forget ends what is kept of a host that is gone. Should its id come back, so does its number.
func (b *Book) Forget(host uint32) {
	if e := b.byNumber[host]; e != nil {
		b.leave(e)
		if b.left = append(b.left, *e); len(b.left) > mostPast {
			b.left = slices.Delete(b.left, 0, 1)
		}
		delete(b.entries, e.id)
		delete(b.byNumber, host)
	}
}

// Name gives a host's id for the log.
func (b *Book) Name(host uint32) string {
	if e := b.byNumber[host]; e != nil {
		return e.id
	}
	return ""
}

// Count gives how many hosts are listed.
func (b *Book) Count() int { return len(b.entries) }

// entry finds a host or enters it. Its number is the same at all gateways and in all their lives, since hosts
// are ranked by it: it follows from the id alone, but where two ids meet on one.
func (b *Book) entry(id string) *entry {
	if e := b.entries[id]; e != nil {
		return e
	}
	n := uint32(2166136261) // FNV-1a
	for i := range len(id) {
		n = (n ^ uint32(id[i])) * 16777619
	}
	for b.byNumber[n] != nil {
		n++
	}
	e := &entry{id: strings.Clone(id), number: n} // a part of the list's text would keep all of it in memory
	b.entries[e.id], b.byNumber[n] = e, e
	return e
}

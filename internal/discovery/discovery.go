// Package discovery follows the list of hosts. Wire names end here; it decides nothing.
package discovery

import (
	"errors"
	"fmt"
	"maps"
	"net/netip"
	"slices"

	"github.com/tidwall/gjson"

	"ravensill/gateway"
)

// Book turns lists into the words of the interface. It keeps the number of each host until that is forgotten.
type Book struct {
	zones, machines []string
	entries         map[string]*entry // by id
	byNumber        map[uint32]*entry
	byAddr          map[netip.AddrPort]*entry
	past            []entry // gone, the latest last
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
func (b *Book) Read(text []byte, place func(host uint32, addr netip.AddrPort)) (kind gateway.List,
	hosts []gateway.Listing, odd, err error) {
	if !gjson.ValidBytes(text) {
		return kind, nil, nil, errors.New("not JSON")
	}
	list := gjson.ParseBytes(text)
	version, full, servers := list.Get("version"), list.Get("full"), list.Get("servers")
	if version.Type != gjson.Number || !full.IsBool() || !servers.IsArray() {
		return kind, nil, nil, errors.New("version, full or servers: missing, or not of its kind")
	}
	var addrs []netip.AddrPort
	var ids []string
	named := map[string]bool{}
	servers.ForEach(func(_, s gjson.Result) bool {
		l := gateway.Listing{Cell: int(s.Get("cell").Int()), Share: s.Get("weight").Num,
			Zone:    max(slices.Index(b.zones, s.Get("zone").Str), 0),
			Machine: max(slices.Index(b.machines, s.Get("kind").Str), 0), Since: s.Get("started_ms").Int() * 1e6}
		if b.Even {
			l.Share = 1
		}
		id, state := s.Get("id").Str, slices.Index([]string{"active", "leaving", "left"}, s.Get("state").Str)
		addr, bad := netip.ParseAddrPort(s.Get("addr").Str)
		named[id] = true
		if state < 0 || bad != nil && state != int(gateway.Gone) || id == "" {
			odd = fmt.Errorf("servers: id, addr or state of %.80s", s.Raw)
			if e := b.entries[id]; id == "" || bad != nil && (e == nil || !e.addr.IsValid()) {
				return true // nothing could be sent there
			} else if state < 0 {
				state = int(gateway.Draining)
			}
		}
		if i := slices.Index(ids, id); i >= 0 {
			hosts, addrs, ids = slices.Delete(hosts, i, i+1), slices.Delete(addrs, i, i+1), slices.Delete(ids, i, i+1)
		}
		if l.State = gateway.State(state); version.Int() < b.Version && l.State != gateway.Gone {
			if e := b.entries[id]; e != nil && e.leaving && l.Since <= e.since {
				l.State = gateway.Draining
			} else if e == nil && slices.ContainsFunc(b.past, func(e entry) bool { return e.id == id && l.Since <= e.since }) {
				return true
			}
		}
		hosts, addrs, ids = append(hosts, l), append(addrs, addr), append(ids, id)
		return true
	})
	if kind = gateway.Changes; full.Bool() {
		kind = gateway.Complete
	}
	gone := map[uint32]bool{}
	for id, e := range b.entries {
		gone[e.number] = kind == gateway.Complete && !named[id]
	}
	var moved []*entry
	for i := range hosts { // first those that leave an address, then who takes it
		e := b.entry(ids[i])
		hosts[i].Host = e.number
		if hosts[i].State != gateway.Gone {
			e.since, e.leaving = hosts[i].Since, hosts[i].State == gateway.Draining
		}
		if addr := addrs[i]; addr.IsValid() {
			if e.addr != addr || hosts[i].State == gateway.Gone {
				b.leave(e)
			}
			if hosts[i].State != gateway.Gone && e.addr != addr {
				e.addr, moved = addr, append(moved, e)
			}
			place(e.number, addr)
		}
	}
	for _, e := range moved {
		o := b.byAddr[e.addr]
		if o != nil && o.since > e.since {
			o, e = e, o
		}
		if b.byAddr[e.addr] = e; o != nil {
			gone[o.number] = true
			hosts = slices.DeleteFunc(hosts, func(l gateway.Listing) bool { return l.Host == o.number })
		}
	}
	for _, n := range slices.Sorted(maps.Keys(gone)) {
		if gone[n] {
			hosts = append(hosts, gateway.Listing{Host: n, State: gateway.Gone})
		}
	}
	b.Version = version.Int()
	return kind, hosts, odd, nil
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
		if b.past = append(b.past, *e); len(b.past) > mostPast {
			b.past = slices.Delete(b.past, 0, 1)
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
	e := &entry{id: id, number: n}
	b.entries[id], b.byNumber[n] = e, e
	return e
}

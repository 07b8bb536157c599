// Package discovery follows the list of endpoints that discovery's agent holds: HTTP, a watch whose body is a sequence of JSON
// values. Names of the wire end here; it decides nothing.
package discovery

import (
	"errors"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/tidwall/gjson"

	"ravensill/gateway"
)

// EndpointList turns lists into the words of the interface. It keeps the number of each endpoint until that is forgotten.
type EndpointList struct {
	Version int64
	Even    bool // weights tell no size: each endpoint's weight is 1

	zones     []string
	machines  []string
	entries   map[string]*entry // by id
	byNumber  map[uint32]*entry
	byAddress map[netip.AddrPort]*entry
	gone      []entry // forgotten ones, the latest last
}

const maxGone = 256 // forgotten endpoints that are known

// entry is an endpoint that is known.
type entry struct {
	id        string
	number    uint32
	address   netip.AddrPort
	startedAt gateway.Time
	draining  bool
}

// NewEndpointList returns an empty list. zones and machines are the names of the settings, by index.
func NewEndpointList(zones, machines []string) *EndpointList {
	return &EndpointList{
		zones:     zones,
		machines:  machines,
		entries:   map[string]*entry{},
		byNumber:  map[uint32]*entry{},
		byAddress: map[netip.AddrPort]*entry{},
	}
}

var (
	errNotJSON = errors.New("not JSON")
	errNoList  = errors.New("version, full or servers: missing, or not of its kind")
)

// Decode reads one list; it hands on nothing of a broken one. Where one entry alone can't be read, the others count all the same,
// and entryErr tells of it: a drain must be kept whatever stands beside it. An endpoint in a state that is not known is sent
// nothing new. An id that is listed twice counts as listed last. As gone count also endpoints that a whole list lacks, and one
// whose address a later started endpoint has: what was sent there would reach that one, cold as it is.
//
// A list of an older version than had comes from discovery that lags or counts anew. It is taken, but it does not put back an
// endpoint that was listed as draining or gone and has not started again since. The cost grows with what the text holds; of changes
// it does not grow with the endpoints that are listed already.
func (l *EndpointList) Decode(text string, setAddress func(host uint32, address netip.AddrPort)) (kind gateway.ListKind,
	endpoints []gateway.Endpoint, entryErr, err error) {
	if !gjson.Valid(text) {
		return kind, nil, nil, errNotJSON
	}
	list := gjson.Parse(text)
	version := list.Get("version")
	full := list.Get("full")
	servers := list.Get("servers")
	if version.Type != gjson.Number || !full.IsBool() || !servers.IsArray() {
		return kind, nil, nil, errNoList
	}
	d := l.decodeEntries(version.Int(), servers)
	gone := map[uint32]bool{}
	kind = gateway.ListChanges
	if full.Bool() {
		kind = gateway.ListComplete
		d.markMissing(gone)
	}
	endpoints, moved := d.apply(setAddress)
	if len(l.byAddress) == 0 {
		l.byAddress = make(map[netip.AddrPort]*entry, len(moved))
	}
	if l.resolveConflicts(moved, gone) {
		endpoints = slices.DeleteFunc(endpoints, func(e gateway.Endpoint) bool { return gone[e.Host] })
	}
	for _, number := range slices.Sorted(maps.Keys(gone)) {
		endpoints = append(endpoints, gateway.Endpoint{Host: number, State: gateway.Gone})
	}
	l.Version = d.version
	return kind, endpoints, d.entryErr, nil
}

// decoding is one list while it is read.
type decoding struct {
	list     *EndpointList
	version  int64
	servers  []listedEndpoint
	places   map[string]int // among the servers, by id, of all that the list names; notTaken for those that don't count
	entryErr error          // of the last entry that can't be read
}

const notTaken = -1

// listedEndpoint is one entry of a list.
type listedEndpoint struct {
	gateway.Endpoint
	id         string
	address    netip.AddrPort
	superseded bool // the list names its id again, further on
}

var stateNames = []string{"active", "leaving", "left"} // by gateway.EndpointState

// decodeEntries reads all entries. Room for them is made at once: grown step by step, a whole list would leave several times its
// size behind.
func (l *EndpointList) decodeEntries(version int64, servers gjson.Result) *decoding {
	count := int(servers.Get("#").Int())
	d := &decoding{list: l, version: version, servers: make([]listedEndpoint, 0, count), places: make(map[string]int, count)}
	servers.ForEach(func(_, server gjson.Result) bool {
		d.decodeEntry(server)
		return true
	})
	return d
}

// decodeEntry reads one entry of the list.
func (d *decoding) decodeEntry(text gjson.Result) {
	id := text.Get("id").Str
	former, named := d.places[id]
	if !named {
		former = notTaken
		d.places[id] = notTaken
	}
	listed, usable := d.parseEntry(id, text)
	if !usable {
		return
	}
	if former != notTaken {
		d.servers[former].superseded = true
		d.places[id] = notTaken
	}
	if d.version < d.list.Version && listed.State != gateway.Gone && !d.keepKnown(&listed) {
		return
	}
	d.places[id] = len(d.servers)
	d.servers = append(d.servers, listed)
}

// parseEntry reads what an entry tells. It is not usable if nothing could be sent to the endpoint, or its id is not known.
func (d *decoding) parseEntry(id string, text gjson.Result) (listed listedEndpoint, usable bool) {
	address, addressErr := netip.ParseAddrPort(text.Get("addr").Str)
	state := slices.Index(stateNames, text.Get("state").Str)
	known := d.list.entries[id]
	if state < 0 || addressErr != nil && state != int(gateway.Gone) || id == "" {
		d.entryErr = fmt.Errorf("servers: id, addr or state of %.80s", text.Raw)
		unreachable := addressErr != nil && (known == nil || !known.address.IsValid())
		if id == "" || unreachable {
			return listed, false
		}
		if state < 0 {
			state = int(gateway.Draining)
		}
	}
	endpoint := d.list.endpoint(text, gateway.EndpointState(state))
	return listedEndpoint{Endpoint: endpoint, id: id, address: address}, true
}

// keepKnown has what is known of an endpoint go before an older list, and reports whether its entry counts. An older list does not
// know of the last start.
func (d *decoding) keepKnown(listed *listedEndpoint) bool {
	known := d.list.entries[listed.id]
	if known == nil {
		return !d.list.goneSince(listed.id, listed.StartedAt)
	}
	if known.draining && listed.StartedAt <= known.startedAt {
		listed.State = gateway.Draining
	}
	listed.StartedAt = max(listed.StartedAt, known.startedAt)
	return true
}

// endpoint reads what an entry tells of its endpoint.
func (l *EndpointList) endpoint(text gjson.Result, state gateway.EndpointState) gateway.Endpoint {
	e := gateway.Endpoint{
		State:     state,
		Zone:      max(slices.Index(l.zones, text.Get("zone").Str), 0),
		Machine:   max(slices.Index(l.machines, text.Get("kind").Str), 0),
		Cell:      int(text.Get("cell").Int()),
		Weight:    text.Get("weight").Num,
		StartedAt: gateway.Time(text.Get("started_ms").Int() * int64(time.Millisecond)),
	}
	if l.Even {
		e.Weight = 1
	}
	return e
}

// goneSince reports whether an endpoint has gone that started no earlier.
func (l *EndpointList) goneSince(id string, startedAt gateway.Time) bool {
	return slices.ContainsFunc(l.gone, func(e entry) bool { return e.id == id && startedAt <= e.startedAt })
}

// markMissing adds the endpoints that are known and that a whole list does not name.
func (d *decoding) markMissing(gone map[uint32]bool) {
	for id, e := range d.list.entries {
		if _, named := d.places[id]; !named {
			gone[e.number] = true
		}
	}
}

// apply keeps what the list tells, and returns the endpoints by their numbers and those that have another address than before.
// First those that leave an address, then who takes it.
func (d *decoding) apply(setAddress func(host uint32, address netip.AddrPort)) (endpoints []gateway.Endpoint, moved []*entry) {
	endpoints = make([]gateway.Endpoint, 0, len(d.servers))
	for i := range d.servers {
		listed := &d.servers[i]
		if listed.superseded {
			continue
		}
		e := d.list.entryFor(listed.id)
		listed.Host = e.number
		endpoints = append(endpoints, listed.Endpoint)
		isGone := listed.State == gateway.Gone
		if !isGone {
			e.startedAt = listed.StartedAt
			e.draining = listed.State == gateway.Draining
		}
		if !listed.address.IsValid() {
			continue
		}
		hasMoved := e.address != listed.address
		if hasMoved || isGone {
			d.list.releaseAddress(e)
		}
		if hasMoved && !isGone {
			e.address = listed.address
			moved = append(moved, e)
		}
		setAddress(e.number, listed.address)
	}
	return endpoints, moved
}

// resolveConflicts gives each address that two endpoints have to the one that started later, adds the other to those that are
// gone, and reports whether there was any.
func (l *EndpointList) resolveConflicts(moved []*entry, gone map[uint32]bool) (found bool) {
	for _, later := range moved {
		other := l.byAddress[later.address]
		if other != nil && other.startedAt > later.startedAt {
			other, later = later, other
		}
		l.byAddress[later.address] = later
		if other != nil {
			gone[other.number] = true
			found = true
		}
	}
	return found
}

// releaseAddress notes that an endpoint has its address no more.
func (l *EndpointList) releaseAddress(e *entry) {
	if l.byAddress[e.address] == e {
		delete(l.byAddress, e.address)
	}
	e.address = netip.AddrPort{}
}

// Forget ends what is kept of an endpoint that is gone. Should its id come back, so does its number.
func (l *EndpointList) Forget(host uint32) {
	e := l.byNumber[host]
	if e == nil {
		return
	}
	l.releaseAddress(e)
	l.gone = append(l.gone, *e)
	if len(l.gone) > maxGone {
		l.gone = slices.Delete(l.gone, 0, 1)
	}
	delete(l.entries, e.id)
	delete(l.byNumber, host)
}

// ID returns an endpoint's id, empty for one that is not known.
func (l *EndpointList) ID(host uint32) string {
	if e := l.byNumber[host]; e != nil {
		return e.id
	}
	return ""
}

// Count returns how many endpoints are known.
func (l *EndpointList) Count() int { return len(l.entries) }

// Parameters of FNV-1a (Fowler, Noll and Vo).
const (
	fnvOffset = 2166136261
	fnvPrime  = 16777619
)

// entryFor finds an endpoint or enters it. Its number is the same at all gateways and in all their incarnations, since endpoints
// are ranked by it: it follows from the id alone, but where two ids meet on one.
func (l *EndpointList) entryFor(id string) *entry {
	if e := l.entries[id]; e != nil {
		return e
	}
	number := uint32(fnvOffset)
	for i := range len(id) {
		number = (number ^ uint32(id[i])) * fnvPrime
	}
	for l.byNumber[number] != nil {
		number++
	}
	e := &entry{id: strings.Clone(id), number: number} // a part of the list's text would keep all of it in memory
	l.entries[e.id] = e
	l.byNumber[number] = e
	return e
}

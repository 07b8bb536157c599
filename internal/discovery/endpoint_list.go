// Package discovery watches the endpoint list of a discovery agent: HTTP, with a body that is a sequence of JSON
// values. It decodes the lists into endpoints of package gateway, and decides nothing.
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

// EndpointList contains the endpoints known from all lists that were decoded. It keeps the number of each until the
// endpoint is forgotten.
type EndpointList struct {
	Version      int64 // of the latest list
	EqualWeights bool  // the lists' weights don't reflect sizes: each endpoint's weight is 1

	zones     []string
	machines  []string
	entries   map[string]*entry // by id
	byNumber  map[uint32]*entry
	byAddress map[netip.AddrPort]*entry
	gone      []entry // forgotten endpoints, in the order in which they were forgotten
}

// maxGone bounds the forgotten endpoints of which the list keeps the start.
const maxGone = 256

// entry is a known endpoint.
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

// Decode decodes one list and returns its endpoints. On an error nothing has changed. An invalid entry does not
// invalidate the others, since a drain must take effect; entryErr is the error of the last invalid entry. An endpoint
// in an unknown state counts as draining. Of an id that is listed twice the last entry counts. Endpoints that a
// complete list lacks are gone, and so is one whose address an endpoint that started later has: requests to it would
// reach the new one, which is still warming up.
//
// A list with an older version than the latest comes from an agent that lags or numbers its versions anew. It counts,
// but an endpoint that was listed as draining or gone, and has not started again since, stays so. The cost grows with
// the text; a list of changes costs the same however many endpoints are known.
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

// decoding is one list that is being decoded.
type decoding struct {
	list     *EndpointList
	version  int64
	servers  []listedEndpoint
	indices  map[string]int // in servers, by id, of all ids that the list names; ignored for those that don't count
	entryErr error          // of the last invalid entry
}

const ignored = -1

// listedEndpoint is one entry of a list.
type listedEndpoint struct {
	gateway.Endpoint
	id         string
	address    netip.AddrPort
	superseded bool // by a later entry with the same id
}

// stateNames are the states of an entry by gateway.EndpointState.
var stateNames = []string{"active", "leaving", "left"}

// decodeEntries decodes all entries. Their memory is allocated once: growing slices of a complete list would leave
// garbage of several times its size.
func (l *EndpointList) decodeEntries(version int64, servers gjson.Result) *decoding {
	count := int(servers.Get("#").Int())
	d := &decoding{
		list:    l,
		version: version,
		servers: make([]listedEndpoint, 0, count),
		indices: make(map[string]int, count),
	}
	servers.ForEach(func(_, server gjson.Result) bool {
		d.decodeEntry(server)
		return true
	})
	return d
}

// decodeEntry decodes one entry of the list.
func (d *decoding) decodeEntry(text gjson.Result) {
	id := text.Get("id").Str
	earlier, named := d.indices[id]
	if !named {
		earlier = ignored
		d.indices[id] = ignored
	}
	listed, usable := d.parseEntry(id, text)
	if !usable {
		return
	}
	if earlier != ignored {
		d.servers[earlier].superseded = true
		d.indices[id] = ignored
	}
	if d.version < d.list.Version && listed.State != gateway.Gone && !d.mergeKnown(&listed) {
		return
	}
	d.indices[id] = len(d.servers)
	d.servers = append(d.servers, listed)
}

// parseEntry parses one entry. It is not usable if it has no id, or if the address of its endpoint is unknown.
func (d *decoding) parseEntry(id string, text gjson.Result) (listed listedEndpoint, usable bool) {
	address, addressErr := netip.ParseAddrPort(text.Get("addr").Str)
	hasAddress := addressErr == nil
	state := slices.Index(stateNames, text.Get("state").Str)
	valid := id != "" && state >= 0 && (hasAddress || state == int(gateway.Gone))
	if !valid {
		d.entryErr = fmt.Errorf("servers: id, addr or state of %.80s", text.Raw)
		known := d.list.entries[id]
		hasKnownAddress := known != nil && known.address.IsValid()
		if id == "" || !hasAddress && !hasKnownAddress {
			return listed, false
		}
		if state < 0 {
			state = int(gateway.Draining)
		}
	}
	endpoint := d.list.endpoint(text, gateway.EndpointState(state))
	return listedEndpoint{Endpoint: endpoint, id: id, address: address}, true
}

// mergeKnown corrects the entry of an older list, which may lack the latest start, by what is known of its endpoint. It
// reports whether the entry counts.
func (d *decoding) mergeKnown(listed *listedEndpoint) bool {
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

// endpoint returns the endpoint of an entry, without its number.
func (l *EndpointList) endpoint(text gjson.Result, state gateway.EndpointState) gateway.Endpoint {
	e := gateway.Endpoint{
		State:     state,
		Zone:      max(slices.Index(l.zones, text.Get("zone").Str), 0),
		Machine:   max(slices.Index(l.machines, text.Get("kind").Str), 0),
		Cell:      int(text.Get("cell").Int()),
		Weight:    text.Get("weight").Num,
		StartedAt: gateway.Time(text.Get("started_ms").Int() * int64(time.Millisecond)),
	}
	if l.EqualWeights {
		e.Weight = 1
	}
	return e
}

// goneSince reports whether an endpoint with an id is gone that started at an instant or later.
func (l *EndpointList) goneSince(id string, startedAt gateway.Time) bool {
	return slices.ContainsFunc(l.gone, func(e entry) bool { return e.id == id && startedAt <= e.startedAt })
}

// markMissing adds the known endpoints that a complete list lacks.
func (d *decoding) markMissing(gone map[uint32]bool) {
	for id, e := range d.list.entries {
		if _, named := d.indices[id]; !named {
			gone[e.number] = true
		}
	}
}

// apply updates the known endpoints. It returns the endpoints of the list with their numbers, and the entries whose
// address has changed. All old addresses are released before resolveConflicts assigns the new ones.
func (d *decoding) apply(setAddress func(host uint32, address netip.AddrPort)) (
	endpoints []gateway.Endpoint, moved []*entry) {
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

// resolveConflicts assigns each address that two endpoints have to the one that started later, and adds the other to
// those that are gone. It reports whether there was such an address.
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

// releaseAddress removes the address of an endpoint.
func (l *EndpointList) releaseAddress(e *entry) {
	if l.byAddress[e.address] == e {
		delete(l.byAddress, e.address)
	}
	e.address = netip.AddrPort{}
}

// Forget removes an endpoint that is gone. An endpoint with the same id has the same number later.
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

// ID returns the id of an endpoint, empty for one that is not known.
func (l *EndpointList) ID(host uint32) string {
	if e := l.byNumber[host]; e != nil {
		return e.id
	}
	return ""
}

// Count returns the number of known endpoints.
func (l *EndpointList) Count() int { return len(l.entries) }

// Parameters of FNV-1a (Fowler, Noll and Vo).
const (
	fnvOffset = 2166136261
	fnvPrime  = 16777619
)

// entryFor returns the entry of an id, a new one if there is none. The number is a hash of the id, so that all gateways
// and all their incarnations rank endpoints alike; of two ids with the same hash one has the next number.
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
	e := &entry{id: strings.Clone(id), number: number} // a substring would keep the list's text in memory
	l.entries[e.id] = e
	l.byNumber[number] = e
	return e
}

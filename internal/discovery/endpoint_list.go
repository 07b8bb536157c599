// Package discovery watches the endpoint list of a discovery agent. The agent answers an HTTP request with a body that
// is a sequence of JSON values, each a complete endpoint list or the changes since the previous one. The package
// decodes the lists into gateway.Endpoint values; which endpoints get requests is decided elsewhere.
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

// EndpointList merges all lists decoded so far into the set of known endpoints, and gives each endpoint a number that
// it keeps until Forget. It must be used by one goroutine at a time.
type EndpointList struct {
	Version      int64 // version of the latest list that was decoded; 0 before the first
	EqualWeights bool  // the weights in the lists do not reflect host sizes: each endpoint's weight is set to 1

	zones        []string
	machineTypes []string
	byID         map[string]*knownEndpoint
	byNumber     map[uint32]*knownEndpoint
	byAddress    map[netip.AddrPort]*knownEndpoint
	forgotten    []knownEndpoint // the latest, oldest first, at most maxForgotten
}

// maxForgotten bounds the memory used for forgotten endpoints. They are remembered so that an older list does not bring
// them back.
const maxForgotten = 256

// knownEndpoint is the latest state of one endpoint.
type knownEndpoint struct {
	id        string
	number    uint32
	address   netip.AddrPort // invalid if unknown, or if it was released
	startedAt gateway.Time
	draining  bool
}

// NewEndpointList returns an empty list. zones and machineTypes are the names in the settings; an endpoint has the
// index of its zone and machine type in them, or 0 if its name is not among them.
func NewEndpointList(zones, machineTypes []string) *EndpointList {
	return &EndpointList{
		zones:        zones,
		machineTypes: machineTypes,
		byID:         map[string]*knownEndpoint{},
		byNumber:     map[uint32]*knownEndpoint{},
		byAddress:    map[netip.AddrPort]*knownEndpoint{},
	}
}

var (
	errNotJSON     = errors.New("not JSON")
	errInvalidList = errors.New("version, full or servers: missing, or not of its kind")
)

// Decode decodes one list, a complete one or one of changes, and returns the endpoints that it lists or removes. It
// calls setAddress for each endpoint with an address.
//
// If err is not nil, the list as a whole is invalid and nothing has changed. An invalid entry does not invalidate the
// others, because an endpoint that another entry drains must stop getting requests; entryErr is the error of the last
// invalid entry. An endpoint in an unknown state is taken to be draining. If an id is listed twice, the last entry
// that can be used counts.
//
// An endpoint is gone if a complete list lacks it, or if an endpoint that started later has its address: requests for
// the old endpoint would reach the new one, which is still warming up.
//
// A list with an older version than the latest comes from an agent that lags behind or has restarted its version
// numbers. It is applied, but an endpoint already known to be draining or gone stays so unless it has started again
// since. The cost is proportional to the length of the text; a list of changes costs the same however many endpoints
// are known.
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
		return kind, nil, nil, errInvalidList
	}
	decoder := l.decodeEntries(version.Int(), servers)
	gone := map[uint32]bool{}
	kind = gateway.ListChanges
	if full.Bool() {
		kind = gateway.ListComplete
		decoder.addMissing(gone)
	}
	endpoints, moved := decoder.applyEntries(setAddress)
	if len(l.byAddress) == 0 {
		l.byAddress = make(map[netip.AddrPort]*knownEndpoint, len(moved))
	}
	if l.resolveAddressConflicts(moved, gone) {
		endpoints = slices.DeleteFunc(endpoints, func(e gateway.Endpoint) bool { return gone[e.Host] })
	}
	for _, number := range slices.Sorted(maps.Keys(gone)) {
		endpoints = append(endpoints, gateway.Endpoint{Host: number, State: gateway.Gone})
	}
	l.Version = decoder.version
	return kind, endpoints, decoder.entryErr, nil
}

// listDecoder decodes one list.
type listDecoder struct {
	list     *EndpointList
	version  int64
	entries  []listEntry
	indices  map[string]int // index in entries by id; noEntry if the list names the id without an entry that counts
	entryErr error          // error of the last invalid entry
}

const noEntry = -1

// listEntry is one entry of a list, decoded, whose endpoint is known well enough to be used.
type listEntry struct {
	gateway.Endpoint
	id         string
	address    netip.AddrPort // invalid if the entry has none
	superseded bool           // whether a later entry has the same id
}

// stateNames are the words for an entry's state, indexed by gateway.EndpointState.
var stateNames = []string{"active", "leaving", "left"}

// decodeEntries decodes all entries. It allocates the slice for them once: growing it step by step would leave garbage
// several times the size of a complete list.
func (l *EndpointList) decodeEntries(version int64, servers gjson.Result) *listDecoder {
	count := int(servers.Get("#").Int())
	decoder := &listDecoder{
		list:    l,
		version: version,
		entries: make([]listEntry, 0, count),
		indices: make(map[string]int, count),
	}
	servers.ForEach(func(_, server gjson.Result) bool {
		decoder.decodeEntry(server)
		return true
	})
	return decoder
}

// decodeEntry decodes one entry. Even if the entry is invalid, its id counts as named by the list, so that a complete
// list does not remove the endpoint.
func (d *listDecoder) decodeEntry(text gjson.Result) {
	id := text.Get("id").Str
	previous, named := d.indices[id]
	if !named {
		previous = noEntry
		d.indices[id] = noEntry
	}
	entry, usable := d.parseEntry(id, text)
	if !usable {
		return
	}
	if previous != noEntry {
		d.entries[previous].superseded = true
		d.indices[id] = noEntry
	}
	if d.version < d.list.Version && entry.State != gateway.Gone && !d.mergeKnown(&entry) {
		return
	}
	d.indices[id] = len(d.entries)
	d.entries = append(d.entries, entry)
}

// parseEntry parses one entry. An invalid entry is still usable if it has an id and the address of its endpoint is
// known from it or from an earlier list.
func (d *listDecoder) parseEntry(id string, text gjson.Result) (entry listEntry, usable bool) {
	address, addressErr := netip.ParseAddrPort(text.Get("addr").Str)
	hasAddress := addressErr == nil
	state := slices.Index(stateNames, text.Get("state").Str)
	valid := id != "" && state >= 0 && (hasAddress || state == int(gateway.Gone))
	if !valid {
		d.entryErr = fmt.Errorf("servers: id, addr or state of %.80s", text.Raw)
		known := d.list.byID[id]
		hasKnownAddress := known != nil && known.address.IsValid()
		if id == "" || !hasAddress && !hasKnownAddress {
			return entry, false
		}
		if state < 0 {
			state = int(gateway.Draining)
		}
	}
	endpoint := d.list.parseEndpoint(text, gateway.EndpointState(state))
	return listEntry{Endpoint: endpoint, id: id, address: address}, true
}

// mergeKnown corrects an entry of an older list by what is already known of its endpoint: a start that is later than
// the entry's, and draining unless the entry shows a later start. It reports whether the entry counts; one of an
// endpoint that was forgotten and has not started since does not.
func (d *listDecoder) mergeKnown(entry *listEntry) bool {
	known := d.list.byID[entry.id]
	if known == nil {
		return !d.list.forgottenSince(entry.id, entry.StartedAt)
	}
	if known.draining && entry.StartedAt <= known.startedAt {
		entry.State = gateway.Draining
	}
	entry.StartedAt = max(entry.StartedAt, known.startedAt)
	return true
}

// parseEndpoint returns the endpoint that an entry describes, without its number.
func (l *EndpointList) parseEndpoint(text gjson.Result, state gateway.EndpointState) gateway.Endpoint {
	e := gateway.Endpoint{
		State:     state,
		Zone:      max(slices.Index(l.zones, text.Get("zone").Str), 0),
		Machine:   max(slices.Index(l.machineTypes, text.Get("kind").Str), 0),
		Cell:      int(text.Get("cell").Int()),
		Weight:    text.Get("weight").Num,
		StartedAt: gateway.Time(text.Get("started_ms").Int() * int64(time.Millisecond)),
	}
	if l.EqualWeights {
		e.Weight = 1
	}
	return e
}

// forgottenSince reports whether an endpoint with the id was forgotten whose last start was at startedAt or later.
func (l *EndpointList) forgottenSince(id string, startedAt gateway.Time) bool {
	return slices.ContainsFunc(l.forgotten, func(e knownEndpoint) bool { return e.id == id && startedAt <= e.startedAt })
}

// addMissing adds the numbers of the known endpoints that a complete list lacks to gone.
func (d *listDecoder) addMissing(gone map[uint32]bool) {
	for id, e := range d.list.byID {
		if _, named := d.indices[id]; !named {
			gone[e.number] = true
		}
	}
}

// applyEntries updates the known endpoints. It returns the listed endpoints with their numbers, and as moved the known
// endpoints whose address has changed. It releases all old addresses first, so that resolveAddressConflicts sees no
// conflict between two endpoints that swap their addresses.
func (d *listDecoder) applyEntries(setAddress func(host uint32, address netip.AddrPort)) (
	endpoints []gateway.Endpoint, moved []*knownEndpoint) {
	endpoints = make([]gateway.Endpoint, 0, len(d.entries))
	for i := range d.entries {
		entry := &d.entries[i]
		if entry.superseded {
			continue
		}
		known := d.list.endpointFor(entry.id)
		entry.Host = known.number
		endpoints = append(endpoints, entry.Endpoint)
		isGone := entry.State == gateway.Gone
		if !isGone {
			known.startedAt = entry.StartedAt
			known.draining = entry.State == gateway.Draining
		}
		if !entry.address.IsValid() {
			continue
		}
		hasMoved := known.address != entry.address
		if hasMoved || isGone {
			d.list.releaseAddress(known)
		}
		if hasMoved && !isGone {
			known.address = entry.address
			moved = append(moved, known)
		}
		setAddress(known.number, entry.address)
	}
	return endpoints, moved
}

// resolveAddressConflicts enters the addresses of the moved endpoints in byAddress. If two endpoints have the same
// address, it goes to the one that started later, and the other is added to gone. It reports whether any conflict was
// found.
func (l *EndpointList) resolveAddressConflicts(moved []*knownEndpoint, gone map[uint32]bool) (found bool) {
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

// releaseAddress clears the address of an endpoint, so that another endpoint can have it without a conflict.
func (l *EndpointList) releaseAddress(e *knownEndpoint) {
	if l.byAddress[e.address] == e {
		delete(l.byAddress, e.address)
	}
	e.address = netip.AddrPort{}
}

// Forget removes an endpoint that is gone, by its number; an unknown number is ignored. If its id is listed again, the
// endpoint gets the same number, unless another id with the same hash has taken it.
func (l *EndpointList) Forget(host uint32) {
	e := l.byNumber[host]
	if e == nil {
		return
	}
	l.releaseAddress(e)
	l.forgotten = append(l.forgotten, *e)
	if len(l.forgotten) > maxForgotten {
		l.forgotten = slices.Delete(l.forgotten, 0, 1)
	}
	delete(l.byID, e.id)
	delete(l.byNumber, host)
}

// ID returns the id of the endpoint with a number, or an empty string if it is not known.
func (l *EndpointList) ID(host uint32) string {
	if e := l.byNumber[host]; e != nil {
		return e.id
	}
	return ""
}

// Count returns how many endpoints are known, including draining ones and gone ones not yet forgotten.
func (l *EndpointList) Count() int { return len(l.byID) }

// Parameters of the 32-bit FNV-1a hash (Fowler, Noll and Vo).
const (
	fnvOffset = 2166136261
	fnvPrime  = 16777619
)

// endpointFor returns the known endpoint with an id, and adds it if there is none. Its number is the FNV-1a hash of the
// id, so that all gateways rank endpoints alike, also after a restart. If another id has that number already, the next
// free number is taken.
func (l *EndpointList) endpointFor(id string) *knownEndpoint {
	if e := l.byID[id]; e != nil {
		return e
	}
	number := uint32(fnvOffset)
	for i := range len(id) {
		number = (number ^ uint32(id[i])) * fnvPrime
	}
	for l.byNumber[number] != nil {
		number++
	}
	e := &knownEndpoint{id: strings.Clone(id), number: number} // a substring would keep the list's text in memory
	l.byID[e.id] = e
	l.byNumber[number] = e
	return e
}

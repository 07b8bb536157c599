package discovery

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"unsafe"

	"ravensill/gateway"
	"ravensill/internal/golden"
)

// server returns an entry of a list.
func server(id, address, state string) string {
	return fmt.Sprintf(`{"id":%q,"addr":%q,"zone":"b","kind":"m2","cell":3,"state":%q,"weight":1.5,`+
		`"started_ms":1700000000123,"new":[]}`, id, address, state)
}

// startedAt returns an entry with another start.
func startedAt(entry string, milliseconds int) string {
	return strings.Replace(entry, "1700000000123", fmt.Sprint(milliseconds), 1)
}

// startedLater returns an entry with a later start than that of server.
func startedLater(entry string) string { return startedAt(entry, 1700000009999) }

func listText(version int, full bool, servers ...string) string {
	return fmt.Sprintf(`{"version":%d,"full":%t,"servers":[%s]}`, version, full, strings.Join(servers, ","))
}

func ignoreAddress(uint32, netip.AddrPort) {}

// An invalid list changes nothing. An invalid entry invalidates no other, and its endpoint is not gone where a complete
// list names it; of an id that is listed twice the last entry counts.
func TestEndpointListDecode(t *testing.T) {
	list := NewEndpointList([]string{"a", "b"}, []string{"m1", "m2"})
	var trace strings.Builder
	setAddress := func(host uint32, address netip.AddrPort) {
		fmt.Fprintf(&trace, "%d at %s\n", host, address)
	}
	for _, text := range []string{
		listText(41, true,
			server("s-5be2a07c", "10.1.0.18:6379", "active"),
			server("s-2", "10.1.0.19:6379", "leaving")),
		listText(42, false, server("s-2", "", "left")),
		listText(43, false,
			server("s-3", "10.1.0.20:6379", "active"),
			server("s-2", "10.1.0.19", "active")),
		listText(43, false, server("", "10.1.0.20:6379", "active")),
		listText(43, false, server("s-4", "10.1.0.20:6379", "resting")),
		listText(44, false,
			server("s-9", "nowhere", "active"),
			server("s-5be2a07c", "10.1.0.18:6379", "leaving")),
		listText(45, true,
			server("s-3", "10.1.0.20:6379", "active"),
			server("s-5be2a07c", "nowhere", "resting"),
			server("s-4", "10.1.0.21:6379", "resting")),
		listText(46, false,
			server("s-3", "10.1.0.20:6379", "left"),
			server("s-4", "10.1.0.21:6379", "active"),
			server("s-3", "10.1.0.22:6379", "active"),
			server("s-4", "", "left")),
		`{"version":43,"full":"no","servers":[]}`,
		`{"full":true}`,
		`{"version":`,
		`[]`,
	} {
		kind, endpoints, entryErr, err := list.Decode(text, setAddress)
		fmt.Fprintf(&trace, "list %d of version %d: %+v %v %v\n", kind, list.Version, endpoints, entryErr, err)
	}
	golden.Check(t, trace.String())
}

func TestEndpointListWithEqualWeightsIgnoresWeight(t *testing.T) {
	list := NewEndpointList(nil, nil)
	list.EqualWeights = true
	text := listText(41, true, server("s-2", "10.1.0.18:6379", "active"))
	_, endpoints, _, err := list.Decode(text, ignoreAddress)
	if err != nil || len(endpoints) != 1 || endpoints[0].Weight != 1 {
		t.Errorf("%+v %v", endpoints, err)
	}
}

// forgetting decodes lists and forgets the endpoints that are gone.
type forgetting struct {
	*EndpointList
	trace strings.Builder
}

func (f *forgetting) decode(t *testing.T, version int, full bool, servers ...string) {
	t.Helper()
	_, endpoints, _, err := f.Decode(listText(version, full, servers...), ignoreAddress)
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(&f.trace, "list %d\n", version)
	for _, endpoint := range endpoints {
		fmt.Fprintf(&f.trace, "%s %s\n", f.ID(endpoint.Host), endpoint.State)
		if endpoint.State == gateway.Gone {
			f.Forget(endpoint.Host)
		}
	}
	fmt.Fprintf(&f.trace, "known %d %d %d\n", len(f.entries), len(f.byNumber), len(f.byAddress))
}

// An endpoint with a new id takes the address of one that is gone, whether that was listed as gone or not.
func TestEndpointListReplacesEndpointAtItsAddress(t *testing.T) {
	list := &forgetting{EndpointList: NewEndpointList([]string{"b"}, []string{"m2"})}
	list.decode(t, 1, true,
		server("a", "10.0.0.1:1", "active"),
		server("b", "10.0.0.2:1", "active"),
		server("c", "10.0.0.3:1", "active"))
	// In the same list as the end of its predecessor.
	list.decode(t, 2, false,
		server("a", "10.0.0.1:1", "left"),
		startedLater(server("d", "10.0.0.1:1", "active")))
	// Without the end of its predecessor b, and what comes of b later changes nothing.
	list.decode(t, 3, false, startedLater(server("e", "10.0.0.2:1", "active")))
	list.decode(t, 4, false, server("b", "10.0.0.2:1", "leaving"))
	// With another address of its predecessor c.
	list.decode(t, 5, false,
		server("c", "10.0.0.4:1", "active"),
		startedLater(server("f", "10.0.0.3:1", "active")))
	list.decode(t, 6, true, server("d", "10.0.0.1:1", "active"), server("c", "10.0.0.4:1", "active"))
	list.decode(t, 7, false, server("c", "10.0.0.4:1", "leaving"))
	// An older list puts back neither a, which is gone, nor c, which is draining.
	list.decode(t, 5, true,
		server("a", "10.0.0.1:1", "active"),
		server("c", "10.0.0.4:1", "active"),
		server("g", "10.0.0.5:1", "active"))
	// Versions count from the older list on.
	list.decode(t, 6, false, server("c", "10.0.0.4:1", "active"))
	list.decode(t, 7, false, server("c", "10.0.0.4:1", "left"))
	list.decode(t, 4, false,
		server("c", "10.0.0.4:1", "active"),
		startedLater(server("d", "10.0.0.1:1", "active")))
	// After another start c is back, even by an older list.
	list.decode(t, 3, false, startedLater(server("c", "10.0.0.4:1", "active")))
	golden.Check(t, list.trace.String())
}

func TestEndpointListBoundsForgottenEndpoints(t *testing.T) {
	list := &forgetting{EndpointList: NewEndpointList([]string{"b"}, []string{"m2"})}
	for i := range 2 * maxGone {
		id := fmt.Sprint("n", i)
		list.decode(t, 1+i, false, server(id, "10.0.1.1:1", "active"))
		list.decode(t, 1+i, false, server(id, "10.0.1.1:1", "left"))
	}
	if len(list.gone) > maxGone {
		t.Errorf("%d endpoints that are gone are known", len(list.gone))
	}
}

// Endpoints are ranked by number: it is the same in whatever order they are listed, and no two have the same.
func TestEndpointNumberFollowsFromID(t *testing.T) {
	forward := NewEndpointList(nil, nil)
	backward := NewEndpointList(nil, nil)
	for i := range 100 {
		forward.entryFor(fmt.Sprint("s-", i))
		backward.entryFor(fmt.Sprint("s-", 99-i))
	}
	for i := range 100 {
		id := fmt.Sprint("s-", i)
		number := forward.entryFor(id).number
		if other := backward.entryFor(id).number; other != number {
			t.Errorf("%s has numbers %d and %d", id, number, other)
		}
		if got := forward.ID(number); got != id {
			t.Errorf("number of %s is that of %s", id, got)
		}
	}
	// These ids have the same hash.
	first := forward.entryFor("costarring").number
	second := forward.entryFor("liquid").number
	if second != first+1 || forward.ID(first) != "costarring" || forward.ID(second) != "liquid" {
		t.Errorf("numbers %d and %d", first, second)
	}
}

// A change of one endpoint reads no entry of the others. Each of them here, a nil pointer, would fail the test.
func TestEndpointListDecodeOfChangeReadsNoOtherEntry(t *testing.T) {
	list := NewEndpointList(nil, nil)
	for i := range 87_000 {
		list.entries[fmt.Sprint("other-", i)] = nil
	}
	for i, change := range []string{
		server("a", "10.0.0.1:1", "active"),
		server("b", "10.0.0.1:1", "active"),
		server("b", "10.0.0.1:1", "leaving"),
		server("b", "10.0.0.1:1", "left"),
	} {
		_, endpoints, entryErr, err := list.Decode(listText(i+1, false, change), ignoreAddress)
		if err != nil || entryErr != nil || len(endpoints) == 0 {
			t.Errorf("%s: %v, %v, %v", change, endpoints, entryErr, err)
		}
	}
}

// What is known of a list keeps none of its text in memory.
func TestEndpointListReleasesText(t *testing.T) {
	list := NewEndpointList(nil, nil)
	text := listText(1, true, server("a", "10.0.0.1:1", "active"))
	list.Decode(text, ignoreAddress)
	idInText := unsafe.StringData(text[strings.Index(text, `"a"`)+1:])
	for id, entry := range list.entries {
		if unsafe.StringData(id) == idInText {
			t.Error("the key of an entry is a substring of the text")
		}
		if unsafe.StringData(entry.id) == idInText {
			t.Error("the id of an entry is a substring of the text")
		}
	}
}

// Of thousands of endpoints with one address the one that started last is left.
func TestEndpointListResolvesConflictsOfOneAddress(t *testing.T) {
	const hosts = 2000
	var servers []string
	for i := range hosts {
		entry := server(fmt.Sprint("s-", i), "10.0.0.1:1", "active")
		servers = append(servers, startedAt(entry, 1700000000123+i*7919%hosts))
	}
	list := NewEndpointList(nil, nil)
	_, endpoints, _, err := list.Decode(listText(1, true, servers...), ignoreAddress)
	running := 0
	gone := 0
	for _, endpoint := range endpoints {
		switch endpoint.State {
		case gateway.Running:
			running++
		case gateway.Gone:
			gone++
		}
	}
	if err != nil || running != 1 || gone != hosts-1 {
		t.Errorf("%d run and %d are gone, %v", running, gone, err)
	}
}

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

// entryText returns the JSON of a list entry.
func entryText(id, address, state string) string {
	return fmt.Sprintf(`{"id":%q,"addr":%q,"zone":"b","kind":"m2","cell":3,"state":%q,"weight":1.5,`+
		`"started_ms":1700000000123,"new":[]}`, id, address, state)
}

// withStart returns the entry with another start time, in milliseconds since the Unix epoch.
func withStart(entry string, milliseconds int) string {
	return strings.Replace(entry, "1700000000123", fmt.Sprint(milliseconds), 1)
}

// withLaterStart returns the entry with a later start time than that of entryText.
func withLaterStart(entry string) string { return withStart(entry, 1700000009999) }

func listText(version int, full bool, servers ...string) string {
	return fmt.Sprintf(`{"version":%d,"full":%t,"servers":[%s]}`, version, full, strings.Join(servers, ","))
}

func ignoreAddress(uint32, netip.AddrPort) {}

// An invalid list changes nothing. An invalid entry does not invalidate the others, and a complete list that names its
// endpoint does not remove it. If an id is listed twice, the last entry counts.
func TestEndpointListDecode(t *testing.T) {
	list := NewEndpointList([]string{"a", "b"}, []string{"m1", "m2"})
	var trace strings.Builder
	setAddress := func(host uint32, address netip.AddrPort) {
		fmt.Fprintf(&trace, "%d at %s\n", host, address)
	}
	for _, text := range []string{
		listText(41, true,
			entryText("s-5be2a07c", "10.1.0.18:6379", "active"),
			entryText("s-2", "10.1.0.19:6379", "leaving")),
		listText(42, false, entryText("s-2", "", "left")),
		listText(43, false,
			entryText("s-3", "10.1.0.20:6379", "active"),
			entryText("s-2", "10.1.0.19", "active")),
		listText(43, false, entryText("", "10.1.0.20:6379", "active")),
		listText(43, false, entryText("s-4", "10.1.0.20:6379", "resting")),
		listText(44, false,
			entryText("s-9", "nowhere", "active"),
			entryText("s-5be2a07c", "10.1.0.18:6379", "leaving")),
		listText(45, true,
			entryText("s-3", "10.1.0.20:6379", "active"),
			entryText("s-5be2a07c", "nowhere", "resting"),
			entryText("s-4", "10.1.0.21:6379", "resting")),
		listText(46, false,
			entryText("s-3", "10.1.0.20:6379", "left"),
			entryText("s-4", "10.1.0.21:6379", "active"),
			entryText("s-3", "10.1.0.22:6379", "active"),
			entryText("s-4", "", "left")),
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
	text := listText(41, true, entryText("s-2", "10.1.0.18:6379", "active"))
	_, endpoints, _, err := list.Decode(text, ignoreAddress)
	if err != nil || len(endpoints) != 1 || endpoints[0].Weight != 1 {
		t.Errorf("endpoints %+v, error %v; want one with weight 1", endpoints, err)
	}
}

// forgettingList is a list that forgets endpoints as soon as they are gone. It writes what it decodes to trace.
type forgettingList struct {
	*EndpointList
	trace strings.Builder
}

func (f *forgettingList) decode(t *testing.T, version int, full bool, servers ...string) {
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
	fmt.Fprintf(&f.trace, "known %d %d %d\n", len(f.byID), len(f.byNumber), len(f.byAddress))
}

// An endpoint with a new id takes over the address of an endpoint that is gone, whether or not a list said that it was
// gone. Later lists, also older ones that arrive late, don't bring the old endpoint back.
func TestEndpointListReplacesEndpointAtItsAddress(t *testing.T) {
	list := &forgettingList{EndpointList: NewEndpointList([]string{"b"}, []string{"m2"})}
	list.decode(t, 1, true,
		entryText("a", "10.0.0.1:1", "active"),
		entryText("b", "10.0.0.2:1", "active"),
		entryText("c", "10.0.0.3:1", "active"))
	// d takes the address of a in the same list that says that a is gone.
	list.decode(t, 2, false,
		entryText("a", "10.0.0.1:1", "left"),
		withLaterStart(entryText("d", "10.0.0.1:1", "active")))
	// e takes the address of b, which no list says is gone. A later entry of b does not take the address back.
	list.decode(t, 3, false, withLaterStart(entryText("e", "10.0.0.2:1", "active")))
	list.decode(t, 4, false, entryText("b", "10.0.0.2:1", "leaving"))
	// f takes the old address of c, which moves to another address in the same list.
	list.decode(t, 5, false,
		entryText("c", "10.0.0.4:1", "active"),
		withLaterStart(entryText("f", "10.0.0.3:1", "active")))
	list.decode(t, 6, true, entryText("d", "10.0.0.1:1", "active"), entryText("c", "10.0.0.4:1", "active"))
	list.decode(t, 7, false, entryText("c", "10.0.0.4:1", "leaving"))
	// An older list neither brings back a, which is gone, nor sets c running again, which is draining.
	list.decode(t, 5, true,
		entryText("a", "10.0.0.1:1", "active"),
		entryText("c", "10.0.0.4:1", "active"),
		entryText("g", "10.0.0.5:1", "active"))
	// From then on, versions are compared with that of the older list.
	list.decode(t, 6, false, entryText("c", "10.0.0.4:1", "active"))
	list.decode(t, 7, false, entryText("c", "10.0.0.4:1", "left"))
	list.decode(t, 4, false,
		entryText("c", "10.0.0.4:1", "active"),
		withLaterStart(entryText("d", "10.0.0.1:1", "active")))
	// After another start c is running again, even if an older list says so.
	list.decode(t, 3, false, withLaterStart(entryText("c", "10.0.0.4:1", "active")))
	golden.Check(t, list.trace.String())
}

func TestEndpointListBoundsForgottenEndpoints(t *testing.T) {
	list := &forgettingList{EndpointList: NewEndpointList([]string{"b"}, []string{"m2"})}
	for i := range 2 * maxForgotten {
		id := fmt.Sprint("n", i)
		list.decode(t, 1+i, false, entryText(id, "10.0.1.1:1", "active"))
		list.decode(t, 1+i, false, entryText(id, "10.0.1.1:1", "left"))
	}
	if len(list.forgotten) > maxForgotten {
		t.Errorf("%d forgotten endpoints are kept, want at most maxForgotten", len(list.forgotten))
	}
}

// Gateways rank endpoints by number, so the number must not depend on the order in which endpoints are listed, and no
// two endpoints may have the same.
func TestEndpointNumberFollowsFromID(t *testing.T) {
	forward := NewEndpointList(nil, nil)
	backward := NewEndpointList(nil, nil)
	for i := range 100 {
		forward.endpointFor(fmt.Sprint("s-", i))
		backward.endpointFor(fmt.Sprint("s-", 99-i))
	}
	for i := range 100 {
		id := fmt.Sprint("s-", i)
		number := forward.endpointFor(id).number
		if other := backward.endpointFor(id).number; other != number {
			t.Errorf("%s has numbers %d and %d", id, number, other)
		}
		if got := forward.ID(number); got != id {
			t.Errorf("ID of the number of %s is %s", id, got)
		}
	}
	// These two ids have the same FNV-1a hash.
	first := forward.endpointFor("costarring").number
	second := forward.endpointFor("liquid").number
	if second != first+1 || forward.ID(first) != "costarring" || forward.ID(second) != "liquid" {
		t.Errorf("ids with the same hash have numbers %d and %d, want consecutive ones", first, second)
	}
}

// The cost of decoding a list of changes must not grow with the number of known endpoints. The other endpoints here are
// nil pointers, so that the test panics if one is read.
func TestEndpointListDecodeOfChangeReadsNoOtherEntry(t *testing.T) {
	list := NewEndpointList(nil, nil)
	for i := range 87_000 {
		list.byID[fmt.Sprint("other-", i)] = nil
	}
	for i, change := range []string{
		entryText("a", "10.0.0.1:1", "active"),
		entryText("b", "10.0.0.1:1", "active"),
		entryText("b", "10.0.0.1:1", "leaving"),
		entryText("b", "10.0.0.1:1", "left"),
	} {
		_, endpoints, entryErr, err := list.Decode(listText(i+1, false, change), ignoreAddress)
		if err != nil || entryErr != nil || len(endpoints) == 0 {
			t.Errorf("%s: endpoints %v, entry error %v, error %v", change, endpoints, entryErr, err)
		}
	}
}

// The known endpoints must not refer to the text of a list: one substring would keep the whole text in memory.
func TestEndpointListReleasesText(t *testing.T) {
	list := NewEndpointList(nil, nil)
	text := listText(1, true, entryText("a", "10.0.0.1:1", "active"))
	list.Decode(text, ignoreAddress)
	idInText := unsafe.StringData(text[strings.Index(text, `"a"`)+1:])
	for id, entry := range list.byID {
		if unsafe.StringData(id) == idInText {
			t.Error("the key of an entry is a substring of the text")
		}
		if unsafe.StringData(entry.id) == idInText {
			t.Error("the id of an entry is a substring of the text")
		}
	}
}

// Of thousands of endpoints with the same address, only the one that started last stays.
func TestEndpointListResolvesConflictsOfOneAddress(t *testing.T) {
	const hosts = 2000
	var servers []string
	for i := range hosts {
		entry := entryText(fmt.Sprint("s-", i), "10.0.0.1:1", "active")
		servers = append(servers, withStart(entry, 1700000000123+i*7919%hosts))
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
		t.Errorf("%d endpoints are running and %d gone, want one running and no other left; error %v", running, gone, err)
	}
}

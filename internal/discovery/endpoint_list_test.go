package discovery

import (
	"fmt"
	"io"
	"net/netip"
	"strings"
	"testing"

	"ravensill/gateway"
	"ravensill/internal/golden"
)

// cut reads a text in two pieces.
func cut(text string, at int) string {
	var said strings.Builder
	r := io.MultiReader(strings.NewReader(text[:at]), strings.NewReader(text[at:]))
	err := splitValues(r, func() {}, func(list string) { fmt.Fprintf(&said, "%q\n", list) }, func(bool) {})
	return said.String() + err.Error() + "\n"
}

// A body of lists, a line each, indented, or one right behind the other, cut at every byte.
func TestSplitValues(t *testing.T) {
	var all strings.Builder
	for _, text := range []string{"{\"a\":1}\n\n{\"b\":\n[2,\r\n\t3]}\n\n \n{}{}[]\n7\n", "\n\n{\"no\":\n\n{}", "{\"a b\":\"  \"}\nx", "{} {"} {
		whole := cut(text, len(text))
		fmt.Fprintf(&all, "%q\n%s", text, whole)
		for i := range text {
			if got := cut(text, i); got != whole {
				t.Errorf("%q cut at %d: %s", text, i, got)
			}
		}
	}
	long := "[" + strings.Repeat("\n", maxListBytes)
	fmt.Fprint(&all, cut(strings.Repeat("\n", 2*maxListBytes)+"{}"+long, 9))
	golden.Check(t, all.String())
}

func FuzzSplit(f *testing.F) {
	f.Add("\n{\"a\":\n[]} {}\n", 9)
	f.Fuzz(func(t *testing.T, s string, at int) {
		if at < 0 || at > len(s) {
			return
		}
		if whole, cut := cut(s, len(s)), cut(s, at); whole != cut {
			t.Errorf("whole %q, cut at %d %q", whole, at, cut)
		}
	})
}

func server(id, addr, state string) string {
	return fmt.Sprintf(`{"id":%q,"addr":%q,"zone":"b","kind":"m2","cell":3,"state":%q,"weight":1.5,"started_ms":1700000000123,"new":[]}`, id, addr, state)
}

// Lists in house words; nothing of a broken one. One entry that can't be made out keeps no other from counting, nor is its
// host gone, though a whole list names it; an id told twice counts as told last.
func TestEndpointListDecode(t *testing.T) {
	b := NewEndpointList([]string{"a", "b"}, []string{"m1", "m2"})
	var all strings.Builder
	for _, s := range []string{
		`{"version":41,"full":true,"servers":[` + server("s-5be2a07c", "10.1.0.18:6379", "active") + "," + server("s-2", "10.1.0.19:6379", "leaving") + `]}`,
		`{"version":42,"full":false,"servers":[` + server("s-2", "", "left") + `]}`,
		`{"version":43,"full":false,"servers":[` + server("s-3", "10.1.0.20:6379", "active") + "," + server("s-2", "10.1.0.19", "active") + `]}`,
		`{"version":43,"full":false,"servers":[` + server("", "10.1.0.20:6379", "active") + `]}`,
		`{"version":43,"full":false,"servers":[` + server("s-4", "10.1.0.20:6379", "resting") + `]}`,
		`{"version":44,"full":false,"servers":[` + server("s-9", "nowhere", "active") + "," + server("s-5be2a07c", "10.1.0.18:6379", "leaving") + `]}`,
		`{"version":45,"full":true,"servers":[` + server("s-3", "10.1.0.20:6379", "active") + "," + server("s-5be2a07c", "nowhere", "resting") + "," + server("s-4", "10.1.0.21:6379", "resting") + `]}`,
		`{"version":46,"full":false,"servers":[` + server("s-3", "10.1.0.20:6379", "left") + "," + server("s-4", "10.1.0.21:6379", "active") + "," +
			server("s-3", "10.1.0.22:6379", "active") + "," + server("s-4", "", "left") + `]}`,
		`{"version":43,"full":"no","servers":[]}`, `{"full":true}`, `{"version":`, `[]`,
	} {
		kind, hosts, odd, err := b.Decode(s, func(host uint32, addr netip.AddrPort) { fmt.Fprintf(&all, "%d at %s\n", host, addr) })
		fmt.Fprintf(&all, "list %d of version %d: %+v %v %v\n", kind, b.Version, hosts, odd, err)
	}
	golden.Check(t, all.String())
}

func TestEven(t *testing.T) { // weights that tell no size
	b := NewEndpointList(nil, nil)
	b.Even = true
	_, hosts, _, err := b.Decode(`{"version":41,"full":true,"servers":[`+server("s-2", "10.1.0.18:6379", "active")+`]}`,
		func(uint32, netip.AddrPort) {})
	if err != nil || len(hosts) != 1 || hosts[0].Weight != 1 {
		t.Errorf("%+v %v", hosts, err)
	}
}

// Hosts come under new ids, some at the address of one that has gone, or was not told as gone: what is kept follows.
func TestReplacedEndpointTakesAddress(t *testing.T) {
	b := NewEndpointList([]string{"b"}, []string{"m2"})
	read := func(version int, full bool, servers ...string) (list string) {
		_, hosts, _, err := b.Decode(fmt.Sprintf(`{"version":%d,"full":%t,"servers":[%s]}`, version, full, strings.Join(servers, ",")), func(uint32, netip.AddrPort) {})
		if err != nil {
			t.Fatal(err)
		}
		for _, l := range hosts {
			list += fmt.Sprintf("%s %s\n", b.ID(l.Host), l.State)
			if l.State == gateway.Gone {
				b.Forget(l.Host)
			}
		}
		return fmt.Sprintf("list %d\n%skept %d %d %d\n", version, list, len(b.entries), len(b.byNumber), len(b.byAddress))
	}
	later := func(s string) string { return strings.Replace(s, "1700000000123", "1700000009999", 1) }
	golden.Check(t, read(1, true, server("a", "10.0.0.1:1", "active"), server("b", "10.0.0.2:1", "active"), server("c", "10.0.0.3:1", "active"))+
		read(2, false, server("a", "10.0.0.1:1", "left"), later(server("d", "10.0.0.1:1", "active")))+ // at once
		read(3, false, later(server("e", "10.0.0.2:1", "active")))+ // b was not told as gone
		read(4, false, server("b", "10.0.0.2:1", "leaving"))+ // nor does its news put e out
		read(5, false, server("c", "10.0.0.4:1", "active"), later(server("f", "10.0.0.3:1", "active")))+ // moved
		read(6, true, server("d", "10.0.0.1:1", "active"), server("c", "10.0.0.4:1", "active"))+
		read(7, false, server("c", "10.0.0.4:1", "leaving"))+
		read(5, true, server("a", "10.0.0.1:1", "active"), server("c", "10.0.0.4:1", "active"), server("g", "10.0.0.5:1", "active"))+ // lags
		read(6, false, server("c", "10.0.0.4:1", "active"))+ // the newest of this discovery
		read(7, false, server("c", "10.0.0.4:1", "left"))+
		read(4, false, server("c", "10.0.0.4:1", "active"), later(server("d", "10.0.0.1:1", "active")))+
		read(3, false, later(server("c", "10.0.0.4:1", "active")))) // started again
	for i := range 2 * maxGone {
		read(9+i, false, server(fmt.Sprint("n", i), "10.0.1.1:1", "active"))
		read(9+i, false, server(fmt.Sprint("n", i), "10.0.1.1:1", "left"))
	}
	if len(b.gone) > maxGone {
		t.Errorf("%d hosts that are gone are kept", len(b.gone))
	}
}

// Hosts are ranked by number: it follows from the id, in whatever order hosts are seen; ids that meet on one
// number are kept apart.
func TestNumbers(t *testing.T) {
	x, y := NewEndpointList(nil, nil), NewEndpointList(nil, nil)
	for i := range 100 {
		x.entryFor(fmt.Sprint("s-", i))
		y.entryFor(fmt.Sprint("s-", 99-i))
	}
	for i := range 100 {
		if id := fmt.Sprint("s-", i); x.entryFor(id).number != y.entryFor(id).number || x.ID(x.entryFor(id).number) != id {
			t.Errorf("%s has numbers %d and %d", id, x.entryFor(id).number, y.entryFor(id).number)
		}
	}
	a, b := x.entryFor("costarring").number, x.entryFor("liquid").number // these meet under FNV-1a
	if a == b || x.ID(a) != "costarring" || x.ID(b) != "liquid" || b != a+1 {
		t.Errorf("numbers %d and %d", a, b)
	}
}

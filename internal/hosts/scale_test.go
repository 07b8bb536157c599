package hosts

import (
	"net/netip"
	"slices"
	"testing"

	"ravensill/gateway"
)

// count adds up over all hosts what the fleet keeps counts of.
func (f *Fleet) countAll() (waiting, dialing, free int) {
	for _, h := range f.hosts {
		waiting += len(h.waiting)
		dialing += h.dialing
		free += len(h.free)
	}
	return waiting, dialing, free
}

// TestCounts: the fleet's own counts and order of free connections are those of its hosts, whatever befalls these.
func TestCounts(t *testing.T) {
	f := newFar(t)
	check := func(after string) {
		t.Helper()
		waiting, dialing, free := f.countAll()
		if f.waiting != waiting || f.dialing != dialing || f.free.Len() != free {
			t.Errorf("%s: counted %d waiting, %d dialing, %d free; there are %d, %d, %d", after, f.waiting, f.dialing, f.free.Len(),
				waiting, dialing, free)
		}
	}
	for _, name := range []string{"a", "b", "c"} {
		f.ask(name, 1)
	}
	check("three sends")
	f.ask("d", 1).Stop(ErrCanceled)
	check("one of four given up")
	for f.host(1).dialing > 0 {
		f.pass(1)
	}
	f.Flush()
	check("connections are up")
	for range 4 {
		(<-f.conns).Write([]byte("*1\r\n$1\r\nv\r\n"))
	}
	for len(f.out) < 4 { // one connection carries nothing: its answer ends it
		f.pass(1)
	}
	check("answered")
	if !slices.IsSortedFunc(f.host(1).free, func(a, b *conn) int { return int(a.freed - b.freed) }) {
		t.Error("free connections are out of order")
	}
	f.now.Add(1)
	f.closeOldest(nil)
	check("the oldest is closed")
	f.ask("e", 1)
	f.ask("f", 1)
	check("two more sends")
	f.Drop(1)
	check("the host is gone")
	for f.count > 0 {
		f.pass(1)
	}
	check("all has ended")
}

// TestIdleHosts: what is done with each turn and tick goes through no list of hosts. Each host here would end the test if it
// were looked at.
func TestIdleHosts(t *testing.T) {
	d := newDesk(t, "127.0.0.1:1", 1)
	g := d.Limit(0, 1, func(int64) int { return 0 }, func(int64) {})
	for id := range uint32(87_000) {
		d.Place(id+2, netip.MustParseAddrPort("127.0.0.1:1"))
		d.hosts[id+2] = nil
	}
	d.Tidy()
	g.Use()
	d.Flush()
	d.room()
	d.closeOldest(nil)
	d.Drop(1)
	if n := testing.AllocsPerRun(10, func() { d.Tidy(); g.Use() }); n != 0 {
		t.Errorf("%v allocations for a tick", n)
	}
	d.Place(1, netip.MustParseAddrPort("127.0.0.1:2"))
	d.Probe(1, func(gateway.Event, []byte, int64) {}).Stop(ErrCanceled)
}

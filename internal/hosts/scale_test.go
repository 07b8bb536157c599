package hosts

import (
	"net/netip"
	"slices"
	"testing"

	"ravensill/gateway"
)

// countAll counts over all hosts what the transport keeps counts of.
func (t *Transport) countAll() (waiting, dialing, free int) {
	for _, h := range t.pools {
		waiting += len(h.pending)
		dialing += h.dialing
		free += len(h.idle)
	}
	return waiting, dialing, free
}

// TestPoolCounts: the transport's own counts and order of idle connections are those of its hosts, whatever befalls these.
func TestPoolCounts(t *testing.T) {
	f := newScriptedHost(t)
	check := func(after string) {
		t.Helper()
		waiting, dialing, free := f.countAll()
		if f.pendingCount != waiting || f.dialingCount != dialing || f.idle.Len() != free {
			t.Errorf("%s: counted %d waiting, %d dialing, %d free; there are %d, %d, %d", after, f.pendingCount, f.dialingCount, f.idle.Len(),
				waiting, dialing, free)
		}
	}
	for _, name := range []string{"a", "b", "c"} {
		f.ask(name, 1)
	}
	check("three sends")
	f.ask("d", 1).Cancel(ErrCanceled)
	check("one of four given up")
	for f.pool(1).dialing > 0 {
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
	if !slices.IsSortedFunc(f.pool(1).idle, func(a, b *conn) int { return int(a.idleSince - b.idleSince) }) {
		t.Error("free connections are out of order")
	}
	f.now.Add(1)
	f.closeLongestIdle(nil)
	check("the oldest is closed")
	f.ask("e", 1)
	f.ask("f", 1)
	check("two more sends")
	f.Remove(1)
	check("the host is gone")
	for f.openConns > 0 {
		f.pass(1)
	}
	check("all has ended")
}

// TestIdleHosts: what is done with each turn and tick goes through no list of hosts. Each host here would end the test if it
// were looked at.
func TestIdleHosts(t *testing.T) {
	d := newTestLoop(t, "127.0.0.1:1", 1)
	g := d.LimitConnections(0, 1, func(int64) int { return 0 }, func(int64) {})
	for id := range uint32(87_000) {
		d.SetAddress(id+2, netip.MustParseAddrPort("127.0.0.1:1"))
		d.pools[id+2] = nil
	}
	d.CloseIdle()
	g.Usage()
	d.Flush()
	d.makeRoom()
	d.closeLongestIdle(nil)
	d.Remove(1)
	if n := testing.AllocsPerRun(10, func() { d.CloseIdle(); g.Usage() }); n != 0 {
		t.Errorf("%v allocations for a tick", n)
	}
	d.SetAddress(1, netip.MustParseAddrPort("127.0.0.1:2"))
	d.Probe(1, func(gateway.Event, []byte, int64) {}).Cancel(ErrCanceled)
}

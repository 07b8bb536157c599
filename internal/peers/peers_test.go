package peers

import (
	"net/netip"
	"syscall"
	"testing"

	"ravensill/internal/gossip"
	"ravensill/internal/sockets"
	"ravensill/internal/sockets/socketstest"
)

// TestListenTellsSenders: a message counts as of the peer whose address it came from; one of a stranger, and one that can't be read,
// are dropped.
func TestListenTellsSenders(t *testing.T) {
	anywhere := netip.MustParseAddrPort("127.0.0.1:0")
	open := func(peers ...netip.AddrPort) *Transport {
		transport, err := Open(sockets.Kernel{}, anywhere, peers, gossip.Format{Plans: 1, Members: max(len(peers), 1)})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(transport.Close)
		return transport
	}
	addr := func(t *Transport) netip.AddrPort { return netip.MustParseAddrPort(t.Addr()) }
	receiver := open()
	sender, stranger := open(addr(receiver)), open(addr(receiver))
	receiver.addresses = []netip.AddrPort{addr(receiver), addr(sender), addr(sender)}
	receiver.members = indexByAddress(receiver.addresses)
	members, dropped := make(chan int, 1), make(chan struct{}, 1)
	go receiver.Listen(func(member int, _ []byte) { members <- member }, func() { dropped <- struct{}{} })
	sound := gossip.Format{}.Header(1, 1, nil)
	sender.Send(0, sound)
	if member := <-members; member != 1 {
		t.Errorf("the message is of member %d, want 1", member)
	}
	stranger.Send(0, sound)
	<-dropped
	sender.Send(0, []byte("unsound"))
	<-dropped
}

// TestSetMembers: after a change senders are known by their new addresses alone, and messages go there; a message of another
// format, as of a fleet of another size, is dropped.
func TestSetMembers(t *testing.T) {
	anywhere := netip.MustParseAddrPort("127.0.0.1:0")
	var transports []*Transport
	var at []netip.AddrPort
	for range 4 {
		transport, err := Open(sockets.Kernel{}, anywhere, nil, gossip.Format{ByID: true})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(transport.Close)
		transports, at = append(transports, transport), append(at, netip.MustParseAddrPort(transport.Addr()))
	}
	receiver := transports[0]
	received, dropped := make(chan int, 1), make(chan struct{}, 1)
	go receiver.Listen(func(member int, _ []byte) { received <- member }, func() { dropped <- struct{}{} })
	delivered := make(chan int, 1)
	for i, transport := range transports[1:] {
		go transport.Listen(func(int, []byte) { delivered <- i + 1 }, func() {})
		transport.SetMembers([]Member{{0, at[0]}}, 1)
	}
	// want has each transport send in turn a message of a fleet of so many: by which member it counts, -1 for dropped.
	want := func(members int, senders ...int) {
		t.Helper()
		for i, member := range senders {
			transports[i+1].Send(0, gossip.Format{Members: members, ByID: true}.Header(1, 1, nil))
			got := -1
			select {
			case got = <-received:
			case <-dropped:
			}
			if got != member {
				t.Errorf("what transport %d sends counts as of %d, want %d", i+1, got, member)
			}
		}
	}
	receiver.SetMembers([]Member{{0, at[0]}, {1, at[1]}, {2, at[2]}}, 3)
	want(3, 1, 2, -1)
	want(2, -1, -1, -1)
	receiver.SetMembers([]Member{{1, at[2]}, {2, at[1]}}, 3) // swapped
	want(3, 2, 1, -1)
	receiver.SetMembers([]Member{{1, at[3]}}, 2) // one replaced, one less
	want(2, -1, -1, 1)
	transports[3].SetMembers([]Member{{0, at[0]}}, 2)
	receiver.Send(1, gossip.Format{Members: 2, ByID: true}.Header(1, 1, nil))
	if to := <-delivered; to != 3 {
		t.Errorf("a message to the replaced member went to transport %d", to)
	}
	receiver.Send(2, nil) // no such member: no panic
}

// TestListenSurvivesReadErrors: reads that fail end nothing and lose no later message; errors that stay do not have Listen spin
// (sockets.ReadPause has the pauses).
func TestListenSurvivesReadErrors(t *testing.T) {
	anywhere := netip.MustParseAddrPort("127.0.0.1:0")
	system := socketstest.New(1, nil)
	errnos := []syscall.Errno{syscall.ECONNREFUSED, syscall.EINTR, syscall.ENOBUFS, syscall.ENOMEM, syscall.EHOSTUNREACH}
	system.Script(socketstest.ReadPacket, socketstest.Errors(errnos...)...)
	sender, err := Open(sockets.Kernel{}, anywhere, nil, gossip.Format{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(sender.Close)
	receiver, err := Open(system, anywhere, []netip.AddrPort{netip.MustParseAddrPort(sender.Addr())}, gossip.Format{Plans: 1, Members: 1})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(receiver.Close)
	received := make(chan int, 1)
	go receiver.Listen(func(member int, _ []byte) { received <- member }, func() {})
	sender.SetMembers([]Member{{0, netip.MustParseAddrPort(receiver.Addr())}}, 1)
	sender.Send(0, gossip.Format{}.Header(1, 1, nil))
	if member := <-received; member != 0 || system.Count(socketstest.ReadPacket) < len(errnos) {
		t.Errorf("member %d after %d reads", member, system.Count(socketstest.ReadPacket))
	}
}

func BenchmarkChange(b *testing.B) {
	transport := &Transport{members: map[netip.AddrPort]int{}}
	address := func(i int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 7946)
	}
	var all []Member
	for i := range 6000 {
		all = append(all, Member{i, address(i)})
	}
	transport.SetMembers(all, len(all))
	b.ReportAllocs()
	for i := range b.N {
		transport.SetMembers([]Member{{7, address(6000 + i%2)}}, len(all))
	}
}

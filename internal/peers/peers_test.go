package peers

import (
	"net/netip"
	"syscall"
	"testing"

	"ravensill/internal/gossip"
	"ravensill/internal/sockets"
	"ravensill/internal/sockets/socketstest"
)

var anyPort = netip.MustParseAddrPort("127.0.0.1:0")

// open returns a transport on a free port.
func open(t *testing.T, system sockets.System, format gossip.Format, peers ...netip.AddrPort) *Transport {
	t.Helper()
	transport, err := Open(system, anyPort, peers, format)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(transport.Close)
	return transport
}

func address(t *Transport) netip.AddrPort { return netip.MustParseAddrPort(t.Addr()) }

// A message counts as from the member whose address it came from, the first of two. One from an unknown address, and
// one that is not well-formed, are dropped.
func TestListenIdentifiesSenderByAddress(t *testing.T) {
	format := gossip.Format{Plans: 1, Members: 1}
	receiver := open(t, sockets.Kernel{}, format)
	sender := open(t, sockets.Kernel{}, format, address(receiver))
	stranger := open(t, sockets.Kernel{}, format, address(receiver))
	receiver.addresses = []netip.AddrPort{address(receiver), address(sender), address(sender)}
	receiver.members = indexByAddress(receiver.addresses)
	received := make(chan int, 1)
	dropped := make(chan struct{}, 1)
	go receiver.Listen(func(member int, _ []byte) { received <- member }, func() { dropped <- struct{}{} })
	message := gossip.Format{}.EncodeHeader(1, 1, nil)
	sender.Send(0, message)
	if member := <-received; member != 1 {
		t.Errorf("the message is from member %d, want 1", member)
	}
	stranger.Send(0, message)
	<-dropped
	sender.Send(0, []byte("malformed"))
	<-dropped
}

// After a change members are known by their new addresses alone, and messages go there. A message of a sender that
// knows another number of gateways is dropped.
func TestSetMembersReplacesAddresses(t *testing.T) {
	var transports []*Transport
	var addresses []netip.AddrPort
	for range 4 {
		transport := open(t, sockets.Kernel{}, gossip.Format{PlansByID: true})
		transports = append(transports, transport)
		addresses = append(addresses, address(transport))
	}
	receiver := transports[0]
	received := make(chan int, 1)
	dropped := make(chan struct{}, 1)
	go receiver.Listen(func(member int, _ []byte) { received <- member }, func() { dropped <- struct{}{} })
	delivered := make(chan int, 1)
	for i, transport := range transports[1:] {
		go transport.Listen(func(int, []byte) { delivered <- i + 1 }, func() {})
		transport.UpdateMembers([]Member{{0, addresses[0]}}, 1)
	}
	// expect has each of the other transports send a message. senders are the members that the messages must be from.
	expect := func(members int, senders ...int) {
		t.Helper()
		message := gossip.Format{Members: members, PlansByID: true}.EncodeHeader(1, 1, nil)
		for i, want := range senders {
			transports[i+1].Send(0, message)
			got := unknownMember
			select {
			case got = <-received:
			case <-dropped:
			}
			if got != want {
				t.Errorf("a message of transport %d is from member %d, want %d", i+1, got, want)
			}
		}
	}
	receiver.UpdateMembers([]Member{{0, addresses[0]}, {1, addresses[1]}, {2, addresses[2]}}, 3)
	expect(3, 1, 2, unknownMember)
	expect(2, unknownMember, unknownMember, unknownMember)
	receiver.UpdateMembers([]Member{{1, addresses[2]}, {2, addresses[1]}}, 3) // swapped
	expect(3, 2, 1, unknownMember)
	receiver.UpdateMembers([]Member{{1, addresses[3]}}, 2) // one replaced, one removed
	expect(2, unknownMember, unknownMember, 1)
	transports[3].UpdateMembers([]Member{{0, addresses[0]}}, 2)
	receiver.Send(1, gossip.Format{Members: 2, PlansByID: true}.EncodeHeader(1, 1, nil))
	if transport := <-delivered; transport != 3 {
		t.Errorf("a message to the replaced member went to transport %d", transport)
	}
	receiver.Send(2, nil) // of no member: must not panic
}

// Failed reads neither end Listen nor lose a later message.
func TestListenSurvivesReadErrors(t *testing.T) {
	errnos := []syscall.Errno{
		syscall.ECONNREFUSED,
		syscall.EINTR,
		syscall.ENOBUFS,
		syscall.ENOMEM,
		syscall.EHOSTUNREACH,
	}
	system := socketstest.New(1, nil)
	system.Script(socketstest.ReadPacket, socketstest.ErrorScript(errnos...)...)
	sender := open(t, sockets.Kernel{}, gossip.Format{})
	receiver := open(t, system, gossip.Format{Plans: 1, Members: 1}, address(sender))
	received := make(chan int, 1)
	go receiver.Listen(func(member int, _ []byte) { received <- member }, func() {})
	sender.UpdateMembers([]Member{{0, address(receiver)}}, 1)
	sender.Send(0, gossip.Format{}.EncodeHeader(1, 1, nil))
	member := <-received
	reads := system.CallCount(socketstest.ReadPacket)
	if member != 0 || reads < len(errnos) {
		t.Errorf("member %d after %d reads", member, reads)
	}
}

// BenchmarkChange changes the address of one of 6,000 members.
func BenchmarkChange(b *testing.B) {
	transport := &Transport{members: map[netip.AddrPort]int{}}
	address := func(i int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 7946)
	}
	var members []Member
	for i := range 6000 {
		members = append(members, Member{i, address(i)})
	}
	transport.UpdateMembers(members, len(members))
	b.ReportAllocs()
	for i := range b.N {
		transport.UpdateMembers([]Member{{7, address(6000 + i%2)}}, len(members))
	}
}

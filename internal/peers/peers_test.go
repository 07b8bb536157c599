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

// open returns a transport that listens on a free port of the loopback address until the test ends.
func open(t *testing.T, system sockets.System, format gossip.Format, peers ...netip.AddrPort) *Transport {
	t.Helper()
	transport, err := Open(system, anyPort, peers, format)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(transport.Close)
	return transport
}

// address returns the address that a transport listens at.
func address(t *Transport) netip.AddrPort { return netip.MustParseAddrPort(t.Addr()) }

// A message must be attributed to the member with the address that it came from, and to the first of two members with
// that address. Messages from unknown addresses and malformed messages must be dropped.
func TestListenIdentifiesSenderByAddress(t *testing.T) {
	format := gossip.Format{Plans: 1, Members: 1}
	receiver := open(t, sockets.Kernel{}, format)
	sender := open(t, sockets.Kernel{}, format, address(receiver))
	unknownSender := open(t, sockets.Kernel{}, format, address(receiver))
	receiver.addresses = []netip.AddrPort{address(receiver), address(sender), address(sender)}
	receiver.indexByAddr = indexByAddress(receiver.addresses)
	received := make(chan int, 1)
	dropped := make(chan struct{}, 1)
	go receiver.Listen(func(member int, _ []byte) { received <- member }, func() { dropped <- struct{}{} })
	message := gossip.Format{}.EncodeHeader(1, 1, nil)
	sender.Send(0, message)
	if member := <-received; member != 1 {
		t.Errorf("the message is attributed to member %d, want 1", member)
	}
	unknownSender.Send(0, message)
	<-dropped
	sender.Send(0, []byte("malformed"))
	<-dropped
}

// After UpdateMembers, members must be recognized only by their new addresses, and messages must be sent there. A
// message of a sender that knows another number of gateways must be dropped.
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
	// expect makes each of the other transports send a message whose header has the given number of members. senders are
	// the member indices that the receiver must attribute the messages to, or unknownMember for a message to be dropped.
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
				t.Errorf("the message of transport %d is attributed to member %d, want %d", i+1, got, want)
			}
		}
	}
	receiver.UpdateMembers([]Member{{0, addresses[0]}, {1, addresses[1]}, {2, addresses[2]}}, 3)
	expect(3, 1, 2, unknownMember)
	expect(2, unknownMember, unknownMember, unknownMember)
	receiver.UpdateMembers([]Member{{1, addresses[2]}, {2, addresses[1]}}, 3) // the two members swap their addresses
	expect(3, 2, 1, unknownMember)
	receiver.UpdateMembers([]Member{{1, addresses[3]}}, 2) // one member gets another address, one is removed
	expect(2, unknownMember, unknownMember, 1)
	transports[3].UpdateMembers([]Member{{0, addresses[0]}}, 2)
	receiver.Send(1, gossip.Format{Members: 2, PlansByID: true}.EncodeHeader(1, 1, nil))
	if transport := <-delivered; transport != 3 {
		t.Errorf("a message to the member with the new address arrived at transport %d, want 3", transport)
	}
	receiver.Send(2, nil) // there is no such member: must not panic
}

// A failed read of the socket must neither make Listen return nor prevent it from receiving a later message.
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
		t.Errorf("received a message of member %d after %d reads, want one of member 0 after the failed reads", member, reads)
	}
}

// BenchmarkChange measures UpdateMembers with one changed address among 6,000 members.
func BenchmarkChange(b *testing.B) {
	transport := &Transport{indexByAddr: map[netip.AddrPort]int{}}
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

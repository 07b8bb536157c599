package relay

import (
	"fmt"
	"net"
	"net/netip"
	"slices"
	"testing"
	"time"
)

const waitLimit = 20 * time.Second

// testNetwork is a datagram network with a socket at each end.
type testNetwork struct {
	*DatagramNetwork
	t       *testing.T
	sockets []*net.UDPConn
}

// newTestNetwork adds a network with named ends to a relay.
func newTestNetwork(t *testing.T, relay *Relay, ends ...string) *testNetwork {
	t.Helper()
	datagrams, err := relay.AddDatagramNetwork("test", ends)
	if err != nil {
		t.Fatal(err)
	}
	network := &testNetwork{DatagramNetwork: datagrams, t: t}
	for i := range ends {
		socket, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { socket.Close() })
		socket.SetReadDeadline(time.Now().Add(waitLimit))
		datagrams.SetAddr(i, netip.MustParseAddrPort(socket.LocalAddr().String()))
		network.sockets = append(network.sockets, socket)
	}
	return network
}

// send sends a text from one end to another.
func (n *testNetwork) send(from, to int, text string) {
	n.t.Helper()
	addr := netip.MustParseAddrPort(n.PeerAddrs(from)[to])
	if _, err := n.sockets[from].WriteToUDPAddrPort([]byte(text), addr); err != nil {
		n.t.Fatal(err)
	}
}

// wantReceived fails the test unless the next datagram at an end is a text from another.
func (n *testNetwork) wantReceived(at, from int, text string) {
	n.t.Helper()
	buffer := make([]byte, 99)
	size, source, err := n.sockets[at].ReadFromUDPAddrPort(buffer)
	if err != nil {
		n.t.Fatal(err)
	}
	sender := slices.Index(n.PeerAddrs(at), source.String())
	got := fmt.Sprintf("%q from %d", buffer[:size], sender)
	if want := fmt.Sprintf("%q from %d", text, from); got != want {
		n.t.Errorf("end %d received %s, want %s", at, got, want)
	}
}

// Three ends see each other's datagrams as from each other. A blocked direction loses them until it is healed.
func TestDatagramsArriveAsFromTheirSender(t *testing.T) {
	relay := New(1)
	defer relay.Close()
	network := newTestNetwork(t, relay, "a", "b", "c")
	network.send(0, 1, "x")
	network.wantReceived(1, 0, "x")
	network.send(2, 1, "y")
	network.wantReceived(1, 2, "y")

	relay.SetRules("cut", Rule{From: []string{"a"}, To: []string{"b"}, Faults: Faults{Blocked: true}})
	network.send(0, 1, "lost")
	network.send(0, 2, "other way") // by the same socket: once it has arrived, the first was forwarded
	network.wantReceived(2, 0, "other way")
	network.send(1, 0, "back")
	network.wantReceived(0, 1, "back")

	relay.SetRules("cut")
	relay.SetRules("twice", Rule{Faults: Faults{Duplicate: 1}})
	network.send(0, 1, "z")
	network.wantReceived(1, 0, "z")
	network.wantReceived(1, 0, "z")

	all, each := network.Counts()
	if all != (Counts{Sent: 6, Bytes: 20, Lost: 1, Duplicated: 1, Delivered: 6}) || each[0].Lost != 1 {
		t.Errorf("counts %+v %+v", all, each)
	}
}

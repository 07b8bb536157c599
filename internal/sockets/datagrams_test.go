package sockets_test

import (
	"net/netip"
	"syscall"
	"testing"

	"ravensill/internal/sockets"
	"ravensill/internal/sockets/socketstest"
)

// TestDatagramsSurviveReadErrorsUntilClose checks that a datagram arrives after reads that failed, cut off at the
// maximum length, and that the loop ends once the socket is closed.
func TestDatagramsSurviveReadErrorsUntilClose(t *testing.T) {
	system := socketstest.New(1, nil)
	system.Script(socketstest.ReadPacket, socketstest.ErrorScript(syscall.ECONNREFUSED, syscall.ENOBUFS)...)
	conn, err := system.ListenPacket(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	address := netip.MustParseAddrPort(conn.LocalAddr().String())
	if _, err := conn.WriteToUDPAddrPort([]byte("datagram"), address); err != nil {
		t.Fatal(err)
	}
	var received []string
	for datagram, from := range sockets.Datagrams(system, conn, 4) {
		received = append(received, string(datagram))
		if from != address {
			t.Errorf("sent by %v, want %v", from, address)
		}
		conn.Close()
	}
	if len(received) != 1 || received[0] != "data" {
		t.Errorf("received %q", received)
	}
}

package poolrunner

import (
	"errors"
	"net"
	"net/netip"
	"testing"
	"time"

	"ravensill/internal/config"
	"ravensill/internal/sockets"
	"ravensill/pool"
)

// newTestClient returns a client configured with three voters. Nothing listens at their addresses. runOnLoop calls its
// function directly.
func newTestClient(t *testing.T) *Client {
	t.Helper()
	cfg := &config.Pool{Key: []byte("0123456789abcdef")}
	for range 3 {
		cfg.Voters = append(cfg.Voters, unusedAddress(t))
	}
	client, err := NewClient(sockets.Kernel{}, cfg, func(f func()) { f() })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(client.Close)
	return client
}

// Close must wait for the goroutine that reads datagrams. Otherwise onGrant could run after Close returned, and use
// state that the caller has released.
func TestClientCloseWaitsForReader(t *testing.T) {
	client := newTestClient(t)
	reading := make(chan struct{})
	closing := make(chan struct{})
	handlerReturned := false
	client.runOnLoop = func(func()) {
		close(reading)
		<-closing
		handlerReturned = true // a data race with the check below, unless Close waits
	}
	client.Start(func(*pool.Grant) {})
	port := client.conn.socket.LocalAddr().(*net.UDPAddr).AddrPort().Port()
	loopback := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port)
	if !client.conn.send(loopback, &Message{Report: &pool.Report{}}) {
		t.Fatal("the report could not be encoded")
	}
	<-reading
	time.AfterFunc(10*time.Millisecond, func() { close(closing) })
	client.Close()
	if !handlerReturned {
		t.Error("Close returned before the goroutine that reads datagrams had ended")
	}
}

// A voter that doesn't lead answers with the index of the leader. The client must send the latest report again, to that
// voter, but only once for each report: otherwise voters that name each other as the leader would cause an endless
// loop.
func TestClientResendsReportOnceToNamedLeader(t *testing.T) {
	client := newTestClient(t)
	receiveLeader := func(leader int) {
		client.receive(&Message{Leader: &leader}, nil, client.cfg.Voters[0], nil)
	}
	receiveLeader(2) // no report to send again
	if client.leaderIndex != 0 || client.DatagramsSent != 0 {
		t.Errorf("before the first report: leader %d, %d datagrams sent; want leader 0, 0 sent",
			client.leaderIndex, client.DatagramsSent)
	}
	client.Send(&pool.Report{})
	receiveLeader(2)
	receiveLeader(1)
	if client.leaderIndex != 2 || client.DatagramsSent != 2 {
		t.Errorf("after two answers to the first report: leader %d, %d datagrams sent; want leader 2, 2 sent",
			client.leaderIndex, client.DatagramsSent)
	}
	client.Send(&pool.Report{})
	receiveLeader(1)
	if client.leaderIndex != 1 || client.DatagramsSent != 4 {
		t.Errorf("after an answer to the next report: leader %d, %d datagrams sent; want leader 1, 4 sent",
			client.leaderIndex, client.DatagramsSent)
	}
	receiveLeader(3)
	receiveLeader(-1)
	if client.DatagramsReceived != 4 || client.DatagramsDropped != 2 {
		t.Errorf("%d datagrams received, %d dropped; want 4 and 2", client.DatagramsReceived, client.DatagramsDropped)
	}
}

// If a voter leaves maxUnanswered reports unanswered, the client must send the next one to the next voter. A voter that
// sends a grant must become the presumed leader.
func TestClientChangesSilentVoter(t *testing.T) {
	client := newTestClient(t)
	for range maxUnanswered {
		client.Send(&pool.Report{})
	}
	if client.leaderIndex != 0 {
		t.Errorf("leader %d after %d unanswered reports, want 0", client.leaderIndex, maxUnanswered)
	}
	client.Send(&pool.Report{})
	if client.leaderIndex != 1 {
		t.Errorf("leader %d after %d unanswered reports, want 1", client.leaderIndex, maxUnanswered+1)
	}
	grantsReceived := 0
	onGrant := func(*pool.Grant) { grantsReceived++ }
	client.receive(&Message{Grant: &pool.Grant{}}, nil, client.cfg.Voters[2], onGrant)
	if client.leaderIndex != 2 || client.unansweredReports != 0 || grantsReceived != 1 {
		t.Errorf("after a grant of voter 2: leader %d, %d reports unanswered, %d grants received; want 2, 0 and 1",
			client.leaderIndex, client.unansweredReports, grantsReceived)
	}
	client.receive(nil, errors.New("forged"), netip.AddrPort{}, onGrant)
	if client.DatagramsReceived != 1 || client.DatagramsDropped != 1 || grantsReceived != 1 {
		t.Errorf("after an invalid datagram: %d received, %d dropped, %d grants received; want 1 of each",
			client.DatagramsReceived, client.DatagramsDropped, grantsReceived)
	}
}

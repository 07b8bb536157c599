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

// newTestClient returns a client of three voters, whose addresses nothing listens at.
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

// After Close nothing uses what onGrant uses.
func TestClientCloseWaitsForReader(t *testing.T) {
	client := newTestClient(t)
	reading := make(chan struct{})
	closing := make(chan struct{})
	ended := false
	client.runOnLoop = func(func()) {
		close(reading)
		<-closing
		ended = true // a race with the check below unless Close waits
	}
	client.Start(func(*pool.Grant) {})
	port := client.conn.socket.LocalAddr().(*net.UDPAddr).AddrPort().Port()
	loopback := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port)
	if !client.conn.send(loopback, &Message{Report: &pool.Report{}}) {
		t.Fatal("not sent")
	}
	<-reading
	time.AfterFunc(10*time.Millisecond, func() { close(closing) })
	client.Close()
	if !ended {
		t.Error("Close returned before the reader had ended")
	}
}

// A voter that doesn't lead names the leader: the latest report is sent again to that one, once for each report.
func TestClientResendsReportOnceToNamedLeader(t *testing.T) {
	client := newTestClient(t)
	receiveLeader := func(leader int) {
		client.receive(&Message{Leader: &leader}, nil, client.cfg.Voters[0], nil)
	}
	receiveLeader(2) // no report to send again
	if client.leader != 0 || client.DatagramsSent != 0 {
		t.Errorf("before a report: leader %d, %d datagrams sent", client.leader, client.DatagramsSent)
	}
	client.Send(&pool.Report{})
	receiveLeader(2)
	receiveLeader(1)
	if client.leader != 2 || client.DatagramsSent != 2 {
		t.Errorf("leader %d, %d datagrams sent", client.leader, client.DatagramsSent)
	}
	client.Send(&pool.Report{})
	receiveLeader(1)
	if client.leader != 1 || client.DatagramsSent != 4 {
		t.Errorf("after the next report: leader %d, %d datagrams sent", client.leader, client.DatagramsSent)
	}
	receiveLeader(3)
	receiveLeader(-1)
	if client.DatagramsReceived != 4 || client.DatagramsDropped != 2 {
		t.Errorf("%d datagrams received, %d dropped", client.DatagramsReceived, client.DatagramsDropped)
	}
}

// A voter that leaves too many reports unanswered is replaced by the next one, and one that grants is the leader.
func TestClientChangesSilentVoter(t *testing.T) {
	client := newTestClient(t)
	for range maxUnanswered {
		client.Send(&pool.Report{})
	}
	if client.leader != 0 {
		t.Errorf("leader %d after %d reports", client.leader, maxUnanswered)
	}
	client.Send(&pool.Report{})
	if client.leader != 1 {
		t.Errorf("leader %d after %d reports", client.leader, maxUnanswered+1)
	}
	granted := 0
	onGrant := func(*pool.Grant) { granted++ }
	client.receive(&Message{Grant: &pool.Grant{}}, nil, client.cfg.Voters[2], onGrant)
	if client.leader != 2 || client.unanswered != 0 || granted != 1 {
		t.Errorf("leader %d, %d unanswered, %d grants", client.leader, client.unanswered, granted)
	}
	client.receive(nil, errors.New("forged"), netip.AddrPort{}, onGrant)
	if client.DatagramsReceived != 1 || client.DatagramsDropped != 1 || granted != 1 {
		t.Errorf("%d received, %d dropped, %d grants", client.DatagramsReceived, client.DatagramsDropped, granted)
	}
}

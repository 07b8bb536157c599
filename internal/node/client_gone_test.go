package node

import (
	"fmt"
	"net"
	"runtime"
	"testing"

	"ravensill/gateway"
	"ravensill/internal/golden"
	"ravensill/internal/hosts"
)

// A client disconnects at each moment of its request: nothing is sent afterwards, and each attempt that the
// module started ends for it, so that none stays in flight.
func TestNoAttemptAfterClientGone(t *testing.T) {
	module := &retryingDecider{}
	n := newIdleNode(module, gateway.RequestClass{}, silentHost(t))
	n.request("before-its-arrival-is-decided").OnClientGone()
	n.process()

	answer := n.request("with-the-end-of-its-attempt")
	n.process()
	n.requests["with-the-end-of-its-attempt"].attempts[0].send.Cancel(hosts.ErrTimedOut)
	answer.OnClientGone()
	n.process()

	answer = n.request("while-it-waits-for-a-connection") // it ends at once, unsent
	n.process()
	answer.OnClientGone()
	n.process()

	answer = n.request("during-its-attempt")
	n.process()
	n.processUntilWritten("during-its-attempt", 0)
	answer.OnClientGone()
	n.process()
	n.requests["during-its-attempt"].attempts[0].send.Cancel(hosts.ErrTimedOut)
	n.process()
	golden.Check(t, module.String()+n.left())
}

// clientGoneDecider has the client of each request disconnect while the batch of its arrival is decided, and sends it.
type clientGoneDecider struct {
	retryingDecider
	node       *Node
	disconnect func()
}

func (d *clientGoneDecider) Decide(batch *gateway.Batch, actions gateway.Actions) {
	for _, event := range batch.Events {
		if event.Kind != gateway.RequestArrived {
			continue
		}
		d.disconnect()
		for answer := d.node.requests[event.RequestID].answer; !answer.IsClientGone(); {
			runtime.Gosched()
		}
	}
	d.retryingDecider.Decide(batch, actions)
}

// A disconnect that the reader has seen while the loop decides on the arrival keeps the request from being sent.
func TestClientGoneDuringBatch(t *testing.T) {
	host := silentHost(t)
	conns := make(chan net.Conn, 1)
	module := &clientGoneDecider{disconnect: func() { (<-conns).Close() }}
	running := serve(t, module, func(n *Node) {
		module.node = n
		n.transport.SetAddress(1, host)
	}, "panic")
	conn := dial(t, running.addr)
	fmt.Fprint(conn, command("a", 1))
	conns <- conn
	running.stop()
	if events := running.ended(); len(events) > 0 {
		t.Error("a panic")
	}
	golden.Check(t, module.String()+module.node.left())
}

// A request whose client disconnects while its attempt connects is not sent when the connection comes up.
func TestNothingSentForClientGoneWhileConnecting(t *testing.T) {
	g := newTestGateway(t)
	dials, connect := g.holdConnections()
	conn := g.sendRequest("a")
	<-dials
	events := <-g.events + "\n" + <-g.events + "\n"
	conn.Close()
	events += <-g.events + "\n"
	close(connect)
	golden.Check(t, events+g.serveLastRequest())
}

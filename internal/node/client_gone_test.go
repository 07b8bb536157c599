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

// Guards against attempts sent for a client that is gone, and against attempts that stay in flight for the module. A
// client disconnects at each stage of its request.
func TestNoAttemptAfterClientGone(t *testing.T) {
	module := &retryingDecider{}
	n := newSteppedNode(module, gateway.RequestClass{}, silentHost(t))
	n.request("before-its-arrival-is-decided").OnClientGone()
	n.process()

	answer := n.request("with-the-end-of-its-attempt")
	n.process()
	n.requests["with-the-end-of-its-attempt"].attempts[0].hostAttempt.Cancel(hosts.ErrTimedOut)
	answer.OnClientGone()
	n.process()

	answer = n.request("while-it-waits-for-a-connection") // its attempt ends at once, without being sent
	n.process()
	answer.OnClientGone()
	n.process()

	answer = n.request("during-its-attempt")
	n.process()
	n.processUntilWritten("during-its-attempt", 0)
	answer.OnClientGone()
	n.process()
	n.requests["during-its-attempt"].attempts[0].hostAttempt.Cancel(hosts.ErrTimedOut)
	n.process()
	golden.Check(t, module.String()+n.openWork())
}

// clientGoneDecider disconnects the client of each request while it decides on the arrival, waits until the reader has
// seen that, and then starts an attempt.
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

// Guards against sending a request whose client disconnects while the loop decides on the arrival: the loop has not
// handled the disconnect yet, but the reader has seen it.
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
	if events := running.wait(); len(events) > 0 {
		t.Error("a panic was logged")
	}
	golden.Check(t, module.String()+module.node.openWork())
}

// Guards against sending a request whose client has disconnected while its attempt waited for a connection to the host.
func TestNothingSentForClientGoneWhileConnecting(t *testing.T) {
	g := newTestGateway(t)
	dials, connect := g.holdDials()
	conn := g.sendRequest("a")
	<-dials
	events := <-g.events + "\n" + <-g.events + "\n"
	conn.Close()
	events += <-g.events + "\n"
	close(connect)
	golden.Check(t, events+g.serveLastRequest())
}

package node

import (
	"io"
	"net/netip"
	"testing"

	"ravensill/gateway"
	"ravensill/internal/golden"
	"ravensill/internal/logging"
)

// Guards against attempts that stay in flight, for the module or in the loop, after a panic while an attempt is sent or
// while its answer is passed to the client.
func TestPanicLeavesNoAttemptInFlight(t *testing.T) {
	defer logging.SetOutput(io.Discard)()
	module := &retryingDecider{}
	n := newSteppedNode(module, gateway.RequestClass{}, netip.MustParseAddrPort("127.0.0.1:1"))
	n.request("answered") // its answer queue has no buffer, so that answering panics
	n.runIteration()
	answered := n.requests["answered"].attempts[0]
	n.recoverPanics("loop", func() {
		answered.end(gateway.Event{Result: gateway.Succeeded}, []byte("v"), n.now())
	})
	n.runIteration()

	transport := n.transport
	n.transport = nil
	answer := n.request("sent")
	n.runIteration()
	n.transport = transport
	n.epoch = n.epoch.Add(2 * farDeadline)
	n.runIteration()
	answer.OnClientGone()
	n.runIteration()
	golden.Check(t, module.String()+n.openWork())
}

// panickingDecider rejects requests. It panics on those of customer f, and passes unknown requests and attempts to
// actions on those of customer b.
type panickingDecider struct{}

func (panickingDecider) Reconfigure(gateway.Time, *gateway.SettingsUpdate) {}

func (panickingDecider) Decide(batch *gateway.Batch, actions gateway.Actions) {
	for _, event := range batch.Events {
		if event.Kind != gateway.RequestArrived {
			continue
		}
		switch event.Customer[15] {
		case 'f':
			panic("fault")
		case 'b':
			actions.Reject("none such", 0)
			actions.StartAttempt("none such", 1, 0)
			actions.CancelAttempt(event.RequestID, 7)
		}
		actions.Reject(event.RequestID, 0)
		actions.Fail(event.RequestID) // must have no effect: a request gets one answer
	}
}

// Guards against a panic in the module that ends the program or a connection, or leaves a request unanswered: only the
// requests of its batch fail.
func TestModulePanicFailsOnlyItsBatch(t *testing.T) {
	running := serve(t, panickingDecider{}, nil, "panic where=module")
	conn := dial(t, running.addr)
	answers := roundTrip(t, conn, "", 0) // PING is answered although the module sets no timer
	for i, customer := range []string{"a", "f", "b"} {
		answers += roundTrip(t, conn, customer, i)
	}
	if want := "+PONG\r\n-BUSY\r\n-ERR aborted\r\n-BUSY\r\n"; answers != want {
		t.Errorf("the answers are %q, want %q", answers, want)
	}
	conn.Close()
	running.stop()
	if lines := len(running.wait()); lines != 1 {
		t.Errorf("%d panics of the module were logged, want 1", lines)
	}
}

// panickingDecisionCounter sets a timer in each batch, and panics at the first call of DecisionCounts.
type panickingDecisionCounter struct {
	panickingDecider
	panicked bool
}

func (d *panickingDecisionCounter) Decide(batch *gateway.Batch, actions gateway.Actions) {
	actions.SetTimer(1)
	d.panickingDecider.Decide(batch, actions)
}

func (d *panickingDecisionCounter) DecisionCounts() []gateway.DecisionCount {
	if !d.panicked {
		d.panicked = true
		panic("fault")
	}
	return nil
}

// Guards against a panic in the loop's own code that ends the program or affects clients: only the work in progress is
// lost.
func TestLoopPanicLosesOnlyItsWork(t *testing.T) {
	running := serve(t, &panickingDecisionCounter{}, nil, "panic where=loop")
	conn := dial(t, running.addr)
	answers := roundTrip(t, conn, "", 0) + roundTrip(t, conn, "a", 1)
	if answers != "+PONG\r\n-BUSY\r\n" {
		t.Errorf("the answers are %q", answers)
	}
	conn.Close()
	running.stop()
	if lines := len(running.wait()); lines > 1 {
		t.Errorf("%d panics of the loop were logged, want at most 1", lines)
	}
}

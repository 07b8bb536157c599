package node

import (
	"io"
	"net/netip"
	"testing"

	"ravensill/gateway"
	"ravensill/internal/golden"
	"ravensill/internal/logging"
)

// A panic while an attempt is sent, or while its answer is passed on, leaves the attempt neither in flight for
// the module nor open here.
func TestPanicLeavesNoAttemptInFlight(t *testing.T) {
	defer logging.SetOutput(io.Discard)()
	module := &retryingDecider{}
	n := newIdleNode(module, gateway.RequestClass{}, netip.MustParseAddrPort("127.0.0.1:1"))
	n.request("answered") // its queue has no buffer: an answer panics
	n.iterate()
	answered := n.requests["answered"].attempts[0]
	n.recoverPanics("loop", func() {
		answered.end(gateway.Event{Result: gateway.Succeeded}, []byte("v"), n.now())
	})
	n.iterate()

	transport := n.transport
	n.transport = nil
	answer := n.request("sent")
	n.iterate()
	n.transport = transport
	n.epoch = n.epoch.Add(2 * farDeadline)
	n.iterate()
	answer.OnClientGone()
	n.iterate()
	golden.Check(t, module.String()+n.left())
}

// panickingDecider rejects requests, panics on those of customer f, and names unknown requests and attempts on
// those of b.
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
		actions.Fail(event.RequestID) // too late: each request gets one answer
	}
}

// A panic in the module fails the requests of the batch; the program and the connection go on.
func TestModulePanicFailsOnlyItsBatch(t *testing.T) {
	running := serve(t, panickingDecider{}, nil, "panic where=module")
	conn := dial(t, running.addr)
	answers := roundTrip(t, conn, "", 0) // the module sets no timer: PING is answered all the same
	for i, customer := range []string{"a", "f", "b"} {
		answers += roundTrip(t, conn, customer, i)
	}
	if want := "+PONG\r\n-BUSY\r\n-ERR aborted\r\n-BUSY\r\n"; answers != want {
		t.Errorf("%q, not %q", answers, want)
	}
	conn.Close()
	running.stop()
	if lines := len(running.ended()); lines != 1 {
		t.Errorf("%d lines on panics", lines)
	}
}

// panickingCounter sets timers often, and panics once where its decisions are counted.
type panickingCounter struct {
	panickingDecider
	panicked bool
}

func (d *panickingCounter) Decide(batch *gateway.Batch, actions gateway.Actions) {
	actions.SetTimer(1)
	d.panickingDecider.Decide(batch, actions)
}

func (d *panickingCounter) DecisionCounts() []gateway.DecisionCount {
	if !d.panicked {
		d.panicked = true
		panic("fault")
	}
	return nil
}

// A panic in the loop's own work loses that work, and does not end the program.
func TestLoopPanicLosesOnlyItsWork(t *testing.T) {
	running := serve(t, &panickingCounter{}, nil, "panic where=loop")
	conn := dial(t, running.addr)
	answers := roundTrip(t, conn, "", 0) + roundTrip(t, conn, "a", 1)
	if answers != "+PONG\r\n-BUSY\r\n" {
		t.Errorf("%q", answers)
	}
	conn.Close()
	running.stop()
	if lines := len(running.ended()); lines > 1 {
		t.Errorf("%d lines on panics", lines)
	}
}

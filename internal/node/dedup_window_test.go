package node

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"ravensill/gateway"
	"ravensill/internal/golden"
	"ravensill/internal/hosts"
)

// A repeat of a request that may have run is not written once the hosts' deduplication window is over.
func TestNoRetryAfterDedupWindow(t *testing.T) {
	host := silentHost(t)
	module := &retryingDecider{}
	for _, effect := range []gateway.Effect{gateway.Idempotent, gateway.Deduplicated} {
		n := newSteppedNode(module, gateway.RequestClass{Effect: effect, DedupWindow: 1}, host)
		n.request("r")
		n.process()
		n.processUntilWritten("r", 0)
		n.requests["r"].attempts[0].hostAttempt.Cancel(hosts.ErrTimedOut) // it may have run
		n.process()
		n.processUntilWritten("r", 1)
		r := n.requests["r"]
		fmt.Fprintf(module, "effect %d: %d of %d attempts is in flight\n", effect, r.inFlight, len(r.attempts))
	}
	golden.Check(t, module.String())
}

// A repeat is not written so late that a stall between reading the clock and writing takes it past the window.
func TestRetryKeepsStallAllowanceBeforeWindowEnd(t *testing.T) {
	const window = 10 * time.Second
	host := silentHost(t)
	for _, test := range []struct {
		name   string
		left   time.Duration // of the window, when the connection is up
		result gateway.Result
	}{
		{"clear of the end", stallAllowance + 2*time.Second, gateway.TimedOut},
		{"within the allowance", stallAllowance - time.Millisecond, gateway.Unreachable},
	} {
		t.Run(test.name, func(t *testing.T) {
			module := &retryingDecider{}
			class := gateway.RequestClass{Effect: gateway.Deduplicated, DedupWindow: window}
			n := newSteppedNode(module, class, host)
			n.request("r")
			n.process()
			n.processUntilWritten("r", 0)
			n.requests["r"].attempts[0].hostAttempt.Cancel(hosts.ErrTimedOut) // it may have run
			n.process()
			n.epoch = n.epoch.Add(window - test.left)
			n.processUntilWritten("r", 1)
			n.requests["r"].attempts[1].hostAttempt.Cancel(hosts.ErrTimedOut)
			n.process()
			want := fmt.Sprintf("r attempt 1 ended: result %d,", test.result)
			if !strings.Contains(module.String(), want) {
				t.Errorf("%swant %q", module, want)
			}
		})
	}
}

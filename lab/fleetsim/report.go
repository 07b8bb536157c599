package fleetsim

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
)

// Report is the result of a run. Units are those of the quotas.
type Report struct {
	Requests         int // tries of clients
	Succeeded        int
	Rejected         int
	RejectedWithRoom int // rejections while the customer's true bucket held half a burst or more
	TimedOut         int // attempts
	Busy             int // attempts that a host turned away
	Late             int // successes beyond the latency objective

	Admitted     float64 // units sent on
	Beyond       float64 // units sent on beyond the true buckets
	OverInFlight int     // first attempts beyond a plan's cap on requests in flight
	OverCeiling  float64 // units beyond a hard ceiling and its slack: a broken rule

	Messages     int // received
	MessageBytes int // of these
	Dropped      int // messages lost, or over a receiver's budget
	Batches      int // of events

	HostsUsed   float64 // mean number of hosts that a gateway sent to
	BusiestHost float64 // attempts at the busiest host over the mean
	Limit       float64 // mean over gateways and seconds of the concurrency limit
	InFlight    float64 // the same of the requests in flight
	Lateness    float64 // the same of the fraction of late answers

	Plans     []PlanReport
	Customers []CustomerReport
	Trace     []Sample
	Windows   []Window // of 5 s each
}

// Window is what was sent on of the heavy customers of the first plan in a part of the run, in units.
type Window struct {
	Sent   int
	Beyond int // the true bucket
}

// PlanReport is the part of one plan in a Report.
type PlanReport struct {
	Name             string
	Requests         int
	Rejected         int
	RejectedWithRoom int
	Admitted         float64 // units sent on
	Beyond           float64 // units sent on beyond the true buckets
}

// CustomerReport is the part of one customer in a Report. Counts are of requests of one unit.
type CustomerReport struct {
	Name             string
	Plan             string
	Spread           int     // gateways in its set
	DemandOverQuota  float64 // demand over quota rate, while it sends requests
	Heavy            bool
	Spiky            bool
	FirstTries       int
	IdealAdmitted    int // first tries that an observer who sees them all would admit
	Tries            int
	Sent             int
	Beyond           int // sent beyond the true bucket
	RejectedWithRoom int
	weight           float64 // of a unit within the quota
	beyondCost       float64 // of a unit beyond the quota, against one within it
}

// Sample is the state of a heavy customer at one time: its true bucket beside the copies of some of its gateways.
type Sample struct {
	At     time.Duration
	Name   string    // of the plan
	True   float64   // units in the true bucket
	Copies []float64 // units in the copies
	Others []float64 // units a second that these gateways expect their peers to admit
}

// String returns the report in one line.
func (p PlanReport) String() string {
	return fmt.Sprintf("%s: reqs %d denied %.3f (with room %.3f), beyond %.3f", p.Name, p.Requests,
		ratio(p.Rejected, p.Requests), ratio(p.RejectedWithRoom, p.Requests), p.Beyond/math.Max(p.Admitted, 1e-9))
}

// BeyondShare returns the fraction of the units sent on that were beyond the quotas.
func (r Report) BeyondShare() float64 { return r.Beyond / math.Max(r.Admitted, 1e-9) }

// WithRoomShare returns the fraction of the tries that were rejected while the customer's true bucket had room.
func (r Report) WithRoomShare() float64 {
	return float64(r.RejectedWithRoom) / math.Max(float64(r.Requests), 1)
}

// String returns the report in one line.
func (r Report) String() string {
	text := ""
	for _, p := range r.Plans {
		text += "; " + p.String()
	}
	return fmt.Sprintf("reqs %d passed %.3f denied %.3f (with room %.3f) timed out %.3f late %.3f; units %.0f, "+
		"beyond quotas %.3f, beyond open caps %d, beyond ceilings %.1f; messages %d (%.0f B each), dropped %d; "+
		"hosts a gateway %.1f, busiest host %.2f of the mean; %d rounds; limit %.2f out %.2f late %.2f",
		r.Requests, ratio(r.Succeeded, r.Requests), ratio(r.Rejected, r.Requests), r.WithRoomShare(), ratio(r.TimedOut, r.Requests),
		ratio(r.Late, r.Requests), r.Admitted, r.BeyondShare(), r.OverInFlight, r.OverCeiling, r.Messages,
		float64(r.MessageBytes)/math.Max(float64(r.Messages), 1), r.Dropped, r.HostsUsed, r.BusiestHost, r.Batches, r.Limit, r.InFlight, r.Lateness) + text
}

// Value returns the value of what was sent within the true buckets less the cost of what was sent beyond them, over the value of
// what an observer who sees all first tries would admit. No customer counts for more than the latter.
func (r Report) Value() float64 {
	value, ideal := 0.0, 0.0
	for _, c := range r.Customers {
		within := math.Min(float64(c.Sent-c.Beyond), float64(c.IdealAdmitted))
		value += c.weight * (within - c.beyondCost*float64(c.Beyond))
		ideal += c.weight * float64(c.IdealAdmitted)
	}
	return value / math.Max(ideal, 1e-9)
}

// QuotaUsed returns the fraction of what the quotas would admit that was sent within them.
func (r Report) QuotaUsed() float64 {
	within, ideal := 0, 0
	for _, c := range r.Customers {
		within += min(c.Sent-c.Beyond, c.IdealAdmitted)
		ideal += c.IdealAdmitted
	}
	return ratio(within, ideal)
}

// Table returns a table, by plan and by demand over quota, of what was sent beyond the quotas and rejected with room.
func (r Report) Table() string {
	bands := []struct {
		name string
		in   func(c CustomerReport) bool
	}{
		{"under 0.6", func(c CustomerReport) bool { return !c.Spiky && c.DemandOverQuota < 0.6 }},
		{"0.6 to 1", func(c CustomerReport) bool { return !c.Spiky && c.DemandOverQuota >= 0.6 && c.DemandOverQuota < 1 }},
		{"1 to 2.5", func(c CustomerReport) bool { return !c.Spiky && c.DemandOverQuota >= 1 && c.DemandOverQuota < 2.5 }},
		{"2.5 up", func(c CustomerReport) bool { return !c.Spiky && c.DemandOverQuota >= 2.5 }},
		{"spiky", func(c CustomerReport) bool { return c.Spiky }},
	}
	var plans []string
	for _, c := range r.Customers {
		if !slices.Contains(plans, c.Plan) {
			plans = append(plans, c.Plan)
		}
	}
	b := &strings.Builder{}
	fmt.Fprintf(b, "%-9s %-9s %5s %6s %6s %6s | %6s %6s %9s %8s\n", "plan", "demand", "custs", "spread", "first/s*",
		"ideal", "within", "beyond", "of beyond", "with room")
	for _, plan := range plans {
		for _, band := range bands {
			n := 0
			sum := CustomerReport{}
			for _, c := range r.Customers {
				if c.Plan == plan && band.in(c) {
					n++
					sum.add(c)
				}
			}
			if n == 0 {
				continue
			}
			fmt.Fprintf(b, "%-9s %-9s %5d %6d %8d %6d | %6.3f %6.3f %9.3f %8.3f\n", plan, band.name, n, sum.Spread/n,
				sum.FirstTries, sum.IdealAdmitted, ratio(sum.Sent-sum.Beyond, sum.IdealAdmitted), ratio(sum.Beyond, sum.Sent),
				float64(sum.Beyond)/math.Max(r.Beyond, 1), ratio(sum.RejectedWithRoom, sum.Tries))
		}
	}
	fmt.Fprintf(b, "worth %.3f, quota used %.3f, beyond %.3f, denied with room %.3f, messages %d, %.0f B\n", r.Value(), r.QuotaUsed(),
		r.BeyondShare(), r.WithRoomShare(), r.Messages, float64(r.MessageBytes)/math.Max(float64(r.Messages), 1))
	return b.String()
}

// add adds the counts of another customer.
func (c *CustomerReport) add(o CustomerReport) {
	c.Spread += o.Spread
	c.FirstTries += o.FirstTries
	c.IdealAdmitted += o.IdealAdmitted
	c.Tries += o.Tries
	c.Sent += o.Sent
	c.Beyond += o.Beyond
	c.RejectedWithRoom += o.RejectedWithRoom
}

// ratio returns a over b, or a if b is 0.
func ratio(a, b int) float64 { return float64(a) / math.Max(float64(b), 1) }

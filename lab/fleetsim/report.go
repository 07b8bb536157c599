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
	Requests            int // of clients, with retries
	Succeeded           int
	Rejected            int
	RejectedWithinQuota int // rejections while the customer's true bucket had half a burst or more
	TimedOut            int // attempts
	Busy                int // attempts that a host rejected
	Late                int // successes beyond the latency objective

	AdmittedUnits float64 // units sent to hosts
	BeyondUnits   float64 // units sent to hosts beyond the true buckets
	OverInFlight  int     // first attempts beyond a plan's cap on requests in flight
	OverCeiling   float64 // units beyond a hard ceiling and its slack: a broken rule

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

// Window is what heavy customers of the first plan sent in a part of the run.
type Window struct {
	SentUnits   int
	BeyondUnits int // the true bucket
}

// PlanReport is the part of one plan in a Report.
type PlanReport struct {
	Name                string
	Requests            int
	Rejected            int
	RejectedWithinQuota int
	AdmittedUnits       float64 // units sent to hosts
	BeyondUnits         float64 // units sent to hosts beyond the true buckets
}

// CustomerReport is the part of one customer in a Report. Counts are of requests of one unit.
type CustomerReport struct {
	Name                string
	Plan                string
	SubsetSize          int     // gateways in its set
	DemandOverQuota     float64 // demand over quota rate, while it sends requests
	Heavy               bool
	Spiky               bool
	FirstRequests       int
	IdealAdmitted       int // first tries that an observer who sees them all would admit
	Requests            int
	SentUnits           int
	BeyondUnits         int // sent beyond the true bucket
	RejectedWithinQuota int
	weight              float64 // of a unit within the quota
	beyondCost          float64 // of a unit beyond the quota, against one within it
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
	return fmt.Sprintf("%s: requests %d rejected %.3f (within quota %.3f), beyond %.3f",
		p.Name, p.Requests,
		ratio(p.Rejected, p.Requests), ratio(p.RejectedWithinQuota, p.Requests),
		p.BeyondUnits/math.Max(p.AdmittedUnits, 1e-9))
}

// BeyondFraction returns the fraction of the admitted units that were beyond the quotas.
func (r Report) BeyondFraction() float64 { return r.BeyondUnits / math.Max(r.AdmittedUnits, 1e-9) }

// WithinQuotaFraction returns the fraction of the requests that were rejected while the customer's true bucket was
// half full or more.
func (r Report) WithinQuotaFraction() float64 {
	return float64(r.RejectedWithinQuota) / math.Max(float64(r.Requests), 1)
}

// String returns the report in one line.
func (r Report) String() string {
	text := ""
	for _, p := range r.Plans {
		text += "; " + p.String()
	}
	return fmt.Sprintf("requests %d succeeded %.3f rejected %.3f (within quota %.3f) timed out %.3f late %.3f; "+
		"units %.0f, beyond quotas %.3f, beyond caps in flight %d, beyond ceilings %.1f; "+
		"messages %d (%.0f B each), dropped %d; hosts a gateway %.1f, busiest host %.2f of the mean; "+
		"%d batches; limit %.2f in flight %.2f late %.2f",
		r.Requests, ratio(r.Succeeded, r.Requests), ratio(r.Rejected, r.Requests), r.WithinQuotaFraction(),
		ratio(r.TimedOut, r.Requests), ratio(r.Late, r.Requests),
		r.AdmittedUnits, r.BeyondFraction(), r.OverInFlight, r.OverCeiling,
		r.Messages, r.bytesPerMessage(), r.Dropped, r.HostsUsed, r.BusiestHost,
		r.Batches, r.Limit, r.InFlight, r.Lateness) + text
}

// bytesPerMessage returns the mean length of a received message.
func (r Report) bytesPerMessage() float64 {
	return float64(r.MessageBytes) / math.Max(float64(r.Messages), 1)
}

// Value returns the value of what was sent within the true buckets less the cost of what was sent beyond them,
// divided by the value of what an observer who sees all first requests would admit. No customer counts for more than
// the latter.
func (r Report) Value() float64 {
	value, ideal := 0.0, 0.0
	for _, c := range r.Customers {
		within := math.Min(float64(c.SentUnits-c.BeyondUnits), float64(c.IdealAdmitted))
		value += c.weight * (within - c.beyondCost*float64(c.BeyondUnits))
		ideal += c.weight * float64(c.IdealAdmitted)
	}
	return value / math.Max(ideal, 1e-9)
}

// QuotaUsed returns the fraction of what the quotas would admit that was sent within them.
func (r Report) QuotaUsed() float64 {
	within, ideal := 0, 0
	for _, c := range r.Customers {
		within += min(c.SentUnits-c.BeyondUnits, c.IdealAdmitted)
		ideal += c.IdealAdmitted
	}
	return ratio(within, ideal)
}

// demandBand is a row of Report.Table: the customers whose demand over their quota lies in a range.
type demandBand struct {
	name     string
	contains func(c CustomerReport) bool
}

// demandBands lists the rows of Report.Table for each plan.
var demandBands = []demandBand{
	{"under 0.6", steadyBetween(0, 0.6)},
	{"0.6 to 1", steadyBetween(0.6, 1)},
	{"1 to 2.5", steadyBetween(1, 2.5)},
	{"2.5 up", steadyBetween(2.5, math.Inf(1))},
	{"spiky", func(c CustomerReport) bool { return c.Spiky }},
}

// steadyBetween returns a function that reports whether a customer without spikes has a demand over quota of low or
// more and below high.
func steadyBetween(low, high float64) func(c CustomerReport) bool {
	return func(c CustomerReport) bool {
		return !c.Spiky && c.DemandOverQuota >= low && c.DemandOverQuota < high
	}
}

// Table returns a table, by plan and by demand over quota, of what was sent beyond the quotas and rejected within
// them.
func (r Report) Table() string {
	var plans []string
	for _, c := range r.Customers {
		if !slices.Contains(plans, c.Plan) {
			plans = append(plans, c.Plan)
		}
	}
	b := &strings.Builder{}
	fmt.Fprintf(b, "%-9s %-9s %5s %6s %6s %6s | %6s %6s %9s %8s\n", "plan", "demand", "custs", "spread", "first/s*",
		"ideal", "within", "beyond", "of beyond", "rejected")
	for _, plan := range plans {
		for _, band := range demandBands {
			n := 0
			sum := CustomerReport{}
			for _, c := range r.Customers {
				if c.Plan == plan && band.contains(c) {
					n++
					sum.add(c)
				}
			}
			if n == 0 {
				continue
			}
			fmt.Fprintf(b, "%-9s %-9s %5d %6d %8d %6d | %6.3f %6.3f %9.3f %8.3f\n", plan, band.name, n, sum.SubsetSize/n,
				sum.FirstRequests, sum.IdealAdmitted,
				ratio(sum.SentUnits-sum.BeyondUnits, sum.IdealAdmitted), ratio(sum.BeyondUnits, sum.SentUnits),
				float64(sum.BeyondUnits)/math.Max(r.BeyondUnits, 1), ratio(sum.RejectedWithinQuota, sum.Requests))
		}
	}
	fmt.Fprintf(b, "value %.3f, quota used %.3f, beyond %.3f, rejected within quota %.3f, messages %d, %.0f B\n",
		r.Value(), r.QuotaUsed(), r.BeyondFraction(), r.WithinQuotaFraction(), r.Messages, r.bytesPerMessage())
	return b.String()
}

// add adds the counts of another customer.
func (c *CustomerReport) add(other CustomerReport) {
	c.SubsetSize += other.SubsetSize
	c.FirstRequests += other.FirstRequests
	c.IdealAdmitted += other.IdealAdmitted
	c.Requests += other.Requests
	c.SentUnits += other.SentUnits
	c.BeyondUnits += other.BeyondUnits
	c.RejectedWithinQuota += other.RejectedWithinQuota
}

// ratio returns a over b, or a if b is 0.
func ratio(a, b int) float64 { return float64(a) / math.Max(float64(b), 1) }

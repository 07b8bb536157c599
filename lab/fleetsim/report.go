package fleetsim

import (
	"fmt"
	"math"
	"strings"
	"time"
)

// Report is the result of a run. Units are those of the quotas. A true bucket is a customer's bucket as its plan
// defines it, over all gateways together.
type Report struct {
	Requests            int // of clients, retries included
	Succeeded           int
	Rejected            int
	RejectedWithinQuota int // rejections while the customer's true bucket held half a burst or more
	TimedOut            int // attempts
	RejectedByHost      int // attempts that a host rejected
	LateSuccesses       int // successes beyond the latency objective

	Forwarded    float64 // units of requests that were sent to a host
	OverQuota    float64 // forwarded units beyond the true buckets
	OverInFlight int     // first attempts beyond a plan's cap on requests in flight
	OverCeiling  float64 // units beyond a hard ceiling and its slack: a broken rule

	Messages        int // received
	MessageBytes    int // of these
	DroppedMessages int // messages lost, or over a receiver's budget
	Batches         int // of events

	MeanHostsUsed     float64 // mean number of hosts that a gateway sent to
	BusiestHost       float64 // attempts at the busiest host over the mean
	MeanInFlightLimit float64 // mean over gateways and seconds of the concurrency limit
	MeanInFlight      float64 // the same of the requests in flight
	MeanLateness      float64 // the same of the fraction of late answers

	Plans     []PlanReport
	Customers []CustomerReport
	Trace     []BucketSample
	Windows   []Window // of 5 s each
}

// Window counts units of the heavy customers of the first plan in a part of the run.
type Window struct {
	Forwarded int
	OverQuota int // of the forwarded ones
}

// PlanReport is the part of one plan in a Report.
type PlanReport struct {
	Name                string
	Requests            int
	Rejected            int
	RejectedWithinQuota int
	Forwarded           float64 // units
	OverQuota           float64 // units, of the forwarded ones
}

// CustomerReport is the part of one customer in a Report. Counts are of requests of one unit.
type CustomerReport struct {
	Name                string
	Plan                string
	Spread              int     // gateways in its set
	DemandOverQuota     float64 // demand over quota rate, while it sends requests
	Heavy               bool
	Spiky               bool
	NewRequests         int // without retries
	IdealAdmitted       int // new requests that one limiter for the whole fleet would admit
	Requests            int
	Forwarded           int
	OverQuota           int // of the forwarded ones
	RejectedWithinQuota int

	weight        float64 // of a unit within the quota
	overQuotaCost float64 // of a unit beyond the quota, over the weight
}

// BucketSample is the state of a heavy customer at one time: its true bucket beside the copies of some of its gateways.
type BucketSample struct {
	At        time.Duration
	Plan      string
	TrueUnits float64   // units in the true bucket
	CopyUnits []float64 // units in the copies
	PeerRates []float64 // units a second that these gateways expect their peers to admit
}

// String returns the report in one line.
func (p PlanReport) String() string {
	return fmt.Sprintf("%s: requests %d rejected %.3f (within quota %.3f), over quota %.3f",
		p.Name,
		p.Requests,
		ratio(p.Rejected, p.Requests),
		ratio(p.RejectedWithinQuota, p.Requests),
		p.OverQuota/math.Max(p.Forwarded, 1e-9))
}

// OverQuotaShare returns the fraction of the forwarded units that were beyond the quotas.
func (r Report) OverQuotaShare() float64 { return r.OverQuota / math.Max(r.Forwarded, 1e-9) }

// RejectedWithinQuotaShare returns the fraction of the requests that were rejected while the customer's true bucket
// held half a burst or more.
func (r Report) RejectedWithinQuotaShare() float64 { return ratio(r.RejectedWithinQuota, r.Requests) }

// MessageSize returns the mean size of a message in bytes.
func (r Report) MessageSize() float64 { return ratio(r.MessageBytes, r.Messages) }

// String returns the report in one line.
func (r Report) String() string {
	parts := []string{
		fmt.Sprintf("requests %d succeeded %.3f rejected %.3f (within quota %.3f) timed out %.3f late %.3f",
			r.Requests,
			ratio(r.Succeeded, r.Requests),
			ratio(r.Rejected, r.Requests),
			r.RejectedWithinQuotaShare(),
			ratio(r.TimedOut, r.Requests),
			ratio(r.LateSuccesses, r.Requests)),
		fmt.Sprintf("units %.0f, over quotas %.3f, over caps in flight %d, over ceilings %.1f",
			r.Forwarded, r.OverQuotaShare(), r.OverInFlight, r.OverCeiling),
		fmt.Sprintf("messages %d (%.0f B each), dropped %d", r.Messages, r.MessageSize(), r.DroppedMessages),
		fmt.Sprintf("hosts a gateway %.1f, busiest host %.2f of the mean", r.MeanHostsUsed, r.BusiestHost),
		fmt.Sprintf("%d batches", r.Batches),
		fmt.Sprintf("limit %.2f in flight %.2f late %.2f", r.MeanInFlightLimit, r.MeanInFlight, r.MeanLateness),
	}
	for _, p := range r.Plans {
		parts = append(parts, p.String())
	}
	return strings.Join(parts, "; ")
}

// RelativeValue returns the value of the forwarded units within the true buckets less the cost of those beyond them, over the
// value of what one limiter for the whole fleet would admit. No customer counts for more than the latter.
func (r Report) RelativeValue() float64 {
	value, ideal := 0.0, 0.0
	for _, c := range r.Customers {
		within := math.Min(float64(c.Forwarded-c.OverQuota), float64(c.IdealAdmitted))
		value += c.weight * (within - c.overQuotaCost*float64(c.OverQuota))
		ideal += c.weight * float64(c.IdealAdmitted)
	}
	return value / math.Max(ideal, 1e-9)
}

// QuotaUtilization returns the forwarded units within the quotas over what one limiter for the whole fleet would admit.
func (r Report) QuotaUtilization() float64 {
	within, ideal := 0, 0
	for _, c := range r.Customers {
		within += min(c.Forwarded-c.OverQuota, c.IdealAdmitted)
		ideal += c.IdealAdmitted
	}
	return ratio(within, ideal)
}

// ratio returns a over b, or a if b is 0.
func ratio(a, b int) float64 { return float64(a) / math.Max(float64(b), 1) }

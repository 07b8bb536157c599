package fleetsim

import (
	"fmt"
	"math"
	"strings"
	"time"
)

// Report is the result of a simulation. Units are those of the quotas. A customer's true bucket is its token bucket as
// the plan defines it, over all gateways together.
type Report struct {
	Requests            int // requests of clients, retries included
	Succeeded           int // requests
	Rejected            int // requests that gateways rejected
	RejectedWithinQuota int // of Rejected: the customer's true bucket held half a burst or more
	TimedOut            int // attempts
	RejectedByHost      int // attempts that a host with a full queue rejected
	LateSuccesses       int // of Succeeded: later than the latency objective

	Forwarded    float64 // units of requests that were sent to a host
	OverQuota    float64 // of Forwarded: units that the true buckets lacked
	OverInFlight int     // requests sent to a host beyond the plan's cap on requests in flight
	OverCeiling  float64 // of Forwarded: units beyond a hard ceiling and its slack; any is a violation

	Messages        int // messages that gateways received
	MessageBytes    int // bytes of these messages
	DroppedMessages int // messages that were lost or exceeded GossipRateLimit
	Batches         int // batches of events that gateways handled

	MeanHostsUsed     float64 // mean number of hosts that a gateway sent attempts to
	BusiestHost       float64 // ratio of the attempts at the busiest host to the mean
	MeanInFlightLimit float64 // concurrency limit of a gateway, mean over gateways and seconds
	MeanInFlight      float64 // requests in flight of a gateway, mean over gateways and seconds
	MeanLateness      float64 // fraction of late answers of a gateway, mean over gateways and seconds

	Plans     []PlanReport // in the order of Config.Plans
	Customers []CustomerReport
	Trace     []BucketSample // empty without Config.TraceInterval
	Windows   []Window       // consecutive parts of 5 s
}

// Window counts the units of the heavy customers of the first plan in a part of the simulation.
type Window struct {
	Forwarded int
	OverQuota int // of Forwarded: the true bucket lacked them
}

// PlanReport is the part of a Report on one plan. Its fields are defined as those of Report.
type PlanReport struct {
	Name                string
	Requests            int
	Rejected            int
	RejectedWithinQuota int
	Forwarded           float64 // units
	OverQuota           float64 // units
}

// CustomerReport is the part of a Report on one customer. Counts are of requests, each of one unit.
type CustomerReport struct {
	Name                string
	Plan                string
	Spread              int     // number of gateways in its set
	DemandOverQuota     float64 // ratio of its demand, while it sends requests, to the rate of its quota
	Heavy               bool    // demands more than its quota
	Spiky               bool    // sends requests in spikes only
	NewRequests         int     // requests without retries
	IdealAdmitted       int     // of NewRequests: admitted by the ideal limiter, a single one for the whole fleet
	Requests            int     // requests with retries
	Forwarded           int
	OverQuota           int // of Forwarded: the true bucket lacked the unit
	RejectedWithinQuota int

	weight        float64 // value of a unit within the quota
	overQuotaCost float64 // ratio of the cost of a unit beyond the quota to the weight
}

// BucketSample is the state of a heavy customer at one time: its true bucket and the buckets that some of its gateways
// keep for it.
type BucketSample struct {
	At        time.Duration // since the start
	Plan      string        // name of the plan
	TrueUnits float64       // units in the true bucket
	CopyUnits []float64     // units in the bucket of each of these gateways
	PeerRates []float64     // units per second that each of these gateways expects its peers to admit
}

// String returns the plan's part of the report in one line.
func (p PlanReport) String() string {
	return fmt.Sprintf("%s: requests %d rejected %.3f (within quota %.3f), over quota %.3f",
		p.Name,
		p.Requests,
		ratio(p.Rejected, p.Requests),
		ratio(p.RejectedWithinQuota, p.Requests),
		p.OverQuota/math.Max(p.Forwarded, 1e-9))
}

// OverQuotaShare returns the fraction of the forwarded units that were beyond the quotas; 0 if none was forwarded.
func (r Report) OverQuotaShare() float64 { return r.OverQuota / math.Max(r.Forwarded, 1e-9) }

// RejectedWithinQuotaShare returns the fraction of the requests that were rejected while the customer's true bucket
// held half a burst or more.
func (r Report) RejectedWithinQuotaShare() float64 { return ratio(r.RejectedWithinQuota, r.Requests) }

// MessageSize returns the mean size of a received message in bytes.
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

// RelativeValue returns the value of the forwarded units within the quotas less the cost of those beyond them, as a
// fraction of the value of what the ideal limiter, a single one for the whole fleet, would admit. The units of a
// customer within the quota count up to the number that the ideal limiter would admit.
func (r Report) RelativeValue() float64 {
	value, ideal := 0.0, 0.0
	for _, c := range r.Customers {
		within := math.Min(float64(c.Forwarded-c.OverQuota), float64(c.IdealAdmitted))
		value += c.weight * (within - c.overQuotaCost*float64(c.OverQuota))
		ideal += c.weight * float64(c.IdealAdmitted)
	}
	return value / math.Max(ideal, 1e-9)
}

// QuotaUtilization returns the ratio of the forwarded units within the quotas to what the ideal limiter, a single one
// for the whole fleet, would admit.
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

package logic

import "fmt"

// Why a request was denied, counted in Gauges.
const (
	ByQuota = iota // the copy lacks the units
	ByCeiling
	ByUnanswered // most of the customer's requests go unanswered
	ByLate       // no answer could come in time
	ByCap        // too many of the customer's are out
	ByHosts      // the limit on what is out, or no host will do
	ByFailure    // its attempt failed and a repeat is harmless
	Reasons
)

var reasonNames = [Reasons]string{"quota", "ceiling", "unanswered", "late", "cap", "hosts", "failure"}

// Gauges are figures of what the module holds, for metrics and the laboratory; nothing is decided by them.
type Gauges struct {
	Limit, Late          float64 // on attempts in flight from here; mean part of the target that answers take
	Out, Customers, Reqs int
	Passed               int          // requests sent on, since the start
	Denied               [Reasons]int // requests denied, since the start, by reason (ByQuota...)
}

func (g *Gateway) Gauges() Gauges {
	return Gauges{g.endpoints.limit.Limit(), g.endpoints.limit.Late(), g.endpoints.inFlight, len(g.customers), len(g.requests),
		g.admitted, g.rejected}
}

// Copy tells the level of this gateway's copy of a customer's bucket, in units, as of its last refill, and the
// units a second that it takes its peers to admit. A customer it holds no record of is not known.
func (g *Gateway) Copy(customer string) (level, others float64, known bool) {
	c := g.customers[hashText(customer)]
	if c == nil {
		return 0, 0, false
	}
	return c.level, c.peerRate, true
}

// Tally gives the decisions since the start as words for the log: passed=N, then denied by reason.
func (g *Gateway) DecisionCounts() string {
	text := fmt.Sprintf("passed=%d", g.admitted)
	for i, n := range g.rejected {
		text += fmt.Sprintf(" %s=%d", reasonNames[i], n)
	}
	if g.format.ByID {
		text += fmt.Sprintf(" totals_unmatched=%d", g.unmatchedCounters)
	}
	return text
}

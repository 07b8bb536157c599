// Package counterfactual estimates which response times the hosts that were not chosen would have had, and so what
// another routing rule would have gained or lost. A Summarizer at each gateway adds up the records of ended attempts
// into a summary of each window, a Ledger at a collector merges the summaries of all gateways, and Ledger.EstimateRules
// returns estimates with confidence intervals, or the reason why there are none. The package does no I/O, reads no
// clock and has no effect on routing. docs/counterfactual.md has the design and its sources.
package counterfactual

import (
	"slices"
	"time"
)

// Rule is a way to choose the host of an attempt from its candidates.
type Rule int

// Rules. Their numbers are the indices of the arrays in messages from gateways to collectors.
const (
	Logged      Rule = iota // the host that the gateway chose
	NextInRank              // the next eligible host in the customer's ranking; as Logged if there is none
	LeastLoaded             // the least loaded candidate; of several, each with equal probability
	PowerOfTwo              // the less loaded of two random candidates
	Random                  // a random candidate
	OtherZone               // a random eligible candidate outside the chosen one's zone; as Logged if there is none
	OneHost                 // one given host, for the attempts that could have gone there
	NumRules                // number of rules, none itself
)

// ruleNames are the names in queries and answers, by Rule.
var ruleNames = [NumRules]string{"logged", "next", "least", "two", "chance", "zone", "single"}

// String returns the rule's name in queries and answers.
func (r Rule) String() string { return ruleNames[r] }

// ParseRule returns the rule with a name, as returned by String, or false if there is none.
func ParseRule(name string) (Rule, bool) {
	i := slices.Index(ruleNames[:], name)
	return Rule(max(i, 0)), i >= 0
}

// Outcome is what the end of an attempt shows about the host's response time.
type Outcome uint8

// Outcomes.
const (
	Answered Outcome = iota // the host responded after Record.Latency
	Censored                // timed out, canceled or the client gone: the response time is longer than Record.Latency
	Failed                  // an error, a rejection or a broken connection: there would never have been a response
)

// Candidate is a host that was available for an attempt. It is eligible, that is, the gateway could have chosen it, if
// its probability is above 0. The JSON names of Candidate and Record are those of the records file.
type Candidate struct {
	Host        uint32  // number of the host
	Incarnation uint32  `json:"Born"` // identifies the host's process: a restarted host counts as another one
	Zone        int     // index of the zone, from 0 to 255
	Probability float64 `json:"Chance"` // probability that the gateway chooses this candidate for a random customer
	Load        float64 // estimated by the gateway when it chose; not negative
}

// Record describes one ended attempt. Candidates begins with the chosen host, followed by the next eligible one in the
// customer's ranking, if there is one.
type Record struct {
	Class      int           `json:"Frontend"` // index of the request class
	Customer   uint32        // hash of the customer; attempts of a customer are correlated, which widens the intervals
	Candidates []Candidate   `json:"Options"`
	Latency    time.Duration `json:"Lag"` // time from sending the attempt to its end
	End        Outcome       // what the end shows, such as whether Latency is a response time
}

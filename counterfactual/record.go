// Package counterfactual estimates how the hosts that were not chosen would have responded, and so what another routing
// rule would have gained or lost. It does no I/O, has no clock and decides nothing: a Folder at each gateway folds
// records of attempts into summaries, a Ledger merges the summaries of all gateways, and Ledger.Panel returns figures
// with intervals, or the reason why there is none. docs/counterfactual.md has the design and its sources.
package counterfactual

import (
	"slices"
	"time"
)

// Rule is a way to choose a host from the candidate set.
type Rule int

// NumRules.
const (
	Logged      Rule = iota // as the gateway chose
	NextInRank              // the customer's next eligible host in rank; as Logged if there is none
	LeastLoaded             // the least loaded candidate; of several, any with equal probability
	PowerOfTwo              // the less loaded of two random candidates
	Random                  // a random candidate
	OtherZone               // a random eligible candidate outside the chosen one's zone; as Logged if there is none
	OneHost                 // one given host, over the attempts that could have gone there
	NumRules                // number of rules
)

// ruleNames are the names in queries and answers.
var ruleNames = [NumRules]string{"logged", "next", "least", "two", "chance", "zone", "single"}

// String returns the rule's name.
func (r Rule) String() string { return ruleNames[r] }

// ParseRule returns the rule of a name.
func ParseRule(name string) (Rule, bool) {
	i := slices.Index(ruleNames[:], name)
	return Rule(max(i, 0)), i >= 0
}

// Outcome is how an attempt ended, as far as that shows the host's response time.
type Outcome uint8

// Ends.
const (
	Answered Outcome = iota
	Censored         // timed out, canceled or the client gone: the response would have taken longer than the latency
	Failed           // an error, a rejection or a broken connection: there would never have been a response
)

// Candidate is a host that was available for an attempt. It is eligible if its probability is above 0. The JSON names
// of Candidate and Record are those of the records file.
type Candidate struct {
	Host        uint32
	Incarnation uint32 `json:"Born"` // of its process: a new process counts as another host
	Zone        int
	Probability float64 `json:"Chance"` // of being chosen, over customers; 0: available, but not eligible
	Load        float64 // the gateway's estimate at the choice
}

// Record is one attempt that ended.
type Record struct {
	Class      int           `json:"Frontend"` // request class
	Customer   uint32        // hash: customers are the clusters of the intervals
	Candidates []Candidate   `json:"Options"` // the chosen one first, then the next eligible one in rank, if any
	Latency    time.Duration `json:"Lag"`
	End        Outcome
}

package gateway

// Candidate is an endpoint that could have been chosen for an attempt.
type Candidate struct {
	Host   uint32
	Chance float64 // probability with which it would have been chosen, over customers; 0: possible, but passed over
	Load   float64 // as this gateway believes it: how long an answer would take, against the typical one
}

// CandidateObserver is an Actions that also takes in what each attempt was chosen among, right before the
// attempt; nothing is decided by it. The candidates hold until the call returns: the chosen one first, then the
// customer's next in rank with a chance, if any, then the others in no order. Within one customer the choice is
// fixed by a hash, so a chance is over customers.
type CandidateObserver interface {
	Actions
	ObserveCandidates(requestID string, customer uint32, candidates []Candidate)
}

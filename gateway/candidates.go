package gateway

// Candidate is an endpoint that could have been chosen for an attempt.
type Candidate struct {
	Host   uint32
	Chance float64 // probability of the choice, over customers; 0: possible, but not acceptable
	Load   float64 // expected latency of an answer, over the typical one
}

// CandidateObserver is an Actions that is also called with the candidates of each attempt, right before the
// attempt starts. The candidates are valid until the call returns: the chosen one first, then the customer's
// next in rank if it has a chance, then the others in no order. For one customer the choice is fixed by a hash,
// so a chance is over customers. Nothing is decided by the call.
type CandidateObserver interface {
	Actions
	ObserveCandidates(requestID string, customer uint32, candidates []Candidate)
}

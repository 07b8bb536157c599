package gateway

// Candidate is an endpoint that could have been chosen for an attempt.
type Candidate struct {
	Host   uint32  // as Endpoint.Host
	Chance float64 // fraction of customers it is chosen for; 0: available, but its load is too high
	Load   float64 // expected latency of an answer, relative to the typical latency
}

// CandidateObserver is an Actions that also receives the candidates for each attempt, right before the attempt
// starts. The candidates are valid only until the call returns. The chosen one comes first, then the one that ranks
// next for the customer if it has a chance, then the others in no particular order. A hash fixes the choice for
// each customer, so a chance is the fraction of customers. The call must not influence decisions.
type CandidateObserver interface {
	Actions
	ObserveCandidates(requestID string, customer uint32, candidates []Candidate)
}

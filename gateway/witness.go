package gateway

// Option is a host that stood open for a dispatch.
type Candidate struct {
	Host   uint32
	Chance float64 // with which it would have been chosen, over customers; 0: open, but passed over
	Load   float64 // as this gateway believes it: how long an answer would take, against the usual
}

// Witness is a Writer that also takes in what each dispatch was chosen among. The module tells it right before the
// dispatch; nothing is decided by it. Options hold until the call returns: the chosen one first, then the
// customer's next in rank with a chance, if any, then the others in no order. Within one customer the choice is
// fixed by a hash, so that a chance is over customers.
type CandidateObserver interface {
	Actions
	ObserveCandidates(req string, customer uint32, options []Candidate)
}

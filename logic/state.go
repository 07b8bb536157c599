package logic

import "ravensill/gateway"

// The records that the module keeps of reqs, customers and gateways; logic.go decides by them, and nothing is decided
// here.

// req is held from its arrival until it is closed and no dispatch is out.
type req struct {
	id             string
	customer       *customer
	front          *front
	units          float64
	arrived, until int64
	tries          int
	out, ran       *send // the dispatch that is out, and the first that may have run
	closed         bool
	slot           uint64 // the counter's number that counts it as open; 0 none
}

type send struct { // a dispatch, the nth of its req
	req  *req
	host *host
	n    int
	at   int64
}

// customer is this gateway's copy of a customer's bucket, with what its peers told of it.
type customer struct {
	hash                         uint32
	plan                         *gateway.Plan
	planID                       int
	spread, first                int
	ties                         []tie      // the peers that tell or are told of it
	begun, at, moved             int64      // start of the record, last refill, last admission here or elsewhere
	level, others                float64    // units; units a second that the peers admit
	ask, got                     float64    // units lately asked and admitted
	presumed                     float64    // units taken for peers that were not heard
	total                        [2]float64 // units admitted here, and with the others of the row
	ceiling, ceilRate, ceilDepth float64    // this gateway's part of the ceiling: store, rate and depth
	open                         int        // dispatches out from here
	bad                          float64    // part of its reqs that go unanswered
}

// tie is what a customer's copy here and at a peer know of each other.
type tie struct {
	customer      *customer
	peer          *peer
	at            int64   // of the last total heard
	seen          uint64  // last total heard
	told          float64 // last total told
	tells, queued bool
}

type peer struct {
	seat, nth               int
	wants                   int       // the total that it is told: 1 where it is in another row
	tells                   bool      // it is to be told
	latest                  *customer // with a tie to it, the nth of the customer's
	heard, first, born, due int64     // last hearing; first after silence, and of this life; next sign of life
	queue                   []*tie    // with totals to tell
	life, number, said      uint64    // its start by its own clock; its last message; messages to it
	credit                  float64   // messages that it can take
}

package logic

import (
	"ravensill/gateway"
	"ravensill/internal/mail"
	"ravensill/limit"
	"ravensill/spread"
)

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

type Gateway struct {
	now, start, heard, beaten       int64 // heard: any peer; beaten: the last beat
	nextSweep, nextAsk, asked, deaf int64 // asked for the list, or lost it; the counter is not asked until deaf
	out                             gateway.Writer
	seat                            gateway.Seat
	fronts                          []*front
	plans                           []*gateway.Plan // by index; nil: removed
	byID                            map[uint32]int  // indices of the plans by their IDs
	form                            mail.Form
	joined                          int64 // the fleet's size changed last; 0 never
	limits                          gateway.Limits
	options                         []gateway.Option // scratch, for a Witness
	customers                       map[uint32]*customer
	reqs                            map[string]*req
	calls                           map[uint64][]*req // of the counter, by number, in order
	rows                            int               // that the gateways stand in
	links                           []*peer           // the gateways that it tells or hears
	peers, to, from                 []*peer           // by seat: it, if linked; the link there, and back
	rate, age, largest              float64           // messages a second to a peer; a total, in s; units
	pause, silence, hush            int64             // between signs of life; with none: peers gone, net cut
	fleet                           fleet
	worth, spare                    float64 // usual worth of a req for its time; repeats in stock
	rnd                             *mwc
	passed, came, asks, unheard     int // reqs sent on, come since a beat; lists lost, calls unanswered
	unmatched                       int // totals dropped for their plan
	denied                          [Reasons]int
}

type front struct { // with how long its answers usually take and what its reqs ask
	gateway.Frontend
	nth          int
	usual, units float64
}

type fleet struct { // the hosts
	hosts       []*host // in a fixed order
	near        []*host // of these the subset and those sent to, in that order
	weighed     []*host // whose loads pick has set last
	cold        gateway.Cold
	rnd         *mwc
	utilAt, out int       // place of the busy share in load reports, -1 none; dispatches out from here
	seat, seats int       // where this gateway stands, among so many: for its subset
	limit       limit.Out // on these
	woke, stood int64     // the gateway last stood still until then, and how long
}

type host struct {
	spread.Host // of this gateway's subset or not
	id          uint32
	state       gateway.State
	met         bool  // sent to since it is in the list
	since       int64 // its last start
	out         []*send
	pace, util  float64 // its answers' time against the usual; told busy share
	load, allow float64 // how long an answer would take; dispatches it may get while cold
	fronts      []health
}

// health is how a host serves a frontend: it may fail one and serve the others.
type health struct {
	good, any, failed int64   // last good answer, last answer, last failure
	bad               float64 // part of the dispatches that go unanswered,
	at                int64   // as it was then
}

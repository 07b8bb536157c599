package pool

// Report is what a lease holder sends to the lease grantor.
type Report struct {
	Seat     int     // member index
	Life     uint64  // incarnation of the process
	Sent     int64   // ns of the holder's clock
	Number   uint64  // of the last grant received
	Bound    int     // under that number the gateway will never again hold more connections than this above its floor
	Held     int     // connections, dials included
	Demand   float64 // connections in use and waited for, mean since the last report
	Weight   float64
	Serial   uint64 // of the capacity that its operators configured
	Capacity int    // connections
}

// Grant is the lease grantor's answer. Units holds for one lease from Sent on, the holder's own time when it asked: the lease of a
// delayed answer is shorter by the delay, never longer.
type Grant struct {
	Seat   int    // member index
	Life   uint64 // incarnation that it is for
	Number uint64
	Units  int    // connections above the floor
	Sent   int64  // of the report that it answers
	Known  uint64 // incarnation of the member that the ledger knows
	Serial uint64 // of the capacity in force
}

// Holder is the lease holder of one gateway: it keeps the gateway to its quota. A new one, as of a process that has just started,
// has its floor only. Times are in nanoseconds of its clock.
type Holder struct {
	terms       *Terms
	member      int
	incarnation uint64
	weight      float64
	serial      uint64
	capacity    int

	grantNumber   uint64
	limit         int // connections above the floor that are allowed; under one number it only decreases
	bound         int // connections above the floor that it promises not to exceed: limit, or what is still open
	leaseEnd      int64
	boundReached  int64 // when it last held as many as bound
	lastReport    int64
	reportedBound int    // bound in the last report
	lastGrant     int64  // Sent of the last report that was answered
	serialInForce uint64 // as of the last grant

	connections     int     // open or dialed
	demand          int     // connections in use and waited for
	demandIntegral  float64 // of demand over time since averagedSince, in connections times ns
	integratedUntil int64
	averagedSince   int64
}

// NewHolder returns the lease holder of a process that starts now; its incarnation is above those of the member's earlier processes.
func NewHolder(terms *Terms, member int, incarnation uint64, weight float64, serial uint64, capacity int, now int64) *Holder {
	return &Holder{
		terms:           terms,
		member:          member,
		incarnation:     incarnation,
		weight:          weight,
		serial:          serial,
		capacity:        capacity,
		integratedUntil: now,
		averagedSince:   now,
		lastReport:      now - terms.Tell,
		lastGrant:       now,
	}
}

// Allowed returns the number of connections that may be open or dialed now. A gateway that holds more closes idle ones, and the
// others as they become idle.
func (h *Holder) Allowed(now int64) int {
	if now >= h.leaseEnd {
		h.limit = 0
	}
	return h.terms.Floor + h.limit
}

// Use sets the number of connections, dials included, and the number of requests that use one or wait for one. It is called after
// each change.
func (h *Holder) Use(now int64, connections, demand int) {
	h.demandIntegral += float64(h.demand) * float64(now-h.integratedUntil)
	h.integratedUntil = now
	h.connections = connections
	h.demand = demand
	h.lowerBound(now)
}

// Turned counts a request that was rejected for want of a connection, which it would have used for so long.
func (h *Holder) Turned(duration int64) { h.demandIntegral += float64(duration) }

// lowerBound lowers the bound once the connections above it have been closed for long enough.
func (h *Holder) lowerBound(now int64) {
	h.Allowed(now)
	bound := max(h.limit, h.connections-h.terms.Floor)
	if bound >= h.bound {
		h.boundReached = now
	} else if now-h.boundReached >= h.terms.Rest {
		h.bound = bound
	}
}

// Hear handles a grant. One for another incarnation, or an older one, changes nothing.
func (h *Holder) Hear(now int64, grant *Grant) {
	if grant.Seat != h.member {
		return
	}
	if grant.Life != h.incarnation {
		if grant.Life < h.incarnation && grant.Known > h.incarnation { // the clock that numbers incarnations was set back
			h.incarnation = grant.Known + 1
		}
		return
	}
	if grant.Number < h.grantNumber || grant.Sent > now || grant.Units < 0 {
		return
	}
	h.lowerBound(now)
	if grant.Number > h.grantNumber {
		h.grantNumber = grant.Number
		h.limit = grant.Units
		h.bound = max(h.bound, grant.Units)
		h.boundReached = now
	} else {
		h.limit = min(h.limit, grant.Units)
	}
	h.leaseEnd = max(h.leaseEnd, grant.Sent+h.terms.Lease)
	h.lastGrant = max(h.lastGrant, grant.Sent)
	h.serialInForce = grant.Serial
	h.lowerBound(now)
}

// Report returns the report to be sent now, or nil: one is due after each interval, or earlier if units can be given back.
func (h *Holder) Report(now int64) *Report {
	h.lowerBound(now)
	sinceReport := now - h.lastReport
	givesBack := h.bound < h.reportedBound && sinceReport >= h.terms.Tell/8
	if sinceReport < h.terms.Tell && !givesBack {
		return nil
	}
	h.Use(now, h.connections, h.demand)
	report := &Report{
		Seat:   h.member,
		Life:   h.incarnation,
		Sent:   now,
		Number: h.grantNumber,
		Bound:  h.bound,
		Held:   h.connections,
		Demand: float64(h.demand),
		Weight: h.weight,
	}
	if now > h.averagedSince {
		report.Demand = h.demandIntegral / float64(now-h.averagedSince)
	}
	if sinceReport >= h.terms.Tell { // a mean over less says little
		h.demandIntegral = 0
		h.averagedSince = now
	}
	if h.serial > h.serialInForce {
		report.Serial = h.serial
		report.Capacity = h.capacity
	}
	h.lastReport = now
	h.reportedBound = h.bound
	return report
}

// Due returns when Report or Allowed must be called again at the latest.
func (h *Holder) Due(now int64) int64 {
	due := h.lastReport + h.terms.Tell
	if h.bound > max(h.limit, h.connections-h.terms.Floor) {
		due = min(due, max(h.boundReached+h.terms.Rest, h.lastReport+h.terms.Tell/8))
	}
	if h.limit > 0 {
		due = min(due, h.leaseEnd)
	}
	return max(due, now)
}

// Heard returns the time of the last report that was answered.
func (h *Holder) Heard() int64 { return h.lastGrant }

// Capacity sets the capacity that the operators configured; an older serial changes nothing.
func (h *Holder) Capacity(serial uint64, capacity int) {
	if serial > h.serial {
		h.serial = serial
		h.capacity = capacity
	}
}

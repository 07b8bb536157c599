package pool

// Report is what a lease holder sends to the lease grantor, as JSON with the names of earlier releases.
type Report struct {
	Member      int     `json:"Seat"` // member index
	Incarnation uint64  `json:"Life"` // incarnation of the process
	Sent        int64   // ns of the holder's clock
	Number      uint64  // of the last grant received
	Bound       int     // under that number the gateway will never again hold more connections than this above its floor
	Connections int     `json:"Held"` // connections, dials included
	Demand      float64 // connections in use and waited for, mean since the last report
	Weight      float64
	Serial      uint64 // of the capacity that its operators configured
	Capacity    int    // connections
}

// Grant is the lease grantor's answer. Units holds for one lease from Sent on, the holder's own time when it asked: the lease of a
// delayed answer is shorter by the delay, never longer. It is sent as JSON with the names of earlier releases.
type Grant struct {
	Member           int    `json:"Seat"` // member index
	Incarnation      uint64 `json:"Life"` // incarnation that it is for
	Number           uint64
	Units            int    // connections above the floor
	Sent             int64  // of the report that it answers
	KnownIncarnation uint64 `json:"Known"` // incarnation of the member that the ledger knows
	Serial           uint64 // of the capacity in force
}

// Leaseholder keeps one gateway to its quota. A new one, as of a process that has just started, has its floor only. Times are in nanoseconds of its clock.
type Leaseholder struct {
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

// NewLeaseholder returns the lease holder of a process that starts now. Its incarnation must be above those of the member's earlier
// processes.
func NewLeaseholder(terms *Terms, member int, incarnation uint64, weight float64, serial uint64, capacity int,
	now int64) *Leaseholder {
	return &Leaseholder{
		terms:           terms,
		member:          member,
		incarnation:     incarnation,
		weight:          weight,
		serial:          serial,
		capacity:        capacity,
		integratedUntil: now,
		averagedSince:   now,
		lastReport:      now - terms.ReportInterval,
		lastGrant:       now,
	}
}

// Allowed returns the number of connections that may be open or dialed now. A gateway that holds more closes idle ones, and the
// others as they become idle.
func (h *Leaseholder) Allowed(now int64) int {
	if now >= h.leaseEnd {
		h.limit = 0
	}
	return h.terms.Floor + h.limit
}

// SetUsage sets the number of connections, dials included, and the number of requests that use one or wait for one. It is called
// after each change.
func (h *Leaseholder) SetUsage(now int64, connections, demand int) {
	h.demandIntegral += float64(h.demand) * float64(now-h.integratedUntil)
	h.integratedUntil = now
	h.connections = connections
	h.demand = demand
	h.lowerBound(now)
}

// AddRejected counts a request that was rejected for want of a connection, which it would have used for so long.
func (h *Leaseholder) AddRejected(duration int64) { h.demandIntegral += float64(duration) }

// lowerBound lowers the bound once the connections above it have been closed for long enough.
func (h *Leaseholder) lowerBound(now int64) {
	h.Allowed(now)
	bound := max(h.limit, h.connections-h.terms.Floor)
	if bound >= h.bound {
		h.boundReached = now
	} else if now-h.boundReached >= h.terms.CloseDelay {
		h.bound = bound
	}
}

// Receive handles a grant. One for another incarnation, or an older one, changes nothing.
func (h *Leaseholder) Receive(now int64, grant *Grant) {
	if grant.Member != h.member {
		return
	}
	if grant.Incarnation != h.incarnation {
		clockSetBack := grant.Incarnation < h.incarnation && grant.KnownIncarnation > h.incarnation // the one that numbers incarnations
		if clockSetBack {
			h.incarnation = grant.KnownIncarnation + 1
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
func (h *Leaseholder) Report(now int64) *Report {
	h.lowerBound(now)
	sinceReport := now - h.lastReport
	givesBack := h.bound < h.reportedBound && sinceReport >= h.terms.ReportInterval/8
	if sinceReport < h.terms.ReportInterval && !givesBack {
		return nil
	}
	h.SetUsage(now, h.connections, h.demand)
	report := &Report{
		Member:      h.member,
		Incarnation: h.incarnation,
		Sent:        now,
		Number:      h.grantNumber,
		Bound:       h.bound,
		Connections: h.connections,
		Demand:      float64(h.demand),
		Weight:      h.weight,
	}
	if now > h.averagedSince {
		report.Demand = h.demandIntegral / float64(now-h.averagedSince)
	}
	if sinceReport >= h.terms.ReportInterval { // a mean over less says little
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
func (h *Leaseholder) Due(now int64) int64 {
	due := h.lastReport + h.terms.ReportInterval
	if h.bound > max(h.limit, h.connections-h.terms.Floor) {
		due = min(due, max(h.boundReached+h.terms.CloseDelay, h.lastReport+h.terms.ReportInterval/8))
	}
	if h.limit > 0 {
		due = min(due, h.leaseEnd)
	}
	return max(due, now)
}

// LastAnswered returns the time of the last report that was answered.
func (h *Leaseholder) LastAnswered() int64 { return h.lastGrant }

// SetCapacity sets the capacity that the operators configured; an older serial changes nothing.
func (h *Leaseholder) SetCapacity(serial uint64, capacity int) {
	if serial > h.serial {
		h.serial = serial
		h.capacity = capacity
	}
}

package pool

import "time"

// Report is the message of a lease holder to the grantor. Its JSON form has the names of earlier releases.
type Report struct {
	Member      int     `json:"Seat"` // member index
	Incarnation uint64  `json:"Life"` // of the process
	Sent        Instant // by the holder's clock
	Number      uint64  // of the latest grant received

	// Bound is the number of connections above its floor that the gateway will not exceed again under that grant number.
	Bound int

	Connections int     `json:"Held"` // open or being dialed
	Demand      float64 // mean number of connections in use or waited for since the report before
	Weight      float64
	Serial      uint64 // of the configured capacity
	Capacity    int    // connections
}

// Grant is the message of the grantor to a lease holder. Units are leased from Sent on, which is by the holder's own
// clock, so that a delayed grant has a shorter lease and never a longer one. Its JSON form has the names of earlier
// releases.
type Grant struct {
	Member           int    `json:"Seat"` // member index
	Incarnation      uint64 `json:"Life"` // of the report that it answers
	Number           uint64
	Units            int     // connections above the floor
	Sent             Instant // of the report that it answers
	KnownIncarnation uint64  `json:"Known"` // of the member in the ledger
	Serial           uint64  // of the capacity in force
}

// Leaseholder keeps one gateway to its quota. It starts without a lease, so the gateway may have only its floor of
// connections.
type Leaseholder struct {
	terms       *Terms
	member      int
	incarnation uint64
	weight      float64
	serial      uint64
	capacity    int

	grantNumber   uint64
	limit         int // connections above the floor that are allowed; it only decreases under one number
	bound         int // connections above the floor that it will not exceed: limit, or those that are still open
	leaseEnd      Instant
	boundReached  Instant // when the gateway last had as many connections as bound
	lastReport    Instant
	reportedBound int     // bound in the latest report
	lastGrant     Instant // Sent of the latest report that was answered
	serialInForce uint64  // as of the latest grant

	connections     int     // open or being dialed
	demand          int     // connections in use or waited for
	demandIntegral  float64 // of demand over time since averagedSince, in connections times nanoseconds
	integratedUntil Instant
	averagedSince   Instant
}

// earlyReportShare is the share of the report interval after which a report that returns units may be sent early.
const earlyReportShare = 8

// NewLeaseholder returns the lease holder of a process that starts now. Its incarnation must be above those of the
// member's earlier processes.
func NewLeaseholder(
	terms *Terms,
	member int,
	incarnation uint64,
	weight float64,
	serial uint64,
	capacity int,
	now Instant,
) *Leaseholder {
	return &Leaseholder{
		terms:           terms,
		member:          member,
		incarnation:     incarnation,
		weight:          weight,
		serial:          serial,
		capacity:        capacity,
		integratedUntil: now,
		averagedSince:   now,
		lastReport:      now.Add(-terms.ReportInterval),
		lastGrant:       now,
	}
}

// Allowed returns the number of connections that may be open or being dialed now. A gateway that has more closes idle
// ones, and the others when they become idle.
func (h *Leaseholder) Allowed(now Instant) int {
	if now >= h.leaseEnd {
		h.limit = 0
	}
	return h.terms.Floor + h.limit
}

// SetUsage sets the number of connections, open or being dialed, and the number of requests that use one or wait for
// one. It has to be called after each change.
func (h *Leaseholder) SetUsage(now Instant, connections, demand int) {
	h.demandIntegral += float64(h.demand) * float64(now.Sub(h.integratedUntil))
	h.integratedUntil = now
	h.connections = connections
	h.demand = demand
	h.lowerBound(now)
}

// AddRejected adds the demand of a request that was rejected for lack of a connection, by the time that it would have
// used one.
func (h *Leaseholder) AddRejected(serviceTime time.Duration) {
	h.demandIntegral += float64(serviceTime)
}

// lowerBound lowers the bound after the connections above it have been closed for CloseDelay.
func (h *Leaseholder) lowerBound(now Instant) {
	h.Allowed(now)
	bound := max(h.limit, h.connections-h.terms.Floor)
	if bound >= h.bound {
		h.boundReached = now
	} else if now.Sub(h.boundReached) >= h.terms.CloseDelay {
		h.bound = bound
	}
}

// Receive handles a grant. It ignores one for another incarnation and an older one.
func (h *Leaseholder) Receive(now Instant, grant *Grant) {
	if grant.Member != h.member {
		return
	}
	if grant.Incarnation != h.incarnation {
		// Incarnations come from the wall clock, which may have been set back since the one that the ledger has.
		clockSetBack := grant.Incarnation < h.incarnation && grant.KnownIncarnation > h.incarnation
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
	h.leaseEnd = max(h.leaseEnd, grant.Sent.Add(h.terms.Lease))
	h.lastGrant = max(h.lastGrant, grant.Sent)
	h.serialInForce = grant.Serial
	h.lowerBound(now)
}

// Report returns the report to send now, or nil. One is due after each interval, or earlier if units can be returned.
func (h *Leaseholder) Report(now Instant) *Report {
	h.lowerBound(now)
	sinceReport := now.Sub(h.lastReport)
	returnsUnits := h.bound < h.reportedBound && sinceReport >= h.terms.ReportInterval/earlyReportShare
	if sinceReport < h.terms.ReportInterval && !returnsUnits {
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
		report.Demand = h.demandIntegral / float64(now.Sub(h.averagedSince))
	}
	if sinceReport >= h.terms.ReportInterval { // a mean over less time is too noisy
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

// NextDeadline returns the latest time for the next call of Report or Allowed.
func (h *Leaseholder) NextDeadline(now Instant) Instant {
	due := h.lastReport.Add(h.terms.ReportInterval)
	if h.bound > max(h.limit, h.connections-h.terms.Floor) {
		closed := h.boundReached.Add(h.terms.CloseDelay)
		earlyReport := h.lastReport.Add(h.terms.ReportInterval / earlyReportShare)
		due = min(due, max(closed, earlyReport))
	}
	if h.limit > 0 {
		due = min(due, h.leaseEnd)
	}
	return max(due, now)
}

// LastAnswered returns the time of the latest report that was answered.
func (h *Leaseholder) LastAnswered() Instant { return h.lastGrant }

// SetCapacity sets the configured capacity, unless its serial is older.
func (h *Leaseholder) SetCapacity(serial uint64, capacity int) {
	if serial > h.serial {
		h.serial = serial
		h.capacity = capacity
	}
}

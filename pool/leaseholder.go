package pool

import "time"

// Report is the message of a lease holder to the grantor. Its JSON keys are those of earlier releases, so that gateways
// of different releases understand each other.
type Report struct {
	Member      int     `json:"Seat"` // member index
	Incarnation uint64  `json:"Life"` // of the gateway's process; a later process has a higher one
	Sent        Instant // when the report was sent, by the holder's clock
	Number      uint64  // Grant.Number of the latest grant received; 0: none

	// Bound is the number of connections above the floor that the gateway will not exceed under the grant with Number.
	// The units leased beyond it are returned.
	Bound int

	Connections int     `json:"Held"` // open or being dialed
	Demand      float64 // mean number of connections in use or waited for since the last report that was not early
	Weight      float64 // weight of the gateway's claim to units
	Serial      uint64  // serial of Capacity; 0: the grantor has that capacity or a later one
	Capacity    int     // configured number of connections that the store accepts; 0 if Serial is 0
}

// Grant is the message of the grantor to a lease holder. The lease starts at Sent, an instant of the holder's own
// clock, so a delayed grant shortens the lease and never lengthens it. Its JSON keys are those of earlier releases, so
// that gateways of different releases understand each other.
type Grant struct {
	Member           int     `json:"Seat"` // member index
	Incarnation      uint64  `json:"Life"` // of the process that the grant is for
	Number           uint64  // Entry.Number of the member's ledger entry; 0 if that is of another incarnation
	Units            int     // leased connections above the floor
	Sent             Instant // Report.Sent of the latest report whose batch was committed
	KnownIncarnation uint64  `json:"Known"` // of the member in the ledger
	Serial           uint64  // serial of the capacity in force
}

// Leaseholder computes how many connections one gateway may have. It starts without a lease, which allows only the
// floor. It is not safe for concurrent use.
type Leaseholder struct {
	terms          *Terms
	member         int    // member index
	incarnation    uint64 // of this process
	weight         float64
	capacitySerial uint64 // serial of capacity
	capacity       int    // configured number of connections that the store accepts

	grantNumber      uint64  // Grant.Number of the latest grant; 0: none
	limit            int     // connections above the floor that are allowed; under one grant number it never increases
	bound            int     // connections above the floor that are never exceeded under grantNumber; at least limit
	leaseEnd         Instant // when the lease expires
	lastAtBound      Instant // when limit or the connections above the floor last reached bound
	lastReportSent   Instant
	reportedBound    int     // bound in the latest report
	lastAnsweredSent Instant // Sent of the latest report that was answered; before the first answer: the start
	serialInForce    uint64  // serial of the capacity in force, as of the latest grant

	connections     int     // open or being dialed
	demand          int     // connections in use or waited for
	demandIntegral  float64 // integral of demand since averagedSince, in connections times nanoseconds
	integratedUntil Instant // end of the time that demandIntegral covers
	averagedSince   Instant // start of the time that demandIntegral covers
}

// earlyReportDivisor divides the report interval: after that part of it, a report that returns units is sent early.
const earlyReportDivisor = 8

// NewLeaseholder returns the lease holder of a gateway process that starts now. The incarnation must be higher than
// those of the member's earlier processes. capacity is the configured number of connections that the store accepts, and
// the one with the highest serial among the gateways is in force.
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
		terms:            terms,
		member:           member,
		incarnation:      incarnation,
		weight:           weight,
		capacitySerial:   serial,
		capacity:         capacity,
		integratedUntil:  now,
		averagedSince:    now,
		lastReportSent:   now.Add(-terms.ReportInterval),
		lastAnsweredSent: now,
	}
}

// Allowed returns the number of connections that may be open or being dialed now. A gateway with more connections has
// to close idle ones at once, and busy ones as soon as they become idle.
func (h *Leaseholder) Allowed(now Instant) int {
	if now >= h.leaseEnd {
		h.limit = 0
	}
	return h.terms.Floor + h.limit
}

// SetUsage records the number of connections that are open or being dialed, and the demand: the number of requests that
// use a connection or wait for one. It has to be called after each change of either number.
func (h *Leaseholder) SetUsage(now Instant, connections, demand int) {
	h.demandIntegral += float64(h.demand) * float64(now.Sub(h.integratedUntil))
	h.integratedUntil = now
	h.connections = connections
	h.demand = demand
	h.updateBound(now)
}

// AddRejected adds to the demand a request that was rejected for lack of a connection. serviceTime is the time for
// which it would have used one.
func (h *Leaseholder) AddRejected(serviceTime time.Duration) {
	h.demandIntegral += float64(serviceTime)
}

// updateBound lowers bound to the connections that are still allowed or open, once fewer than bound have been so for
// Terms.CloseDelay: only then has the store certainly noticed that the others are closed.
func (h *Leaseholder) updateBound(now Instant) {
	h.Allowed(now)
	bound := max(h.limit, h.connections-h.terms.Floor)
	if bound >= h.bound {
		h.lastAtBound = now
	} else if now.Sub(h.lastAtBound) >= h.terms.CloseDelay {
		h.bound = bound
	}
}

// Receive handles a grant. It ignores grants for other members or incarnations, outdated grants and invalid ones.
// However, a grant for an earlier incarnation makes the lease holder change to a higher incarnation if the ledger has a
// later one than the lease holder.
func (h *Leaseholder) Receive(now Instant, grant *Grant) {
	if grant.Member != h.member {
		return
	}
	if grant.Incarnation != h.incarnation {
		// Incarnations come from the wall clock. If that was set back since an earlier process of this gateway started, the
		// ledger has a later incarnation.
		clockSetBack := grant.Incarnation < h.incarnation && grant.KnownIncarnation > h.incarnation
		if clockSetBack {
			h.incarnation = grant.KnownIncarnation + 1
		}
		return
	}
	if grant.Number < h.grantNumber || grant.Sent > now || grant.Units < 0 {
		return
	}
	h.updateBound(now)
	if grant.Number > h.grantNumber {
		h.grantNumber = grant.Number
		h.limit = grant.Units
		h.bound = max(h.bound, grant.Units)
		h.lastAtBound = now
	} else {
		h.limit = min(h.limit, grant.Units)
	}
	h.leaseEnd = max(h.leaseEnd, grant.Sent.Add(h.terms.Lease))
	h.lastAnsweredSent = max(h.lastAnsweredSent, grant.Sent)
	h.serialInForce = grant.Serial
	h.updateBound(now)
}

// Report returns the report to send now, or nil if none is due. One is due after each report interval, or earlier if it
// returns units.
func (h *Leaseholder) Report(now Instant) *Report {
	h.updateBound(now)
	sinceReport := now.Sub(h.lastReportSent)
	returnsUnits := h.bound < h.reportedBound && sinceReport >= h.terms.ReportInterval/earlyReportDivisor
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
	if sinceReport >= h.terms.ReportInterval { // a mean over less time would be too noisy
		h.demandIntegral = 0
		h.averagedSince = now
	}
	if h.capacitySerial > h.serialInForce {
		report.Serial = h.capacitySerial
		report.Capacity = h.capacity
	}
	h.lastReportSent = now
	h.reportedBound = h.bound
	return report
}

// NextDeadline returns the time by which Report and Allowed have to be called again: the next report is due then, or
// the lease expires. It is never before now.
func (h *Leaseholder) NextDeadline(now Instant) Instant {
	due := h.lastReportSent.Add(h.terms.ReportInterval)
	if h.bound > max(h.limit, h.connections-h.terms.Floor) {
		closed := h.lastAtBound.Add(h.terms.CloseDelay)
		earlyReport := h.lastReportSent.Add(h.terms.ReportInterval / earlyReportDivisor)
		due = min(due, max(closed, earlyReport))
	}
	if h.limit > 0 {
		due = min(due, h.leaseEnd)
	}
	return max(due, now)
}

// LastAnswered returns when the latest report that was answered had been sent; before the first answer, the time of
// NewLeaseholder.
func (h *Leaseholder) LastAnswered() Instant { return h.lastAnsweredSent }

// SetCapacity sets the configured capacity. It does nothing unless the serial is higher than the present one.
func (h *Leaseholder) SetCapacity(serial uint64, capacity int) {
	if serial > h.capacitySerial {
		h.capacitySerial = serial
		h.capacity = capacity
	}
}

package pool

// Values of Warning.Event: the names of these events in the log.
const (
	EventRecallOverdue   = "pool_recall_overdue"   // a member has not returned recalled units in time
	EventQuotaExceeded   = "pool_quota_exceeded"   // a lease expired although its member had not returned the units
	EventUnitsStranded   = "pool_units_stranded"   // a member restarted; its previous units are unusable until they expire
	EventCapacityRefused = "pool_capacity_refused" // a reported capacity is less than all floors and the reserve together
)

// Warning is a condition that the owner of a Grantor logs for the operators.
type Warning struct {
	Event       string // one of the Event constants
	Member      int    // member index
	Incarnation uint64 // of the member's process that the event is about
	Units       int    // units concerned; with EventCapacityRefused, the refused capacity
}

// Grantor decides which member leases how many units, while the raft voter that owns it is the leader. If the outcome
// of a proposal is unknown, the voter replaces its Grantor by a new one, which assumes that every lease in the ledger
// was granted at the moment of the replacement.
//
// A report is answered only after the commit of a batch that was proposed after the report arrived. Any later leader is
// therefore elected after the lease holder sent the report, so a lease that was granted earlier has expired once a
// full lease duration has passed since that election.
//
// The owner calls Receive for each report, Tick at regular intervals, and Committed after the batch of a Tick is
// committed. A Grantor is not safe for concurrent use.
type Grantor struct {
	terms            *Terms
	ledger           *Ledger       // the ledger after the latest committed batch
	members          []memberState // by member index
	electedAt        Instant       // when the Grantor was created
	batchPending     bool          // the batch of a Tick has not been committed yet
	pendingReporters []int         // members whose reports are answered when the pending batch is committed
	claims           []Claim       // claims of the latest Tick that was not skipped, by member index
	headroomIndex    int           // index in headroomMultiples of the headroom in force; beyond its end: none
}

// memberState is the state that a Grantor keeps for one member. Times are of the grantor's clock unless stated
// otherwise.
type memberState struct {
	newReport           *Report // latest report that no batch includes yet; nil: none
	proposedReport      *Report // report that the pending batch includes; nil: none
	grantedUnits        int     // Units of the latest grant that was issued
	committedReportSent Instant // Sent of the latest committed report, by the holder's clock; 0: none
	lastReportSent      Instant // Sent of the incarnation's latest report, by the holder's clock
	incarnation         uint64  // of the member's process that sent the latest report
	lastReportAt        Instant // when the latest report arrived; 0: never
	weight              float64 // from the latest report; 1 before the first
	connections         int     // open or being dialed, from the latest report
	demand              demandEstimate

	leaseEnd      Instant // time after which the member's lease has certainly expired by its own clock
	strandedUntil Instant // the same for the leases of its earlier incarnations

	target          int     // units that the member should have; fewer than leased are being recalled
	targetChangedAt Instant // when target changed last
	overTargetSince Instant // since when more units are leased than target; 0: no more are
	recallWarned    bool    // EventRecallOverdue was raised since overTargetSince
}

// aliveIntervals is the number of report intervals without a report after which a member no longer counts as alive.
const aliveIntervals = 4

// NewGrantor returns the grantor of a voter that became the leader before now. ledger holds all committed batches.
// Every lease in it is assumed to have been granted just now, since the grants of the previous leader are not recorded.
func NewGrantor(terms *Terms, now Instant, ledger *Ledger) *Grantor {
	g := &Grantor{
		terms:     terms,
		ledger:    ledger,
		members:   make([]memberState, terms.Members),
		electedAt: now,
		claims:    make([]Claim, terms.Members),
	}
	leaseEnd := now.Add(terms.WithDriftMargin(terms.Lease))
	for i := range g.members {
		entry := ledger.Entries[i]
		g.members[i] = memberState{
			leaseEnd:        leaseEnd,
			strandedUntil:   leaseEnd,
			target:          entry.Units,
			weight:          1,
			targetChangedAt: now.Add(-terms.TargetHold),
			incarnation:     entry.Incarnation,
		}
		if entry.Units > 0 { // assumed demand until the first report
			g.members[i].demand.level = float64(entry.Units + terms.Floor)
		}
	}
	return g
}

// valid reports whether demand, weight, bound and connections of a report are in their allowed ranges.
func (r *Report) valid() bool {
	return r.Demand >= 0 && r.Demand < 1e6 && r.Weight > 0 && r.Weight <= 1e3 && r.Bound >= 0 && r.Connections >= 0
}

// Receive handles a report, which the next batch of Tick includes. It ignores a report that is invalid, or that was
// sent no later than the latest one of the same incarnation. A report of an older incarnation does not change the
// member's state, and the grant that answers it has no units.
func (g *Grantor) Receive(now Instant, report *Report) {
	if report.Member < 0 || report.Member >= len(g.members) || !report.valid() {
		return
	}
	member := &g.members[report.Member]
	entry := &g.ledger.Entries[report.Member]
	if report.Incarnation < max(member.incarnation, entry.Incarnation) {
		if member.newReport == nil { // answered by a grant without units that names the later incarnation
			member.newReport = report
		}
		return
	}
	if report.Incarnation == member.incarnation && report.Sent <= member.lastReportSent {
		return
	}
	if report.Incarnation > member.incarnation {
		member.demand = demandEstimate{}
	}
	member.incarnation = report.Incarnation
	member.lastReportSent = report.Sent
	member.lastReportAt = now
	member.newReport = report
	member.weight = report.Weight
	member.connections = report.Connections
	member.demand.add(report.Demand)
}

// batchBuilder collects the changes and warnings of one Tick.
type batchBuilder struct {
	batch    Batch
	ledger   *Ledger // copy of the ledger with the batch applied so far
	warnings []Warning
}

// addChange appends a change of a member's entry to the batch and applies it to the builder's ledger.
func (b *batchBuilder) addChange(change Change) {
	change.Number = b.ledger.Entries[change.Member].Number
	b.batch.Changes = append(b.batch.Changes, change)
	b.ledger.Apply(&Batch{Changes: []Change{change}})
}

// warn adds a warning about a member.
func (b *batchBuilder) warn(event string, member int, incarnation uint64, units int) {
	b.warnings = append(b.warnings, Warning{Event: event, Member: member, Incarnation: incarnation, Units: units})
}

// Tick returns the next batch to propose, or nil if there is nothing to propose, and warnings to log. A batch without
// changes is proposed too if reports have to be answered. Tick returns nothing while a batch is pending.
func (g *Grantor) Tick(now Instant) (*Batch, []Warning) {
	if g.batchPending {
		return nil, nil
	}
	g.pendingReporters = g.pendingReporters[:0]
	b := &batchBuilder{ledger: g.ledger.Clone()}
	for i := range g.members {
		g.proposeMember(now, b, i)
	}
	g.assignUnits(now, b)
	if len(g.pendingReporters) == 0 && len(b.batch.Changes) == 0 && b.batch.Serial == 0 {
		return nil, b.warnings
	}
	g.batchPending = true
	return &b.batch, b.warnings
}

// proposeMember adds the changes that follow from a member's new report, or from the expiry of its leases without one.
func (g *Grantor) proposeMember(now Instant, b *batchBuilder, i int) {
	member := &g.members[i]
	entry := &b.ledger.Entries[i]
	drainTime := g.terms.WithDriftMargin(g.terms.Drain)
	if member.newReport != nil {
		g.proposeReport(now, b, i)
	} else if entry.Units > 0 && now > member.leaseEnd.Add(drainTime) {
		b.warn(EventQuotaExceeded, i, entry.Incarnation, entry.Units)
		b.addChange(Change{Member: i})
		member.target = 0
	}
	if entry.Stranded > 0 && now > member.strandedUntil.Add(drainTime) {
		b.addChange(Change{Member: i, Clear: true})
	}
}

// proposeReport adds the changes that follow from a member's new report: a new incarnation, returned units, or a new
// capacity. A report of the incarnation in the ledger extends the time until which its lease may last.
func (g *Grantor) proposeReport(now Instant, b *batchBuilder, i int) {
	member := &g.members[i]
	entry := &b.ledger.Entries[i]
	report := member.newReport
	g.pendingReporters = append(g.pendingReporters, i)
	member.proposedReport = report
	member.newReport = nil
	switch {
	case report.Incarnation > entry.Incarnation:
		if entry.Units > 0 {
			member.strandedUntil = max(member.strandedUntil, member.leaseEnd)
			b.warn(EventUnitsStranded, i, entry.Incarnation, entry.Units)
		}
		b.addChange(Change{Member: i, Incarnation: report.Incarnation})
		member.target = 0
		member.overTargetSince = 0
		member.committedReportSent = 0
	case report.Incarnation == entry.Incarnation && report.Number == entry.Number && report.Bound < entry.Units:
		b.addChange(Change{Member: i, Units: report.Bound})
	}
	if report.Incarnation == entry.Incarnation {
		member.leaseEnd = now.Add(g.terms.WithDriftMargin(g.terms.Lease))
	}
	g.proposeCapacity(b, report)
}

// proposeCapacity adds the capacity of a report to the batch if its serial is higher than all before. It refuses a
// capacity that is less than all floors and the reserve together.
func (g *Grantor) proposeCapacity(b *batchBuilder, report *Report) {
	if report.Serial <= max(b.ledger.Serial, b.batch.Serial) {
		return
	}
	if report.Capacity < g.terms.Floor*g.terms.Members+g.terms.Reserve {
		b.warn(EventCapacityRefused, report.Member, report.Incarnation, report.Capacity)
		return
	}
	b.batch.Serial = report.Serial
	b.batch.Capacity = report.Capacity
	b.ledger.Apply(&Batch{Serial: report.Serial, Capacity: report.Capacity})
}

// alive reports whether a member has reported within the last aliveIntervals report intervals. A member with leased
// units that has not reported since the election counts as alive for the same time after it.
func (g *Grantor) alive(now Instant, i int) bool {
	member := &g.members[i]
	if now.Sub(max(member.lastReportAt, g.electedAt)) >= aliveIntervals*g.terms.ReportInterval {
		return false
	}
	return member.lastReportAt > 0 || g.ledger.Entries[i].Units > 0
}

// Committed handles the commit of the pending batch. ledger is the ledger after the batch. Committed returns the grants
// to send: an answer to each report that the batch includes, and one for each other member whose units changed.
func (g *Grantor) Committed(ledger *Ledger) []*Grant {
	if !g.batchPending {
		return nil
	}
	g.ledger = ledger
	g.batchPending = false
	var grants []*Grant
	for _, i := range g.pendingReporters {
		member := &g.members[i]
		if member.proposedReport.Incarnation == ledger.Entries[i].Incarnation {
			member.committedReportSent = member.proposedReport.Sent
		}
		grants = append(grants, g.grant(i, member.proposedReport.Incarnation))
		member.proposedReport = nil
	}
	for i, entry := range ledger.Entries {
		member := &g.members[i]
		// A grant beyond the answers repeats the time of the latest committed report, so it does not extend the lease.
		changed := member.grantedUnits != min(entry.Units, member.target)
		if member.committedReportSent > 0 && member.incarnation == entry.Incarnation && changed {
			grants = append(grants, g.grant(i, entry.Incarnation))
		}
	}
	return grants
}

// grant returns the grant for an incarnation of a member. It has no units if the ledger has another incarnation.
func (g *Grantor) grant(i int, incarnation uint64) *Grant {
	member := &g.members[i]
	entry := g.ledger.Entries[i]
	grant := &Grant{
		Member:           i,
		Incarnation:      incarnation,
		Sent:             member.committedReportSent,
		KnownIncarnation: entry.Incarnation,
		Serial:           g.ledger.Serial,
	}
	if incarnation == entry.Incarnation {
		grant.Number = entry.Number
		grant.Units = min(entry.Units, member.target)
		member.grantedUnits = grant.Units
	}
	return grant
}

// Targets returns the number of units that each member should have, by member index.
func (g *Grantor) Targets() []int {
	targets := make([]int, len(g.members))
	for i := range g.members {
		targets[i] = g.members[i].target
	}
	return targets
}

// Claims returns the claims from which the latest targets were computed, by member index. The caller must not change
// them.
func (g *Grantor) Claims() []Claim { return g.claims }

// Connections returns the sum of the connections, open or being dialed, in the latest report of each member.
func (g *Grantor) Connections() (connections int) {
	for i := range g.members {
		connections += g.members[i].connections
	}
	return connections
}

// Totals are sums over a grantor's ledger and the latest reports of the members, for status logs.
type Totals struct {
	Capacity         int    // connections that the store accepts
	Serial           uint64 // serial of Capacity
	Leased           int    // units leased to present incarnations
	Free             int    // units that can still be leased; negative after the capacity was lowered
	Stranded         int    // units of earlier incarnations that are not free yet
	Connections      int    // the result of Grantor.Connections
	ReportingMembers int    // members that have sent a valid report to this grantor
}

// Totals returns the sums as of the latest commit and the latest reports.
func (g *Grantor) Totals() Totals {
	totals := Totals{
		Capacity:    g.ledger.Capacity,
		Serial:      g.ledger.Serial,
		Free:        g.ledger.Free(),
		Connections: g.Connections(),
	}
	for i, entry := range g.ledger.Entries {
		totals.Leased += entry.Units
		totals.Stranded += entry.Stranded
		if g.members[i].lastReportAt > 0 {
			totals.ReportingMembers++
		}
	}
	return totals
}

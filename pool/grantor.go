package pool

// Events of notes, as the log names them.
const (
	EventRecallOverdue   = "pool_recall_overdue"   // a member keeps units that were recalled
	EventQuotaExceeded   = "pool_quota_exceeded"   // a lease ran out, and its units were not returned
	EventUnitsStranded   = "pool_units_stranded"   // a member restarted; the units of its earlier incarnation expire
	EventCapacityRefused = "pool_capacity_refused" // a capacity below the floors and the reserve
)

// Warning is a message to the operators.
type Warning struct {
	Event       string
	Member      int // index
	Incarnation uint64
	Units       int
}

// Grantor is the lease grantor: it decides about leases while its raft voter leads. After a proposal with an
// uncertain outcome the voter replaces it by a new one, which assumes that every lease in the ledger was granted at
// that moment.
//
// A report is answered only after the commit of a batch that was proposed after the report arrived. So the next
// leader is elected after the lease holder sent the report, and a full lease from its election on outlasts every
// lease granted before.
//
// The owner calls Receive for each report, Tick at regular intervals, and Committed after the batch of a Tick is
// committed.
type Grantor struct {
	terms         *Terms
	ledger        *Ledger
	members       []memberState
	electedAt     Instant
	pending       bool    // a batch is proposed and not committed yet
	answering     []int   // members whose reports the pending batch answers
	claims        []Claim // claims of the latest plan
	headroomIndex int     // of headroomMultiples, in force
}

// memberState is the state of one member. Times are of the grantor's clock unless stated otherwise.
type memberState struct {
	unproposed  *Report // for the next batch
	proposed    *Report // is in the pending batch
	granted     int     // units of the latest grant
	echo        Instant // Sent of the latest committed report, by the holder's clock
	lastSent    Instant // Sent of the latest report of the incarnation, by the holder's clock
	incarnation uint64  // of the latest report
	lastReport  Instant // when the latest report arrived; 0: none has
	weight      float64
	connections int // as reported
	demand      demandEstimate

	leaseEnd      Instant // when the lease has ended for certain
	strandedUntil Instant // when the leases of earlier incarnations have ended for certain

	target          int     // units that the member should have
	targetChanged   Instant // when target changed
	overTargetSince Instant // since when the member has more units than target; 0: it does not
	recallNoted     bool    // there was a note about that
}

// aliveReports is the number of report intervals after which a silent member no longer counts as alive.
const aliveReports = 4

// NewGrantor returns the grantor of a voter that was just elected, with the committed ledger.
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
			leaseEnd:      leaseEnd,
			strandedUntil: leaseEnd,
			target:        entry.Units,
			weight:        1,
			targetChanged: now.Add(-terms.TargetHold),
			incarnation:   entry.Incarnation,
		}
		if entry.Units > 0 { // until the first report
			g.members[i].demand.level = float64(entry.Units + terms.Floor)
		}
	}
	return g
}

// valid reports whether the figures of a report are in their ranges.
func (r *Report) valid() bool {
	return r.Demand >= 0 && r.Demand < 1e6 && r.Weight > 0 && r.Weight <= 1e3 && r.Bound >= 0 && r.Connections >= 0
}

// Receive handles a report, which is included in the batch of the next Tick. It ignores reports that are not valid or
// not new.
func (g *Grantor) Receive(now Instant, report *Report) {
	if report.Member < 0 || report.Member >= len(g.members) || !report.valid() {
		return
	}
	member := &g.members[report.Member]
	entry := &g.ledger.Entries[report.Member]
	if report.Incarnation < max(member.incarnation, entry.Incarnation) {
		if member.unproposed == nil { // its grant only names the later incarnation
			member.unproposed = report
		}
		return
	}
	if report.Incarnation == member.incarnation && report.Sent <= member.lastSent {
		return
	}
	if report.Incarnation > member.incarnation {
		member.demand = demandEstimate{}
	}
	member.incarnation = report.Incarnation
	member.lastSent = report.Sent
	member.lastReport = now
	member.unproposed = report
	member.weight = report.Weight
	member.connections = report.Connections
	member.demand.add(report.Demand)
}

// proposal is a batch in preparation.
type proposal struct {
	batch  Batch
	ledger *Ledger // with the batch applied so far
	notes  []Warning
}

// add adds a change and applies it.
func (p *proposal) add(change Change) {
	change.Number = p.ledger.Entries[change.Member].Number
	p.batch.Changes = append(p.batch.Changes, change)
	p.ledger.Apply(&Batch{Changes: []Change{change}})
}

// note adds a note about a member.
func (p *proposal) note(event string, member int, incarnation uint64, units int) {
	p.notes = append(p.notes, Warning{Event: event, Member: member, Incarnation: incarnation, Units: units})
}

// Tick returns a batch to propose for what happened since the one before, or nil, and notes for the operators. It
// returns neither while a batch is pending.
func (g *Grantor) Tick(now Instant) (*Batch, []Warning) {
	if g.pending {
		return nil, nil
	}
	g.answering = g.answering[:0]
	p := &proposal{ledger: g.ledger.Clone()}
	for i := range g.members {
		g.proposeMember(now, p, i)
	}
	g.plan(now, p)
	if len(g.answering) == 0 && len(p.batch.Changes) == 0 && p.batch.Serial == 0 {
		return nil, p.notes
	}
	g.pending = true
	return &p.batch, p.notes
}

// proposeMember adds the changes by a member's report, or by the end of its leases.
func (g *Grantor) proposeMember(now Instant, p *proposal, i int) {
	member := &g.members[i]
	entry := &p.ledger.Entries[i]
	drained := g.terms.WithDriftMargin(g.terms.Drain)
	if member.unproposed != nil {
		g.proposeReport(now, p, i)
	} else if entry.Units > 0 && now > member.leaseEnd.Add(drained) {
		p.note(EventQuotaExceeded, i, entry.Incarnation, entry.Units)
		p.add(Change{Member: i})
		member.target = 0
	}
	if entry.Stranded > 0 && now > member.strandedUntil.Add(drained) {
		p.add(Change{Member: i, Clear: true})
	}
}

// proposeReport adds the changes by a member's report.
func (g *Grantor) proposeReport(now Instant, p *proposal, i int) {
	member := &g.members[i]
	entry := &p.ledger.Entries[i]
	report := member.unproposed
	g.answering = append(g.answering, i)
	member.proposed = report
	member.unproposed = nil
	switch {
	case report.Incarnation > entry.Incarnation:
		if entry.Units > 0 {
			member.strandedUntil = max(member.strandedUntil, member.leaseEnd)
			p.note(EventUnitsStranded, i, entry.Incarnation, entry.Units)
		}
		p.add(Change{Member: i, Incarnation: report.Incarnation})
		member.target = 0
		member.overTargetSince = 0
		member.echo = 0
	case report.Incarnation == entry.Incarnation && report.Number == entry.Number && report.Bound < entry.Units:
		p.add(Change{Member: i, Units: report.Bound})
	}
	if report.Incarnation == entry.Incarnation {
		member.leaseEnd = now.Add(g.terms.WithDriftMargin(g.terms.Lease))
	}
	g.proposeCapacity(p, report)
}

// proposeCapacity adds the capacity of a report if its serial is the latest.
func (g *Grantor) proposeCapacity(p *proposal, report *Report) {
	if report.Serial <= max(p.ledger.Serial, p.batch.Serial) {
		return
	}
	if report.Capacity < g.terms.Floor*g.terms.Members+g.terms.Reserve {
		p.note(EventCapacityRefused, report.Member, report.Incarnation, report.Capacity)
		return
	}
	p.batch.Serial = report.Serial
	p.batch.Capacity = report.Capacity
	p.ledger.Apply(&Batch{Serial: report.Serial, Capacity: report.Capacity})
}

// alive reports whether a member has reported lately, or may still report after an election.
func (g *Grantor) alive(now Instant, i int) bool {
	member := &g.members[i]
	if now.Sub(max(member.lastReport, g.electedAt)) >= aliveReports*g.terms.ReportInterval {
		return false
	}
	return member.lastReport > 0 || g.ledger.Entries[i].Units > 0
}

// Committed handles the commit of the pending batch, after which the group has the given ledger. It returns the
// grants to send: the answers to the reports in the batch, and one for each member whose units changed.
func (g *Grantor) Committed(ledger *Ledger) []*Grant {
	if !g.pending {
		return nil
	}
	g.ledger = ledger
	g.pending = false
	var grants []*Grant
	for _, i := range g.answering {
		member := &g.members[i]
		if member.proposed.Incarnation == ledger.Entries[i].Incarnation {
			member.echo = member.proposed.Sent
		}
		grants = append(grants, g.grant(i, member.proposed.Incarnation))
		member.proposed = nil
	}
	for i, entry := range ledger.Entries {
		member := &g.members[i]
		changed := member.granted != min(entry.Units, member.target)
		if member.echo > 0 && member.incarnation == entry.Incarnation && changed { // within the lease in force
			grants = append(grants, g.grant(i, entry.Incarnation))
		}
	}
	return grants
}

// grant returns the grant for an incarnation of a member. One that the ledger doesn't have gets no units.
func (g *Grantor) grant(i int, incarnation uint64) *Grant {
	member := &g.members[i]
	entry := g.ledger.Entries[i]
	grant := &Grant{
		Member:           i,
		Incarnation:      incarnation,
		Sent:             member.echo,
		KnownIncarnation: entry.Incarnation,
		Serial:           g.ledger.Serial,
	}
	if incarnation == entry.Incarnation {
		grant.Number = entry.Number
		grant.Units = min(entry.Units, member.target)
		member.granted = grant.Units
	}
	return grant
}

// Targets returns the units that each member should have.
func (g *Grantor) Targets() []int {
	targets := make([]int, len(g.members))
	for i := range g.members {
		targets[i] = g.members[i].target
	}
	return targets
}

// Claims returns the claims of the latest plan.
func (g *Grantor) Claims() []Claim { return g.claims }

// Connections returns the number of connections that the members have reported.
func (g *Grantor) Connections() (connections int) {
	for i := range g.members {
		connections += g.members[i].connections
	}
	return connections
}

// Totals are sums over the ledger and the reports of a lease grantor, for the operators.
type Totals struct {
	Capacity         int
	Serial           uint64
	Leased           int // units
	Free             int // units
	Stranded         int // units
	Connections      int // as reported
	ReportingMembers int // members that have reported
}

// Totals returns the present sums.
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
		if g.members[i].lastReport > 0 {
			totals.ReportingMembers++
		}
	}
	return totals
}

package pool

import ()

// Propose asks for a batch to be committed to the agreed ledger. The lease grantor waits for Written before it proposes again.
type Propose struct{ Batch Batch }

// Committed tells that the last proposal is committed, and what the agreed ledger holds now.
type Committed struct{ Ledger *Ledger }

// Tick tells the time; the lease grantor proposes at ticks only.
type Tick struct{}

// Events of notes, as the log names them.
const (
	EventRecallOverdue   = "pool_recall_overdue"   // a member keeps units that were recalled
	EventQuotaExceeded   = "pool_quota_exceeded"   // a lease ran out, and its units were not returned
	EventUnitsStranded   = "pool_units_stranded"   // a member restarted; the units of its former incarnation stay leased for a time
	EventCapacityRefused = "pool_capacity_refused" // a capacity below the floors and the reserve
)

// Note is a message to the operators.
type Note struct {
	Event       string
	Member      int // index
	Incarnation uint64
	Units       int
}

// Grantor is the lease grantor: it decides what is lent while its raft voter leads. Any doubt about a proposal ends it, and its
// voter makes a new one from the ledger, which counts every lease as granted at that moment.
//
// A renewal is sent only after a batch that was proposed after the report's arrival has been committed. So whoever leads next was
// elected after the lease holder asked, and a full lease from its election on outlasts all that was granted before.
type Grantor struct {
	terms         *Terms
	ledger        *Ledger
	members       []memberState
	electedAt     int64
	pending       bool    // a proposal is not committed yet
	answering     []int   // members whose reports the pending batch answers
	claims        []Claim // claims of the last plan
	headroomIndex int     // of headroomMultiples, in force
	notes         []any   // to be returned by the next proposal
}

// memberState is what the lease grantor knows of one member. Times are its own, unless said otherwise.
type memberState struct {
	unproposed  *Report // goes into the next batch
	proposed    *Report // is in the pending batch
	granted     int     // units of the last grant
	echo        int64   // Sent of the last committed report, by the holder's clock
	lastSent    int64   // Sent of the last report of the incarnation, by the holder's clock
	incarnation uint64  // of the last report
	lastReport  int64   // when it arrived; 0: none has
	weight      float64
	connections int // as reported
	demand      demandEstimate

	leaseEnd      int64 // when the lease has surely ended
	strandedUntil int64 // when the leases of earlier incarnations have surely ended

	target          int   // units that the member should come to hold
	targetChanged   int64 // when target changed
	overTargetSince int64 // since when it holds more than target; 0: it does not
	recallNoted     bool  // the operators were told about that
}

// NewGrantor returns the grantor of a voter that was just elected, with the agreed ledger.
func NewGrantor(terms *Terms, now int64, ledger *Ledger) *Grantor {
	g := &Grantor{
		terms:     terms,
		ledger:    ledger,
		members:   make([]memberState, terms.Members),
		electedAt: now,
		claims:    make([]Claim, terms.Members),
	}
	leaseEnd := now + terms.Outlasts(terms.Lease)
	for i := range g.members {
		entry := ledger.Entries[i]
		g.members[i] = memberState{
			leaseEnd:      leaseEnd,
			strandedUntil: leaseEnd,
			target:        entry.Units,
			weight:        1,
			targetChanged: now - terms.TargetHold,
			incarnation:   entry.Incarnation,
		}
		if entry.Units > 0 { // until it reports
			g.members[i].demand.level = float64(entry.Units + terms.Floor)
		}
	}
	return g
}

// Step handles a *Report, a Tick or a Written and returns what is to be done: Propose, *Grant, Note.
func (g *Grantor) Step(now int64, m any) []any {
	switch m := m.(type) {
	case *Report:
		g.receive(now, m)
	case Committed:
		return g.committed(m.Ledger)
	case Tick:
		if !g.pending {
			return g.propose(now)
		}
	}
	return nil
}

// valid reports whether a report's figures are in their ranges.
func (r *Report) valid() bool {
	return r.Demand >= 0 && r.Demand < 1e6 && r.Weight > 0 && r.Weight <= 1e3 && r.Bound >= 0 && r.Connections >= 0
}

// receive handles a report.
func (g *Grantor) receive(now int64, report *Report) {
	if report.Member < 0 || report.Member >= len(g.members) || !report.valid() {
		return
	}
	member, entry := &g.members[report.Member], &g.ledger.Entries[report.Member]
	if report.Incarnation < max(member.incarnation, entry.Incarnation) {
		if member.unproposed == nil { // the answer tells it only that another incarnation is known
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

// proposal is a batch in the making.
type proposal struct {
	batch  Batch
	ledger *Ledger // with the batch applied so far
}

// add adds a change and applies it.
func (p *proposal) add(change Change) {
	change.Number = p.ledger.Entries[change.Member].Number
	p.batch.Changes = append(p.batch.Changes, change)
	p.ledger.Apply(&Batch{Changes: []Change{change}})
}

// propose proposes what has arrived since the last batch.
func (g *Grantor) propose(now int64) []any {
	g.answering = g.answering[:0]
	p := &proposal{ledger: g.ledger.Clone()}
	for i := range g.members {
		g.proposeMember(now, p, i)
	}
	g.plan(now, p)
	out := g.notes
	g.notes = nil
	if len(g.answering) > 0 || len(p.batch.Changes) > 0 || p.batch.Serial > 0 {
		g.pending = true
		out = append(out, Propose{p.batch})
	}
	return out
}

// proposeMember adds what one member's report gives back, and what its silence ends.
func (g *Grantor) proposeMember(now int64, p *proposal, i int) {
	member, entry := &g.members[i], &p.ledger.Entries[i]
	drained := g.terms.Outlasts(g.terms.Drain)
	if member.unproposed != nil {
		g.proposeReport(now, p, i)
	} else if entry.Units > 0 && now > member.leaseEnd+drained {
		g.notes = append(g.notes, Note{EventQuotaExceeded, i, entry.Incarnation, entry.Units})
		p.add(Change{Member: i})
		member.target = 0
	}
	if entry.Stranded > 0 && now > member.strandedUntil+drained {
		p.add(Change{Member: i, Clear: true})
	}
}

// proposeReport adds what one member's report says.
func (g *Grantor) proposeReport(now int64, p *proposal, i int) {
	terms := g.terms
	member, entry := &g.members[i], &p.ledger.Entries[i]
	report := member.unproposed
	g.answering = append(g.answering, i)
	member.proposed = report
	member.unproposed = nil
	switch {
	case report.Incarnation > entry.Incarnation:
		if entry.Units > 0 {
			member.strandedUntil = max(member.strandedUntil, member.leaseEnd)
			g.notes = append(g.notes, Note{EventUnitsStranded, i, entry.Incarnation, entry.Units})
		}
		p.add(Change{Member: i, Incarnation: report.Incarnation})
		member.target = 0
		member.overTargetSince = 0
		member.echo = 0
	case report.Incarnation == entry.Incarnation && report.Number == entry.Number && report.Bound < entry.Units:
		p.add(Change{Member: i, Units: report.Bound})
	}
	if report.Incarnation == entry.Incarnation {
		member.leaseEnd = now + terms.Outlasts(terms.Lease)
	}
	if report.Serial <= max(p.ledger.Serial, p.batch.Serial) {
		return
	}
	if report.Capacity < terms.Floor*terms.Members+terms.Reserve {
		g.notes = append(g.notes, Note{EventCapacityRefused, i, report.Incarnation, report.Capacity})
		return
	}
	p.batch.Serial = report.Serial
	p.batch.Capacity = report.Capacity
	p.ledger.Apply(&Batch{Serial: report.Serial, Capacity: report.Capacity})
}

// alive reports whether a member has reported lately, or may after an election.
func (g *Grantor) alive(now int64, i int) bool {
	member := &g.members[i]
	if now-max(member.lastReport, g.electedAt) >= 4*g.terms.ReportInterval {
		return false
	}
	return member.lastReport > 0 || g.ledger.Entries[i].Units > 0
}

// committed answers the reports of the pending batch, and tells all whose units changed.
func (g *Grantor) committed(ledger *Ledger) []any {
	if !g.pending {
		return nil
	}
	g.ledger = ledger
	g.pending = false
	var out []any
	for _, i := range g.answering {
		member := &g.members[i]
		if member.proposed.Incarnation == ledger.Entries[i].Incarnation {
			member.echo = member.proposed.Sent
		}
		out = append(out, g.grant(i, member.proposed.Incarnation))
		member.proposed = nil
	}
	for i, entry := range ledger.Entries { // changes by others' reports are told at once, within the lease in force
		member := &g.members[i]
		if member.echo > 0 && member.incarnation == entry.Incarnation && member.granted != min(entry.Units, member.target) {
			out = append(out, g.grant(i, entry.Incarnation))
		}
	}
	return out
}

// grant returns the grant for an incarnation of a member.
func (g *Grantor) grant(i int, incarnation uint64) *Grant {
	member, entry := &g.members[i], g.ledger.Entries[i]
	grant := &Grant{Member: i, Incarnation: incarnation, Sent: member.echo, KnownIncarnation: entry.Incarnation, Serial: g.ledger.Serial}
	if incarnation == entry.Incarnation {
		grant.Number = entry.Number
		grant.Units = min(entry.Units, member.target)
		member.granted = grant.Units
	}
	return grant
}

// Targets returns what each member should come to hold above its floor, for figures and tests.
func (g *Grantor) Targets() []int {
	targets := make([]int, len(g.members))
	for i := range g.members {
		targets[i] = g.members[i].target
	}
	return targets
}

// Claims returns the claims of the last plan.
func (g *Grantor) Claims() []Claim { return g.claims }

// Connections returns the number of connections that the members have reported, for figures.
func (g *Grantor) Connections() (connections int) {
	for i := range g.members {
		connections += g.members[i].connections
	}
	return connections
}

// Totals are sums over the ledger of a lease grantor, for the operators.
type Totals struct {
	Capacity  int
	Serial    uint64
	Lent      int
	Free      int
	Stranded  int
	Held      int // connections that the members report
	Reporting int // members that have reported
}

// Totals returns the present sums.
func (g *Grantor) Totals() Totals {
	totals := Totals{
		Capacity: g.ledger.Capacity,
		Serial:   g.ledger.Serial,
		Free:     g.ledger.Free(),
		Held:     g.Connections(),
	}
	for i, entry := range g.ledger.Entries {
		totals.Lent += entry.Units
		totals.Stranded += entry.Stranded
		if g.members[i].lastReport > 0 {
			totals.Reporting++
		}
	}
	return totals
}

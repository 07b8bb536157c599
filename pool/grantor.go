package pool

import (
	"fmt"
)

// Propose asks for a batch to be committed to the agreed ledger. The lease grantor waits for Written before it proposes again.
type Propose struct{ Batch Batch }

// Written tells that the last proposal is committed, and what the agreed ledger holds now.
type Written struct{ Ledger *Ledger }

// Tick tells the time; the lease grantor proposes at ticks only.
type Tick struct{}

// Note is a message to the operators.
type Note struct {
	What  string // recall_overdue, not_given_back, stranded, capacity_refused
	Seat  int    // member index
	Life  uint64 // incarnation
	Units int
}

// Lender is the lease grantor: it decides what is lent while its raft voter leads. Any doubt about a proposal ends it, and its
// voter makes a new one from the ledger, which counts every lease as granted at that moment.
//
// A renewal is sent only after a batch that was proposed after the report's arrival has been committed. So whoever leads next was
// elected after the lease holder asked, and a full lease from its election on outlasts all that was granted before.
type Lender struct {
	terms         *Terms
	ledger        *Ledger
	members       []memberState
	tookOffice    int64
	pending       bool   // a proposal is not committed yet
	answering     []int  // members whose reports the pending batch answers
	wants         []Want // claims of the last plan
	headroomIndex int    // of headroomMultiples, in force
	notes         []any  // to be returned by the next proposal
}

// memberState is what the lease grantor knows of one member. Times are its own, unless said otherwise.
type memberState struct {
	unwritten   *Report // goes into the next batch
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

// NewLender takes office with the agreed ledger.
func NewLender(terms *Terms, now int64, ledger *Ledger) *Lender {
	l := &Lender{
		terms:      terms,
		ledger:     ledger,
		members:    make([]memberState, terms.Seats),
		tookOffice: now,
		wants:      make([]Want, terms.Seats),
	}
	leaseEnd := now + terms.Outlasts(terms.Lease)
	for i := range l.members {
		entry := ledger.Entries[i]
		l.members[i] = memberState{
			leaseEnd:      leaseEnd,
			strandedUntil: leaseEnd,
			target:        entry.Units,
			weight:        1,
			targetChanged: now - terms.Hold,
			incarnation:   entry.Life,
		}
		if entry.Units > 0 { // until it reports
			l.members[i].demand.level = float64(entry.Units + terms.Floor)
		}
	}
	return l
}

// Step handles a *Report, a Tick or a Written and returns what is to be done: Propose, *Grant, Note.
func (l *Lender) Step(now int64, m any) []any {
	switch m := m.(type) {
	case *Report:
		l.receive(now, m)
	case Written:
		return l.committed(m.Ledger)
	case Tick:
		if !l.pending {
			return l.propose(now)
		}
	}
	return nil
}

// valid reports whether a report's figures are in their ranges.
func (r *Report) valid() bool {
	return r.Demand >= 0 && r.Demand < 1e6 && r.Weight > 0 && r.Weight <= 1e3 && r.Bound >= 0 && r.Held >= 0
}

// receive handles a report.
func (l *Lender) receive(now int64, report *Report) {
	if report.Seat < 0 || report.Seat >= len(l.members) || !report.valid() {
		return
	}
	member, entry := &l.members[report.Seat], &l.ledger.Entries[report.Seat]
	if report.Life < max(member.incarnation, entry.Life) {
		if member.unwritten == nil { // the answer tells it only that another incarnation is known
			member.unwritten = report
		}
		return
	}
	if report.Life == member.incarnation && report.Sent <= member.lastSent {
		return
	}
	if report.Life > member.incarnation {
		member.demand = demandEstimate{}
	}
	member.incarnation = report.Life
	member.lastSent = report.Sent
	member.lastReport = now
	member.unwritten = report
	member.weight = report.Weight
	member.connections = report.Held
	member.demand.add(report.Demand)
}

// proposal is a batch in the making.
type proposal struct {
	batch  Batch
	ledger *Ledger // with the batch applied so far
}

// add adds a change and applies it.
func (p *proposal) add(change Change) {
	change.Number = p.ledger.Entries[change.Seat].Number
	p.batch.Changes = append(p.batch.Changes, change)
	p.ledger.Apply(&Batch{Changes: []Change{change}})
}

// propose proposes what has arrived since the last batch.
func (l *Lender) propose(now int64) []any {
	l.answering = l.answering[:0]
	p := &proposal{ledger: l.ledger.Clone()}
	for i := range l.members {
		l.proposeMember(now, p, i)
	}
	l.plan(now, p)
	out := l.notes
	l.notes = nil
	if len(l.answering) > 0 || len(p.batch.Changes) > 0 || p.batch.Serial > 0 {
		l.pending = true
		out = append(out, Propose{p.batch})
	}
	return out
}

// proposeMember adds what one member's report gives back, and what its silence ends.
func (l *Lender) proposeMember(now int64, p *proposal, i int) {
	member, entry := &l.members[i], &p.ledger.Entries[i]
	drained := l.terms.Outlasts(l.terms.Drain)
	if member.unwritten != nil {
		l.proposeReport(now, p, i)
	} else if entry.Units > 0 && now > member.leaseEnd+drained {
		l.notes = append(l.notes, Note{"not_given_back", i, entry.Life, entry.Units})
		p.add(Change{Seat: i})
		member.target = 0
	}
	if entry.Stranded > 0 && now > member.strandedUntil+drained {
		p.add(Change{Seat: i, Clear: true})
	}
}

// proposeReport adds what one member's report says.
func (l *Lender) proposeReport(now int64, p *proposal, i int) {
	terms := l.terms
	member, entry := &l.members[i], &p.ledger.Entries[i]
	report := member.unwritten
	l.answering = append(l.answering, i)
	member.proposed = report
	member.unwritten = nil
	switch {
	case report.Life > entry.Life:
		if entry.Units > 0 {
			member.strandedUntil = max(member.strandedUntil, member.leaseEnd)
			l.notes = append(l.notes, Note{"stranded", i, entry.Life, entry.Units})
		}
		p.add(Change{Seat: i, Life: report.Life})
		member.target = 0
		member.overTargetSince = 0
		member.echo = 0
	case report.Life == entry.Life && report.Number == entry.Number && report.Bound < entry.Units:
		p.add(Change{Seat: i, Units: report.Bound})
	}
	if report.Life == entry.Life {
		member.leaseEnd = now + terms.Outlasts(terms.Lease)
	}
	if report.Serial <= max(p.ledger.Serial, p.batch.Serial) {
		return
	}
	if report.Capacity < terms.Floor*terms.Seats+terms.Reserve {
		l.notes = append(l.notes, Note{"capacity_refused", i, report.Life, report.Capacity})
		return
	}
	p.batch.Serial = report.Serial
	p.batch.Capacity = report.Capacity
	p.ledger.Apply(&Batch{Serial: report.Serial, Capacity: report.Capacity})
}

// alive reports whether a member has reported lately, or may after an election.
func (l *Lender) alive(now int64, i int) bool {
	member := &l.members[i]
	if now-max(member.lastReport, l.tookOffice) >= 4*l.terms.Tell {
		return false
	}
	return member.lastReport > 0 || l.ledger.Entries[i].Units > 0
}

// committed answers the reports of the pending batch, and tells all whose units changed.
func (l *Lender) committed(ledger *Ledger) []any {
	if !l.pending {
		return nil
	}
	l.ledger = ledger
	l.pending = false
	var out []any
	for _, i := range l.answering {
		member := &l.members[i]
		if member.proposed.Life == ledger.Entries[i].Life {
			member.echo = member.proposed.Sent
		}
		out = append(out, l.grant(i, member.proposed.Life))
		member.proposed = nil
	}
	for i, entry := range ledger.Entries { // changes by others' reports are told at once, within the lease in force
		member := &l.members[i]
		if member.echo > 0 && member.incarnation == entry.Life && member.granted != min(entry.Units, member.target) {
			out = append(out, l.grant(i, entry.Life))
		}
	}
	return out
}

// grant returns the grant for an incarnation of a member.
func (l *Lender) grant(i int, incarnation uint64) *Grant {
	member, entry := &l.members[i], l.ledger.Entries[i]
	grant := &Grant{Seat: i, Life: incarnation, Sent: member.echo, Known: entry.Life, Serial: l.ledger.Serial}
	if incarnation == entry.Life {
		grant.Number = entry.Number
		grant.Units = min(entry.Units, member.target)
		member.granted = grant.Units
	}
	return grant
}

// Targets returns what each member should come to hold above its floor, for figures and tests.
func (l *Lender) Targets() []int {
	targets := make([]int, len(l.members))
	for i := range l.members {
		targets[i] = l.members[i].target
	}
	return targets
}

// Wants returns the claims of the last plan.
func (l *Lender) Wants() []Want { return l.wants }

// Holding returns the number of connections that the members have reported, for figures.
func (l *Lender) Holding() (connections int) {
	for i := range l.members {
		connections += l.members[i].connections
	}
	return connections
}

// String returns the state, for the operators.
func (l *Lender) String() string {
	lent, stranded, reporting := 0, 0, 0
	for i, entry := range l.ledger.Entries {
		lent += entry.Units
		stranded += entry.Stranded
		if l.members[i].lastReport > 0 {
			reporting++
		}
	}
	return fmt.Sprintf("capacity=%d serial=%d lent=%d free=%d stranded=%d held=%d heard=%d", l.ledger.Capacity, l.ledger.Serial,
		lent, l.ledger.Free(), stranded, l.Holding(), reporting)
}

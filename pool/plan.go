package pool

import (
	"cmp"
	"math"
	"slices"
)

// headroomMultiples are the multiples of the root of a member's demand that are tried as its headroom, the most generous first.
var headroomMultiples = []float64{3, 2, 1.5, 1, 0.7, 0.5, 0.3}

// plan is the state of planning one batch.
type plan struct {
	*Grantor
	*proposal
	now    int64
	free   int    // units that may be lent
	alive  []bool // by member
	shares []int  // by member: the fair share above the floor
}

// plan settles the target of each member, and lends what is free.
func (g *Grantor) plan(now int64, p *proposal) {
	pl := &plan{Grantor: g, proposal: p, now: now, free: p.ledger.Free()}
	pl.computeShares()
	shortage := pl.raiseTargets()
	if shortage > 0 {
		pl.recall(shortage)
	}
	pl.noteOverdue()
	pl.lend()
}

// computeShares computes the members' fair shares from their claims.
func (p *plan) computeShares() {
	terms := p.terms
	lendable := p.free
	wants := make([]Claim, terms.Members)
	p.alive = make([]bool, terms.Members)
	for i := range p.members {
		member, entry := &p.members[i], p.proposal.ledger.Entries[i]
		wants[i] = Claim{Weight: member.weight, Has: entry.Units}
		p.alive[i] = p.Grantor.alive(p.now, i)
		if p.alive[i] {
			wants[i].Demand = int(math.Ceil(member.demand.level - 0.35))
			lendable += entry.Units
		}
	}
	p.addHeadroom(wants, lendable+terms.Floor*terms.Members)
	p.shares = Shares(wants, terms.Floor, max(lendable, 0))
	p.claims = wants
}

// onHold reports whether a member's target changed too recently to change again.
func (p *plan) onHold(i int) bool { return p.now-p.members[i].targetChanged < p.terms.TargetHold }

// setTarget sets a member's target.
func (p *plan) setTarget(i, units int) {
	member := &p.members[i]
	if member.target != units {
		member.target = units
		member.targetChanged = p.now
	}
}

// raiseTargets raises the targets of members below their share, and returns how many units must be recalled for them. Only members
// below their share justify a recall from those above: when the level moves by one for all, as it does with each change of demand
// anywhere, nobody is both.
func (p *plan) raiseTargets() (shortage int) {
	shortage = -p.free
	for i := range p.members {
		member, units := &p.members[i], p.proposal.ledger.Entries[i].Units
		if !p.alive[i] {
			continue
		}
		if lack := p.shares[i] - units; lack > 0 {
			shortage += lack
			if p.shares[i] > member.target && !p.onHold(i) {
				p.setTarget(i, p.shares[i])
			}
		}
		if member.target < units {
			shortage -= units - member.target // being recalled already
		}
	}
	return shortage
}

// recall lowers the targets of members above their share, those furthest above first.
func (p *plan) recall(shortage int) {
	var donors []int
	for i := range p.members {
		if p.alive[i] && p.members[i].target > p.shares[i] && (!p.onHold(i) || p.free < 0) {
			donors = append(donors, i)
		}
	}
	surplus := func(i int) int { return p.members[i].target - p.shares[i] }
	slices.SortStableFunc(donors, func(a, b int) int { return cmp.Compare(surplus(b), surplus(a)) })
	for _, i := range donors {
		if shortage <= 0 {
			return
		}
		target := p.members[i].target - min(surplus(i), shortage)
		recalled := p.members[i].target - target
		shortage -= min(recalled, max(p.proposal.ledger.Entries[i].Units-target, 0))
		p.setTarget(i, target)
	}
}

// noteOverdue notes members that have not given back in time what was recalled.
func (p *plan) noteOverdue() {
	for i := range p.members {
		member, entry := &p.members[i], p.proposal.ledger.Entries[i]
		switch {
		case member.target >= entry.Units:
			member.overTargetSince = 0
			member.recallNoted = false
		case member.overTargetSince == 0:
			member.overTargetSince = p.now
		case !member.recallNoted && p.now-member.overTargetSince > p.terms.Drain+p.terms.Lease/2:
			member.recallNoted = true
			p.notes = append(p.notes, Note{EventRecallOverdue, i, entry.Incarnation, entry.Units - member.target})
		}
	}
}

// lend lends free units to the members below their target, those with the lowest level first.
func (p *plan) lend() {
	var receivers []int
	for i := range p.members {
		member, entry := &p.members[i], p.proposal.ledger.Entries[i]
		if p.alive[i] && member.target > entry.Units && member.incarnation == entry.Incarnation {
			receivers = append(receivers, i)
		}
	}
	level := func(i int) float64 {
		return float64(p.terms.Floor+p.proposal.ledger.Entries[i].Units) / p.members[i].weight
	}
	slices.SortStableFunc(receivers, func(a, b int) int { return cmp.Compare(level(a), level(b)) })
	for _, i := range receivers {
		if p.free <= 0 {
			return
		}
		units := p.proposal.ledger.Entries[i].Units
		extra := min(p.members[i].target-units, p.free)
		p.free -= extra
		p.add(Change{Member: i, Units: units + extra})
	}
}

// addHeadroom adds headroom to the claims if there is room for all of it: a mean demand of d varies by its root, so each member
// gets the same multiple of that, as in square-root staffing (Halfin and Whitt, Operations Research 29, 1981).
func (g *Grantor) addHeadroom(wants []Claim, units int) {
	for i, multiple := range headroomMultiples {
		limit := units
		if i < g.headroomIndex { // hysteresis
			limit = units * 19 / 20
		}
		headroom, total := g.headroom(wants, multiple)
		if total > limit {
			continue
		}
		g.headroomIndex = i
		for k := range wants {
			wants[k].Demand += headroom[k]
		}
		return
	}
	g.headroomIndex = math.MaxInt
}

// headroom returns the headroom of each claim, and the units that all would take with it.
func (g *Grantor) headroom(wants []Claim, multiple float64) (headroom []int, total int) {
	for _, want := range wants {
		extra := 0
		if want.Demand > 0 {
			extra = int(math.Ceil(multiple * math.Sqrt(float64(want.Demand))))
		}
		headroom = append(headroom, extra)
		total += max(want.Demand+extra, g.terms.Floor)
	}
	return headroom, total
}

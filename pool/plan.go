package pool

import (
	"cmp"
	"math"
	"slices"
)

// headroomMultiples are the multiples of the root of a member's demand that are tried as its headroom, the largest
// first.
var headroomMultiples = []float64{3, 2, 1.5, 1, 0.7, 0.5, 0.3}

const (
	demandMargin       = 0.35 // connections by which an estimated demand may exceed the one that is claimed
	headroomHysteresis = 20   // one unit in this many has to be left for a larger headroom than the one in force
)

// plan is the planning of one batch.
type plan struct {
	grantor  *Grantor
	terms    *Terms
	members  []memberState
	proposal *proposal
	now      Instant
	free     int    // units that may be leased
	alive    []bool // by member
	shares   []int  // by member: the fair share above the floor
}

// plan sets the target of each member, and leases free units.
func (g *Grantor) plan(now Instant, proposal *proposal) {
	p := &plan{
		grantor:  g,
		terms:    g.terms,
		members:  g.members,
		proposal: proposal,
		now:      now,
		free:     proposal.ledger.Free(),
	}
	p.computeShares()
	shortage := p.raiseTargets()
	if shortage > 0 {
		p.recall(shortage)
	}
	p.noteOverdue()
	p.leaseFree()
}

// entry returns the ledger entry of a member with the batch applied so far.
func (p *plan) entry(i int) *Entry { return &p.proposal.ledger.Entries[i] }

// computeShares computes the fair shares of the members from their claims.
func (p *plan) computeShares() {
	leasable := p.free
	claims := make([]Claim, len(p.members))
	p.alive = make([]bool, len(p.members))
	for i := range p.members {
		member := &p.members[i]
		units := p.entry(i).Units
		claims[i] = Claim{Weight: member.weight, Leased: units}
		p.alive[i] = p.grantor.alive(p.now, i)
		if p.alive[i] {
			claims[i].Demand = int(math.Ceil(member.demand.level - demandMargin))
			leasable += units
		}
	}
	p.grantor.addHeadroom(claims, leasable+p.terms.Floor*p.terms.Members)
	p.shares = Shares(claims, p.terms.Floor, max(leasable, 0))
	p.grantor.claims = claims
}

// onHold reports whether the target of a member changed too recently to change again.
func (p *plan) onHold(i int) bool {
	return p.now.Sub(p.members[i].targetChanged) < p.terms.TargetHold
}

// setTarget sets the target of a member.
func (p *plan) setTarget(i, units int) {
	member := &p.members[i]
	if member.target != units {
		member.target = units
		member.targetChanged = p.now
	}
}

// raiseTargets raises the targets of members below their share, and returns how many units have to be recalled for
// them. Only members below their share justify a recall from those above: when one demand changes, the level moves
// slightly for all members, and nothing needs to move.
func (p *plan) raiseTargets() (shortage int) {
	shortage = -p.free
	for i := range p.members {
		if !p.alive[i] {
			continue
		}
		member := &p.members[i]
		units := p.entry(i).Units
		if lack := p.shares[i] - units; lack > 0 {
			shortage += lack
			if p.shares[i] > member.target && !p.onHold(i) {
				p.setTarget(i, p.shares[i])
			}
		}
		if member.target < units {
			shortage -= units - member.target // is being recalled already
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
		recalled := min(surplus(i), shortage)
		target := p.members[i].target - recalled
		shortage -= min(recalled, max(p.entry(i).Units-target, 0))
		p.setTarget(i, target)
	}
}

// noteOverdue notes members that have not returned recalled units in time.
func (p *plan) noteOverdue() {
	for i := range p.members {
		member := &p.members[i]
		entry := p.entry(i)
		switch {
		case member.target >= entry.Units:
			member.overTargetSince = 0
			member.recallNoted = false
		case member.overTargetSince == 0:
			member.overTargetSince = p.now
		case !member.recallNoted && p.now.Sub(member.overTargetSince) > p.terms.Drain+p.terms.Lease/2:
			member.recallNoted = true
			p.proposal.note(EventRecallOverdue, i, entry.Incarnation, entry.Units-member.target)
		}
	}
}

// leaseFree leases free units to the members below their target, those with the lowest level first.
func (p *plan) leaseFree() {
	var receivers []int
	for i := range p.members {
		member := &p.members[i]
		entry := p.entry(i)
		if p.alive[i] && member.target > entry.Units && member.incarnation == entry.Incarnation {
			receivers = append(receivers, i)
		}
	}
	level := func(i int) float64 {
		return float64(p.terms.Floor+p.entry(i).Units) / p.members[i].weight
	}
	slices.SortStableFunc(receivers, func(a, b int) int { return cmp.Compare(level(a), level(b)) })
	for _, i := range receivers {
		if p.free <= 0 {
			return
		}
		units := p.entry(i).Units
		extra := min(p.members[i].target-units, p.free)
		p.free -= extra
		p.proposal.add(Change{Member: i, Units: units + extra})
	}
}

// addHeadroom adds the largest headroom to the claims for which there are enough units. A demand with the mean d
// varies by its root, so each member gets the same multiple of that, as in square-root staffing (Halfin and Whitt,
// Operations Research 29, 1981).
func (g *Grantor) addHeadroom(claims []Claim, units int) {
	for i, multiple := range headroomMultiples {
		limit := units
		if i < g.headroomIndex {
			limit = units * (headroomHysteresis - 1) / headroomHysteresis
		}
		headroom, total := g.headroom(claims, multiple)
		if total > limit {
			continue
		}
		g.headroomIndex = i
		for k := range claims {
			claims[k].Demand += headroom[k]
		}
		return
	}
	g.headroomIndex = math.MaxInt
}

// headroom returns the headroom of each claim, and the units that all claims need with it.
func (g *Grantor) headroom(claims []Claim, multiple float64) (headroom []int, total int) {
	for _, claim := range claims {
		extra := 0
		if claim.Demand > 0 {
			extra = int(math.Ceil(multiple * math.Sqrt(float64(claim.Demand))))
		}
		headroom = append(headroom, extra)
		total += max(claim.Demand+extra, g.terms.Floor)
	}
	return headroom, total
}

package pool

import (
	"cmp"
	"math"
	"slices"
)

// headroomMultiples are the multiples of the square root of a member's demand that are tried as its headroom, in this
// order. Headroom is the units claimed beyond the estimated demand.
var headroomMultiples = []float64{3, 2, 1.5, 1, 0.7, 0.5, 0.3}

const (
	demandMargin         = 0.35 // connections by which an estimated demand may exceed the claim for it, a whole number
	headroomSlackDivisor = 20   // a larger headroom than the one in force must leave one in this many units unclaimed
)

// planner computes targets and leases for one batch.
type planner struct {
	grantor *Grantor
	terms   *Terms
	members []memberState
	builder *batchBuilder
	now     Instant
	free    int    // units that can still be leased; negative if the capacity was lowered
	alive   []bool // by member index: the result of Grantor.alive
	shares  []int  // by member index: units of the member's fair share
}

// assignUnits updates the targets of the members, warns of overdue recalls, and leases free units.
func (g *Grantor) assignUnits(now Instant, builder *batchBuilder) {
	p := &planner{
		grantor: g,
		terms:   g.terms,
		members: g.members,
		builder: builder,
		now:     now,
		free:    builder.ledger.Free(),
	}
	p.computeShares()
	shortage := p.raiseTargets()
	if shortage > 0 {
		p.recall(shortage)
	}
	p.warnOverdueRecalls()
	p.leaseFree()
}

// entry returns the ledger entry of a member, with the changes in the batch applied so far.
func (p *planner) entry(i int) *Entry { return &p.builder.ledger.Entries[i] }

// computeShares computes the claims of the members and their fair shares of the units that are free or leased to
// members that are alive.
func (p *planner) computeShares() {
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

// targetOnHold reports whether a member's target changed less than Terms.TargetHold ago.
func (p *planner) targetOnHold(i int) bool {
	return p.now.Sub(p.members[i].targetChangedAt) < p.terms.TargetHold
}

// setTarget sets the target of a member and, if that is a change, records its time.
func (p *planner) setTarget(i, units int) {
	member := &p.members[i]
	if member.target != units {
		member.target = units
		member.targetChangedAt = p.now
	}
}

// raiseTargets raises the targets of members with fewer units than their share, and returns how many more units have to
// be recalled from others for them. Members with more units than their share keep them while no member lacks units: a
// change of one demand changes the shares of all members slightly, and that alone should move no units.
func (p *planner) raiseTargets() (shortage int) {
	shortage = -p.free
	for i := range p.members {
		if !p.alive[i] {
			continue
		}
		member := &p.members[i]
		units := p.entry(i).Units
		if deficit := p.shares[i] - units; deficit > 0 {
			shortage += deficit
			if p.shares[i] > member.target && !p.targetOnHold(i) {
				p.setTarget(i, p.shares[i])
			}
		}
		if member.target < units {
			shortage -= units - member.target // recalled already
		}
	}
	return shortage
}

// recall lowers the targets of members above their share, those furthest above first, until the shortage is met.
// Targets on hold are lowered only if more units are leased than the capacity allows.
func (p *planner) recall(shortage int) {
	var donors []int
	for i := range p.members {
		if p.alive[i] && p.members[i].target > p.shares[i] && (!p.targetOnHold(i) || p.free < 0) {
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

// warnOverdueRecalls warns once of each member that has not returned recalled units within Drain and half a lease.
func (p *planner) warnOverdueRecalls() {
	for i := range p.members {
		member := &p.members[i]
		entry := p.entry(i)
		switch {
		case member.target >= entry.Units:
			member.overTargetSince = 0
			member.recallWarned = false
		case member.overTargetSince == 0:
			member.overTargetSince = p.now
		case !member.recallWarned && p.now.Sub(member.overTargetSince) > p.terms.Drain+p.terms.Lease/2:
			member.recallWarned = true
			p.builder.warn(EventRecallOverdue, i, entry.Incarnation, entry.Units-member.target)
		}
	}
}

// leaseFree leases free units to the members below their target, those with the fewest connections per unit of weight
// first.
func (p *planner) leaseFree() {
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
		p.builder.addChange(Change{Member: i, Units: units + extra})
	}
}

// addHeadroom adds to each claim the headroom of the largest of headroomMultiples for which the units suffice, and none
// if they suffice for none. A demand with mean d varies by about the square root of d, so each member gets the same
// multiple of its root, as in square-root staffing (Halfin and Whitt, Operations Research 29, 1981).
func (g *Grantor) addHeadroom(claims []Claim, units int) {
	for i, multiple := range headroomMultiples {
		limit := units
		if i < g.headroomIndex {
			limit = units * (headroomSlackDivisor - 1) / headroomSlackDivisor
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

// headroom returns the headroom of each claim for one of headroomMultiples, and the number of connections that all
// claims need with it, which is at least the floor for each.
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

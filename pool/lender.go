package pool

import (
	"cmp"
	"fmt"
	"math"
	"slices"
)

// Propose asks for a batch to be written down. The lender waits for Written before it proposes again.
type Propose struct{ Batch Batch }

// Written tells that the last proposal is part of the agreed ledger, and what that holds now.
type Written struct{ Ledger *Ledger }

// Tick tells the time; the lender proposes at ticks only.
type Tick struct{}

// Note is for the operators.
type Note struct {
	What  string // recall_overdue, not_given_back, stranded, capacity_refused
	Seat  int
	Life  uint64
	Units int
}

// Lender decides what is lent while its voter leads. Any doubt about a proposal ends it: its voter makes a new one from
// the ledger, which counts every lease as given at that moment.
//
// A renewal goes out only after a batch proposed later than the report came has been agreed on. So whoever leads next
// was elected after the holder asked, and a full lease from its taking office on outlasts all that was answered.
type Lender struct {
	terms    *Terms
	ledger   *Ledger
	seats    []standing
	office   int64
	pending  bool
	asked    []int // seats answered by the pending batch
	dues     []Want
	multiple int // of headroom in force, by its place
	notes    []any
}

type standing struct {
	report   *Report // to be written down with the next batch
	asking   *Report // written down with the pending one; later ones must wait for theirs
	units    int     // as last told
	sent     int64   // of the last report written down, as echo
	seen     int64   // Sent of the last report taken in, of the ledger's life or a later one
	life     uint64  // of that one
	heard    int64
	until    int64 // the lease has surely ended
	stranded int64 // as has that of the lives before
	weight   float64
	held     int
	est      estimate
	target   int   // units it should come to
	changed  int64 // when target did
	over     int64 // since when it has more than target
	told     bool  // the operators were, about that
}

// NewLender takes office with the ledger as agreed.
func NewLender(t *Terms, now int64, ledger *Ledger) *Lender {
	l := &Lender{terms: t, ledger: ledger, seats: make([]standing, t.Seats), office: now, dues: make([]Want, t.Seats)}
	for i := range l.seats {
		s, e := &l.seats[i], ledger.Entries[i]
		s.until = now + t.Outlasts(t.Lease)
		s.stranded = s.until
		s.target, s.weight, s.changed, s.life = e.Units, 1, now-t.Hold, e.Life
		if e.Units > 0 {
			s.est.level = float64(e.Units + t.Floor) // until it tells
		}
	}
	return l
}

// Step takes a *Report, a Tick or a Written in and gives what is to be done: Propose, *Grant, Note.
func (l *Lender) Step(now int64, m any) []any {
	switch m := m.(type) {
	case *Report:
		l.hear(now, m)
	case Written:
		return l.written(now, m.Ledger)
	case Tick:
		if !l.pending {
			return l.tick(now)
		}
	}
	return nil
}

func (l *Lender) hear(now int64, r *Report) {
	if r.Seat < 0 || r.Seat >= len(l.seats) || !(r.Demand >= 0 && r.Demand < 1e6) || !(r.Weight > 0 && r.Weight <= 1e3) ||
		r.Bound < 0 || r.Held < 0 {
		return
	}
	s, e := &l.seats[r.Seat], &l.ledger.Entries[r.Seat]
	if r.Life < max(s.life, e.Life) {
		if s.report == nil { // it is told only that it is not the one known
			s.report = r
		}
		return
	}
	if r.Life == s.life && r.Sent <= s.seen {
		return
	}
	if r.Life > s.life {
		s.est = estimate{}
	}
	s.life, s.seen, s.heard, s.report, s.weight, s.held = r.Life, r.Sent, now, r, r.Weight, r.Held
	s.est.take(r.Demand)
}

// tick proposes what came since the last batch.
func (l *Lender) tick(now int64) []any {
	t := l.terms
	var b Batch
	l.asked = l.asked[:0]
	plan := l.ledger.Clone() // with what b holds so far
	change := func(c Change) {
		c.Number = plan.Entries[c.Seat].Number
		b.Changes = append(b.Changes, c)
		plan.Apply(&Batch{Changes: []Change{c}})
	}
	for i := range l.seats {
		s, e := &l.seats[i], &plan.Entries[i]
		if r := s.report; r != nil {
			l.asked = append(l.asked, i)
			s.asking, s.report = r, nil
			switch {
			case r.Life > e.Life:
				if e.Units > 0 {
					s.stranded = max(s.stranded, s.until)
					l.notes = append(l.notes, Note{"stranded", i, e.Life, e.Units})
				}
				change(Change{Seat: i, Life: r.Life})
				s.target, s.over, s.sent = 0, 0, 0
			case r.Life == e.Life && r.Number == e.Number && r.Bound < e.Units:
				change(Change{Seat: i, Units: r.Bound})
			}
			if r.Life == e.Life {
				s.until = now + t.Outlasts(t.Lease)
			}
			if r.Serial > max(plan.Serial, b.Serial) {
				if r.Capacity >= t.Floor*t.Seats+t.Reserve {
					b.Serial, b.Capacity = r.Serial, r.Capacity
					plan.Apply(&Batch{Serial: r.Serial, Capacity: r.Capacity})
				} else {
					l.notes = append(l.notes, Note{"capacity_refused", i, r.Life, r.Capacity})
				}
			}
		} else if e.Units > 0 && now > s.until+t.Outlasts(t.Drain) {
			l.notes = append(l.notes, Note{"not_given_back", i, e.Life, e.Units})
			change(Change{Seat: i})
			s.target = 0
		}
		if e.Stranded > 0 && now > s.stranded+t.Outlasts(t.Drain) {
			change(Change{Seat: i, Clear: true})
		}
	}
	l.aim(now, plan, &b, change)
	out := l.notes
	l.notes = nil
	if len(l.asked) > 0 || len(b.Changes) > 0 || b.Serial > 0 {
		l.pending = true
		out = append(out, Propose{b})
	}
	return out
}

func (l *Lender) alive(now int64, i int) bool {
	s := &l.seats[i]
	return now-max(s.heard, l.office) < 4*l.terms.Tell && (s.heard > 0 || l.ledger.Entries[i].Units > 0)
}

// aim settles what each should come to, and lends what is free.
func (l *Lender) aim(now int64, plan *Ledger, b *Batch, change func(Change)) {
	t := l.terms
	free := plan.Free()
	lendable := free
	wants, alive := make([]Want, t.Seats), make([]bool, t.Seats)
	for i := range l.seats {
		s, e := &l.seats[i], plan.Entries[i]
		wants[i] = Want{0, s.weight, e.Units}
		if alive[i] = l.alive(now, i); alive[i] {
			wants[i].Demand = int(math.Ceil(s.est.level - 0.35))
			lendable += e.Units
		}
	}
	l.spread(wants, lendable+t.Floor*t.Seats)
	shares := Shares(wants, t.Floor, max(lendable, 0))
	l.dues = wants
	held := func(i int) bool { return now-l.seats[i].changed < t.Hold }
	set := func(i, units int) {
		if s := &l.seats[i]; s.target != units {
			s.target, s.changed = units, now
		}
	}
	// Who lacks is worth a recall from those above their share, and nothing else is: when the level moves by one for
	// all, as it does with each change of demand anywhere, nobody is both.
	short := -free
	for i := range l.seats {
		s, e := &l.seats[i], plan.Entries[i]
		if !alive[i] {
			continue
		}
		if lack := shares[i] - e.Units; lack > 0 {
			short += lack
			if shares[i] > s.target && !held(i) {
				set(i, shares[i])
			}
		}
		if s.target < e.Units {
			short -= e.Units - s.target // on its way back
		}
	}
	if short > 0 {
		var from []int
		for i := range l.seats {
			if alive[i] && l.seats[i].target > shares[i] && (!held(i) || free < 0) {
				from = append(from, i)
			}
		}
		slices.SortStableFunc(from, func(a, b int) int {
			return cmp.Compare(l.seats[b].target-shares[b], l.seats[a].target-shares[a])
		})
		for _, i := range from {
			if short <= 0 {
				break
			}
			s := &l.seats[i]
			back := min(s.target-shares[i], short)
			short -= min(back, max(plan.Entries[i].Units-(s.target-back), 0))
			set(i, s.target-back)
		}
	}
	var to []int
	for i := range l.seats {
		s, e := &l.seats[i], plan.Entries[i]
		if alive[i] && s.target > e.Units && s.life == e.Life {
			to = append(to, i)
		}
		switch {
		case s.target >= e.Units:
			s.over, s.told = 0, false
		case s.over == 0:
			s.over = now
		case !s.told && now-s.over > t.Drain+t.Lease/2:
			s.told = true
			l.notes = append(l.notes, Note{"recall_overdue", i, e.Life, e.Units - s.target})
		}
	}
	level := func(i int) float64 { return float64(t.Floor+plan.Entries[i].Units) / l.seats[i].weight }
	slices.SortStableFunc(to, func(a, b int) int { return cmp.Compare(level(a), level(b)) })
	for _, i := range to {
		if free <= 0 {
			break
		}
		more := min(l.seats[i].target-plan.Entries[i].Units, free)
		free -= more
		change(Change{Seat: i, Units: plan.Entries[i].Units + more})
	}
}

// spread adds headroom to the claims where there is room for all of it: a mean demand of d swings by its root, so each
// gets the same multiple of that, as in square-root staffing (Halfin and Whitt, Operations Research 29, 1981).
func (l *Lender) spread(wants []Want, units int) {
	room := func(m float64) (all []int, sum int) {
		for _, w := range wants {
			more := 0
			if w.Demand > 0 {
				more = int(math.Ceil(m * math.Sqrt(float64(w.Demand))))
			}
			all = append(all, more)
			sum += max(w.Demand+more, l.terms.Floor)
		}
		return all, sum
	}
	for i, m := range []float64{3, 2, 1.5, 1, 0.7, 0.5, 0.3} {
		most := units
		if i < l.multiple {
			most = units * 19 / 20 // not to and fro
		}
		if more, sum := room(m); sum <= most {
			l.multiple = i
			for k := range wants {
				wants[k].Demand += more[k]
			}
			return
		}
	}
	l.multiple = math.MaxInt
}

// written answers the reports of the batch, and tells all whose units changed.
func (l *Lender) written(now int64, ledger *Ledger) []any {
	if !l.pending {
		return nil
	}
	l.ledger, l.pending = ledger, false
	var out []any
	tell := func(i int, life uint64) {
		s, e := &l.seats[i], ledger.Entries[i]
		g := &Grant{Seat: i, Life: life, Sent: s.sent, Known: e.Life, Serial: ledger.Serial}
		if life == e.Life {
			g.Number, g.Units = e.Number, min(e.Units, s.target)
			s.units = g.Units
		}
		out = append(out, g)
	}
	for _, i := range l.asked {
		s := &l.seats[i]
		if s.asking.Life == ledger.Entries[i].Life {
			s.sent = s.asking.Sent
		}
		tell(i, s.asking.Life)
		s.asking = nil
	}
	for i, e := range ledger.Entries { // what changed for others is told at once, within the lease that they have
		if s := &l.seats[i]; s.sent > 0 && s.life == e.Life && s.units != min(e.Units, s.target) {
			tell(i, e.Life)
		}
	}
	return out
}

// Targets gives what each gateway should come to above its floor, for figures and tests.
func (l *Lender) Targets() []int {
	all := make([]int, len(l.seats))
	for i := range l.seats {
		all[i] = l.seats[i].target
	}
	return all
}

// Wants gives the claims that the last shares were made from.
func (l *Lender) Wants() []Want { return l.dues }

// Holding gives how many connections the gateways tell to have, for figures.
func (l *Lender) Holding() (all int) {
	for i := range l.seats {
		all += l.seats[i].held
	}
	return all
}

// estimate is a demand that noise does not move. It jumps to the median of three reports where that is off by over a
// quarter, and to the mean of five where that is off by more than their own scatter explains: four standard errors
// and a third of a connection. So a clean step of any size counts after five reports, and noise of a fifth hardly ever.
type estimate struct {
	level float64
	last  [5]float64 // the newest last
	n     int
}

func (e *estimate) take(x float64) {
	copy(e.last[:], e.last[1:])
	e.last[4] = x
	if e.n++; e.n == 1 {
		if e.level == 0 { // else as an earlier leader had it
			e.level = x
		}
		return
	}
	if e.n == 2 {
		e.last[2] = e.last[3]
	}
	three := slices.Clone(e.last[2:])
	slices.Sort(three)
	if m := three[1]; math.Abs(m-e.level) > max(0.6, e.level/4) {
		e.level = m
		return
	}
	if e.n < 5 {
		return
	}
	mean, scatter := 0.0, 0.0
	for _, y := range e.last {
		mean += y / 5
	}
	for _, y := range e.last {
		scatter += (y - mean) * (y - mean)
	}
	if math.Abs(mean-e.level) > 0.3+4*math.Sqrt(scatter/20) {
		e.level = mean
	}
}

// String tells how things stand, for the operators.
func (l *Lender) String() string {
	lent, stranded, heard := 0, 0, 0
	for i, e := range l.ledger.Entries {
		lent += e.Units
		stranded += e.Stranded
		if l.seats[i].heard > 0 {
			heard++
		}
	}
	return fmt.Sprintf("capacity=%d serial=%d lent=%d free=%d stranded=%d held=%d heard=%d", l.ledger.Capacity, l.ledger.Serial,
		lent, l.ledger.Free(), stranded, l.Holding(), heard)
}

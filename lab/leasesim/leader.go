package leasesim

import (
	"time"

	"ravensill/pool"
)

const (
	electionTime    = 100 * time.Millisecond // until a new leader grants, at most
	commitTime      = 20 * time.Millisecond  // until a batch is committed, and again until its leader learns of it
	lateCommitTime  = 500 * time.Millisecond // until a deposed leader learns that its last batch was committed
	stepsPerTick    = 5
	staleReportOdds = 8 // one report in so many goes to a deposed leader
)

// Leader is a voter that leads, or has not learned that it was deposed.
type Leader struct {
	Grantor *pool.Grantor // nil before the leader has learned of its election
	clock
	leadsFrom  time.Duration
	proposed   *pool.Batch // not yet committed
	commitAt   time.Duration
	wasDeposed bool
}

// ElectLeader elects another leader. The batch that the one before has proposed is committed just before, or never; the
// deposed leader goes on for a while.
func (s *Simulation) ElectLeader() {
	if deposed := s.Leader; deposed != nil {
		if deposed.proposed != nil && s.random.IntN(2) == 0 {
			s.commit(deposed, lateCommitTime)
		}
		deposed.wasDeposed = true
		s.deposedLeaders = append(s.deposedLeaders, deposed)
	}
	s.Leader = &Leader{clock: s.newClock(), leadsFrom: s.Now + s.randomDuration(electionTime)}
}

// commit commits the batch that a leader has proposed; the leader learns of it within a time.
func (s *Simulation) commit(l *Leader, notifyTime time.Duration) {
	s.Ledger.Apply(l.proposed)
	l.proposed = nil
	ledger := s.Ledger.Clone()
	s.schedule(s.Now+s.randomDuration(notifyTime), func() {
		for _, grant := range l.Grantor.Committed(ledger) {
			s.sendGrant(grant)
		}
	})
}

func (s *Simulation) sendGrant(grant *pool.Grant) {
	g := s.Gateways[grant.Member]
	s.send(grant.Member, GrantsLost, func() { s.receiveGrant(g, grant) })
}

// stepLeader lets a leader act: it starts to grant, has its batch committed, or proposes another.
func (s *Simulation) stepLeader(l *Leader) {
	if l.Grantor == nil {
		if s.Now >= l.leadsFrom && !l.wasDeposed {
			l.Grantor = pool.NewGrantor(&s.Terms, l.at(s.Now), s.Ledger.Clone())
		}
		return
	}
	if l.proposed == nil {
		if s.Steps%stepsPerTick == 0 {
			s.propose(l)
		}
		return
	}
	if s.Now >= l.commitAt && !l.wasDeposed {
		s.commit(l, commitTime)
	}
}

func (s *Simulation) propose(l *Leader) {
	batch, notes := l.Grantor.Tick(l.at(s.Now))
	for _, note := range notes {
		s.NoteCounts[note.Event]++
	}
	if batch == nil {
		return
	}
	l.proposed = batch
	l.commitAt = s.Now + s.randomDuration(commitTime)
}

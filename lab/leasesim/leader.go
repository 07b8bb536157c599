package leasesim

import (
	"time"

	"ravensill/pool"
)

const (
	maxElectionTime    = 100 * time.Millisecond // longest time from its election until a new leader acts
	maxCommitTime      = 20 * time.Millisecond  // longest time until a batch is committed, and then until its leader knows
	maxLateNotifyDelay = 500 * time.Millisecond // longest time until a deposed leader knows that its batch was committed
	stepsPerTick       = 5                      // a leader proposes a batch at most once in this many steps
	staleReportOdds    = 8                      // one report in this many goes to a deposed leader
)

// Leader is a voter that leads, or that was deposed and has not learned of it.
type Leader struct {
	Grantor *pool.Grantor // nil until the leader has learned of its election
	clock
	leadsFrom  time.Duration // true time at which it learns of its election
	proposed   *pool.Batch   // batch that is not yet committed; nil: none
	commitAt   time.Duration // true time at which the proposed batch is committed
	wasDeposed bool
}

// ElectLeader elects another leader. A batch that the previous leader has proposed is committed just before the
// election or never, at random. The deposed leader goes on until two later leaders have been deposed.
func (s *Simulation) ElectLeader() {
	if deposed := s.Leader; deposed != nil {
		if deposed.proposed != nil && s.random.IntN(2) == 0 {
			s.commit(deposed, maxLateNotifyDelay)
		}
		deposed.wasDeposed = true
		s.deposedLeaders = append(s.deposedLeaders, deposed)
	}
	s.Leader = &Leader{clock: s.newClock(), leadsFrom: s.Now + s.randomDuration(maxElectionTime)}
}

// commit commits the batch that a leader has proposed. The leader learns of it within maxNotifyDelay and then sends its
// grants.
func (s *Simulation) commit(l *Leader, maxNotifyDelay time.Duration) {
	s.Ledger.Apply(l.proposed)
	l.proposed = nil
	ledger := s.Ledger.Clone()
	s.schedule(s.Now+s.randomDuration(maxNotifyDelay), func() {
		for _, grant := range l.Grantor.Committed(ledger) {
			s.sendGrant(grant)
		}
	})
}

func (s *Simulation) sendGrant(grant *pool.Grant) {
	g := s.Gateways[grant.Member]
	s.send(grant.Member, GrantsLost, func() { s.receiveGrant(g, grant) })
}

// stepLeader lets a leader act: it starts to grant after its election, has its proposed batch committed, or proposes
// another. A deposed leader may still propose, but its batches are not committed.
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
		s.commit(l, maxCommitTime)
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
	l.commitAt = s.Now + s.randomDuration(maxCommitTime)
}

package leasesim

import "ravensill/pool"

// Leader is a voter that leads, or believes that it does.
type Leader struct {
	Grantor *pool.Grantor // nil: not elected yet
	clock
	electedAt   int64
	pending     *pool.Batch // proposed and not committed
	committedAt int64
	deposed     bool
}

// Elect elects another leader. What the one before has proposed is committed before that, or never. It goes on for a
// while without knowing.
func (s *Simulation) Elect() {
	if previous := s.Leader; previous != nil {
		if previous.pending != nil && s.random.IntN(2) == 0 {
			s.commit(previous, maxLateNotice)
		}
		previous.deposed = true
		s.deposedLeaders = append(s.deposedLeaders, previous)
	}
	clock := s.newClock()
	s.Leader = &Leader{clock: clock, electedAt: s.Now + int64(s.random.Uint64N(uint64(maxElectionDelay)))}
}

// commit commits a leader's proposal. The leader learns it within a time.
func (s *Simulation) commit(leader *Leader, within int64) {
	s.Ledger.Apply(leader.pending)
	leader.pending = nil
	ledger := s.Ledger.Clone()
	s.atRandom(within, func() {
		s.runActions(leader, leader.Grantor.Step(leader.at(s.Now), pool.Committed{Ledger: ledger}))
	})
}

// runActions carries out what a leader decides.
func (s *Simulation) runActions(leader *Leader, actions []any) {
	for _, action := range actions {
		switch action := action.(type) {
		case pool.Propose:
			leader.pending = &action.Batch
			leader.committedAt = s.Now + int64(s.random.Uint64N(uint64(maxCommitDelay)))
		case pool.Note:
			s.EventCounts[action.Event]++
		case *pool.Grant:
			gateway := s.Gateways[action.Member]
			s.send(action.Member, FromLeader, func() { s.receiveGrant(gateway, action) })
		}
	}
}

// stepLeaders has the leader and the deposed leaders act.
func (s *Simulation) stepLeaders() {
	leaders := append([]*Leader{}, s.deposedLeaders...)
	if s.Leader != nil {
		leaders = append(leaders, s.Leader)
	}
	for _, leader := range leaders {
		s.stepLeader(leader)
	}
	if len(s.deposedLeaders) > maxDeposed {
		s.deposedLeaders = s.deposedLeaders[1:]
	}
}

// stepLeader has one leader act.
func (s *Simulation) stepLeader(leader *Leader) {
	if leader.Grantor == nil {
		if s.Now >= leader.electedAt && !leader.deposed {
			leader.Grantor = pool.NewGrantor(&s.Terms, leader.at(s.Now), s.Ledger.Clone())
		}
		return
	}
	if leader.pending != nil {
		if s.Now >= leader.committedAt && !leader.deposed {
			s.commit(leader, maxNoticeDelay)
		}
		return
	}
	if s.Steps%stepsPerTick == 0 {
		s.runActions(leader, leader.Grantor.Step(leader.at(s.Now), pool.Tick{}))
	}
}

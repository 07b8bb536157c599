package consensus

import (
	"errors"
	"net/netip"
	"testing"
	"time"

	"github.com/hashicorp/raft"
)

// waitingEntries is the number of committed entries that wait for the state machine when the replica shuts down. The
// library stops at a random one of them and never reports the outcome of the rest.
const waitingEntries = 32

// blockedFSM is a state machine whose Apply blocks until released is closed.
type blockedFSM struct {
	listFSM
	released chan struct{}
}

func (m *blockedFSM) Apply(entry *raft.Log) any {
	<-m.released
	return m.listFSM.Apply(entry)
}

// Wait must return when the replica is closed, also for a proposal whose entry was committed but not yet applied. The
// library never completes the future of such an entry, so a Wait that relies on it alone would block forever.
func TestProposalEndsWithReplica(t *testing.T) {
	c := newClosedCluster(t)
	cfg := c.config(0)
	cfg.Addresses = []netip.AddrPort{c.addresses[0]}
	fsm := &blockedFSM{released: make(chan struct{})}
	r, err := Open(cfg, fsm)
	if err != nil {
		t.Fatal(err)
	}
	eventually(t, "the replica to become the leader", r.IsLeader)
	var proposals []Proposal
	for range waitingEntries {
		committed := r.raft.CommitIndex()
		proposals = append(proposals, r.Propose([]byte("entry"), testTimeout))
		eventually(t, "the commit of an entry", func() bool { return r.raft.CommitIndex() > committed })
	}
	closed := make(chan struct{})
	go func() {
		r.Close()
		close(closed)
	}()
	eventually(t, "the shutdown of the library", func() bool { return r.raft.State() == raft.Shutdown })
	close(fsm.released)
	<-closed
	for i, proposal := range proposals {
		outcome := make(chan error, 1)
		go func() {
			_, err := proposal.Wait()
			outcome <- err
		}()
		select {
		case err := <-outcome:
			if err != nil && !errors.Is(err, ErrUnknownOutcome) {
				t.Errorf("proposal %d: error %v, want none or one that wraps ErrUnknownOutcome", i, err)
			}
		case <-time.After(testTimeout):
			t.Fatalf("Wait of proposal %d did not return after Close", i)
		}
	}
}

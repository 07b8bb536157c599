package consensus

import (
	"errors"
	"net/netip"
	"testing"
	"time"

	"github.com/hashicorp/raft"
)

// waitingEntries is how many committed entries wait for the state machine as the replica shuts down. The library
// drops those after the one at which it ends, which it picks at random.
const waitingEntries = 32

// blockedMachine is a state machine that applies nothing until it is released.
type blockedMachine struct {
	list
	released chan struct{}
}

func (m *blockedMachine) Apply(entry *raft.Log) any {
	<-m.released
	return m.list.Apply(entry)
}

// A proposal whose entry is committed as the replica closes has an outcome, though the library never reports one.
func TestProposalEndsWithReplica(t *testing.T) {
	g := newClosedGroup(t)
	cfg := g.config(0)
	cfg.Addresses = []netip.AddrPort{g.addresses[0]}
	machine := &blockedMachine{released: make(chan struct{})}
	r, err := Open(cfg, machine)
	if err != nil {
		t.Fatal(err)
	}
	eventually(t, "the lead", r.IsLeader)
	var proposals []Proposal
	for range waitingEntries {
		committed := r.raft.CommitIndex()
		proposals = append(proposals, r.Propose([]byte("entry"), testTimeout))
		eventually(t, "the commit", func() bool { return r.raft.CommitIndex() > committed })
	}
	closed := make(chan struct{})
	go func() {
		r.Close()
		close(closed)
	}()
	eventually(t, "the shutdown", func() bool { return r.raft.State() == raft.Shutdown })
	close(machine.released)
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
				t.Errorf("proposal %d: %v", i, err)
			}
		case <-time.After(testTimeout):
			t.Fatalf("proposal %d has no outcome", i)
		}
	}
}

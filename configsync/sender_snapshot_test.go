package configsync

import (
	"fmt"
	"testing"
	"time"
)

// A later version follows a snapshot as a delta, and followers share a snapshot as long as a delta leads from it to the
// latest version.
func TestSenderSharesSnapshotWhileDeltaFollows(t *testing.T) {
	s := newTestSender(t, 0, SenderLimits{})
	publish(t, s.state, longPlans("", 8)...)
	wantingSnapshot := func(member int) *Hello {
		return &Hello{Protocol: Protocol, Member: member, WantSnapshot: true}
	}
	id := s.connect(start, wantingSnapshot(1))
	assembler := &SnapshotAssembler{}
	var document *Document
	for document == nil {
		part := s.next(start, id).(*SnapshotPart)
		if part.Index == 1 {
			publish(t, s.state, set("limits", "1"))
		}
		var err error
		document, err = assembler.Add(part)
		if err != nil {
			t.Fatal(err)
		}
	}
	if document.Version() != 1 || s.next(start, id) != nil {
		t.Errorf("version %d", document.Version())
	}
	prepared := s.sender.snapshot
	part := s.next(start, s.connect(start, wantingSnapshot(2))).(*SnapshotPart)
	if part.Version != 1 || s.sender.snapshot != prepared {
		t.Error("encoded again, though a delta leads to the latest version")
	}
	current := wantingSnapshot(5)
	current.Log = testLog
	current.InForce = 2
	if part := s.next(start, s.connect(start, current)).(*SnapshotPart); part.Version != 2 {
		t.Errorf("sent version %d to a follower of version 2", part.Version)
	}
	prepared = s.sender.snapshot
	s.next(start, s.connect(start, wantingSnapshot(6)))
	if s.sender.snapshot != prepared {
		t.Error("the latest version encoded again")
	}
	s.acknowledge(id, document.Version(), document.Digest())
	if delta := s.next(start, id).(*Delta); delta.From != 1 || delta.To != 2 {
		t.Errorf("%+v", delta)
	}
	refused := wantingSnapshot(3)
	refused.Log = testLog
	refused.Refused = 1
	if part := s.next(start, s.connect(start, refused)).(*SnapshotPart); part.Version != 2 {
		t.Errorf("sent version %d to a follower that refused it", part.Version)
	}
	for range 4 {
		publish(t, s.state, set("classes/a", fmt.Sprint(s.state.Document().Version())))
	}
	if part := s.next(start, s.connect(start, wantingSnapshot(4))).(*SnapshotPart); part.Version != 6 {
		t.Errorf("version %d, from which there is no delta", part.Version)
	}
}

func TestSenderLimitsSnapshotRate(t *testing.T) {
	s := newTestSender(t, 0, SenderLimits{SnapshotRate: 1 << 20, SnapshotBurst: 1})
	publish(t, s.state, Change{"limits", make([]byte, MaxValueBytes)})
	served := 0
	var waits []time.Duration
	requestSnapshot := func(now time.Time, member int) {
		hello := &Hello{Protocol: Protocol, Member: member, WantSnapshot: true}
		switch message := s.next(now, s.connect(now, hello)).(type) {
		case *SnapshotPart:
			served++
		case *SnapshotDeferral:
			waits = append(waits, message.After)
		}
	}
	requestSnapshot(start, 0)
	for i := range 100 { // a snapshot takes some 63 ms of the rate
		requestSnapshot(at(time.Second), 1+i)
	}
	if served != 1 {
		t.Errorf("%d served at once", served)
	}
	if waits[1] < 60*time.Millisecond || waits[2] <= waits[1] || waits[len(waits)-1] != MaxDeferral {
		t.Errorf("deferred by %v", waits)
	}
	for i := range 100 {
		requestSnapshot(at(time.Second+time.Duration(i)*100*time.Millisecond), 200+i)
	}
	if served < 95 || served > 101 {
		t.Errorf("%d served over ten seconds", served)
	}
	large := newTestSender(t, 0, SenderLimits{SnapshotRate: 1 << 20, SnapshotBurst: 1})
	publish(t, large.state, Change{"limits", make([]byte, MaxValueBytes)})
	large.connect(start, &Hello{Protocol: Protocol, WantSnapshot: true})
	large.next(start, 1)
	message := large.next(at(time.Second), large.connect(at(time.Second), &Hello{Protocol: Protocol, WantSnapshot: true}))
	if _, isPart := message.(*SnapshotPart); !isPart {
		t.Errorf("a document beyond the burst is never sent: %T", message)
	}
}

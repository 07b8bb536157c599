package configsync

import (
	"fmt"
	"testing"
	"time"
)

// Versions published during the transfer of a snapshot follow it as a delta. Followers share an encoded snapshot as
// long as one delta leads from it to the latest version, unless it doesn't help the follower.
func TestSenderSharesSnapshotWhileDeltaFollows(t *testing.T) {
	s := newTestSender(t, 0, SenderLimits{})
	publish(t, s.state, maxSizePlans("", 8)...)
	snapshotHello := func(member int) *Hello {
		return &Hello{Protocol: Protocol, Member: member, WantSnapshot: true}
	}
	id := s.connect(start, snapshotHello(1))
	assembler := &SnapshotAssembler{}
	var document *Document
	for document == nil {
		part := s.nextMessage(start, id).(*SnapshotPart)
		if part.Index == 1 {
			publish(t, s.state, set("limits", "1"))
		}
		var err error
		document, err = assembler.Add(part)
		if err != nil {
			t.Fatal(err)
		}
	}
	if document.Version() != 1 || s.nextMessage(start, id) != nil {
		t.Errorf("snapshot of version %d, or a version sent before its acknowledgement", document.Version())
	}
	prepared := s.sender.snapshot
	part := s.nextMessage(start, s.connect(start, snapshotHello(2))).(*SnapshotPart)
	if part.Version != 1 || s.sender.snapshot != prepared {
		t.Error("the snapshot was encoded again although a delta leads to the latest version")
	}
	current := snapshotHello(5)
	current.Log = testLog
	current.InForce = 2
	if part := s.nextMessage(start, s.connect(start, current)).(*SnapshotPart); part.Version != 2 {
		t.Errorf("sent version %d to a follower of version 2", part.Version)
	}
	prepared = s.sender.snapshot
	s.nextMessage(start, s.connect(start, snapshotHello(6)))
	if s.sender.snapshot != prepared {
		t.Error("the snapshot of the latest version was encoded again")
	}
	s.acknowledge(id, document.Version(), document.Digest())
	if delta := s.nextMessage(start, id).(*Delta); delta.From != 1 || delta.To != 2 {
		t.Errorf("delta after the snapshot: %+v, want versions 1 to 2", delta)
	}
	refused := snapshotHello(3)
	refused.Log = testLog
	refused.Refused = 1
	if part := s.nextMessage(start, s.connect(start, refused)).(*SnapshotPart); part.Version != 2 {
		t.Errorf("sent version %d to a follower that refused it", part.Version)
	}
	for range 4 {
		publish(t, s.state, set("classes/a", fmt.Sprint(s.state.Document().Version())))
	}
	if part := s.nextMessage(start, s.connect(start, snapshotHello(4))).(*SnapshotPart); part.Version != 6 {
		t.Errorf("sent a snapshot of version %d, from which no delta leads to the latest", part.Version)
	}
}

// Snapshots beyond the rate limit are deferred, each one by a longer time, so that followers come back when there is
// room for them. A document larger than the burst is sent nevertheless.
func TestSenderLimitsSnapshotRate(t *testing.T) {
	s := newTestSender(t, 0, SenderLimits{SnapshotRate: 1 << 20, SnapshotBurst: 1})
	publish(t, s.state, Change{"limits", make([]byte, MaxValueBytes)})
	served := 0
	var waits []time.Duration
	requestSnapshot := func(now time.Time, member int) {
		hello := &Hello{Protocol: Protocol, Member: member, WantSnapshot: true}
		switch message := s.nextMessage(now, s.connect(now, hello)).(type) {
		case *SnapshotPart:
			served++
		case *SnapshotDeferral:
			waits = append(waits, message.After)
		}
	}
	requestSnapshot(start, 0)
	for i := range 100 { // a snapshot uses some 63 ms of the rate
		requestSnapshot(afterStart(time.Second), 1+i)
	}
	if served != 1 {
		t.Errorf("%d snapshots sent at once", served)
	}
	if waits[1] < 60*time.Millisecond || waits[2] <= waits[1] || waits[len(waits)-1] != MaxDeferral {
		t.Errorf("deferred by %v", waits)
	}
	for i := range 100 {
		requestSnapshot(afterStart(time.Second+time.Duration(i)*100*time.Millisecond), 200+i)
	}
	if served < 95 || served > 101 {
		t.Errorf("%d snapshots sent over ten seconds", served)
	}
	large := newTestSender(t, 0, SenderLimits{SnapshotRate: 1 << 20, SnapshotBurst: 1})
	publish(t, large.state, Change{"limits", make([]byte, MaxValueBytes)})
	large.connect(start, &Hello{Protocol: Protocol, WantSnapshot: true})
	large.nextMessage(start, 1)
	message := large.nextMessage(afterStart(time.Second),
		large.connect(afterStart(time.Second), &Hello{Protocol: Protocol, WantSnapshot: true}))
	if _, isPart := message.(*SnapshotPart); !isPart {
		t.Errorf("want a part of a document larger than the burst, got a %T", message)
	}
}

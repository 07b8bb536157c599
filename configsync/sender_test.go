package configsync

import (
	"bytes"
	"fmt"
	"reflect"
	"testing"
	"time"
)

// testSender is a sender with its state. Its followers get ids from 1 on.
type testSender struct {
	t      *testing.T
	state  *State
	sender *Sender
	lastID ConnectionID
}

// newTestSender returns a sender whose state has a number of versions and a history of the latest three.
func newTestSender(t *testing.T, versions int, limits SenderLimits) *testSender {
	state := newTestState(t, HistoryLimits{Deltas: 3, Bytes: 4 << 20})
	for i := range versions {
		publish(t, state, set("limits", fmt.Sprint(i)), set(Resource(fmt.Sprintf("plans/%d", i)), "1"))
	}
	sender := NewSender(state, limits)
	sender.SetHasQuorum(true)
	return &testSender{t: t, state: state, sender: sender}
}

// hello returns the hello of a follower that has a version of the history in force.
func (s *testSender) hello(member int, inForce Version) *Hello {
	digest, _ := s.state.History().DigestAt(inForce)
	return &Hello{Protocol: Protocol, Member: member, Log: testLog, InForce: inForce, Digest: digest}
}

func (s *testSender) connect(now time.Time, hello *Hello) ConnectionID {
	s.t.Helper()
	s.lastID++
	_, err := s.sender.Connect(now, s.lastID, hello)
	if err != nil {
		s.t.Fatal(err)
	}
	return s.lastID
}

// next returns the first message for a follower that is not a heartbeat, or nil.
func (s *testSender) next(now time.Time, id ConnectionID) Message {
	s.t.Helper()
	action := s.sender.Next(now, id)
	if action.Frame == nil {
		if action.Close {
			s.t.Error("closed without a message")
		}
		return nil
	}
	message, err := Decode(action.Frame)
	if err != nil {
		s.t.Fatal(err)
	}
	closes := false
	switch message.(type) {
	case *Heartbeat:
		return s.next(now, id)
	case *SnapshotDeferral, *PublisherBehind, *LogMismatch:
		closes = true
	}
	if action.Close != closes {
		s.t.Errorf("%T: close %v", message, action.Close)
	}
	return message
}

func (s *testSender) acknowledge(id ConnectionID, version Version, digest Digest) {
	s.t.Helper()
	if err := s.sender.Receive(start, id, &Acknowledge{version, digest}); err != nil {
		s.t.Fatal(err)
	}
}

func TestSenderSendsOneDeltaAtATime(t *testing.T) {
	s := newTestSender(t, 0, SenderLimits{})
	id := s.connect(start, &Hello{Protocol: Protocol, Member: 4})
	if message := s.next(start, id); message != nil {
		t.Errorf("before the first version: %+v", message)
	}
	publish(t, s.state, set("limits", "1"))
	first := s.next(start, id).(*Delta)
	publish(t, s.state, set("limits", "2"))
	publish(t, s.state, set("plans/a", "3"))
	if message := s.next(start, id); message != nil {
		t.Errorf("two versions in flight: %+v", message)
	}
	s.acknowledge(id, first.To, first.Digest)
	second := s.next(start, id).(*Delta)
	if second.From != 1 || second.To != 3 || len(second.Changes) != 2 {
		t.Errorf("%+v", second)
	}
	s.acknowledge(id, second.To, second.Digest)
	s.acknowledge(id, second.To, second.Digest) // repeated
	s.acknowledge(id, first.To, first.Digest)   // late
	if message := s.next(start, id); message != nil {
		t.Errorf("after the latest version: %+v", message)
	}
	if status := s.sender.Status()[0]; status.InForce != 3 || status.Member != 4 || !status.Connected {
		t.Errorf("%+v", status)
	}
}

// An acknowledgement of an earlier version doesn't count for the one in flight, and one is accepted after its version
// has left the history.
func TestSenderMatchesLateAcknowledgements(t *testing.T) {
	s := newTestSender(t, 3, SenderLimits{})
	id := s.connect(start, s.hello(1, 0))
	sent := s.next(start, id).(*Delta)
	digest, _ := s.state.History().DigestAt(2)
	s.acknowledge(id, 2, digest)
	if message := s.next(start, id); message != nil || sent.To != 3 {
		t.Errorf("two versions in flight: %+v", message)
	}
	for i := range 4 {
		publish(t, s.state, set("classes/a", fmt.Sprint(i)))
	}
	s.acknowledge(id, 3, sent.Digest)
	s.acknowledge(id, 3, sent.Digest)
	if part := s.next(start, id).(*SnapshotPart); part.Version != 7 {
		t.Errorf("%d", part.Version)
	}
}

// A paused sender sends heartbeats without its state, which may be outdated, to followers of earlier and later
// versions.
func TestPausedSenderSendsEmptyHeartbeats(t *testing.T) {
	s := newTestSender(t, 2, SenderLimits{})
	s.sender.SetPaused(true)
	earlier := s.connect(start, s.hello(1, 1))
	later := s.connect(start, &Hello{Protocol: Protocol, Member: 2, Log: testLog, InForce: 9})
	for _, id := range []ConnectionID{earlier, later} {
		action := s.sender.Next(start, id)
		message, err := Decode(action.Frame)
		if err != nil || action.Close || !reflect.DeepEqual(message, &Heartbeat{}) {
			t.Errorf("%+v, %v", message, err)
		}
		action = s.sender.Next(start, id)
		if action.Frame != nil || action.Close || !action.Wake.Equal(start.Add(HeartbeatInterval)) {
			t.Errorf("after the heartbeat: %+v", action)
		}
	}
	s.sender.SetPaused(false)
	if delta, ok := s.next(start, earlier).(*Delta); !ok || delta.To != 2 {
		t.Errorf("%+v", delta)
	}
	if _, ok := s.next(start, later).(*PublisherBehind); !ok {
		t.Error("a follower of a later version stays")
	}
}

// A follower gets the first version at once, and those published within the interval merged after it.
func TestSenderMergesVersionsWithinInterval(t *testing.T) {
	const interval = 100 * time.Millisecond
	s := newTestSender(t, 0, SenderLimits{VersionInterval: interval})
	id := s.connect(start, &Hello{Protocol: Protocol, Member: 1})
	publish(t, s.state, set("limits", "1"))
	first := s.next(start, id).(*Delta)
	s.acknowledge(id, first.To, first.Digest)
	publish(t, s.state, set("limits", "2"))
	publish(t, s.state, set("plans/a", "3"))
	early := start.Add(interval - 1)
	action := s.sender.Next(early, id)
	if action.Frame != nil || action.Close || !action.Wake.Equal(start.Add(interval)) {
		t.Errorf("before the interval is over: %+v", action)
	}
	second, ok := s.next(start.Add(interval), id).(*Delta)
	if !ok || second.From != 1 || second.To != 3 {
		t.Errorf("%+v", second)
	}
}

// The search for a delta walks through all changes, so a failed one is cached for all followers with the same version.
func TestSenderRemembersThatNoDeltaFits(t *testing.T) {
	s := newTestSender(t, 0, SenderLimits{})
	publish(t, s.state, longPlans("", 10)...)
	id := s.connect(start, &Hello{Protocol: Protocol, Member: 1})
	message := s.next(start, id)
	if _, ok := message.(*SnapshotPart); !ok {
		t.Fatalf("%T", message)
	}
	search := func() {
		_, fits := s.sender.deltaFor(s.sender.followers[id])
		if fits {
			t.Error("a delta fits")
		}
	}
	const runs = 10
	if allocations := testing.AllocsPerRun(runs, search); allocations > 0 {
		t.Errorf("%v allocations where it is known that no delta fits", allocations)
	}
}

// The sender is at version 5 and has a history from version 2 on.
func TestSenderChoosesDeltaOrSnapshot(t *testing.T) {
	for name, test := range map[string]struct {
		inForce Version
		change  func(*Hello)
		want    Message
	}{
		"no log yet":         {0, func(h *Hello) { h.Log = "" }, &SnapshotPart{}},
		"history gone":       {1, nil, &SnapshotPart{}},
		"oldest of history":  {2, nil, &Delta{}},
		"recent":             {4, nil, &Delta{}},
		"latest":             {5, nil, nil},
		"wants a snapshot":   {5, func(h *Hello) { h.WantSnapshot = true }, &SnapshotPart{}},
		"wants, not latest":  {4, func(h *Hello) { h.WantSnapshot = true }, &SnapshotPart{}},
		"other content":      {5, func(h *Hello) { h.Digest[0]++ }, &SnapshotPart{}},
		"other, not latest":  {4, func(h *Hello) { h.Digest[0]++ }, &SnapshotPart{}},
		"refused the latest": {3, func(h *Hello) { h.Refused = 5 }, nil},
		"refused a later":    {3, func(h *Hello) { h.Refused = 6 }, nil},
		"refused an earlier": {3, func(h *Hello) { h.Refused = 4 }, &Delta{}},
		"ahead":              {6, nil, &PublisherBehind{}},
		"other log":          {5, func(h *Hello) { h.Log = "log-b" }, &LogMismatch{}},
	} {
		s := newTestSender(t, 5, SenderLimits{})
		hello := s.hello(1, test.inForce)
		if test.change != nil {
			test.change(hello)
		}
		message := s.next(start, s.connect(start, hello))
		if reflect.TypeOf(message) != reflect.TypeOf(test.want) {
			t.Errorf("%s: %T", name, message)
		}
	}
	fresh := NewSender(NewState(testLimits), SenderLimits{})
	s := &testSender{t: t, state: fresh.state, sender: fresh}
	message := s.next(start, s.connect(start, &Hello{Protocol: Protocol, Log: testLog, InForce: 1}))
	if _, isBehind := message.(*PublisherBehind); !isBehind {
		t.Errorf("a publisher without a log: %T", message)
	}
}

func TestSenderSkipsRefusedVersion(t *testing.T) {
	s := newTestSender(t, 2, SenderLimits{})
	id := s.connect(start, s.hello(9, 1))
	s.next(start, id)
	if err := s.sender.Receive(at(time.Second), id, NewRefusal(2, "limits", "no")); err != nil {
		t.Fatal(err)
	}
	if message := s.next(start, id); message != nil {
		t.Errorf("after a refusal: %+v", message)
	}
	want := MemberStatus{
		Member:          9,
		Connected:       true,
		InForce:         1,
		Refused:         2,
		RefusedResource: "limits",
		RefusalReason:   "no",
		LastMessage:     at(time.Second),
	}
	if status := s.sender.Status()[0]; status != want {
		t.Errorf("%+v", status)
	}
	publish(t, s.state, set("limits", "good"))
	delta := s.next(start, id).(*Delta)
	if delta.From != 1 || delta.To != 3 {
		t.Errorf("%+v", delta)
	}
	s.acknowledge(id, 3, delta.Digest)
	s.sender.Disconnect(id)
	want = MemberStatus{Member: 9, InForce: 3, LastMessage: start}
	if status := s.sender.Status()[0]; status != want {
		t.Errorf("%+v", status)
	}
}

// A refused version is no intermediate step to a later one, since the follower would refuse it again.
func TestSenderSendsNoDeltaToRefusedVersion(t *testing.T) {
	s := newTestSender(t, 1, SenderLimits{})
	publish(t, s.state, longPlans("x", 6)...)
	publish(t, s.state, longPlans("y", 6)...)
	hello := s.hello(1, 1)
	if delta := s.next(start, s.connect(start, hello)).(*Delta); delta.To != 2 {
		t.Errorf("%d", delta.To)
	}
	hello.Refused = 2
	if part := s.next(start, s.connect(start, hello)).(*SnapshotPart); part.Version != 3 {
		t.Errorf("%d", part.Version)
	}
}

func TestSenderClosesBrokenConnections(t *testing.T) {
	for name, message := range map[string]Message{
		"never sent":         &Acknowledge{Version: 9},
		"digest":             &Acknowledge{Version: 5, Digest: Digest{1}},
		"refuses never sent": NewRefusal(9, "", ""),
		"a publisher's":      &Heartbeat{},
	} {
		s := newTestSender(t, 5, SenderLimits{})
		id := s.connect(start, s.hello(1, 4))
		s.next(start, id)
		if err := s.sender.Receive(start, id, message); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
	s := newTestSender(t, 5, SenderLimits{})
	if _, err := s.sender.Connect(start, 1, &Hello{Protocol: Protocol + 1}); err == nil {
		t.Error("another protocol accepted")
	}
	id := s.connect(start, s.hello(1, 4))
	s.next(start, id)
	late := at(AcknowledgeTimeout)
	if action := s.sender.Next(late.Add(-1), id); action.Close {
		t.Error("closed too early")
	}
	s.sender.Next(late, id)
	if !s.sender.Next(late, id).Close {
		t.Error("waits for ever")
	}
	s.sender.Disconnect(id)
	s.sender.Disconnect(id)
	if !s.sender.Next(late, id).Close || s.sender.Receive(late, id, &Hello{}) != nil || s.sender.Len() != 0 {
		t.Error("a connection that is gone")
	}
}

func TestSenderKeepsOneConnectionPerMember(t *testing.T) {
	s := newTestSender(t, 1, SenderLimits{})
	hello := s.hello(1, 1)
	hello.Incarnation = 5
	first := s.connect(start, hello)
	replaced, err := s.sender.Connect(start, 50, hello)
	if err != nil || replaced != first || !s.sender.Next(start, first).Close {
		t.Error(replaced, err)
	}
	s.sender.Disconnect(first) // late
	if !s.sender.Status()[0].Connected {
		t.Error("the later connection was removed")
	}
	s.sender.Disconnect(50)
	if replaced, err := s.sender.Connect(start, 52, hello); err != nil || replaced != 0 {
		t.Error(replaced, err)
	}
	older := *hello
	older.Incarnation = 4
	if _, err := s.sender.Connect(start, 51, &older); err == nil || s.sender.Len() != 1 {
		t.Error("an older start replaced a later one")
	}
}

func TestSenderSendsHeartbeatEachInterval(t *testing.T) {
	s := newTestSender(t, 2, SenderLimits{})
	id := s.connect(start, s.hello(1, 2))
	for i := range 3 {
		now := at(time.Duration(i) * HeartbeatInterval)
		s.sender.SetHasQuorum(i != 2)
		action := s.sender.Next(now, id)
		want := Encode(&Heartbeat{Log: testLog, Latest: 2, HasQuorum: i != 2})
		if !bytes.Equal(action.Frame, want) || !action.Wake.Equal(now.Add(HeartbeatInterval)) {
			t.Errorf("%d: %+v", i, action)
		}
		action = s.sender.Next(now.Add(HeartbeatInterval-1), id)
		if action.Frame != nil || !action.Wake.Equal(now.Add(HeartbeatInterval)) {
			t.Errorf("%d: too early: %+v", i, action)
		}
	}
}

// Followers with the same version in force share one frame, up to a bound of memory.
func TestSenderSharesDeltasUpToByteLimit(t *testing.T) {
	s := newTestSender(t, 3, SenderLimits{})
	a, _ := s.sender.prepareDelta(1)
	b, _ := s.sender.prepareDelta(1)
	if &a.frame[0] != &b.frame[0] {
		t.Error("encoded twice")
	}
	if size := s.sender.deltas.size; size != len(a.frame) {
		t.Errorf("%d bytes", size)
	}
	old, _ := s.state.Document().Get("limits")
	publish(t, s.state, set("limits", "x"))
	publish(t, s.state, Change{"limits", old}) // the same digest again
	c, _ := s.sender.prepareDelta(2)
	if c.to != 5 || s.sender.deltas.size != len(c.frame) {
		t.Errorf("leads to version %d, %d bytes", c.to, s.sender.deltas.size)
	}
	s.sender.deltas.size = maxCachedBytes
	s.sender.prepareDelta(3)
	if len(s.sender.deltas.byFrom) != 1 {
		t.Error("a cache of any size")
	}
}

package configsync

import (
	"bytes"
	"fmt"
	"reflect"
	"testing"
	"time"
)

// testSender is a sender with its state. It assigns connection IDs from 1 on.
type testSender struct {
	t      *testing.T
	state  *State
	sender *Sender
	lastID ConnectionID
}

// newTestSender returns a sender with a quorum whose state has the given number of versions, of which the history holds
// the latest three deltas.
func newTestSender(t *testing.T, versions int, limits SenderLimits) *testSender {
	state := newTestState(t, HistoryLimits{Deltas: 3, Bytes: 4 << 20})
	for i := range versions {
		publish(t, state, set("limits", fmt.Sprint(i)), set(Resource(fmt.Sprintf("plans/%d", i)), "1"))
	}
	sender := NewSender(state, limits)
	sender.SetHasQuorum(true)
	return &testSender{t: t, state: state, sender: sender}
}

// hello returns the hello of a follower that has the given version in force.
func (s *testSender) hello(member int, inForce Version) *Hello {
	digest, _ := s.state.History().DigestAt(inForce)
	return &Hello{Protocol: Protocol, Member: member, Log: testLog, InForce: inForce, Digest: digest}
}

// connect registers a new connection and returns its ID.
func (s *testSender) connect(now time.Time, hello *Hello) ConnectionID {
	s.t.Helper()
	s.lastID++
	_, err := s.sender.Connect(now, s.lastID, hello)
	if err != nil {
		s.t.Fatal(err)
	}
	return s.lastID
}

// nextMessage returns the next message to a follower that is not a heartbeat, or nil. It checks that the connection is
// closed after exactly those messages that end it.
func (s *testSender) nextMessage(now time.Time, id ConnectionID) Message {
	s.t.Helper()
	action := s.sender.Next(now, id)
	if action.Frame == nil {
		if action.Close {
			s.t.Error("the connection is closed without a message")
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
		return s.nextMessage(now, id)
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

// A follower gets the next delta only after it has acknowledged the one in flight. The next one merges all versions
// since. Late and repeated acknowledgements have no effect.
func TestSenderSendsOneDeltaAtATime(t *testing.T) {
	s := newTestSender(t, 0, SenderLimits{})
	id := s.connect(start, &Hello{Protocol: Protocol, Member: 4})
	if message := s.nextMessage(start, id); message != nil {
		t.Errorf("message before the first version: %+v", message)
	}
	publish(t, s.state, set("limits", "1"))
	first := s.nextMessage(start, id).(*Delta)
	publish(t, s.state, set("limits", "2"))
	publish(t, s.state, set("plans/a", "3"))
	if message := s.nextMessage(start, id); message != nil {
		t.Errorf("two versions in flight: %+v", message)
	}
	s.acknowledge(id, first.To, first.Digest)
	second := s.nextMessage(start, id).(*Delta)
	if second.From != 1 || second.To != 3 || len(second.Changes) != 2 {
		t.Errorf("delta %+v, want both changes from version 1 to 3", second)
	}
	s.acknowledge(id, second.To, second.Digest)
	s.acknowledge(id, second.To, second.Digest) // repeated
	s.acknowledge(id, first.To, first.Digest)   // late
	if message := s.nextMessage(start, id); message != nil {
		t.Errorf("after the latest version: %+v", message)
	}
	if status := s.sender.Status()[0]; status.InForce != 3 || status.Member != 4 || !status.Connected {
		t.Errorf("status %+v, want member 4 connected with version 3", status)
	}
}

// A late acknowledgement of an earlier version doesn't count for the version in flight, and an acknowledgement is
// accepted even if its version has been dropped from the history.
func TestSenderMatchesLateAcknowledgements(t *testing.T) {
	s := newTestSender(t, 3, SenderLimits{})
	id := s.connect(start, s.hello(1, 0))
	sent := s.nextMessage(start, id).(*Delta)
	digest, _ := s.state.History().DigestAt(2)
	s.acknowledge(id, 2, digest)
	if message := s.nextMessage(start, id); message != nil || sent.To != 3 {
		t.Errorf("two versions in flight: %+v", message)
	}
	for i := range 4 {
		publish(t, s.state, set("classes/a", fmt.Sprint(i)))
	}
	s.acknowledge(id, 3, sent.Digest)
	s.acknowledge(id, 3, sent.Digest)
	if part := s.nextMessage(start, id).(*SnapshotPart); part.Version != 7 {
		t.Errorf("snapshot of version %d, want 7", part.Version)
	}
}

// A paused sender sends only heartbeats, and they don't name its version, which may be outdated. It sends no deltas and
// doesn't close the connections of followers with later versions.
func TestPausedSenderSendsEmptyHeartbeats(t *testing.T) {
	s := newTestSender(t, 2, SenderLimits{})
	s.sender.SetPaused(true)
	earlier := s.connect(start, s.hello(1, 1))
	later := s.connect(start, &Hello{Protocol: Protocol, Member: 2, Log: testLog, InForce: 9})
	for _, id := range []ConnectionID{earlier, later} {
		action := s.sender.Next(start, id)
		message, err := Decode(action.Frame)
		if err != nil || action.Close || !reflect.DeepEqual(message, &Heartbeat{}) {
			t.Errorf("first message %+v, error %v; want an empty heartbeat on an open connection", message, err)
		}
		action = s.sender.Next(start, id)
		if action.Frame != nil || action.Close || !action.Wake.Equal(start.Add(HeartbeatInterval)) {
			t.Errorf("action after the heartbeat: %+v", action)
		}
	}
	s.sender.SetPaused(false)
	if delta, ok := s.nextMessage(start, earlier).(*Delta); !ok || delta.To != 2 {
		t.Errorf("after the pause: delta %+v, want one to version 2", delta)
	}
	if _, ok := s.nextMessage(start, later).(*PublisherBehind); !ok {
		t.Error("a follower with a later version is not told that the publisher is behind")
	}
}

// A follower gets the first version immediately. Versions published within VersionInterval after it are merged into one
// delta at the end of the interval.
func TestSenderMergesVersionsWithinInterval(t *testing.T) {
	const interval = 100 * time.Millisecond
	s := newTestSender(t, 0, SenderLimits{VersionInterval: interval})
	id := s.connect(start, &Hello{Protocol: Protocol, Member: 1})
	publish(t, s.state, set("limits", "1"))
	first := s.nextMessage(start, id).(*Delta)
	s.acknowledge(id, first.To, first.Digest)
	publish(t, s.state, set("limits", "2"))
	publish(t, s.state, set("plans/a", "3"))
	early := start.Add(interval - 1)
	action := s.sender.Next(early, id)
	if action.Frame != nil || action.Close || !action.Wake.Equal(start.Add(interval)) {
		t.Errorf("action before the interval is over: %+v", action)
	}
	second, ok := s.nextMessage(start.Add(interval), id).(*Delta)
	if !ok || second.From != 1 || second.To != 3 {
		t.Errorf("at the end of the interval: delta %+v, want versions 1 to 3", second)
	}
}

// Looking for a delta walks through all changes of the history. If there is none within the size limit, that result is
// cached for all followers with the same version.
func TestSenderRemembersThatNoDeltaFits(t *testing.T) {
	s := newTestSender(t, 0, SenderLimits{})
	publish(t, s.state, maxSizePlans("", 10)...)
	id := s.connect(start, &Hello{Protocol: Protocol, Member: 1})
	message := s.nextMessage(start, id)
	if _, ok := message.(*SnapshotPart); !ok {
		t.Fatalf("first message is a %T, want a part of a snapshot", message)
	}
	search := func() {
		_, fits := s.sender.deltaFor(s.sender.followers[id])
		if fits {
			t.Error("deltaFor returned a delta beyond the size limit")
		}
	}
	const runs = 10
	if allocations := testing.AllocsPerRun(runs, search); allocations > 0 {
		t.Errorf("%v allocations to look up that no delta fits", allocations)
	}
}

// The sender chooses between a delta, a snapshot, no version and the end of the connection by the version, the log and
// the refused version that a follower reports. Its own version is 5, and its history starts at version 2.
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
		message := s.nextMessage(start, s.connect(start, hello))
		if reflect.TypeOf(message) != reflect.TypeOf(test.want) {
			t.Errorf("%s: unexpected message %T", name, message)
		}
	}
	fresh := NewSender(NewState(testLimits), SenderLimits{})
	s := &testSender{t: t, state: fresh.state, sender: fresh}
	message := s.nextMessage(start, s.connect(start, &Hello{Protocol: Protocol, Log: testLog, InForce: 1}))
	if _, isBehind := message.(*PublisherBehind); !isBehind {
		t.Errorf("a publisher without a log sends a %T to a follower with a version", message)
	}
}

// A refused version is not sent again and shows in the status until the follower accepts a later version.
func TestSenderSkipsRefusedVersion(t *testing.T) {
	s := newTestSender(t, 2, SenderLimits{})
	id := s.connect(start, s.hello(9, 1))
	s.nextMessage(start, id)
	if err := s.sender.Receive(afterStart(time.Second), id, NewRefusal(2, "limits", "no")); err != nil {
		t.Fatal(err)
	}
	if message := s.nextMessage(start, id); message != nil {
		t.Errorf("message after a refusal: %+v", message)
	}
	want := MemberStatus{
		Member:          9,
		Connected:       true,
		InForce:         1,
		Refused:         2,
		RefusedResource: "limits",
		RefusalReason:   "no",
		LastMessage:     afterStart(time.Second),
	}
	if status := s.sender.Status()[0]; status != want {
		t.Errorf("status after the refusal: %+v", status)
	}
	publish(t, s.state, set("limits", "good"))
	delta := s.nextMessage(start, id).(*Delta)
	if delta.From != 1 || delta.To != 3 {
		t.Errorf("delta after the refusal: %+v, want versions 1 to 3", delta)
	}
	s.acknowledge(id, 3, delta.Digest)
	s.sender.Disconnect(id)
	want = MemberStatus{Member: 9, InForce: 3, LastMessage: start}
	if status := s.sender.Status()[0]; status != want {
		t.Errorf("status after the disconnect: %+v", status)
	}
}

// If one delta to the latest version would be too long, the sender sends a delta to a version in between. That must not
// be a version that the follower refused, since it would refuse it again: a snapshot is sent then.
func TestSenderSendsNoDeltaToRefusedVersion(t *testing.T) {
	s := newTestSender(t, 1, SenderLimits{})
	publish(t, s.state, maxSizePlans("x", 6)...)
	publish(t, s.state, maxSizePlans("y", 6)...)
	hello := s.hello(1, 1)
	if delta := s.nextMessage(start, s.connect(start, hello)).(*Delta); delta.To != 2 {
		t.Errorf("delta to version %d, want 2", delta.To)
	}
	hello.Refused = 2
	if part := s.nextMessage(start, s.connect(start, hello)).(*SnapshotPart); part.Version != 3 {
		t.Errorf("snapshot of version %d, want 3", part.Version)
	}
}

// The sender rejects messages that violate the protocol and closes connections whose follower doesn't answer. Calls for
// a connection that is already removed do no harm.
func TestSenderClosesBrokenConnections(t *testing.T) {
	for name, message := range map[string]Message{
		"never sent":         &Acknowledge{Version: 9},
		"digest":             &Acknowledge{Version: 5, Digest: Digest{1}},
		"refuses never sent": NewRefusal(9, "", ""),
		"publisher message":  &Heartbeat{},
	} {
		s := newTestSender(t, 5, SenderLimits{})
		id := s.connect(start, s.hello(1, 4))
		s.nextMessage(start, id)
		if err := s.sender.Receive(start, id, message); err == nil {
			t.Errorf("%s: the message was accepted", name)
		}
	}
	s := newTestSender(t, 5, SenderLimits{})
	if _, err := s.sender.Connect(start, 1, &Hello{Protocol: Protocol + 1}); err == nil {
		t.Error("a follower with another protocol version was accepted")
	}
	id := s.connect(start, s.hello(1, 4))
	s.nextMessage(start, id)
	late := afterStart(AcknowledgeTimeout)
	if action := s.sender.Next(late.Add(-1), id); action.Close {
		t.Error("the connection is closed before the acknowledge timeout")
	}
	s.sender.Next(late, id)
	if !s.sender.Next(late, id).Close {
		t.Error("the connection is not closed at the acknowledge timeout")
	}
	s.sender.Disconnect(id)
	s.sender.Disconnect(id)
	if !s.sender.Next(late, id).Close || s.sender.Receive(late, id, &Hello{}) != nil || s.sender.Len() != 0 {
		t.Error("a removed connection is still in use")
	}
}

// A new connection of a gateway replaces its old one, unless the new one belongs to an earlier incarnation. A late
// Disconnect of the replaced connection doesn't affect the new one.
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
		t.Error("the late Disconnect removed the newer connection")
	}
	s.sender.Disconnect(50)
	if replaced, err := s.sender.Connect(start, 52, hello); err != nil || replaced != 0 {
		t.Error(replaced, err)
	}
	older := *hello
	older.Incarnation = 4
	if _, err := s.sender.Connect(start, 51, &older); err == nil || s.sender.Len() != 1 {
		t.Error("an earlier incarnation replaced a later one")
	}
}

func TestSenderSendsHeartbeatEachInterval(t *testing.T) {
	s := newTestSender(t, 2, SenderLimits{})
	id := s.connect(start, s.hello(1, 2))
	for i := range 3 {
		now := afterStart(time.Duration(i) * HeartbeatInterval)
		s.sender.SetHasQuorum(i != 2)
		action := s.sender.Next(now, id)
		want := Encode(&Heartbeat{Log: testLog, Latest: 2, HasQuorum: i != 2})
		if !bytes.Equal(action.Frame, want) || !action.Wake.Equal(now.Add(HeartbeatInterval)) {
			t.Errorf("%d: unexpected heartbeat action %+v", i, action)
		}
		action = s.sender.Next(now.Add(HeartbeatInterval-1), id)
		if action.Frame != nil || !action.Wake.Equal(now.Add(HeartbeatInterval)) {
			t.Errorf("%d: action before the next heartbeat is due: %+v", i, action)
		}
	}
}

// Followers with the same version in force share one encoded delta. The cache is limited in size and emptied for each
// new version, even if its content has the same digest as an earlier one.
func TestSenderSharesDeltasUpToByteLimit(t *testing.T) {
	s := newTestSender(t, 3, SenderLimits{})
	a, _ := s.sender.prepareDelta(1)
	b, _ := s.sender.prepareDelta(1)
	if &a.frame[0] != &b.frame[0] {
		t.Error("the same delta was encoded twice")
	}
	if size := s.sender.deltas.size; size != len(a.frame) {
		t.Errorf("the cache counts %d bytes", size)
	}
	old, _ := s.state.Document().Get("limits")
	publish(t, s.state, set("limits", "x"))
	publish(t, s.state, Change{"limits", old}) // the digest of an earlier version again
	c, _ := s.sender.prepareDelta(2)
	if c.to != 5 || s.sender.deltas.size != len(c.frame) {
		t.Errorf("the delta leads to version %d, the cache counts %d bytes", c.to, s.sender.deltas.size)
	}
	s.sender.deltas.size = maxDeltaCacheBytes
	s.sender.prepareDelta(3)
	if len(s.sender.deltas.byFrom) != 1 {
		t.Error("the cache grew beyond its limit")
	}
}

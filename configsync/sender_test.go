package configsync

import (
	"bytes"
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"
)

// senderRig is a sender with its state; followers get ids from 1 on.
type senderRig struct {
	t      *testing.T
	state  *State
	sender *Sender
	last   FollowerID
}

// newSenderRig publishes a number of versions; the history reaches three back.
func newSenderRig(t *testing.T, versions int, limits SenderLimits) *senderRig {
	state := newTestState(t, HistoryLimits{Deltas: 3, Bytes: 4 << 20})
	for i := range versions {
		publish(t, state, set("limits", fmt.Sprint(i)), set(Resource(fmt.Sprintf("plans/%d", i)), "1"))
	}
	sender := NewSender(state, limits)
	sender.SetCurrent(true)
	return &senderRig{t: t, state: state, sender: sender}
}

// hello is the greeting of a follower that holds a version which the history knows.
func (r *senderRig) hello(member int, held Version) *Hello {
	digest, _ := r.state.History().DigestAt(held)
	return &Hello{Protocol: Protocol, Member: member, Log: testLog, InForce: held, Digest: digest}
}

func (r *senderRig) connect(now time.Time, hello *Hello) FollowerID {
	r.t.Helper()
	r.last++
	if _, err := r.sender.Connect(now, r.last, hello); err != nil {
		r.t.Fatal(err)
	}
	return r.last
}

// next gives the first message for a follower that is no heartbeat; nil for none.
func (r *senderRig) next(now time.Time, id FollowerID) Message {
	r.t.Helper()
	action := r.sender.Next(now, id)
	if action.Frame == nil {
		if action.Close {
			r.t.Error("closed without a word")
		}
		return nil
	}
	message, err := Decode(action.Frame)
	if err != nil {
		r.t.Fatal(err)
	}
	closes := false
	switch message.(type) {
	case *Heartbeat:
		return r.next(now, id)
	case *Deferral, *Behind, *OtherLog:
		closes = true
	}
	if action.Close != closes {
		r.t.Errorf("%T: close %v", message, action.Close)
	}
	return message
}

func (r *senderRig) acknowledge(id FollowerID, version Version, digest Digest) {
	r.t.Helper()
	if err := r.sender.Receive(start, id, &Acknowledge{version, digest}); err != nil {
		r.t.Fatal(err)
	}
}

func TestSenderSendsOneDeltaAtATime(t *testing.T) {
	r := newSenderRig(t, 0, SenderLimits{})
	id := r.connect(start, &Hello{Protocol: Protocol, Member: 4})
	if message := r.next(start, id); message != nil {
		t.Errorf("before the first version: %+v", message)
	}
	publish(t, r.state, set("limits", "1"))
	first := r.next(start, id).(*Delta)
	publish(t, r.state, set("limits", "2"))
	publish(t, r.state, set("plans/a", "3"))
	if message := r.next(start, id); message != nil {
		t.Errorf("two on their way: %+v", message)
	}
	r.acknowledge(id, first.To, first.Digest)
	second := r.next(start, id).(*Delta)
	if second.From != 1 || second.To != 3 || len(second.Changes) != 2 {
		t.Errorf("%+v", second)
	}
	r.acknowledge(id, second.To, second.Digest)
	r.acknowledge(id, second.To, second.Digest) // repeated
	r.acknowledge(id, first.To, first.Digest)   // late
	if message := r.next(start, id); message != nil {
		t.Errorf("all is held: %+v", message)
	}
	if status := r.sender.Status()[0]; status.InForce != 3 || status.Member != 4 || !status.Connected {
		t.Errorf("%+v", status)
	}
}

// Late and repeated answers: one to an earlier version doesn't stand for the version on its way, and one is known
// though the history has gone on.
func TestSenderKnowsItsAnswers(t *testing.T) {
	r := newSenderRig(t, 3, SenderLimits{})
	id := r.connect(start, r.hello(1, 0))
	sent := r.next(start, id).(*Delta)
	digest, _ := r.state.History().DigestAt(2)
	r.acknowledge(id, 2, digest)
	if message := r.next(start, id); message != nil || sent.To != 3 {
		t.Errorf("another one on its way: %+v", message)
	}
	for i := range 4 {
		publish(t, r.state, set("classes/a", fmt.Sprint(i)))
	}
	r.acknowledge(id, 3, sent.Digest)
	r.acknowledge(id, 3, sent.Digest)
	if part := r.next(start, id).(*SnapshotPart); part.Version != 7 {
		t.Errorf("%d", part.Version)
	}
}

// A sender whose state may be an earlier one sends heartbeats that tell nothing of it, to followers of earlier and of
// later versions, and goes on from there.
func TestSenderHold(t *testing.T) {
	r := newSenderRig(t, 2, SenderLimits{})
	r.sender.SetPaused(true)
	earlier := r.connect(start, r.hello(1, 1))
	later := r.connect(start, &Hello{Protocol: Protocol, Member: 2, Log: testLog, InForce: 9})
	for _, id := range []FollowerID{earlier, later} {
		action := r.sender.Next(start, id)
		message, err := Decode(action.Frame)
		if err != nil || action.Close || !reflect.DeepEqual(message, &Heartbeat{}) {
			t.Errorf("%+v, %v", message, err)
		}
		action = r.sender.Next(start, id)
		if action.Frame != nil || action.Close || !action.Wake.Equal(start.Add(HeartbeatInterval)) {
			t.Errorf("after the heartbeat: %+v", action)
		}
	}
	r.sender.SetPaused(false)
	if delta, ok := r.next(start, earlier).(*Delta); !ok || delta.To != 2 {
		t.Errorf("%+v", delta)
	}
	if _, ok := r.next(start, later).(*Behind); !ok {
		t.Error("a follower of a later version stays")
	}
}

// Changes that come one right after the other are merged: a follower gets a version at once, and the next one after the
// interval.
func TestSenderVersionInterval(t *testing.T) {
	const interval = 100 * time.Millisecond
	r := newSenderRig(t, 0, SenderLimits{VersionInterval: interval})
	id := r.connect(start, &Hello{Protocol: Protocol, Member: 1})
	publish(t, r.state, set("limits", "1"))
	first := r.next(start, id).(*Delta)
	r.acknowledge(id, first.To, first.Digest)
	publish(t, r.state, set("limits", "2"))
	publish(t, r.state, set("plans/a", "3"))
	early := start.Add(interval - 1)
	action := r.sender.Next(early, id)
	if action.Frame != nil || action.Close || !action.Wake.Equal(start.Add(interval)) {
		t.Errorf("before the interval is over: %+v", action)
	}
	second, ok := r.next(start.Add(interval), id).(*Delta)
	if !ok || second.From != 1 || second.To != 3 {
		t.Errorf("%+v", second)
	}
}

// That no delta fits is found out once for all followers that hold the same version: it takes a walk through all
// changes.
func TestSenderRemembersThatNoDeltaFits(t *testing.T) {
	r := newSenderRig(t, 0, SenderLimits{})
	var changes []Change
	for i := range 10 {
		changes = append(changes, set(Resource(fmt.Sprintf("plans/%d", i)), strings.Repeat("1", MaxValueBytes)))
	}
	publish(t, r.state, changes...)
	id := r.connect(start, &Hello{Protocol: Protocol, Member: 1})
	message := r.next(start, id)
	if _, ok := message.(*SnapshotPart); !ok {
		t.Fatalf("%T", message)
	}
	search := func() {
		_, fits := r.sender.deltaFor(r.sender.followers[id])
		if fits {
			t.Error("a delta fits")
		}
	}
	const runs = 10
	if allocations := testing.AllocsPerRun(runs, search); allocations > 0 {
		t.Errorf("%v allocations where it is known that no delta fits", allocations)
	}
}

func TestSenderChoosesDeltaOrSnapshot(t *testing.T) { // at version 5, with a history from version 2 on
	for name, test := range map[string]struct {
		held   Version
		change func(*Hello)
		want   Message
	}{
		"no log yet":         {0, func(h *Hello) { h.Log = "" }, &SnapshotPart{}},
		"history gone":       {1, nil, &SnapshotPart{}},
		"oldest of history":  {2, nil, &Delta{}},
		"recent":             {4, nil, &Delta{}},
		"latest":             {5, nil, nil},
		"a snapshot wanted":  {5, func(h *Hello) { h.WantSnapshot = true }, &SnapshotPart{}},
		"wanted, not latest": {4, func(h *Hello) { h.WantSnapshot = true }, &SnapshotPart{}},
		"other content":      {5, func(h *Hello) { h.Digest[0]++ }, &SnapshotPart{}},
		"other, not latest":  {4, func(h *Hello) { h.Digest[0]++ }, &SnapshotPart{}},
		"refused the latest": {3, func(h *Hello) { h.Refused = 5 }, nil},
		"refused a later":    {3, func(h *Hello) { h.Refused = 6 }, nil},
		"refused an earlier": {3, func(h *Hello) { h.Refused = 4 }, &Delta{}},
		"ahead":              {6, nil, &Behind{}},
		"other log":          {5, func(h *Hello) { h.Log = "log-b" }, &OtherLog{}},
	} {
		r := newSenderRig(t, 5, SenderLimits{})
		hello := r.hello(1, test.held)
		if test.change != nil {
			test.change(hello)
		}
		message := r.next(start, r.connect(start, hello))
		if reflect.TypeOf(message) != reflect.TypeOf(test.want) {
			t.Errorf("%s: %T", name, message)
		}
	}
	fresh := NewSender(NewState(testLimits), SenderLimits{})
	r := &senderRig{t: t, state: fresh.state, sender: fresh}
	if message := r.next(start, r.connect(start, &Hello{Protocol: Protocol, Log: testLog, InForce: 1})); reflect.TypeOf(message) != reflect.TypeOf(&Behind{}) {
		t.Errorf("a publisher without a log: %T", message)
	}
}

// A snapshot goes part by part and ends with its acknowledgement; a later version follows as a delta, and another
// follower shares the snapshot as long as a delta leads on from it.
func TestSenderSendsASnapshot(t *testing.T) {
	r := newSenderRig(t, 0, SenderLimits{})
	var changes []Change
	for i := range 8 {
		changes = append(changes, Change{Resource(fmt.Sprintf("plans/%d", i)), bytes.Repeat([]byte("x"), MaxValueBytes)})
	}
	publish(t, r.state, changes...)
	whole := func(member int) *Hello { return &Hello{Protocol: Protocol, Member: member, WantSnapshot: true} }
	id := r.connect(start, whole(1))
	assembler := &Assembler{}
	var document *Document
	for document == nil {
		part := r.next(start, id).(*SnapshotPart)
		if part.Part == 1 {
			publish(t, r.state, set("limits", "1"))
		}
		var err error
		if document, err = assembler.Add(part); err != nil {
			t.Fatal(err)
		}
	}
	if document.Version() != 1 || r.next(start, id) != nil {
		t.Errorf("version %d", document.Version())
	}
	made := r.sender.snapshot
	if part := r.next(start, r.connect(start, whole(2))).(*SnapshotPart); part.Version != 1 || r.sender.snapshot != made {
		t.Error("encoded again, though a delta leads on")
	}
	current := whole(5)
	current.Log, current.InForce = testLog, 2
	if part := r.next(start, r.connect(start, current)).(*SnapshotPart); part.Version != 2 {
		t.Errorf("sent version %d to one that holds version 2", part.Version)
	}
	made = r.sender.snapshot
	if r.next(start, r.connect(start, whole(6))); r.sender.snapshot != made {
		t.Error("the latest version encoded again")
	}
	r.acknowledge(id, document.Version(), document.Digest())
	if delta := r.next(start, id).(*Delta); delta.From != 1 || delta.To != 2 {
		t.Errorf("%+v", delta)
	}
	refused := whole(3)
	refused.Log, refused.Refused = testLog, 1
	if part := r.next(start, r.connect(start, refused)).(*SnapshotPart); part.Version != 2 {
		t.Errorf("sent version %d to one that refused it", part.Version)
	}
	for range 4 {
		publish(t, r.state, set("classes/a", fmt.Sprint(r.state.Document().Version())))
	}
	if part := r.next(start, r.connect(start, whole(4))).(*SnapshotPart); part.Version != 6 {
		t.Errorf("version %d, from which no delta leads on", part.Version)
	}
}

func TestSnapshotsAreLimited(t *testing.T) {
	r := newSenderRig(t, 0, SenderLimits{SnapshotRate: 1 << 20, SnapshotBurst: 1})
	publish(t, r.state, Change{"limits", make([]byte, MaxValueBytes)})
	served := 0
	var waits []time.Duration
	fresh := func(now time.Time, member int) {
		switch message := r.next(now, r.connect(now, &Hello{Protocol: Protocol, Member: member, WantSnapshot: true})).(type) {
		case *SnapshotPart:
			served++
		case *Deferral:
			waits = append(waits, message.After)
		}
	}
	fresh(start, 0)
	for i := range 100 { // a snapshot takes some 63 ms of the rate
		fresh(at(time.Second), 1+i)
	}
	if served != 1 {
		t.Errorf("%d served at once", served)
	}
	if waits[1] < 60*time.Millisecond || waits[2] <= waits[1] || waits[len(waits)-1] != MaxDeferral {
		t.Errorf("put off by %v", waits)
	}
	for i := range 100 {
		fresh(at(time.Second+time.Duration(i)*100*time.Millisecond), 200+i)
	}
	if served < 95 || served > 101 {
		t.Errorf("%d served over ten seconds", served)
	}
	large := newSenderRig(t, 0, SenderLimits{SnapshotRate: 1 << 20, SnapshotBurst: 1})
	publish(t, large.state, Change{"limits", make([]byte, MaxValueBytes)})
	large.connect(start, &Hello{Protocol: Protocol, WantSnapshot: true})
	large.next(start, 1)
	if message := large.next(at(time.Second), large.connect(at(time.Second), &Hello{Protocol: Protocol, WantSnapshot: true})); reflect.TypeOf(message) != reflect.TypeOf(&SnapshotPart{}) {
		t.Errorf("a document beyond the burst is never sent: %T", message)
	}
}

func TestSenderHonoursARefusal(t *testing.T) {
	r := newSenderRig(t, 2, SenderLimits{})
	id := r.connect(start, r.hello(9, 1))
	r.next(start, id)
	if err := r.sender.Receive(at(time.Second), id, NewRefusal(2, "limits", "no")); err != nil {
		t.Fatal(err)
	}
	if message := r.next(start, id); message != nil {
		t.Errorf("after a refusal: %+v", message)
	}
	want := MemberStatus{Member: 9, Connected: true, InForce: 1, Refused: 2, Resource: "limits", Reason: "no", LastMessage: at(time.Second)}
	if status := r.sender.Status()[0]; status != want {
		t.Errorf("%+v", status)
	}
	publish(t, r.state, set("limits", "good"))
	delta := r.next(start, id).(*Delta)
	if delta.From != 1 || delta.To != 3 {
		t.Errorf("%+v", delta)
	}
	r.acknowledge(id, 3, delta.Digest)
	r.sender.Disconnect(id)
	want = MemberStatus{Member: 9, InForce: 3, LastMessage: start}
	if status := r.sender.Status()[0]; status != want {
		t.Errorf("%+v", status)
	}
}

// A delta to a version that was refused is never an intermediate step to a later one.
func TestSenderStepsOverARefusedVersion(t *testing.T) {
	r := newSenderRig(t, 1, SenderLimits{})
	for _, value := range []string{"x", "y"} {
		var changes []Change
		for i := range 6 {
			changes = append(changes, Change{Resource("plans/" + value + fmt.Sprint(i)), bytes.Repeat([]byte(value), MaxValueBytes)})
		}
		publish(t, r.state, changes...)
	}
	hello := r.hello(1, 1)
	if delta := r.next(start, r.connect(start, hello)).(*Delta); delta.To != 2 {
		t.Errorf("%d", delta.To)
	}
	hello.Refused = 2
	if part := r.next(start, r.connect(start, hello)).(*SnapshotPart); part.Version != 3 {
		t.Errorf("%d", part.Version)
	}
}

func TestSenderEndsBrokenConnections(t *testing.T) {
	for name, message := range map[string]Message{
		"never sent":         &Acknowledge{Version: 9},
		"digest":             &Acknowledge{Version: 5, Digest: Digest{1}},
		"refuses never sent": NewRefusal(9, "", ""),
		"a publisher's":      &Heartbeat{},
	} {
		r := newSenderRig(t, 5, SenderLimits{})
		id := r.connect(start, r.hello(1, 4))
		r.next(start, id)
		if err := r.sender.Receive(start, id, message); err == nil {
			t.Errorf("%s: taken", name)
		}
	}
	r := newSenderRig(t, 5, SenderLimits{})
	if _, err := r.sender.Connect(start, 1, &Hello{Protocol: Protocol + 1}); err == nil {
		t.Error("another protocol taken")
	}
	id := r.connect(start, r.hello(1, 4))
	r.next(start, id)
	late := at(AcknowledgeTimeout)
	if action := r.sender.Next(late.Add(-1), id); action.Close {
		t.Error("closed too early")
	}
	if r.sender.Next(late, id); !r.sender.Next(late, id).Close {
		t.Error("waits for ever")
	}
	r.sender.Disconnect(id)
	r.sender.Disconnect(id)
	if !r.sender.Next(late, id).Close || r.sender.Receive(late, id, &Hello{}) != nil || r.sender.Len() != 0 {
		t.Error("a connection that is gone")
	}
}

func TestOneConnectionAMember(t *testing.T) {
	r := newSenderRig(t, 1, SenderLimits{})
	hello := r.hello(1, 1)
	hello.Incarnation = 5
	first := r.connect(start, hello)
	replaced, err := r.sender.Connect(start, 50, hello)
	if err != nil || replaced != first || !r.sender.Next(start, first).Close {
		t.Error(replaced, err)
	}
	r.sender.Disconnect(first) // late
	if !r.sender.Status()[0].Connected {
		t.Error("the later connection forgotten")
	}
	r.sender.Disconnect(50)
	if replaced, err := r.sender.Connect(start, 52, hello); err != nil || replaced != 0 {
		t.Error(replaced, err)
	}
	older := *hello
	older.Incarnation = 4
	if _, err := r.sender.Connect(start, 51, &older); err == nil || r.sender.Len() != 1 {
		t.Error("an older start replaced a later one")
	}
}

func TestHeartbeatsAreRegular(t *testing.T) {
	r := newSenderRig(t, 2, SenderLimits{})
	id := r.connect(start, r.hello(1, 2))
	for i := range 3 {
		now := at(time.Duration(i) * HeartbeatInterval)
		r.sender.SetCurrent(i != 2)
		action := r.sender.Next(now, id)
		want := Encode(&Heartbeat{Log: testLog, Latest: 2, Current: i != 2})
		if !bytes.Equal(action.Frame, want) || !action.Wake.Equal(now.Add(HeartbeatInterval)) {
			t.Errorf("%d: %+v", i, action)
		}
		if action := r.sender.Next(now.Add(HeartbeatInterval-1), id); action.Frame != nil || !action.Wake.Equal(now.Add(HeartbeatInterval)) {
			t.Errorf("%d: too early: %+v", i, action)
		}
	}
}

// Followers that hold the same version share one frame, up to a bound of memory.
func TestDeltasAreShared(t *testing.T) {
	r := newSenderRig(t, 3, SenderLimits{})
	a, _ := r.sender.prepareDelta(1)
	b, _ := r.sender.prepareDelta(1)
	if &a.frame[0] != &b.frame[0] {
		t.Error("encoded twice")
	}
	if size := r.sender.deltas.size; size != len(a.frame) {
		t.Errorf("%d bytes", size)
	}
	old, _ := r.state.Document().Get("limits")
	publish(t, r.state, set("limits", "x"))
	publish(t, r.state, Change{"limits", old}) // the same digest again
	if c, _ := r.sender.prepareDelta(2); c.to != 5 || r.sender.deltas.size != len(c.frame) {
		t.Errorf("leads to version %d, %d bytes", c.to, r.sender.deltas.size)
	}
	r.sender.deltas.size = maxCachedBytes
	if r.sender.prepareDelta(3); len(r.sender.deltas.byFrom) != 1 {
		t.Error("a cache of any size")
	}
}

package configsync

import (
	"math/rand/v2"
	"reflect"
	"strings"
	"testing"
	"time"
)

var start = time.Unix(1_700_000_000, 0)

func afterStart(offset time.Duration) time.Time { return start.Add(offset) }

// newTestFollower returns a follower with member index 1 that has version 1 in force and is connected to one of three
// publishers, the one with index 1.
func newTestFollower(t testing.TB) *Follower {
	document := newTestDocument(t, set("limits", "1"), set("plans/a", "2"))
	config := FollowerConfig{Member: 1, Name: "gateway-1", Incarnation: 7, Publishers: 3}
	follower := NewFollower(config, document, rand.New(rand.NewPCG(1, 2)))
	follower.Connected(start)
	return follower
}

// A delta is in force only once the gateway has accepted it, and a repeated one is not applied again.
func TestFollowerAppliesDeltaOnce(t *testing.T) {
	follower := newTestFollower(t)
	delta := nextDelta(follower.Document(), set("plans/b", "3"))
	decision := follower.Receive(start, delta)
	if decision.Kind != Apply {
		t.Fatalf("%+v", decision)
	}
	update := decision.Update
	if update.From != 1 || update.To != 2 || update.Delta != delta {
		t.Fatalf("update %+v, want the received delta from version 1 to 2", update)
	}
	if follower.Document().Version() != 1 {
		t.Error("the delta is in force before the gateway accepted it")
	}
	if decision := follower.Receive(start, delta); decision.Kind != NoAction {
		t.Errorf("delta repeated while pending: %+v", decision)
	}
	answer := follower.Accept(start)
	if count := follower.Counters().Accepted; count != 1 {
		t.Error(count)
	}
	if *answer != (Acknowledge{2, delta.Digest}) || follower.Document().Digest() != delta.Digest {
		t.Errorf("acknowledgement %+v, want version 2 and its digest, in force at the follower", answer)
	}
	if follower.Accept(start) != nil || follower.Refuse(start, "", "") != nil {
		t.Error("Accept or Refuse returned an answer without a pending update")
	}
	decision = follower.Receive(start, delta)
	if decision.Kind != NoAction || !reflect.DeepEqual(decision.Reply, answer) || follower.Counters().Ignored != 2 {
		t.Errorf("delta repeated after it came into force: %+v", decision)
	}
}

// A follower without any accepted version belongs to no log, and a version that it refused is known only within its own
// log: the same version number of another log is applied.
func TestFollowerWithoutLogAcceptsAnyLog(t *testing.T) {
	follower := NewFollower(FollowerConfig{Member: 5, Publishers: 3}, NewDocument(""), rand.New(rand.NewPCG(1, 2)))
	if follower.Publisher() != 2 {
		t.Error("member 5 does not start at publisher 2")
	}
	alone := NewFollower(FollowerConfig{Member: 5, Name: strings.Repeat("x", MaxGatewayNameBytes+1)}, NewDocument(""), nil)
	if _, err := Decode(Encode(alone.Connected(start)[0])); err != nil || alone.Publisher() != 0 {
		t.Error("hello of a gateway with a long name:", err)
	}
	hello := follower.Connected(start)[0].(*Hello)
	if hello.Log != "" || hello.InForce != 0 {
		t.Errorf("hello %+v, want no log and version 0", hello)
	}
	first := nextDelta(NewDocument(testLog), set("limits", "x"))
	follower.Receive(start, first)
	follower.Refuse(start, "limits", "not an object")
	if messages := follower.Connected(start); len(messages) != 1 || messages[0].(*Hello).Refused != 0 {
		t.Errorf("the follower reports a refused version without a log: %+v", messages)
	}
	if decision := follower.Receive(start, first); decision.Reply == nil {
		t.Errorf("refused version sent again: %+v", decision)
	}
	other := *first
	other.Log = "log-b"
	if decision := follower.Receive(start, &other); decision.Kind != Apply {
		t.Errorf("the same version of another log: %+v", decision)
	}
	follower.Accept(start)
	if follower.Document().Log() != "log-b" {
		t.Error(follower.Document().Log())
	}
}

// A follower that refused a version keeps the one in force, repeats the refusal when the version or a connection comes
// again, and forgets it with a later accepted version.
func TestFollowerKeepsVersionAfterRefusal(t *testing.T) {
	follower := newTestFollower(t)
	bad := nextDelta(follower.Document(), set("plans/b", "x"))
	follower.Receive(start, bad)
	refusal := follower.Refuse(start, "plans/b", "not an object")
	if *refusal != (Refusal{2, "plans/b", "not an object"}) {
		t.Errorf("refusal %+v, want version 2, resource plans/b and the reason", refusal)
	}
	if follower.Counters().Refused != 1 || follower.Document().Version() != 1 {
		t.Errorf("counters %+v, version %d in force; want 1 refused, version 1", follower.Counters(),
			follower.Document().Version())
	}
	decision := follower.Receive(start, bad)
	if decision.Kind != NoAction || decision.Reply != Message(refusal) {
		t.Errorf("refused version sent again: %+v", decision)
	}
	messages := follower.Connected(start)
	if hello := messages[0].(*Hello); hello.Refused != 2 || hello.InForce != 1 || messages[1] != Message(refusal) {
		t.Errorf("messages %+v, want a hello with version 1 in force and 2 refused, and the refusal", messages)
	}
	later := nextDelta(follower.Document(), set("plans/b", "3"))
	later.To = 3
	if decision := follower.Receive(start, later); decision.Kind != Apply {
		t.Fatalf("later version: decision %+v, want Apply", decision)
	}
	follower.Accept(start)
	if follower.Refused() != nil {
		t.Error("the refusal is kept after a later version was accepted")
	}
}

// Each event that ends a connection is reported with its cause and counted, and leads to the next publisher after a
// wait. The version in force stays.
func TestFollowerReconnectsToNextPublisher(t *testing.T) {
	document := newTestDocument(t, set("limits", "1"), set("plans/a", "2"))
	gap := &Delta{Log: testLog, From: 2, To: 3}
	wrong := nextDelta(document, set("limits", "2"))
	wrong.Digest[0]++
	other := nextDelta(document, set("limits", "2"))
	other.Log = "log-b"
	unsorted := nextDelta(document, set("plans/a", "1"), set("limits", "1"))
	later := nextDelta(document, set("limits", "3"))
	later.To = 3
	part := &SnapshotPart{Log: testLog, Version: 2, PartCount: 2, Index: 1}
	wrongPart := &SnapshotPart{Log: testLog, Version: 2, PartCount: 1, Digest: Digest{1}}
	otherPart := &SnapshotPart{Log: "log-b", Version: 2, PartCount: 1}
	receive := func(message Message) func(*Follower) Decision {
		return func(f *Follower) Decision { return f.Receive(start, message) }
	}
	malformed := func(f *Follower) Decision { return f.ReceiveMalformed(start, nil) }
	lost := func(f *Follower) Decision { return f.ConnectionLost(start) }
	for name, test := range map[string]struct {
		event    func(*Follower) Decision
		cause    Cause
		counters FollowerCounters
	}{
		"gap":                {receive(gap), CauseVersionGap, FollowerCounters{VersionGaps: 1}},
		"digest":             {receive(wrong), CauseDigestMismatch, FollowerCounters{DigestMismatches: 1}},
		"digest of snapshot": {receive(wrongPart), CauseDigestMismatch, FollowerCounters{DigestMismatches: 1}},
		"delta of other log": {receive(other), CauseLogMismatch, FollowerCounters{LogMismatches: 1}},
		"part of other log":  {receive(otherPart), CauseLogMismatch, FollowerCounters{LogMismatches: 1}},
		"other log":          {receive(&LogMismatch{Log: "log-b"}), CauseLogMismatch, FollowerCounters{LogMismatches: 1}},
		"heartbeat of other": {receive(&Heartbeat{Log: "log-b"}), CauseLogMismatch, FollowerCounters{LogMismatches: 1}},
		"unsorted":           {receive(unsorted), CauseMalformed, FollowerCounters{MalformedMessages: 1}},
		"part out of order":  {receive(part), CauseMalformed, FollowerCounters{MalformedMessages: 1}},
		"follower message":   {receive(&Hello{}), CauseMalformed, FollowerCounters{MalformedMessages: 1}},
		"malformed":          {malformed, CauseMalformed, FollowerCounters{MalformedMessages: 1}},
		"behind":             {receive(&PublisherBehind{}), CausePublisherBehind, FollowerCounters{Behind: 1}},
		"deferral": {receive(&SnapshotDeferral{After: time.Second}), CauseSnapshotDeferred,
			FollowerCounters{SnapshotsDeferred: 1}},
		"lost": {lost, CauseConnectionLost, FollowerCounters{ConnectionsLost: 1}},
		"another one pending": {func(f *Follower) Decision {
			f.Receive(start, nextDelta(document, remove("limits")))
			return f.Receive(start, later)
		}, CauseVersionGap, FollowerCounters{VersionGaps: 1}},
	} {
		follower := newTestFollower(t)
		decision := test.event(follower)
		if decision.Kind != Reconnect || decision.Cause != test.cause || follower.Counters() != test.counters {
			t.Errorf("%s: unexpected decision %+v or counters %+v", name, decision, follower.Counters())
		}
		if follower.Publisher() != 2 || follower.Document().Version() != 1 {
			t.Errorf("%s: publisher %d, version %d", name, follower.Publisher(), follower.Document().Version())
		}
		if _, connected := follower.Deadline(); connected || follower.NextAttempt().Before(start) {
			t.Errorf("%s: still connected, or no wait before the next attempt", name)
		}
		hello := follower.Connected(start)[0].(*Hello)
		if hello.WantSnapshot != (test.cause == CauseDigestMismatch) {
			t.Errorf("%s: the next hello asks for a snapshot: %v", name, hello.WantSnapshot)
		}
	}
}

// A follower closes a connection exactly at the timeout for silence, for a publisher without a quorum or for an overdue
// version.
func TestFollowerEndsSilentStaleAndStalledConnections(t *testing.T) {
	second := func(n int) time.Time { return afterStart(time.Duration(n) * time.Second) }
	current := &Heartbeat{Log: testLog, Latest: 1, HasQuorum: true}
	for name, test := range map[string]struct {
		events   func(*Follower)
		deadline time.Time
		cause    Cause
		counters FollowerCounters
	}{
		"silent": {func(f *Follower) {
			f.Receive(second(1), current)
		}, second(4), CauseSilent, FollowerCounters{Silent: 1}},
		"stale": {func(f *Follower) {
			f.Receive(second(1), current)
			for i := 2; i < 5; i++ {
				f.Receive(second(i), &Heartbeat{Log: testLog, Latest: 1})
			}
		}, second(4), CauseNoQuorum, FollowerCounters{NoQuorum: 1}},
		"stalled": {func(f *Follower) {
			for i := range 5 {
				f.Receive(second(i), &Heartbeat{Log: testLog, Latest: 2, HasQuorum: true})
			}
		}, second(4), CauseStalled, FollowerCounters{Stalled: 1}},
	} {
		follower := newTestFollower(t)
		test.events(follower)
		deadline, _ := follower.Deadline()
		if !deadline.Equal(test.deadline) {
			t.Errorf("%s: deadline %v", name, deadline.Sub(start))
		}
		if decision := follower.Tick(deadline.Add(-1)); decision.Kind != NoAction {
			t.Errorf("%s: %+v before the deadline", name, decision)
		}
		decision := follower.Tick(deadline)
		if decision.Kind != Reconnect || decision.Cause != test.cause || follower.Counters() != test.counters {
			t.Errorf("%s: unexpected decision %+v or counters %+v", name, decision, follower.Counters())
		}
		follower.ReceivedBytes(deadline)
		if late := follower.Tick(deadline); late != (Decision{}) {
			t.Errorf("%s: %+v without a connection", name, late)
		}
		if late := follower.Receive(deadline, &PublisherBehind{}); late != (Decision{}) {
			t.Errorf("%s: %+v for a message of a closed connection", name, late)
		}
	}
	follower := newTestFollower(t)
	follower.Receive(start, &Heartbeat{Log: testLog, Latest: 2, HasQuorum: true})
	if deadline, _ := follower.Deadline(); !deadline.Equal(afterStart(SilenceTimeout)) {
		t.Errorf("deadline %v, want the silence timeout", deadline.Sub(start))
	}
	follower.ReceivedBytes(second(2)) // part of a message
	if decision := follower.Tick(second(4)); decision.Cause == CauseSilent {
		t.Error("the connection was closed as silent although bytes were received")
	}
}

// A connection isn't closed as stalled while the announced version is pending, refused, in force or in transfer, or if
// it was announced only just now.
func TestFollowerDoesNotStallWithoutDueVersion(t *testing.T) {
	announce := func(f *Follower, times int, latest Version) {
		for i := range times {
			f.Receive(afterStart(time.Duration(i)*time.Second), &Heartbeat{Log: testLog, Latest: latest, HasQuorum: true})
		}
	}
	for name, events := range map[string]func(*Follower){
		"pending": func(f *Follower) {
			f.Receive(start, nextDelta(f.Document(), remove("limits")))
			announce(f, 6, 2)
		},
		"refused": func(f *Follower) {
			f.Receive(start, nextDelta(f.Document(), remove("limits")))
			f.Refuse(start, "", "")
			announce(f, 6, 2)
		},
		"in force": func(f *Follower) {
			f.Receive(start, nextDelta(f.Document(), remove("limits")))
			f.Accept(start)
			announce(f, 6, 2)
		},
		"accepted, one more announced": func(f *Follower) {
			announce(f, 4, 3)
			f.Receive(afterStart(3500*time.Millisecond), nextDelta(f.Document(), remove("limits")))
			f.Accept(afterStart(3500 * time.Millisecond))
		},
		"refused, one more announced": func(f *Follower) {
			announce(f, 4, 3)
			f.Receive(afterStart(3500*time.Millisecond), nextDelta(f.Document(), remove("limits")))
			f.Refuse(afterStart(3500*time.Millisecond), "", "")
		},
		"pending at last": func(f *Follower) {
			announce(f, 6, 2)
			f.Receive(afterStart(5*time.Second), nextDelta(f.Document(), remove("limits")))
		},
		"announced late": func(f *Follower) {
			for i := range 5 {
				f.Receive(afterStart(time.Duration(i)*time.Second), &Heartbeat{Log: testLog, Latest: 1, HasQuorum: true})
			}
			f.Receive(afterStart(5*time.Second), &Heartbeat{Log: testLog, Latest: 2, HasQuorum: true})
		},
		"no log there": func(f *Follower) { f.Receive(afterStart(5*time.Second), &Heartbeat{HasQuorum: true}) },
		"in transfer": func(f *Follower) {
			announce(f, 6, 2)
			f.Receive(afterStart(5*time.Second), &SnapshotPart{Log: testLog, Version: 2, PartCount: 2})
		},
	} {
		follower := newTestFollower(t)
		events(follower)
		if decision := follower.Tick(afterStart(5 * time.Second)); decision.Kind != NoAction {
			t.Errorf("%s: decision %+v, want none", name, decision)
		}
		if deadline, ok := follower.Deadline(); !ok || !deadline.After(afterStart(5*time.Second)) {
			t.Errorf("%s: the deadline has already passed", name)
		}
	}
}

// The backoff is a random wait whose bound doubles up to a cap. It starts over only after SilenceTimeout on a
// connection to a publisher with a quorum, or with an accepted version. A publisher that accepts connections and drops
// them is therefore not tried in a fast loop.
func TestFollowerBackoffDoublesUpToCap(t *testing.T) {
	follower := newTestFollower(t)
	longest := make([]time.Duration, 8)
	for range 2000 {
		follower.failures = 0
		for i := range longest {
			follower.ConnectionLost(start)
			wait := follower.NextAttempt().Sub(start)
			longest[i] = max(longest[i], wait)
		}
	}
	for i, bound := range []time.Duration{200, 400, 800, 1600, 3000, 3000, 3000, 3000} {
		bound *= time.Millisecond
		if longest[i] >= bound || longest[i] < bound*95/100 {
			t.Errorf("attempt %d: the longest wait is %v", i, longest[i])
		}
	}
	follower.Connected(start)
	follower.Receive(start, &Heartbeat{Log: testLog, Latest: 1, HasQuorum: true})
	if follower.failures == 0 {
		t.Error("a new connection resets the backoff")
	}
	follower.Receive(afterStart(SilenceTimeout), &Heartbeat{Log: testLog, Latest: 1})
	if follower.failures == 0 {
		t.Error("a publisher without a quorum resets the backoff")
	}
	follower.Receive(afterStart(SilenceTimeout), &Heartbeat{Log: testLog, Latest: 1, HasQuorum: true})
	if follower.failures != 0 {
		t.Error("a lasting connection to a publisher with a quorum doesn't reset the backoff")
	}
	follower.failures = 3
	follower.Receive(afterStart(SilenceTimeout), nextDelta(follower.Document(), remove("limits")))
	follower.Accept(start)
	if follower.failures != 0 {
		t.Error("an accepted version doesn't reset the backoff")
	}
}

// A deferral is extended to BackoffBase and cut to MaxDeferral, with jitter added.
func TestFollowerBoundsDeferral(t *testing.T) {
	for after, want := range map[time.Duration]time.Duration{
		0:           BackoffBase,
		time.Second: time.Second,
		time.Hour:   MaxDeferral,
	} {
		follower := newTestFollower(t)
		follower.Receive(start, &SnapshotDeferral{After: after})
		wait := follower.NextAttempt().Sub(start)
		if wait < want || wait >= want+BackoffBase {
			t.Errorf("deferred by %v: the wait is %v", after, wait)
		}
	}
}

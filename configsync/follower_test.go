package configsync

import (
	"math/rand/v2"
	"reflect"
	"strings"
	"testing"
	"time"
)

var start = time.Unix(1_700_000_000, 0)

func at(offset time.Duration) time.Time { return start.Add(offset) }

// newTestFollower returns a connected follower with member index 1, three publishers, and version 1 in force.
func newTestFollower(t testing.TB) *Follower {
	document := newTestDocument(t, set("limits", "1"), set("plans/a", "2"))
	config := FollowerConfig{Member: 1, Name: "gateway-1", Incarnation: 7, Publishers: 3}
	follower := NewFollower(config, document, rand.New(rand.NewPCG(1, 2)))
	follower.Connected(start)
	return follower
}

func TestFollowerAppliesDeltaOnce(t *testing.T) {
	follower := newTestFollower(t)
	delta := next(follower.Document(), set("plans/b", "3"))
	decision := follower.Receive(start, delta)
	if decision.Kind != Apply {
		t.Fatalf("%+v", decision)
	}
	update := decision.Update
	if update.From != 1 || update.To != 2 || update.Delta != delta {
		t.Fatalf("%+v", update)
	}
	if follower.Document().Version() != 1 {
		t.Error("in force before the gateway accepted it")
	}
	if decision := follower.Receive(start, delta); decision.Kind != NoAction {
		t.Errorf("repeated while pending: %+v", decision)
	}
	answer := follower.Accept(start)
	if count := follower.Counters().Accepted; count != 1 {
		t.Error(count)
	}
	if *answer != (Acknowledge{2, delta.Digest}) || follower.Document().Digest() != delta.Digest {
		t.Errorf("%+v", answer)
	}
	if follower.Accept(start) != nil || follower.Refuse(start, "", "") != nil {
		t.Error("an answer without a pending update")
	}
	decision = follower.Receive(start, delta)
	if decision.Kind != NoAction || !reflect.DeepEqual(decision.Reply, answer) || follower.Counters().Ignored != 2 {
		t.Errorf("repeated: %+v", decision)
	}
}

func TestFollowerWithoutLogAcceptsAnyLog(t *testing.T) {
	follower := NewFollower(FollowerConfig{Member: 5, Publishers: 3}, NewDocument(""), rand.New(rand.NewPCG(1, 2)))
	if follower.Publisher() != 2 {
		t.Error("start positions aren't spread")
	}
	alone := NewFollower(FollowerConfig{Member: 5, Name: strings.Repeat("x", MaxGatewayNameBytes+1)}, NewDocument(""), nil)
	if _, err := Decode(Encode(alone.Connected(start)[0])); err != nil || alone.Publisher() != 0 {
		t.Error("the hello with a long name:", err)
	}
	hello := follower.Connected(start)[0].(*Hello)
	if hello.Log != "" || hello.InForce != 0 {
		t.Errorf("%+v", hello)
	}
	first := next(NewDocument(testLog), set("limits", "x"))
	follower.Receive(start, first)
	follower.Refuse(start, "limits", "not an object")
	if messages := follower.Connected(start); len(messages) != 1 || messages[0].(*Hello).Refused != 0 {
		t.Errorf("a version of no log: %+v", messages)
	}
	if decision := follower.Receive(start, first); decision.Reply == nil {
		t.Errorf("refused before: %+v", decision)
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

func TestFollowerKeepsVersionAfterRefusal(t *testing.T) {
	follower := newTestFollower(t)
	bad := next(follower.Document(), set("plans/b", "x"))
	follower.Receive(start, bad)
	refusal := follower.Refuse(start, "plans/b", "not an object")
	if *refusal != (Refusal{2, "plans/b", "not an object"}) {
		t.Errorf("%+v", refusal)
	}
	if follower.Counters().Refused != 1 || follower.Document().Version() != 1 {
		t.Errorf("%+v, version %d", follower.Counters(), follower.Document().Version())
	}
	decision := follower.Receive(start, bad)
	if decision.Kind != NoAction || decision.Reply != Message(refusal) {
		t.Errorf("sent again: %+v", decision)
	}
	messages := follower.Connected(start)
	if hello := messages[0].(*Hello); hello.Refused != 2 || hello.InForce != 1 || messages[1] != Message(refusal) {
		t.Errorf("%+v", messages)
	}
	later := next(follower.Document(), set("plans/b", "3"))
	later.To = 3
	if decision := follower.Receive(start, later); decision.Kind != Apply {
		t.Fatalf("%+v", decision)
	}
	follower.Accept(start)
	if follower.Refused() != nil {
		t.Error("still refused")
	}
}

// Each event that ends a connection has its cause and counter, and leads to the next publisher after a wait.
func TestFollowerReconnectsToNextPublisher(t *testing.T) {
	document := newTestDocument(t, set("limits", "1"), set("plans/a", "2"))
	gap := &Delta{Log: testLog, From: 2, To: 3}
	wrong := next(document, set("limits", "2"))
	wrong.Digest[0]++
	other := next(document, set("limits", "2"))
	other.Log = "log-b"
	unsorted := next(document, set("plans/a", "1"), set("limits", "1"))
	later := next(document, set("limits", "3"))
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
		"a follower's":       {receive(&Hello{}), CauseMalformed, FollowerCounters{MalformedMessages: 1}},
		"malformed":          {malformed, CauseMalformed, FollowerCounters{MalformedMessages: 1}},
		"behind":             {receive(&PublisherBehind{}), CausePublisherBehind, FollowerCounters{Behind: 1}},
		"deferral":           {receive(&SnapshotDeferral{After: time.Second}), CauseSnapshotDeferred, FollowerCounters{SnapshotsDeferred: 1}},
		"lost":               {lost, CauseConnectionLost, FollowerCounters{ConnectionsLost: 1}},
		"another one pending": {func(f *Follower) Decision {
			f.Receive(start, next(document, remove("limits")))
			return f.Receive(start, later)
		}, CauseVersionGap, FollowerCounters{VersionGaps: 1}},
	} {
		follower := newTestFollower(t)
		decision := test.event(follower)
		if decision.Kind != Reconnect || decision.Cause != test.cause || follower.Counters() != test.counters {
			t.Errorf("%s: %+v, %+v", name, decision, follower.Counters())
		}
		if follower.Publisher() != 2 || follower.Document().Version() != 1 {
			t.Errorf("%s: publisher %d, version %d", name, follower.Publisher(), follower.Document().Version())
		}
		if _, connected := follower.Deadline(); connected || follower.NextAttempt().Before(start) {
			t.Errorf("%s: no wait", name)
		}
		hello := follower.Connected(start)[0].(*Hello)
		if hello.WantSnapshot != (test.cause == CauseDigestMismatch) {
			t.Errorf("%s: asks for a snapshot: %v", name, hello.WantSnapshot)
		}
	}
}

// A follower stays until the time limit for silence, a lost quorum or an overdue version, and not a moment longer.
func TestFollowerEndsSilentStaleAndStalledConnections(t *testing.T) {
	second := func(n int) time.Time { return at(time.Duration(n) * time.Second) }
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
			t.Errorf("%s: %+v too early", name, decision)
		}
		decision := follower.Tick(deadline)
		if decision.Kind != Reconnect || decision.Cause != test.cause || follower.Counters() != test.counters {
			t.Errorf("%s: %+v, %+v", name, decision, follower.Counters())
		}
		follower.ReceivedBytes(deadline)
		if late := follower.Tick(deadline); late != (Decision{}) {
			t.Errorf("%s: %+v without a connection", name, late)
		}
		if late := follower.Receive(deadline, &PublisherBehind{}); late != (Decision{}) {
			t.Errorf("%s: %+v of a connection that has ended", name, late)
		}
	}
	follower := newTestFollower(t)
	follower.Receive(start, &Heartbeat{Log: testLog, Latest: 2, HasQuorum: true})
	if deadline, _ := follower.Deadline(); !deadline.Equal(at(SilenceTimeout)) {
		t.Errorf("deadline %v", deadline.Sub(start))
	}
	follower.ReceivedBytes(second(2)) // part of a message
	if decision := follower.Tick(second(4)); decision.Cause == CauseSilent {
		t.Error("bytes aren't silence")
	}
}

// A version that is pending, refused, in force or in transfer doesn't count as overdue.
func TestFollowerDoesNotStallWithoutDueVersion(t *testing.T) {
	announce := func(f *Follower, times int, latest Version) {
		for i := range times {
			f.Receive(at(time.Duration(i)*time.Second), &Heartbeat{Log: testLog, Latest: latest, HasQuorum: true})
		}
	}
	for name, events := range map[string]func(*Follower){
		"pending": func(f *Follower) {
			f.Receive(start, next(f.Document(), remove("limits")))
			announce(f, 6, 2)
		},
		"refused": func(f *Follower) {
			f.Receive(start, next(f.Document(), remove("limits")))
			f.Refuse(start, "", "")
			announce(f, 6, 2)
		},
		"in force": func(f *Follower) {
			f.Receive(start, next(f.Document(), remove("limits")))
			f.Accept(start)
			announce(f, 6, 2)
		},
		"accepted, one more announced": func(f *Follower) {
			announce(f, 4, 3)
			f.Receive(at(3500*time.Millisecond), next(f.Document(), remove("limits")))
			f.Accept(at(3500 * time.Millisecond))
		},
		"refused, one more announced": func(f *Follower) {
			announce(f, 4, 3)
			f.Receive(at(3500*time.Millisecond), next(f.Document(), remove("limits")))
			f.Refuse(at(3500*time.Millisecond), "", "")
		},
		"pending at last": func(f *Follower) {
			announce(f, 6, 2)
			f.Receive(at(5*time.Second), next(f.Document(), remove("limits")))
		},
		"announced late": func(f *Follower) {
			for i := range 5 {
				f.Receive(at(time.Duration(i)*time.Second), &Heartbeat{Log: testLog, Latest: 1, HasQuorum: true})
			}
			f.Receive(at(5*time.Second), &Heartbeat{Log: testLog, Latest: 2, HasQuorum: true})
		},
		"no log there": func(f *Follower) { f.Receive(at(5*time.Second), &Heartbeat{HasQuorum: true}) },
		"in transfer": func(f *Follower) {
			announce(f, 6, 2)
			f.Receive(at(5*time.Second), &SnapshotPart{Log: testLog, Version: 2, PartCount: 2})
		},
	} {
		follower := newTestFollower(t)
		events(follower)
		if decision := follower.Tick(at(5 * time.Second)); decision.Kind != NoAction {
			t.Errorf("%s: %+v", name, decision)
		}
		if deadline, ok := follower.Deadline(); !ok || !deadline.After(at(5*time.Second)) {
			t.Errorf("%s: a deadline that has passed", name)
		}
	}
}

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
			t.Errorf("attempt %d: up to %v", i, longest[i])
		}
	}
	follower.Connected(start)
	follower.Receive(start, &Heartbeat{Log: testLog, Latest: 1, HasQuorum: true})
	if follower.failures == 0 {
		t.Error("a new connection ends the backoff")
	}
	follower.Receive(at(SilenceTimeout), &Heartbeat{Log: testLog, Latest: 1})
	if follower.failures == 0 {
		t.Error("a publisher without a quorum ends the backoff")
	}
	follower.Receive(at(SilenceTimeout), &Heartbeat{Log: testLog, Latest: 1, HasQuorum: true})
	if follower.failures != 0 {
		t.Error("the backoff doesn't end")
	}
	follower.failures = 3
	follower.Receive(at(SilenceTimeout), next(follower.Document(), remove("limits")))
	follower.Accept(start)
	if follower.failures != 0 {
		t.Error("the backoff doesn't end with a version")
	}
}

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
			t.Errorf("%v: %v", after, wait)
		}
	}
}

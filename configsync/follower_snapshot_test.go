package configsync

import (
	"fmt"
	"testing"
)

// A snapshot is applied if its version is later than the one in force, or if it is the same version with other content.
// While another version is pending, it leads to a reconnect.
func TestFollowerAppliesSnapshot(t *testing.T) {
	for name, test := range map[string]struct {
		version Version
		changes []Change
		want    DecisionKind
	}{
		"later":         {4, []Change{set("limits", "1"), set("plans/b", "3")}, Apply},
		"in force":      {1, []Change{set("limits", "1"), set("plans/a", "2")}, NoAction},
		"other content": {1, []Change{set("limits", "1"), set("plans/a", "9")}, Apply},
	} {
		follower := newTestFollower(t)
		content := newTestDocument(t, test.changes...)
		content.version = test.version
		decision := follower.Receive(start, SplitSnapshot(content)[0])
		if decision.Kind != test.want {
			t.Errorf("%s: unexpected decision %+v", name, decision)
		}
		if test.want != Apply {
			continue
		}
		want := follower.Document().Diff(content.resources)
		update := decision.Update
		if fmt.Sprint(update.Changes) != fmt.Sprint(want) || update.Delta != nil || update.To != test.version {
			t.Errorf("%s: unexpected version, changes or delta in the update %+v", name, update)
		}
		follower.Accept(start)
		if formatDocument(follower.Document()) != formatDocument(content) {
			t.Errorf("%s: the document in force differs from the snapshot", name)
		}
	}
	follower := newTestFollower(t)
	later := newTestDocument(t, set("limits", "1"))
	later.version = 4
	if decision := follower.Receive(start, nextDelta(follower.Document(), remove("limits"))); decision.Kind != Apply {
		t.Fatalf("delta to version 2: decision %+v, want Apply", decision)
	}
	decision := follower.Receive(start, SplitSnapshot(later)[0])
	if decision.Cause != CauseVersionGap || follower.Counters().VersionGaps != 1 {
		t.Errorf("snapshot while another version is pending: %+v", decision)
	}
	if answer := follower.Accept(start); answer.Version != 2 { // without a connection
		t.Errorf("acknowledgement %+v, want version 2", answer)
	}
}

// After a digest mismatch the follower asks for a snapshot on each new connection until it has received one. It accepts
// a second snapshot on the same connection.
func TestFollowerAppliesSnapshotsOnOneConnection(t *testing.T) {
	follower := newTestFollower(t)
	wrong := nextDelta(follower.Document(), remove("limits"))
	wrong.Digest[0]++
	follower.Receive(start, wrong)
	if hello := follower.Connected(start)[0].(*Hello); !hello.WantSnapshot {
		t.Errorf("hello after a wrong digest asks for no snapshot: %+v", hello)
	}
	content := newTestDocument(t, set("limits", "5"))
	for version := Version(2); version < 4; version++ {
		content.version = version
		if decision := follower.Receive(start, SplitSnapshot(content)[0]); decision.Kind != Apply {
			t.Fatalf("version %d: %+v", version, decision)
		}
		follower.Accept(start)
	}
	if hello := follower.Connected(start)[0].(*Hello); hello.WantSnapshot || hello.InForce != 3 {
		t.Errorf("hello %+v, want version 3 in force and no wish for a snapshot", hello)
	}
}

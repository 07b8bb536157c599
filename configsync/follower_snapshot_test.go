package configsync

import (
	"fmt"
	"testing"
)

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
			t.Errorf("%s: %+v", name, decision)
		}
		if test.want != Apply {
			continue
		}
		want := follower.Document().Diff(content.resources)
		update := decision.Update
		if fmt.Sprint(update.Changes) != fmt.Sprint(want) || update.Delta != nil || update.To != test.version {
			t.Errorf("%s: %+v", name, update)
		}
		follower.Accept(start)
		if describe(follower.Document()) != describe(content) {
			t.Errorf("%s: another document", name)
		}
	}
	follower := newTestFollower(t)
	later := newTestDocument(t, set("limits", "1"))
	later.version = 4
	if decision := follower.Receive(start, next(follower.Document(), remove("limits"))); decision.Kind != Apply {
		t.Fatalf("%+v", decision)
	}
	decision := follower.Receive(start, SplitSnapshot(later)[0])
	if decision.Cause != CauseVersionGap || follower.Counters().VersionGaps != 1 {
		t.Errorf("while another version is pending: %+v", decision)
	}
	if answer := follower.Accept(start); answer.Version != 2 { // without a connection
		t.Errorf("%+v", answer)
	}
}

// After a digest mismatch the follower wants a snapshot until it has one, and accepts another one on the same
// connection.
func TestFollowerAppliesSnapshotsOnOneConnection(t *testing.T) {
	follower := newTestFollower(t)
	wrong := next(follower.Document(), remove("limits"))
	wrong.Digest[0]++
	follower.Receive(start, wrong)
	if hello := follower.Connected(start)[0].(*Hello); !hello.WantSnapshot {
		t.Errorf("%+v", hello)
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
		t.Errorf("%+v", hello)
	}
}

package configsync

import (
	"bytes"
	"fmt"
	"reflect"
	"testing"

	"pgregory.net/rapid"
)

var testLimits = HistoryLimits{Deltas: 100, Bytes: 1 << 20}

func newTestState(t testing.TB, limits HistoryLimits) *State {
	t.Helper()
	state := NewState(limits)
	mustApply(t, state, &Command{CreateLog: testLog})
	return state
}

func mustApply(t testing.TB, state *State, command *Command) {
	t.Helper()
	if err := applyCommand(t, state, command); err != nil {
		t.Fatal(err)
	}
}

// applyCommand encodes a command, applies it to a state and returns the error of that, nil if it was applied.
func applyCommand(t testing.TB, state *State, command *Command) error {
	t.Helper()
	text, err := EncodeCommand(command)
	if err != nil {
		t.Fatal(err)
	}
	_, err = state.Apply(text)
	return err
}

func publish(t testing.TB, state *State, changes ...Change) {
	t.Helper()
	mustApply(t, state, NewCommand(testLog, state.Document().Version(), changes))
}

// Plan ids match the published test vectors of FNV-1a. A name whose hash is 0 has the id 1.
func TestPlanIDMatchesFNVVectors(t *testing.T) {
	for name, want := range map[string]uint32{
		"":        0x811c9dc5,
		"a":       0xe40c292c,
		"foobar":  0xbf9cf968,
		"ppkttia": 1,
	} {
		if got := PlanID(name); got != want {
			t.Errorf("%q: %08x, not %08x", name, got, want)
		}
	}
}

// A refused command leaves the state unchanged, and Check returns the same type of error as Apply.
func TestStateRefusesCommandWithoutChange(t *testing.T) {
	unsorted := []Change{set("plans/b", "1"), set("limits", "1")}
	sameID := []Change{set("plans/altarage", "1"), set("plans/zinke", "1")}
	state := newTestState(t, testLimits)
	publish(t, state, set("plans/costarring", "1"), set("plans/a", "1"))
	publish(t, state, remove("plans/costarring"))
	before := state.Snapshot()
	for name, test := range map[string]struct {
		command *Command
		want    error
	}{
		"second log":       {&Command{CreateLog: "log-b"}, &LogExistsError{}},
		"other log":        {NewCommand("log-b", 2, []Change{set("limits", "1")}), &LogMismatchError{}},
		"older base":       {NewCommand(testLog, 1, []Change{set("limits", "1")}), &ConflictError{}},
		"later base":       {NewCommand(testLog, 3, []Change{set("limits", "1")}), &ConflictError{}},
		"nothing":          {NewCommand(testLog, 2, nil), &NoChangeError{}},
		"same value":       {NewCommand(testLog, 2, []Change{set("plans/a", "1")}), &NoChangeError{}},
		"removed absent":   {NewCommand(testLog, 2, []Change{remove("limits")}), &NoChangeError{}},
		"unknown kind":     {NewCommand(testLog, 2, []Change{set("routes/a", "1")}), &MalformedError{}},
		"named twice":      {NewCommand(testLog, 2, []Change{set("limits", "1"), set("limits", "2")}), &MalformedError{}},
		"unsorted":         {&Command{Log: testLog, Base: 2, Changes: unsorted}, &MalformedError{}},
		"id of removed":    {NewCommand(testLog, 2, []Change{set("plans/liquid", "1")}), &PlanIDConflictError{}},
		"id in one change": {NewCommand(testLog, 2, sameID), &PlanIDConflictError{}},
	} {
		err := applyCommand(t, state, test.command)
		if reflect.TypeOf(err) != reflect.TypeOf(test.want) {
			t.Errorf("%s: unexpected error %T %v", name, err, err)
		}
		if !bytes.Equal(state.Snapshot(), before) {
			t.Errorf("%s: the refused command changed the state", name)
		}
		if test.command.CreateLog == "" {
			err = state.Check(test.command)
			if reflect.TypeOf(err) != reflect.TypeOf(test.want) {
				t.Errorf("%s: unexpected error of Check: %T %v", name, err, err)
			}
		}
	}
}

// The id of a removed plan stays reserved for its name. Otherwise a new plan with the same id could take over the
// counters of the removed one.
func TestStateReservesIDOfRemovedPlan(t *testing.T) {
	state := newTestState(t, testLimits)
	publish(t, state, set("plans/costarring", "1"), set("plans/a", "1"))
	publish(t, state, remove("plans/costarring"))
	err := applyCommand(t, state, NewCommand(testLog, 2, []Change{set("plans/liquid", "1")}))
	if refused, ok := err.(*PlanIDConflictError); !ok || refused.Resource != "plans/liquid" ||
		refused.Owner != "costarring" {
		t.Errorf("error %+v, want a conflict of plans/liquid with costarring", err)
	}
	publish(t, state, set("plans/costarring", "2")) // the same name may be used again
}

// Commands that exceed the size limit, can't be decoded or propose a version without a log are refused.
func TestStateRefusesMalformedCommand(t *testing.T) {
	if _, err := EncodeCommand(&Command{Changes: []Change{{Value: make([]byte, MaxCommandBytes)}}}); err == nil {
		t.Error("a command beyond the size limit was encoded")
	}
	for name, text := range map[string][]byte{
		"too large":  marshal(map[int]any{1: "log", 99: make([]byte, MaxCommandBytes)}),
		"wrong type": marshal(map[int]any{1: "log", 3: "x"}),
		"not CBOR":   []byte("\xff"),
		"long log":   marshal(&Command{CreateLog: LogID(make([]byte, MaxLogIDBytes+1))}),
	} {
		empty := NewState(testLimits)
		_, err := empty.Apply(text)
		if _, malformed := err.(*MalformedError); !malformed || empty.Document().Log() != "" {
			t.Errorf("%s: the malformed command was not refused: %v", name, err)
		}
	}
	err := applyCommand(t, NewState(testLimits), NewCommand("", 0, []Change{set("limits", "1")}))
	if _, ok := err.(*LogMismatchError); !ok {
		t.Errorf("proposal to a state without a log: %v", err)
	}
}

// The same commands lead to byte-identical states, even if a replica is restored from a snapshot in between. Merged
// deltas and rollbacks lead to the same content as the single versions.
func TestStateAndHistoryAreDeterministic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := HistoryLimits{
			Deltas: rapid.IntRange(1, 20).Draw(t, "deltas"),
			Bytes:  rapid.IntRange(200, 4000).Draw(t, "bytes"),
		}
		state := NewState(limits)
		replica := NewState(limits)
		contents := map[Version]*Document{0: state.Document().Clone()}
		for i := range rapid.IntRange(1, 30).Draw(t, "commands") {
			command := NewCommand(testLog, state.Document().Version(), drawChanges(t))
			if i == 0 {
				command = &Command{CreateLog: testLog}
			}
			text, err := EncodeCommand(command)
			if err != nil {
				t.Fatal(err)
			}
			_, err = state.Apply(text)
			_, replicaErr := replica.Apply(text)
			if fmt.Sprint(err) != fmt.Sprint(replicaErr) {
				t.Fatal(err, replicaErr)
			}
			if rapid.Bool().Draw(t, "restore") {
				restored := NewState(limits)
				if err := restored.Restore(replica.Snapshot()); err != nil {
					t.Fatal(err)
				}
				replica = restored
			}
			if !bytes.Equal(state.Snapshot(), replica.Snapshot()) {
				t.Fatal("the same commands led to different states")
			}
			contents[state.Document().Version()] = state.Document().Clone()
		}
		for version, content := range contents {
			checkHistory(t, state, version, content)
		}
	})
}

// checkHistory checks the digest, the delta and the rollback that the history returns for a version against the content
// of that version.
func checkHistory(t *rapid.T, state *State, version Version, content *Document) {
	history := state.History()
	latest := state.Document()
	known := version >= history.Oldest()
	digest, found := history.DigestAt(version)
	if found != known || known && digest != content.Digest() {
		t.Fatalf("version %d: digest %x, %v", version, digest, found)
	}
	delta, found := history.DeltaSince(version)
	if found != (known && version < latest.Version()) {
		t.Fatalf("version %d: delta found: %v", version, found)
	}
	if found {
		merged := content.Clone()
		if err := merged.Apply(&delta); err != nil || formatDocument(merged) != formatDocument(latest) {
			t.Fatal(version, err)
		}
		if wanted := content.Diff(latest.resources); fmt.Sprint(wanted) != fmt.Sprint(delta.Changes) {
			t.Fatalf("version %d: the delta has changes %v, want %v", version, delta.Changes, wanted)
		}
	}
	changes, found := history.RollbackChanges(version)
	if found != known {
		t.Fatalf("version %d: rollback found: %v", version, found)
	}
	if wanted := latest.Diff(content.resources); known && fmt.Sprint(changes) != fmt.Sprint(wanted) {
		t.Fatalf("version %d: the rollback has changes %v, want %v", version, changes, wanted)
	}
}

// The history drops its oldest deltas beyond either limit.
func TestHistoryDropsOldestDeltas(t *testing.T) {
	for _, limits := range []HistoryLimits{
		{Deltas: 3, Bytes: 1 << 20},
		{Deltas: 100, Bytes: 3 * (entryOverheadBytes + 2*len("limits") + 2)},
	} {
		state := newTestState(t, limits)
		for i := range 10 {
			publish(t, state, set("limits", fmt.Sprint(i)))
		}
		if oldest := state.History().Oldest(); oldest != 7 {
			t.Errorf("%+v: oldest %d", limits, oldest)
		}
		if _, ok := state.History().DeltaSince(11); ok {
			t.Error("the history has a delta from a version that doesn't exist yet")
		}
		if _, ok := state.History().RollbackChanges(6); ok {
			t.Error("the history has a rollback to a version that it dropped")
		}
	}
}

// Deltas that together exceed the size limit of a message are merged into several deltas within it.
func TestHistorySplitsMergedDeltaBySize(t *testing.T) {
	state := newTestState(t, HistoryLimits{Deltas: 100, Bytes: 8 << 20})
	for i := range 20 {
		publish(t, state, Change{Resource(fmt.Sprintf("plans/%02d", i)), bytes.Repeat([]byte("x"), MaxValueBytes)})
	}
	document := NewDocument(testLog)
	for document.Version() < 20 {
		delta, ok := state.History().BoundedDeltaSince(document.Version())
		if !ok || !fitsDeltaLimits(delta.Changes) || len(Encode(&delta)) > MaxFrameBytes {
			t.Fatal(ok, len(delta.Changes))
		}
		if err := document.Apply(&delta); err != nil {
			t.Fatal(err)
		}
		if document.Version() == 1 {
			t.Error("the first delta covers only one version")
		}
	}
	if _, ok := state.History().BoundedDeltaSince(21); ok {
		t.Error("the history has a delta from a version that doesn't exist yet")
	}
	publish(t, state, maxSizePlans("new", 20)...)
	if _, ok := state.History().BoundedDeltaSince(20); ok {
		t.Error("a delta that exceeds the size limit of a message")
	}
}

// Deltas that together have more than MaxDeltaChanges changes are not merged into one.
func TestHistorySplitsMergedDeltaByCount(t *testing.T) {
	state := newTestState(t, HistoryLimits{Deltas: 100, Bytes: 8 << 20})
	for i := range 2 {
		var changes []Change
		for j := range MaxDeltaChanges/2 + 1 {
			changes = append(changes, set(Resource(fmt.Sprintf("plans/%d-%d", i, j)), "1"))
		}
		publish(t, state, changes...)
	}
	if delta, ok := state.History().BoundedDeltaSince(0); !ok || delta.To != 1 {
		t.Error(ok, delta.To)
	}
}

// A command is refused if it has too many changes or would make the document or the list of reserved plan names too
// large.
func TestStateRefusesExcessiveSizes(t *testing.T) {
	checkMalformed := func(name string, state *State, changes []Change) {
		err := state.Check(NewCommand(testLog, state.Document().Version(), changes))
		if _, ok := err.(*MalformedError); !ok {
			t.Errorf("%s: error %v, want a *MalformedError", name, err)
		}
	}
	many := make([]Change, MaxDocumentResources+1)
	for i := range many {
		many[i] = remove(Resource(fmt.Sprintf("plans/%06d", i)))
	}
	checkMalformed("many changes", newTestState(t, testLimits), many)
	full := newTestState(t, testLimits)
	full.document.size = MaxDocumentBytes
	checkMalformed("a large document", full, []Change{set("limits", "1")})
	named := newTestState(t, testLimits)
	for id := range uint32(maxReservedPlans) {
		named.planNames[id] = "an earlier plan"
	}
	checkMalformed("many plans", named, []Change{set("plans/a", "1")})
	publish(t, named, set("classes/a", "1")) // needs no plan id
	if len(named.planNames) != maxReservedPlans {
		t.Errorf("%d plan names are reserved", len(named.planNames))
	}
}

// Restore refuses a snapshot that is damaged or whose parts contradict each other, and leaves the state unchanged.
func TestRestoreRefusesDamagedSnapshots(t *testing.T) {
	state := newTestState(t, testLimits)
	publish(t, state, set("limits", "1"))
	good := state.Snapshot()
	short := newTestState(t, testLimits)
	short.document = newTestDocument(t, set("limits", "1"))
	gap := newTestState(t, testLimits)
	publish(t, gap, set("limits", "1"))
	publish(t, gap, set("limits", "2"))
	gap.history.entries[1].Delta.From = 0
	unpaired := newTestState(t, testLimits)
	publish(t, unpaired, set("limits", "1"))
	unpaired.history.entries[0].Previous = nil
	wrong := newTestState(t, testLimits)
	publish(t, wrong, set("limits", "1"))
	wrong.document.digest[0]++
	altered := bytes.Clone(good)
	altered[len(altered)-1] ^= 1
	for name, text := range map[string][]byte{
		"altered":                 altered,
		"truncated":               good[:len(good)-1],
		"longer":                  append(bytes.Clone(good), 0),
		"a document":              EncodeFile(state.Document()),
		"history before document": short.Snapshot(),
		"history with a gap":      gap.Snapshot(),
		"history without values":  unpaired.Snapshot(),
		"digest":                  wrong.Snapshot(),
		"another kind":            encodeRecord(recordDocument, good[recordHeaderBytes:]),
		"not CBOR":                encodeRecord(recordState, []byte("\xff")),
	} {
		if err := state.Restore(text); err == nil {
			t.Errorf("%s: the snapshot was accepted", name)
		}
		if !bytes.Equal(state.Snapshot(), good) {
			t.Fatalf("%s: the refused snapshot changed the state", name)
		}
	}
}

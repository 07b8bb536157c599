package configsync

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

const testLog LogID = "log-a"

func set(resource Resource, value string) Change { return Change{resource, []byte(value)} }

func remove(resource Resource) Change { return Change{Resource: resource} }

// nextDelta returns the delta that leads from a document to its next version. The changes have to be sorted.
func nextDelta(document *Document, changes ...Change) *Delta {
	return &Delta{
		Log:     testLog,
		From:    document.Version(),
		To:      document.Version() + 1,
		Changes: changes,
		Digest:  document.summaryAfter(changes).digest,
	}
}

// newTestDocument returns a document of version 1 with the content that sorted changes set.
func newTestDocument(t testing.TB, changes ...Change) *Document {
	t.Helper()
	document := NewDocument(testLog)
	if err := document.Apply(nextDelta(document, changes...)); err != nil {
		t.Fatal(err)
	}
	return document
}

// formatDocument returns all that a document holds as text, for comparisons.
func formatDocument(d *Document) string {
	return fmt.Sprintf("%s %d %x %d %q", d.Log(), d.Version(), d.Digest(), d.Bytes(), d.Changes())
}

// Apply returns the right type of error for each invalid delta and leaves the document unchanged.
func TestApplyRefusesInvalidDelta(t *testing.T) {
	long := strings.Repeat("x", MaxResourceNameBytes)
	for name, test := range map[string]struct {
		corrupt func(*Delta)
		want    error
	}{
		"other log":      {func(d *Delta) { d.Log = "log-b" }, &LogMismatchError{}},
		"no log":         {func(d *Delta) { d.Log = "" }, &MalformedError{}},
		"older":          {func(d *Delta) { d.From = 0 }, &VersionMismatchError{}},
		"gap":            {func(d *Delta) { d.From = 2; d.To = 3 }, &VersionMismatchError{}},
		"not increasing": {func(d *Delta) { d.To = d.From }, &VersionNotIncreasingError{}},
		"digest":         {func(d *Delta) { d.Digest[31] ^= 1 }, &DigestMismatchError{}},
		"value altered":  {func(d *Delta) { d.Changes[0].Value = []byte("5") }, &DigestMismatchError{}},
		"unsorted":       {func(d *Delta) { d.Changes[0], d.Changes[1] = d.Changes[1], d.Changes[0] }, &MalformedError{}},
		"named twice":    {func(d *Delta) { d.Changes[1] = d.Changes[0] }, &MalformedError{}},
		"unknown kind":   {func(d *Delta) { d.Changes[1].Resource = "routes/a" }, &MalformedError{}},
		"no name":        {func(d *Delta) { d.Changes[1].Resource = PlanPrefix }, &MalformedError{}},
		"long name":      {func(d *Delta) { d.Changes[1].Resource = Resource(PlanPrefix + long) }, &MalformedError{}},
		"long value":     {func(d *Delta) { d.Changes[1].Value = make([]byte, MaxValueBytes+1) }, &MalformedError{}},
		"control char":   {func(d *Delta) { d.Changes[1].Resource = "plans/a\n" }, &MalformedError{}},
		"not UTF-8":      {func(d *Delta) { d.Changes[1].Resource = "plans/\xff" }, &MalformedError{}},
		"leading zero":   {func(d *Delta) { d.Changes[0].Resource = "members/07" }, &MalformedError{}},
		"large member":   {func(d *Delta) { d.Changes[0].Resource = "members/65536" }, &MalformedError{}},
	} {
		document := newTestDocument(t, set("classes/a", "1"), set("plans/a", "2"))
		before := formatDocument(document)
		delta := nextDelta(document, set("members/7", "3"), remove("plans/a"))
		test.corrupt(delta)
		err := document.Apply(delta)
		if reflect.TypeOf(err) != reflect.TypeOf(test.want) {
			t.Errorf("%s: unexpected error %T %v", name, err, err)
		}
		if formatDocument(document) != before {
			t.Errorf("%s: the refused delta changed the document", name)
		}
	}
}

// A delta may fill a document up to MaxDocumentBytes, and not beyond.
func TestApplyBoundsDocumentSize(t *testing.T) {
	document := NewDocument(testLog)
	document.size = MaxDocumentBytes - 10
	err := document.Apply(nextDelta(document, set("plans/a", "1234")))
	var malformed *MalformedError
	if !errors.As(err, &malformed) {
		t.Error(err)
	}
	if err := document.Apply(nextDelta(document, set("plans/a", "123"))); err != nil {
		t.Error(err)
	}
}

func TestCheckLogBoundsLength(t *testing.T) {
	for log, valid := range map[LogID]bool{
		"a":                                  true,
		"":                                   false,
		"a\xff":                              false,
		LogID(make([]byte, MaxLogIDBytes)):   true,
		LogID(make([]byte, MaxLogIDBytes+1)): false,
	} {
		err := checkLogID(log)
		if (err == nil) != valid {
			t.Errorf("checkLogID(%q): %v", log, err)
		}
	}
}

func TestSummaryBoundsResourceCount(t *testing.T) {
	for count, valid := range map[int]bool{MaxDocumentResources: true, MaxDocumentResources + 1: false} {
		after := summary{count: count}
		err := after.check()
		if (err == nil) != valid {
			t.Errorf("check of %d resources: %v", count, err)
		}
	}
}

// The digest covers the names, the values and the boundary between them, and its value is fixed: a change of it would
// make gateways and publishers of different releases disagree.
func TestDigestCoversNamesAndValues(t *testing.T) {
	digests := map[Digest]Change{}
	for _, change := range []Change{
		set("plans/a", "b1"),
		set("plans/ab", "1"),
		set("plans/b", "b1"),
		set("plans/a", "b2"),
	} {
		digest := newTestDocument(t, change).Digest()
		if other, found := digests[digest]; found {
			t.Errorf("%s and %s have the same digest", change.Resource, other.Resource)
		}
		digests[digest] = change
	}
	want := Digest(sha256.Sum256([]byte("\x00\x00\x00\x07plans/ab1"))) // other releases compute the same digest
	if digest := newTestDocument(t, set("plans/a", "b1")).Digest(); digest != want {
		t.Errorf("the digest of a document has changed to %x", digest)
	}
}

func TestCloneIsIndependent(t *testing.T) {
	document := newTestDocument(t, set("plans/a", "1"))
	clone := document.Clone()
	if err := clone.Apply(nextDelta(clone, remove("plans/a"))); err != nil {
		t.Fatal(err)
	}
	if _, found := document.Get("plans/a"); !found {
		t.Error("a change of the clone changed the document:", formatDocument(document))
	}
	if clone.Len() != 0 || clone.Bytes() != 0 || clone.Digest() != (Digest{}) {
		t.Error("the clone is not empty after the removal:", formatDocument(clone))
	}
}

// Applying a change costs the same whatever the size of the document. Allocations show that: computing the digest anew
// over all resources would take one for each.
func TestApplyCostIsIndependentOfDocumentSize(t *testing.T) {
	cost := func(resources int) float64 {
		document := largeDocument(t, resources)
		return testing.AllocsPerRun(100, func() {
			if err := document.Apply(nextDelta(document, set("plans/000007", fmt.Sprint(document.Version())))); err != nil {
				t.Fatal(err)
			}
		})
	}
	if small, large := cost(100), cost(10_000); large > small {
		t.Errorf("%v allocations in the large document, %v in the small one", large, small)
	}
}

// maxSizePlans returns sorted changes that set count quota plans, each with a value of MaxValueBytes.
func maxSizePlans(namePrefix string, count int) []Change {
	changes := make([]Change, count)
	for i := range changes {
		changes[i] = set(Resource(fmt.Sprintf("%s%s%02d", PlanPrefix, namePrefix, i)), strings.Repeat("x", MaxValueBytes))
	}
	return changes
}

// largeDocument returns a document of quota plans with some 200 bytes each.
func largeDocument(t testing.TB, resources int) *Document {
	changes := make([]Change, resources)
	for i := range changes {
		changes[i] = set(Resource(fmt.Sprintf("plans/%06d", i)), strings.Repeat("x", 190))
	}
	return newTestDocument(t, changes...)
}

// drawChanges draws sorted changes from a few resources and values, so that the same resource often changes again.
func drawChanges(t *rapid.T) []Change {
	drawn := rapid.MapOfN(
		rapid.SampledFrom([]Resource{"classes/a", "classes/b", "limits", "members/0", "members/11", "plans/a", "plans/b"}),
		rapid.SampledFrom([]string{"", "1", "2"}), 1, 4).Draw(t, "changes")
	var changes []Change
	for resource, value := range drawn {
		changes = append(changes, set(resource, value))
	}
	sortChanges(changes)
	return changes
}

// The digest and the size of a document depend on its content alone, not on the changes that led to it, and Diff leads
// from any content to any other.
func TestDigestDependsOnContentAlone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		document := NewDocument(testLog)
		for range rapid.IntRange(1, 10).Draw(t, "versions") {
			changes := drawChanges(t)
			after := document.summaryAfter(changes)
			if err := document.Apply(nextDelta(document, changes...)); err != nil || after.count != document.Len() {
				t.Fatal(err, after.count, document.Len())
			}
		}
		rebuilt, err := buildDocument(testLog, document.Version(), document.Digest(), document.Changes())
		if err != nil || formatDocument(rebuilt) != formatDocument(document) {
			t.Fatal(err, formatDocument(rebuilt), formatDocument(document))
		}
		if document.Bytes() != changesSize(document.Changes()) {
			t.Fatalf("the document counts %d bytes: %s", document.Bytes(), formatDocument(document))
		}
		other := NewDocument(testLog)
		if err := other.Apply(nextDelta(other, drawChanges(t)...)); err != nil {
			t.Fatal(err)
		}
		err = other.Apply(nextDelta(other, other.Diff(document.resources)...))
		if err != nil || other.Digest() != document.Digest() {
			t.Fatal(err, formatDocument(other), formatDocument(document))
		}
	})
}

// Apply accepts any decoded delta without a panic and changes the document only if it returns no error. The digest then
// matches the content.
func FuzzApply(f *testing.F) {
	document := newTestDocument(f, set("classes/a", "1"), set("plans/a", "2"))
	for _, delta := range []*Delta{
		nextDelta(document, set("members/7", "3"), remove("plans/a")),
		{Log: "log-b", From: 1, To: 2},
		{Log: testLog, From: 1, To: 9, Changes: []Change{set("limits", "4")}},
	} {
		f.Add(marshal(delta))
	}
	f.Fuzz(func(t *testing.T, encoded []byte) {
		var delta Delta
		if fileDecoder.Unmarshal(encoded, &delta) != nil {
			return
		}
		changed := document.Clone()
		if changed.Apply(&delta) != nil {
			if formatDocument(changed) != formatDocument(document) {
				t.Fatal("the document changed although Apply returned an error")
			}
			return
		}
		if changed.Version() <= document.Version() || changed.Log() != testLog {
			t.Fatal(formatDocument(changed))
		}
		rebuilt, err := buildDocument(testLog, changed.Version(), delta.Digest, changed.Changes())
		if err != nil || formatDocument(rebuilt) != formatDocument(changed) {
			t.Fatal(err)
		}
	})
}

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

// next returns the delta that leads a document to its next version by sorted changes.
func next(document *Document, changes ...Change) *Delta {
	return &Delta{
		Log:     testLog,
		From:    document.Version(),
		To:      document.Version() + 1,
		Changes: changes,
		Digest:  document.summaryAfter(changes).digest,
	}
}

func newTestDocument(t testing.TB, changes ...Change) *Document {
	t.Helper()
	document := NewDocument(testLog)
	if err := document.Apply(next(document, changes...)); err != nil {
		t.Fatal(err)
	}
	return document
}

// describe returns the complete document as text, for comparisons.
func describe(d *Document) string {
	return fmt.Sprintf("%s %d %x %d %q", d.Log(), d.Version(), d.Digest(), d.Bytes(), d.Changes())
}

// A refused delta leaves the document as it was.
func TestApplyRefusesInvalidDelta(t *testing.T) {
	long := strings.Repeat("x", MaxResourceNameBytes)
	for name, test := range map[string]struct {
		spoil func(*Delta)
		want  error
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
		"control":        {func(d *Delta) { d.Changes[1].Resource = "plans/a\n" }, &MalformedError{}},
		"not UTF-8":      {func(d *Delta) { d.Changes[1].Resource = "plans/\xff" }, &MalformedError{}},
		"member":         {func(d *Delta) { d.Changes[0].Resource = "members/07" }, &MalformedError{}},
		"large member":   {func(d *Delta) { d.Changes[0].Resource = "members/65536" }, &MalformedError{}},
	} {
		document := newTestDocument(t, set("classes/a", "1"), set("plans/a", "2"))
		before := describe(document)
		delta := next(document, set("members/7", "3"), remove("plans/a"))
		test.spoil(delta)
		err := document.Apply(delta)
		if reflect.TypeOf(err) != reflect.TypeOf(test.want) {
			t.Errorf("%s: %T %v", name, err, err)
		}
		if describe(document) != before {
			t.Errorf("%s: the document changed", name)
		}
	}
}

func TestApplyBoundsDocumentSize(t *testing.T) {
	document := NewDocument(testLog)
	document.size = MaxDocumentBytes - 10
	err := document.Apply(next(document, set("plans/a", "1234")))
	var malformed *MalformedError
	if !errors.As(err, &malformed) {
		t.Error(err)
	}
	if err := document.Apply(next(document, set("plans/a", "123"))); err != nil {
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
		err := checkLog(log)
		if (err == nil) != valid {
			t.Errorf("%q: %v", log, err)
		}
	}
}

func TestSummaryBoundsResourceCount(t *testing.T) {
	for count, valid := range map[int]bool{MaxDocumentResources: true, MaxDocumentResources + 1: false} {
		after := summary{count: count}
		err := after.check()
		if (err == nil) != valid {
			t.Errorf("%d resources: %v", count, err)
		}
	}
}

// A digest covers names, values and the boundary between them.
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
	want := Digest(sha256.Sum256([]byte("\x00\x00\x00\x07plans/ab1"))) // gateways of other versions compare it
	if digest := newTestDocument(t, set("plans/a", "b1")).Digest(); digest != want {
		t.Errorf("%x", digest)
	}
}

func TestCloneIsIndependent(t *testing.T) {
	document := newTestDocument(t, set("plans/a", "1"))
	clone := document.Clone()
	if err := clone.Apply(next(clone, remove("plans/a"))); err != nil {
		t.Fatal(err)
	}
	if _, found := document.Get("plans/a"); !found {
		t.Error("changed with its clone:", describe(document))
	}
	if clone.Len() != 0 || clone.Bytes() != 0 || clone.Digest() != (Digest{}) {
		t.Error("not empty:", describe(clone))
	}
}

// A change costs the same in a large document: a digest of all resources would take an allocation for each.
func TestApplyCostIsIndependentOfDocumentSize(t *testing.T) {
	cost := func(resources int) float64 {
		document := largeDocument(t, resources)
		return testing.AllocsPerRun(100, func() {
			if err := document.Apply(next(document, set("plans/000007", fmt.Sprint(document.Version())))); err != nil {
				t.Fatal(err)
			}
		})
	}
	if small, large := cost(100), cost(10_000); large > small {
		t.Errorf("%v allocations instead of %v", large, small)
	}
}

// longPlans returns changes that set quota plans, each with a value of the largest size.
func longPlans(namePrefix string, count int) []Change {
	changes := make([]Change, count)
	for i := range changes {
		changes[i] = set(Resource(fmt.Sprintf("%s%s%02d", PlanPrefix, namePrefix, i)), strings.Repeat("x", MaxValueBytes))
	}
	return changes
}

// largeDocument returns a document of plans of some 200 bytes each.
func largeDocument(t testing.TB, resources int) *Document {
	changes := make([]Change, resources)
	for i := range changes {
		changes[i] = set(Resource(fmt.Sprintf("plans/%06d", i)), strings.Repeat("x", 190))
	}
	return newTestDocument(t, changes...)
}

// drawChanges draws changes of a few resources, so that the same one is often changed again.
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

// The digest and the size depend on the content alone, not on the changes before, and Diff leads to any content.
func TestDigestDependsOnContentAlone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		document := NewDocument(testLog)
		for range rapid.IntRange(1, 10).Draw(t, "versions") {
			changes := drawChanges(t)
			after := document.summaryAfter(changes)
			if err := document.Apply(next(document, changes...)); err != nil || after.count != document.Len() {
				t.Fatal(err, after.count, document.Len())
			}
		}
		rebuilt, err := buildDocument(testLog, document.Version(), document.Digest(), document.Changes())
		if err != nil || describe(rebuilt) != describe(document) {
			t.Fatal(err, describe(rebuilt), describe(document))
		}
		if document.Bytes() != changesSize(document.Changes()) {
			t.Fatalf("%d bytes: %s", document.Bytes(), describe(document))
		}
		other := NewDocument(testLog)
		if err := other.Apply(next(other, drawChanges(t)...)); err != nil {
			t.Fatal(err)
		}
		err = other.Apply(next(other, other.Diff(document.resources)...))
		if err != nil || other.Digest() != document.Digest() {
			t.Fatal(err, describe(other), describe(document))
		}
	})
}

func FuzzApply(f *testing.F) {
	document := newTestDocument(f, set("classes/a", "1"), set("plans/a", "2"))
	for _, delta := range []*Delta{
		next(document, set("members/7", "3"), remove("plans/a")),
		{Log: "log-b", From: 1, To: 2},
		{Log: testLog, From: 1, To: 9, Changes: []Change{set("limits", "4")}},
	} {
		f.Add(marshal(delta))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		var delta Delta
		if fileDecoder.Unmarshal(text, &delta) != nil {
			return
		}
		changed := document.Clone()
		if changed.Apply(&delta) != nil {
			if describe(changed) != describe(document) {
				t.Fatal("changed in spite of an error")
			}
			return
		}
		if changed.Version() <= document.Version() || changed.Log() != testLog {
			t.Fatal(describe(changed))
		}
		rebuilt, err := buildDocument(testLog, changed.Version(), delta.Digest, changed.Changes())
		if err != nil || describe(rebuilt) != describe(changed) {
			t.Fatal(err)
		}
	})
}

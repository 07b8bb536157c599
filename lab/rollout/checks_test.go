package rollout

import (
	"errors"
	"slices"
	"testing"

	"ravensill/internal/publisher"
)

// soundRecord returns the record of a run of two gateways in which all checks hold. The second gateway was restarted.
func soundRecord() *Record {
	const digest = "d1"
	first := &History{Applied: []AppliedVersion{
		{Incarnation: 1, Version: 1},
		{Incarnation: 1, Version: 2},
		{Incarnation: 1, Version: 4},
	}}
	second := &History{ended: 1, Applied: []AppliedVersion{
		{Incarnation: 1, Version: 1},
		{Incarnation: 1, Version: 2},
		{Incarnation: 2, Version: 2, FromDisk: true},
		{Incarnation: 2, Version: 3},
		{Incarnation: 2, Version: 4},
	}}
	followers := []publisher.Follower{
		{Member: 0, Connected: true, InForce: 4},
		{Member: 1, Connected: true, InForce: 4},
	}
	return &Record{
		Histories: []*History{first, second},
		Published: []PublishedChange{{Version: 1}, {Version: 2}, {Version: 3}, {Version: 4}},
		Publishers: []PublisherState{
			{Name: "p0", Version: 4, Digest: digest, Log: "l", Followers: followers},
			{Name: "p1", Version: 4, Digest: digest, Log: "l"},
		},
		Disks: []DiskState{{Version: 4, Digest: digest}, {Version: 4, Digest: digest}},
	}
}

// apply adds a version to those that came in force at a member.
func (r *Record) apply(member int, next AppliedVersion) {
	r.Histories[member].Applied = append(r.Histories[member].Applied, next)
}

// All checks hold on a sound record, and each fails on one with a violation written into it.
func TestEachCheckFindsItsViolation(t *testing.T) {
	all := append(slices.Clone(CommonChecks), EqualDigests(), RefusedOnlyBy(""))
	if violations := soundRecord().Violations(all); len(violations) > 0 {
		t.Fatalf("a sound record: %q", violations)
	}
	for _, test := range []struct {
		name    string
		check   Check
		violate func(r *Record)
	}{
		{"twice", VersionsInOrder, func(r *Record) { r.apply(0, AppliedVersion{Incarnation: 1, Version: 4}) }},
		{"backwards", VersionsInOrder, func(r *Record) { r.apply(0, AppliedVersion{Incarnation: 1, Version: 3}) }},
		{"from disk within an incarnation", VersionsInOrder, func(r *Record) {
			r.apply(0, AppliedVersion{Incarnation: 1, Version: 5, FromDisk: true})
		}},
		{"an older disk", VersionsInOrder, func(r *Record) {
			r.apply(1, AppliedVersion{Incarnation: 3, Version: 1, FromDisk: true})
		}},
		{"a later disk", VersionsInOrder, func(r *Record) {
			r.apply(1, AppliedVersion{Incarnation: 3, Version: 9, FromDisk: true})
		}},
		{"not published", OnlyPublishedVersions, func(r *Record) { r.apply(0, AppliedVersion{Incarnation: 1, Version: 5}) }},
		{"behind", LatestVersionEverywhere, func(r *Record) { r.Histories[0].Applied = r.Histories[0].Applied[:2] }},
		{"by the file", LatestVersionEverywhere, func(r *Record) { r.Histories[0].ended++ }},
		{"not shown", PublishersShowLatestVersion, func(r *Record) { r.Publishers[0].Followers[1].InForce = 3 }},
		{"shown of a lost connection", PublishersShowLatestVersion, func(r *Record) {
			r.Publishers[0].Followers[1].Connected = false
		}},
		{"one version for two changes", PublishedVersionsIncrease, func(r *Record) {
			r.Published = append(r.Published, PublishedChange{Version: 4})
		}},
		{"a publisher's digest", EqualDigests(), func(r *Record) { r.Publishers[1].Digest = "d2" }},
		{"a publisher's version", EqualDigests(), func(r *Record) { r.Publishers[1].Version = 3 }},
		{"a publisher's log", EqualDigests(), func(r *Record) { r.Publishers[1].Log = "other" }},
		{"no publisher", EqualDigests(), func(r *Record) { r.Publishers = nil }},
		{"a disk's digest", EqualDigests(0), func(r *Record) { r.Disks[1].Digest = "d2" }},
		{"a disk's version", EqualDigests(0), func(r *Record) { r.Disks[1].Version = 3 }},
		{"a disk that can't be read", EqualDigests(0), func(r *Record) { r.Disks[1].Err = errors.New("torn") }},
		{"refused", RefusedOnlyBy(""), func(r *Record) { r.Histories[0].Refusals = []RefusedVersion{{Version: 3}} }},
		{"not refused", RefusedOnlyBy("members/1", 1), func(*Record) {}},
		{"refused twice", RefusedOnlyBy("members/1", 1), func(r *Record) {
			r.Histories[1].Refusals = []RefusedVersion{{3, "members/1"}, {4, "members/1"}}
		}},
		{"refused because of another resource", RefusedOnlyBy("members/1", 1), func(r *Record) {
			r.Histories[1].Refusals = []RefusedVersion{{3, "limits"}}
		}},
		{"crashed", NoPublisherCrash, func(r *Record) { r.Crashes = []string{"p0 printed a trace"} }},
	} {
		record := soundRecord()
		test.violate(record)
		if test.check.FindViolation(record) == "" {
			t.Errorf("%s: check %q holds", test.name, test.check.Name)
		}
	}
}

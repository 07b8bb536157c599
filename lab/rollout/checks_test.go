package rollout

import (
	"errors"
	"slices"
	"testing"

	"ravensill/internal/publisher"
)

// validRecord returns a record of two gateways for which all checks hold. The second gateway was restarted.
func validRecord() *Record {
	const digest = "d1"
	first := &History{Applied: []AppliedVersion{
		{Incarnation: 1, Version: 1},
		{Incarnation: 1, Version: 2},
		{Incarnation: 1, Version: 4},
	}}
	second := &History{endedIncarnations: 1, Applied: []AppliedVersion{
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

// apply appends an applied version to a member's history.
func (r *Record) apply(member int, next AppliedVersion) {
	r.Histories[member].Applied = append(r.Histories[member].Applied, next)
}

// Guards against a check that never fails: all checks must hold on a valid record, and each must fail once the record
// is changed to violate it.
func TestEachCheckFindsItsViolation(t *testing.T) {
	all := append(slices.Clone(CommonChecks), EqualDigests(), RefusedOnlyBy(""))
	if violations := validRecord().Violations(all); len(violations) > 0 {
		t.Fatalf("violations in a valid record: %q", violations)
	}
	for _, test := range []struct {
		name    string
		check   Check
		violate func(r *Record)
	}{
		{"version applied twice", VersionsInOrder, func(r *Record) {
			r.apply(0, AppliedVersion{Incarnation: 1, Version: 4})
		}},
		{"older version", VersionsInOrder, func(r *Record) { r.apply(0, AppliedVersion{Incarnation: 1, Version: 3}) }},
		{"from disk within an incarnation", VersionsInOrder, func(r *Record) {
			r.apply(0, AppliedVersion{Incarnation: 1, Version: 5, FromDisk: true})
		}},
		{"start from a too old version", VersionsInOrder, func(r *Record) {
			r.apply(1, AppliedVersion{Incarnation: 3, Version: 1, FromDisk: true})
		}},
		{"start from an unknown version", VersionsInOrder, func(r *Record) {
			r.apply(1, AppliedVersion{Incarnation: 3, Version: 9, FromDisk: true})
		}},
		{"not published", OnlyPublishedVersions, func(r *Record) { r.apply(0, AppliedVersion{Incarnation: 1, Version: 5}) }},
		{"gateway behind", LatestVersionEverywhere, func(r *Record) { r.Histories[0].Applied = r.Histories[0].Applied[:2] }},
		{"no version since restart", LatestVersionEverywhere, func(r *Record) { r.Histories[0].endedIncarnations++ }},
		{"outdated status", PublishersShowLatestVersion, func(r *Record) { r.Publishers[0].Followers[1].InForce = 3 }},
		{"status of a lost connection", PublishersShowLatestVersion, func(r *Record) {
			r.Publishers[0].Followers[1].Connected = false
		}},
		{"one version for two changes", PublishedVersionsIncrease, func(r *Record) {
			r.Published = append(r.Published, PublishedChange{Version: 4})
		}},
		{"a publisher's digest", EqualDigests(), func(r *Record) { r.Publishers[1].Digest = "d2" }},
		{"a publisher's version", EqualDigests(), func(r *Record) { r.Publishers[1].Version = 3 }},
		{"a publisher's log", EqualDigests(), func(r *Record) { r.Publishers[1].Log = "other" }},
		{"no publisher running", EqualDigests(), func(r *Record) { r.Publishers = nil }},
		{"a disk's digest", EqualDigests(0), func(r *Record) { r.Disks[1].Digest = "d2" }},
		{"a disk's version", EqualDigests(0), func(r *Record) { r.Disks[1].Version = 3 }},
		{"a disk that can't be read", EqualDigests(0), func(r *Record) { r.Disks[1].Err = errors.New("torn") }},
		{"unexpected refusal", RefusedOnlyBy(""), func(r *Record) {
			r.Histories[0].Refusals = []RefusedVersion{{Version: 3}}
		}},
		{"missing refusal", RefusedOnlyBy("members/1", 1), func(*Record) {}},
		{"two refusals", RefusedOnlyBy("members/1", 1), func(r *Record) {
			r.Histories[1].Refusals = []RefusedVersion{{3, "members/1"}, {4, "members/1"}}
		}},
		{"refusal because of another resource", RefusedOnlyBy("members/1", 1), func(r *Record) {
			r.Histories[1].Refusals = []RefusedVersion{{3, "limits"}}
		}},
		{"publisher crash", NoPublisherCrash, func(r *Record) { r.Crashes = []string{"p0 printed a trace"} }},
	} {
		record := validRecord()
		test.violate(record)
		if test.check.FindViolation(record) == "" {
			t.Errorf("%s: check %q holds on a record that violates it", test.name, test.check.Name)
		}
	}
}

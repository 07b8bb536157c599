package rollout

import (
	"errors"
	"slices"
	"testing"

	"ravensill/configsync"
	"ravensill/internal/publisher"
	"ravensill/lab/logline"
)

// soundRecord is what a run of two gateways leaves behind in which all holds. The second gateway was restarted.
func soundRecord() *Record {
	const digest = "d1"
	first := &History{Applied: []Applied{{Life: 1, Version: 1}, {Life: 1, Version: 2}, {Life: 1, Version: 4}}}
	second := &History{life: 1, Applied: []Applied{{Life: 1, Version: 1}, {Life: 1, Version: 2},
		{Life: 2, Version: 2, FromDisk: true}, {Life: 2, Version: 3}, {Life: 2, Version: 4}}}
	followers := []publisher.Follower{{Member: 0, Connected: true, InForce: 4}, {Member: 1, Connected: true, InForce: 4}}
	return &Record{
		Histories: []*History{first, second},
		Published: []Published{{Version: 1}, {Version: 2}, {Version: 3}, {Version: 4}},
		Publishers: []PublisherState{{Name: "p0", Version: 4, Digest: digest, Log: "l", Followers: followers},
			{Name: "p1", Version: 4, Digest: digest, Log: "l"}},
		Disks: []DiskState{{Version: 4, Digest: digest}, {Version: 4, Digest: digest}},
	}
}

// TestChecks: all checks hold on a sound record, and each fails on one that is doctored against it.
func TestChecks(t *testing.T) {
	all := append(slices.Clone(Usual), Digests(), Refusals(""))
	if broken := soundRecord().Broken(all); len(broken) > 0 {
		t.Fatalf("a sound record: %q", broken)
	}
	apply := func(r *Record, member int, next ...Applied) {
		r.Histories[member].Applied = append(r.Histories[member].Applied, next...)
	}
	for _, c := range []struct {
		name   string
		check  Check
		doctor func(r *Record)
	}{
		{"twice", InOrder, func(r *Record) { apply(r, 0, Applied{Life: 1, Version: 4}) }},
		{"backwards", InOrder, func(r *Record) { apply(r, 0, Applied{Life: 1, Version: 3}) }},
		{"from disk in a life", InOrder, func(r *Record) { apply(r, 0, Applied{Life: 1, Version: 5, FromDisk: true}) }},
		{"an older disk", InOrder, func(r *Record) { apply(r, 1, Applied{Life: 3, Version: 1, FromDisk: true}) }},
		{"a later disk", InOrder, func(r *Record) { apply(r, 1, Applied{Life: 3, Version: 9, FromDisk: true}) }},
		{"not published", Known, func(r *Record) { apply(r, 0, Applied{Life: 1, Version: 5}) }},
		{"behind", Latest, func(r *Record) { r.Histories[0].Applied = r.Histories[0].Applied[:2] }},
		{"by the file", Latest, func(r *Record) { r.Histories[0].life++ }},
		{"not told", Told, func(r *Record) { r.Publishers[0].Followers[1].InForce = 3 }},
		{"told of a lost connection", Told, func(r *Record) { r.Publishers[0].Followers[1].Connected = false }},
		{"one version for two changes", Increasing, func(r *Record) { r.Published = append(r.Published, Published{Version: 4}) }},
		{"a publisher's digest", Digests(), func(r *Record) { r.Publishers[1].Digest = "d2" }},
		{"a publisher's version", Digests(), func(r *Record) { r.Publishers[1].Version = 3 }},
		{"a publisher's log", Digests(), func(r *Record) { r.Publishers[1].Log = "other" }},
		{"no publisher", Digests(), func(r *Record) { r.Publishers = nil }},
		{"a disk's digest", Digests(0), func(r *Record) { r.Disks[1].Digest = "d2" }},
		{"a disk's version", Digests(0), func(r *Record) { r.Disks[1].Version = 3 }},
		{"a disk that can't be read", Digests(0), func(r *Record) { r.Disks[1].Err = errors.New("torn") }},
		{"refused", Refusals(""), func(r *Record) { r.Histories[0].Refused = []Refused{{Version: 3}} }},
		{"not refused", Refusals("members/1", 1), func(*Record) {}},
		{"refused twice", Refusals("members/1", 1), func(r *Record) {
			r.Histories[1].Refused = []Refused{{3, "members/1"}, {4, "members/1"}}
		}},
		{"refused by another resource", Refusals("members/1", 1), func(r *Record) {
			r.Histories[1].Refused = []Refused{{3, "limits"}}
		}},
		{"unhealthy", Healthy, func(r *Record) { r.Unhealthy = []string{"p0 printed a trace"} }},
	} {
		r := soundRecord()
		c.doctor(r)
		if c.check.Look(r) == "" {
			t.Errorf("%s: %q holds on a doctored record", c.name, c.check.Name)
		}
	}
}

// TestHistory: what a gateway's log lines tell.
func TestHistory(t *testing.T) {
	const at = "time=2026-12-02T05:00:01.500000Z level=INFO "
	h := &History{}
	for _, line := range []string{
		at + "event=serving name=g0",
		at + "event=configuration_applied version=7 plans=2 classes=3 members=4",
		at + `event=configuration_refused version=8 resource=members/3 reason=missing`,
		`event=exited status="signal: killed"`,
		at + `event=configuration_damaged dir=configuration version=6 error=torn`,
		at + "event=configuration_held version=6 plans=2 classes=3 members=4",
		"no event",
	} {
		h.take(line)
	}
	loggedAt := logline.Time(at)
	wanted := []Applied{
		{Life: 1, Version: 7, At: loggedAt},
		{Life: 2, Version: 6, At: loggedAt, FromDisk: true, Damaged: true},
	}
	if !slices.Equal(h.Applied, wanted) {
		t.Errorf("applied %v, not %v", h.Applied, wanted)
	}
	if !slices.Equal(h.Refused, []Refused{{8, "members/3"}}) {
		t.Errorf("refused %v", h.Refused)
	}
	if h.InForce() != configsync.Version(6) || loggedAt.IsZero() {
		t.Errorf("in force %d at %v", h.InForce(), loggedAt)
	}
}

package rollout

import (
	"slices"
	"testing"

	"ravensill/configsync"
	"ravensill/lab/logline"
)

// Versions in force and refusals are read from a gateway's log lines, over a restart from a damaged file too.
func TestHistoryFollowsLogLines(t *testing.T) {
	const prefix = "time=2026-12-02T05:00:01.500000Z level=INFO "
	history := &History{}
	for _, line := range []string{
		prefix + "event=serving name=g0",
		prefix + "event=configuration_applied version=7 plans=2 classes=3 members=4",
		prefix + `event=configuration_refused version=8 resource=members/3 reason=missing`,
		`event=exited status="signal: killed"`,
		prefix + `event=configuration_damaged dir=configuration version=6 error=torn`,
		prefix + "event=configuration_loaded version=6 plans=2 classes=3 members=4",
		"no event",
	} {
		history.readLine(line)
	}
	at := logline.Time(prefix)
	want := []AppliedVersion{
		{Incarnation: 1, Version: 7, At: at},
		{Incarnation: 2, Version: 6, At: at, FromDisk: true, Damaged: true},
	}
	if !slices.Equal(history.Applied, want) {
		t.Errorf("applied %v, not %v", history.Applied, want)
	}
	if !slices.Equal(history.Refusals, []RefusedVersion{{8, "members/3"}}) {
		t.Errorf("refusals %v", history.Refusals)
	}
	if history.InForce() != configsync.Version(6) || at.IsZero() {
		t.Errorf("in force %d at %v", history.InForce(), at)
	}
}

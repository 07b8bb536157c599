package rollout

import (
	"fmt"
	"slices"
	"strings"

	"ravensill/configsync"
)

// Check is a rule that must hold at the end of a run.
type Check struct {
	Name string
	// FindViolation returns a short text about what does not hold; "" if the rule holds.
	FindViolation func(r *Record) string
}

// CommonChecks are the rules that hold in every run. EqualDigests and RefusedOnlyBy are added to them.
var CommonChecks = []Check{
	VersionsInOrder,
	OnlyPublishedVersions,
	LatestVersionEverywhere,
	PublishersShowLatestVersion,
	PublishedVersionsIncrease,
	NoPublisherCrash,
}

// Violations returns the checks that do not hold, with what does not.
func (r *Record) Violations(checks []Check) (violations []string) {
	for _, check := range checks {
		if violation := check.FindViolation(r); violation != "" {
			violations = append(violations, check.Name+": "+violation)
		}
	}
	return violations
}

// shownViolations is the number of violations of one check that are shown.
const shownViolations = 4

// summarize returns the number of violations and the first few of them; "" if there are none.
func summarize(violations []string) string {
	if len(violations) == 0 {
		return ""
	}
	shown := violations[:min(len(violations), shownViolations)]
	return fmt.Sprintf("%d: %s", len(violations), strings.Join(shown, "; "))
}

// VersionsInOrder is a check: within an incarnation of a gateway, no version came in force twice or after a later
// one. An incarnation that starts from its disk starts from the last version of the one before, or from the version
// before that if the process was killed before it had stored the last one.
var VersionsInOrder = Check{"no version twice or backwards", func(r *Record) string {
	var violations []string
	for member, history := range r.Histories {
		for i := 1; i < len(history.Applied); i++ {
			violation := orderViolation(history.Applied[:i], &history.Applied[i])
			if violation != "" {
				violations = append(violations, fmt.Sprintf("member %d: %s", member, violation))
			}
		}
	}
	return summarize(violations)
}}

// orderViolation returns what is wrong with a version after those before it; "" if nothing is.
func orderViolation(before []AppliedVersion, next *AppliedVersion) string {
	previous := &before[len(before)-1]
	if previous.Incarnation == next.Incarnation {
		if next.FromDisk {
			return fmt.Sprintf("version %d from disk within incarnation %d", next.Version, next.Incarnation)
		}
		if next.Version <= previous.Version {
			return fmt.Sprintf("version %d after %d", next.Version, previous.Version)
		}
		return ""
	}
	if !next.FromDisk || next.Version == previous.Version {
		return ""
	}
	if next.Damaged && next.Version < previous.Version {
		return ""
	}
	if len(before) > 1 && before[len(before)-2].Version == next.Version {
		return ""
	}
	return fmt.Sprintf("incarnation %d starts from version %d on disk, incarnation %d ended with %d",
		next.Incarnation, next.Version, previous.Incarnation, previous.Version)
}

// OnlyPublishedVersions is a check: every version that came in force was published.
var OnlyPublishedVersions = Check{"nothing in force that was not published", func(r *Record) string {
	published := map[configsync.Version]bool{}
	for _, change := range r.Published {
		published[change.Version] = true
	}
	var violations []string
	for member, history := range r.Histories {
		for _, applied := range history.Applied {
			if !published[applied.Version] {
				violations = append(violations, fmt.Sprintf("member %d: version %d", member, applied.Version))
			}
		}
	}
	return summarize(violations)
}}

// LatestVersionEverywhere is a check: the latest version is in force at every gateway at the end.
var LatestVersionEverywhere = Check{"the latest version in force everywhere", func(r *Record) string {
	latest := r.latest()
	var violations []string
	for member, history := range r.Histories {
		if inForce := history.InForce(); inForce != latest {
			violations = append(violations, fmt.Sprintf("member %d: version %d, not %d", member, inForce, latest))
		}
	}
	return summarize(violations)
}}

// latest returns the latest version that was published.
func (r *Record) latest() (latest configsync.Version) {
	for _, change := range r.Published {
		latest = max(latest, change.Version)
	}
	return latest
}

// EqualDigests returns a check: at the end all publishers and the disks of all gateways but some have the same content.
func EqualDigests(without ...int) Check {
	return Check{"all digests equal", func(r *Record) string {
		if len(r.Publishers) == 0 {
			return "no publisher runs"
		}
		want := &r.Publishers[0]
		var violations []string
		for i := range r.Publishers {
			state := &r.Publishers[i]
			if state.Version != r.latest() || state.Digest != want.Digest || state.Log != want.Log {
				violations = append(violations, fmt.Sprintf("%s: version %d, digest %.16s, log %s",
					state.Name, state.Version, state.Digest, state.Log))
			}
		}
		for member := range r.Disks {
			disk := &r.Disks[member]
			equal := disk.Err == nil && disk.Digest == want.Digest && disk.Version == want.Version
			if !equal && !slices.Contains(without, member) {
				violations = append(violations, fmt.Sprintf("disk of member %d: %v", member, disk))
			}
		}
		return summarize(violations)
	}}
}

// RefusedOnlyBy returns a check: some members refused one version each, because of a resource, and no other member
// refused any.
func RefusedOnlyBy(resource string, members ...int) Check {
	return Check{"refused only by members that can't apply it", func(r *Record) string {
		var violations []string
		for member, history := range r.Histories {
			want := 0
			if slices.Contains(members, member) {
				want = 1
			}
			if got := len(history.Refusals); got != want {
				violations = append(violations, fmt.Sprintf("member %d refused %d versions, not %d", member, got, want))
			}
			for _, refusal := range history.Refusals {
				if refusal.Resource != resource {
					violations = append(violations, fmt.Sprintf("member %d refused version %d because of %q",
						member, refusal.Version, refusal.Resource))
				}
			}
		}
		return summarize(violations)
	}}
}

// PublishersShowLatestVersion is a check: the publishers' status shows the latest version in force at every gateway.
var PublishersShowLatestVersion = Check{"the publishers show what is in force", func(r *Record) string {
	latest := r.latest()
	var violations []string
	for member := range r.Histories {
		if !r.shownInForce(member, latest) {
			violations = append(violations, fmt.Sprintf("member %d is not shown with version %d", member, latest))
		}
	}
	return summarize(violations)
}}

// shownInForce reports whether a publisher shows a version in force at a gateway that follows it.
func (r *Record) shownInForce(member int, version configsync.Version) bool {
	for i := range r.Publishers {
		for _, follower := range r.Publishers[i].Followers {
			if follower.Member == member && follower.Connected && follower.InForce == version {
				return true
			}
		}
	}
	return false
}

// NoPublisherCrash is a check: no publisher printed a stack trace or ended by itself.
var NoPublisherCrash = Check{"no publisher crashed", func(r *Record) string { return summarize(r.Crashes) }}

// PublishedVersionsIncrease is a check: the publishers numbered the changes in the order in which they were made.
var PublishedVersionsIncrease = Check{"published versions increase", func(r *Record) string {
	var violations []string
	for i := 1; i < len(r.Published); i++ {
		version, previous := r.Published[i].Version, r.Published[i-1].Version
		if version <= previous {
			violations = append(violations, fmt.Sprintf("version %d after %d", version, previous))
		}
	}
	return summarize(violations)
}}

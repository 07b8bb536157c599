package rollout

import (
	"fmt"
	"slices"
	"strings"

	"ravensill/configsync"
)

// Check is a condition that must hold at the end of a run.
type Check struct {
	Name string
	// FindViolation returns a short description of what violates the check, or "" if it holds.
	FindViolation func(r *Record) string
}

// CommonChecks are the checks of every run. Scenarios add EqualDigests and RefusedOnlyBy, which have parameters.
var CommonChecks = []Check{
	VersionsInOrder,
	OnlyPublishedVersions,
	LatestVersionEverywhere,
	PublishersShowLatestVersion,
	PublishedVersionsIncrease,
	NoPublisherCrash,
}

// Violations returns a description of each check that does not hold.
func (r *Record) Violations(checks []Check) (violations []string) {
	for _, check := range checks {
		if violation := check.FindViolation(r); violation != "" {
			violations = append(violations, check.Name+": "+violation)
		}
	}
	return violations
}

// maxShownViolations limits how many violations of one check are described.
const maxShownViolations = 4

// summarize returns the number of violations and the first few of them, or "" if there are none.
func summarize(violations []string) string {
	if len(violations) == 0 {
		return ""
	}
	shown := violations[:min(len(violations), maxShownViolations)]
	return fmt.Sprintf("%d: %s", len(violations), strings.Join(shown, "; "))
}

// VersionsInOrder checks that within an incarnation of a gateway each version is greater than the one before. An
// incarnation that starts from its disk must start with the last version of the previous incarnation, or with the
// version before that if the process was killed before it had stored the last one. If the stored file was damaged, it
// may start with any earlier version.
var VersionsInOrder = Check{"versions at each gateway increase", func(r *Record) string {
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

// orderViolation returns what is wrong with an applied version, given those before it, or "" if nothing is.
func orderViolation(before []AppliedVersion, next *AppliedVersion) string {
	previous := &before[len(before)-1]
	if previous.Incarnation == next.Incarnation {
		if next.FromDisk {
			return fmt.Sprintf("version %d loaded from disk within incarnation %d", next.Version, next.Incarnation)
		}
		if next.Version <= previous.Version {
			return fmt.Sprintf("version %d after version %d", next.Version, previous.Version)
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
	return fmt.Sprintf("incarnation %d started from version %d on disk, but incarnation %d ended with version %d",
		next.Incarnation, next.Version, previous.Incarnation, previous.Version)
}

// OnlyPublishedVersions checks that every version that came in force at a gateway had been published.
var OnlyPublishedVersions = Check{"only published versions in force", func(r *Record) string {
	published := map[configsync.Version]bool{}
	for _, change := range r.Published {
		published[change.Version] = true
	}
	var violations []string
	for member, history := range r.Histories {
		for _, applied := range history.Applied {
			if !published[applied.Version] {
				violations = append(violations, fmt.Sprintf("member %d: unpublished version %d", member, applied.Version))
			}
		}
	}
	return summarize(violations)
}}

// LatestVersionEverywhere checks that the latest version is in force at every gateway at the end.
var LatestVersionEverywhere = Check{"the latest version in force at every gateway", func(r *Record) string {
	latest := r.latest()
	var violations []string
	for member, history := range r.Histories {
		if inForce := history.InForce(); inForce != latest {
			violations = append(violations, fmt.Sprintf("member %d: version %d in force, want %d", member, inForce, latest))
		}
	}
	return summarize(violations)
}}

// latest returns the latest published version, or 0 if there is none.
func (r *Record) latest() (latest configsync.Version) {
	for _, change := range r.Published {
		latest = max(latest, change.Version)
	}
	return latest
}

// EqualDigests returns a check that at the end all publishers and the disks of all gateways have the same version and
// contents. The disks of the members in except are not checked.
func EqualDigests(except ...int) Check {
	return Check{"all digests equal", func(r *Record) string {
		if len(r.Publishers) == 0 {
			return "no publisher is running"
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
			if !equal && !slices.Contains(except, member) {
				violations = append(violations, fmt.Sprintf("disk of member %d: %v", member, disk))
			}
		}
		return summarize(violations)
	}}
}

// RefusedOnlyBy returns a check that each of the given members refused exactly one version, because of the given
// resource, and that no other member refused any.
func RefusedOnlyBy(resource string, members ...int) Check {
	return Check{"versions refused only by the expected members", func(r *Record) string {
		var violations []string
		for member, history := range r.Histories {
			want := 0
			if slices.Contains(members, member) {
				want = 1
			}
			if got := len(history.Refusals); got != want {
				violations = append(violations, fmt.Sprintf("member %d refused %d versions, want %d", member, got, want))
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

// PublishersShowLatestVersion checks that the publishers' status shows the latest version in force at every gateway.
var PublishersShowLatestVersion = Check{"publishers show the latest version at every gateway", func(r *Record) string {
	latest := r.latest()
	var violations []string
	for member := range r.Histories {
		if !r.shownInForce(member, latest) {
			violations = append(violations, fmt.Sprintf("member %d is not shown as connected with version %d", member, latest))
		}
	}
	return summarize(violations)
}}

// shownInForce reports whether a publisher shows the gateway as connected with this version in force.
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

// NoPublisherCrash checks that no publisher printed a stack trace or exited unexpectedly.
var NoPublisherCrash = Check{"no publisher crashed", func(r *Record) string { return summarize(r.Crashes) }}

// PublishedVersionsIncrease checks that the version numbers increase in the order in which the changes were published.
var PublishedVersionsIncrease = Check{"published versions increase", func(r *Record) string {
	var violations []string
	for i := 1; i < len(r.Published); i++ {
		version, previous := r.Published[i].Version, r.Published[i-1].Version
		if version <= previous {
			violations = append(violations, fmt.Sprintf("version %d after version %d", version, previous))
		}
	}
	return summarize(violations)
}}

package rollout

import (
	"fmt"
	"slices"
	"strings"

	"ravensill/configsync"
)

// Check is a thing that must hold at the end of a run. Look tells what does not hold, "" where all does.
type Check struct {
	Name string
	Look func(r *Record) string
}

// shownFaults bounds how many faults of one kind a check tells in full.
const shownFaults = 4

func join(faults []string) string {
	if len(faults) == 0 {
		return ""
	}
	return fmt.Sprintf("%d: %s", len(faults), strings.Join(faults[:min(len(faults), shownFaults)], "; "))
}

// InOrder is a check: no version came in force twice or after a later one in a life of a gateway, and a life that starts from its disk
// starts from the last version of the life before, or from the one before that where the process was killed in between.
var InOrder = Check{"no version twice or backwards", func(r *Record) string {
	var faults []string
	for member, history := range r.Histories {
		for i := 1; i < len(history.Applied); i++ {
			if fault := orderFault(history.Applied[:i], &history.Applied[i]); fault != "" {
				faults = append(faults, fmt.Sprintf("member %d: %s", member, fault))
			}
		}
	}
	return join(faults)
}}

// orderFault tells what is wrong with a version after those before it.
func orderFault(before []Applied, next *Applied) string {
	last := &before[len(before)-1]
	sameLife := last.Life == next.Life
	if sameLife && next.FromDisk {
		return fmt.Sprintf("version %d from disk in the middle of life %d", next.Version, next.Life)
	}
	if sameLife && next.Version <= last.Version {
		return fmt.Sprintf("version %d after %d", next.Version, last.Version)
	}
	if sameLife || !next.FromDisk || next.Version == last.Version || next.Damaged && next.Version < last.Version {
		return ""
	}
	if len(before) > 1 && before[len(before)-2].Version == next.Version {
		return ""
	}
	return fmt.Sprintf("life %d starts from version %d on disk, life %d ended with %d", next.Life, next.Version, last.Life,
		last.Version)
}

// Known is a check: what came in force was published.
var Known = Check{"nothing in force that was not published", func(r *Record) string {
	published := map[configsync.Version]bool{}
	for _, change := range r.Published {
		published[change.Version] = true
	}
	var faults []string
	for member, history := range r.Histories {
		for _, applied := range history.Applied {
			if !published[applied.Version] {
				faults = append(faults, fmt.Sprintf("member %d: version %d", member, applied.Version))
			}
		}
	}
	return join(faults)
}}

// Latest is a check: every gateway ends with the latest version in force.
var Latest = Check{"the latest version in force everywhere", func(r *Record) string {
	latest := r.latest()
	var faults []string
	for member, history := range r.Histories {
		if inForce := history.InForce(); inForce != latest {
			faults = append(faults, fmt.Sprintf("member %d: version %d, not %d", member, inForce, latest))
		}
	}
	return join(faults)
}}

// latest is the last version that was published.
func (r *Record) latest() (latest configsync.Version) {
	for _, change := range r.Published {
		latest = max(latest, change.Version)
	}
	return latest
}

// Digests returns a check: all publishers, and the disks of all gateways but some, hold the same content at the end.
func Digests(without ...int) Check {
	return Check{"all digests equal", func(r *Record) string {
		if len(r.Publishers) == 0 {
			return "no publisher runs"
		}
		want := &r.Publishers[0]
		var faults []string
		for i := range r.Publishers {
			p := &r.Publishers[i]
			if p.Version != r.latest() || p.Digest != want.Digest || p.Log != want.Log {
				faults = append(faults, fmt.Sprintf("%s: version %d, digest %.16s, log %s", p.Name, p.Version, p.Digest, p.Log))
			}
		}
		for member := range r.Disks {
			disk := &r.Disks[member]
			if disk.Err == nil && disk.Digest == want.Digest && disk.Version == want.Version || slices.Contains(without, member) {
				continue
			}
			faults = append(faults, fmt.Sprintf("disk of member %d: %v", member, disk))
		}
		return join(faults)
	}}
}

// Refusals returns a check: the named members refused one version each, by a resource, and nobody else refused any.
func Refusals(resource string, members ...int) Check {
	return Check{"refused by those who can't take it alone", func(r *Record) string {
		var faults []string
		for member, history := range r.Histories {
			want := 0
			if slices.Contains(members, member) {
				want = 1
			}
			if got := len(history.Refused); got != want {
				faults = append(faults, fmt.Sprintf("member %d refused %d versions, not %d", member, got, want))
			}
			for _, refused := range history.Refused {
				if refused.Resource != resource {
					faults = append(faults, fmt.Sprintf("member %d refused version %d by %q", member, refused.Version,
						refused.Resource))
				}
			}
		}
		return join(faults)
	}}
}

// Told is a check: the publishers know that the latest version is in force everywhere.
var Told = Check{"the publishers show what is in force", func(r *Record) string {
	var faults []string
	for member := range r.Histories {
		if !r.told(member, r.latest()) {
			faults = append(faults, fmt.Sprintf("member %d is not shown with version %d", member, r.latest()))
		}
	}
	return join(faults)
}}

// told tells whether a publisher shows a version in force at a gateway that follows it.
func (r *Record) told(member int, version configsync.Version) bool {
	for i := range r.Publishers {
		for _, follower := range r.Publishers[i].Followers {
			if follower.Member == member && follower.Connected && follower.InForce == version {
				return true
			}
		}
	}
	return false
}

// Healthy is a check: no publisher printed a trace or ended by itself.
var Healthy = Check{"publishers healthy", func(r *Record) string { return join(r.Unhealthy) }}

// Increasing is a check: the publishers numbered the changes in the order in which they were made.
var Increasing = Check{"published versions increase", func(r *Record) string {
	var faults []string
	for i := 1; i < len(r.Published); i++ {
		if r.Published[i].Version <= r.Published[i-1].Version {
			faults = append(faults, fmt.Sprintf("version %d after %d", r.Published[i].Version, r.Published[i-1].Version))
		}
	}
	return join(faults)
}}

// Usual are the checks of every run; Digests and Refusals come beside them.
var Usual = []Check{InOrder, Known, Latest, Told, Increasing, Healthy}

// Broken tells what does not hold.
func (r *Record) Broken(checks []Check) (broken []string) {
	for _, check := range checks {
		if fault := check.Look(r); fault != "" {
			broken = append(broken, check.Name+": "+fault)
		}
	}
	return broken
}

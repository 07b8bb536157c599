package rollout

import (
	"fmt"
	"strconv"
	"time"

	"ravensill/configsync"
	"ravensill/internal/publisher"
	"ravensill/lab/fleet"
	"ravensill/lab/logline"
)

// Record holds what happened in a run. The checks examine it.
type Record struct {
	Histories  []*History // by member index
	Published  []PublishedChange
	Publishers []PublisherState // of the publishers running at the end
	Disks      []DiskState      // by member index
	Crashes    []string         // descriptions of publishers' crashes
}

// PublishedChange is a change that a publisher confirmed as published.
type PublishedChange struct {
	Version     configsync.Version
	SentAt      time.Time // before the first attempt of the request
	RespondedAt time.Time
}

// PublisherState is what a publisher's status showed at the end.
type PublisherState struct {
	Name      string
	Version   configsync.Version
	Digest    string
	Log       configsync.LogID
	Followers []publisher.Follower
}

// DiskState is the version that a gateway's disk held at the end.
type DiskState struct {
	Version configsync.Version
	Digest  string
	Err     error // why the stored version could not be read; nil if it could
}

// String returns the version and the start of the digest, or the error of reading them.
func (d *DiskState) String() string {
	if d.Err != nil {
		return d.Err.Error()
	}
	return fmt.Sprintf("version %d, digest %.16s", d.Version, d.Digest)
}

// History is what happened at one gateway over all its incarnations, read from its log.
type History struct {
	Applied  []AppliedVersion
	Refusals []RefusedVersion
	Outages  []Outage
	Counters []ByteCounters // from its status lines, in order

	endedIncarnations int  // number of incarnations that have exited
	storedFileDamaged bool // the current incarnation found its stored file damaged
	logPosition       int  // position in the log from which to read on
}

// AppliedVersion is a version that came in force at a gateway.
type AppliedVersion struct {
	Incarnation int // from 1 on
	Version     configsync.Version
	At          time.Time // by the gateway's clock, which is that of the machine
	FromDisk    bool      // the incarnation started with its stored version
	Damaged     bool      // the stored file was damaged, so that its version is an earlier one
}

// RefusedVersion is a version that a gateway refused because it could not apply a resource.
type RefusedVersion struct {
	Version  configsync.Version
	Resource string
}

// Outage is a time during which a gateway was down or could reach no publisher because of an injected fault.
type Outage struct {
	Start time.Time
	End   time.Time // zero if the outage is not over
}

// ByteCounters holds the bytes that a gateway had exchanged with publishers since its start when it logged a status
// line.
type ByteCounters struct {
	At       time.Time
	BytesIn  int
	BytesOut int
}

// parseByteCounters returns the counters in status lines.
func parseByteCounters(lines []string) (all []ByteCounters) {
	for _, line := range lines {
		all = append(all, ByteCounters{
			At:       logline.Time(line),
			BytesIn:  logline.Int(line, "bytes_in"),
			BytesOut: logline.Int(line, "bytes_out"),
		})
	}
	return all
}

// readNewLines processes the log lines that the gateway has written since the previous call.
func (h *History) readNewLines(gateway *fleet.Gateway) {
	lines, next := gateway.LinesAfter(h.logPosition)
	h.logPosition = next
	for _, line := range lines {
		h.readLine(line)
	}
}

// incarnation returns the number of the current incarnation, from 1 on.
func (h *History) incarnation() int { return h.endedIncarnations + 1 }

// readLine processes one log line. Lines of other events are ignored.
func (h *History) readLine(line string) {
	event, _ := logline.Event(line)
	applied := AppliedVersion{Incarnation: h.incarnation(), Version: versionInLine(line), At: logline.Time(line)}
	switch event {
	case "configuration_damaged":
		h.storedFileDamaged = true
	case "configuration_loaded":
		applied.FromDisk = true
		applied.Damaged = h.storedFileDamaged
		h.Applied = append(h.Applied, applied)
	case "configuration_applied":
		h.Applied = append(h.Applied, applied)
	case "configuration_refused":
		h.Refusals = append(h.Refusals, RefusedVersion{versionInLine(line), logline.Value(line, "resource")})
	case "exited":
		h.endedIncarnations++
		h.storedFileDamaged = false
	}
}

// versionInLine returns the version field of a log line, or 0 if it has none.
func versionInLine(line string) configsync.Version {
	number, err := strconv.ParseUint(logline.Value(line, "version"), 10, 64)
	if err != nil {
		return 0
	}
	return configsync.Version(number)
}

// InForce returns the version in force at the current incarnation, or 0 if it still uses its configuration file.
func (h *History) InForce() configsync.Version {
	if len(h.Applied) == 0 {
		return 0
	}
	latest := &h.Applied[len(h.Applied)-1]
	if latest.Incarnation != h.incarnation() {
		return 0
	}
	return latest.Version
}

// startOutage records that an outage begins.
func (h *History) startOutage(now time.Time) { h.Outages = append(h.Outages, Outage{Start: now}) }

// endOutage records that the latest open outage is over. It does nothing if there is none.
func (h *History) endOutage(now time.Time) {
	for i := len(h.Outages) - 1; i >= 0; i-- {
		if h.Outages[i].End.IsZero() {
			h.Outages[i].End = now
			return
		}
	}
}

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

// Record is what a run left behind. The checks read it.
type Record struct {
	Histories  []*History // by member index
	Published  []PublishedChange
	Publishers []PublisherState // of those that run at the end
	Disks      []DiskState      // by member index
	Crashes    []string         // of publishers
}

// PublishedChange is a change that the publishers agreed on.
type PublishedChange struct {
	Version     configsync.Version
	SentAt      time.Time // the first attempt of the request
	RespondedAt time.Time
}

// PublisherState is a publisher's view at the end.
type PublisherState struct {
	Name      string
	Version   configsync.Version
	Digest    string
	Log       configsync.LogID
	Followers []publisher.Follower
}

// DiskState is what a gateway has stored at the end.
type DiskState struct {
	Version configsync.Version
	Digest  string
	Err     error // of reading it
}

// String returns the state in a few words.
func (d *DiskState) String() string {
	if d.Err != nil {
		return d.Err.Error()
	}
	return fmt.Sprintf("version %d, digest %.16s", d.Version, d.Digest)
}

// History is what happened to one gateway, read from its log.
type History struct {
	Applied  []AppliedVersion
	Refusals []RefusedVersion
	Outages  []Outage
	Counters []ByteCounters // of its status lines, in order

	ended   int  // incarnations that are over
	damaged bool // the present incarnation found its file damaged
	mark    int  // in the log: where reading goes on
}

// AppliedVersion is a version that came in force at a gateway.
type AppliedVersion struct {
	Incarnation int // from 1 on
	Version     configsync.Version
	At          time.Time // by the gateway's clock, which is that of the machine
	FromDisk    bool      // the incarnation started with the stored version
	Damaged     bool      // the stored file was damaged, so that its version is an earlier one
}

// RefusedVersion is a version that a gateway could not apply.
type RefusedVersion struct {
	Version  configsync.Version
	Resource string
}

// Outage is a time in which a gateway was down or could reach no publisher, because of an injected fault.
type Outage struct {
	Start time.Time
	End   time.Time // zero: it is not over
}

// ByteCounters are the bytes that a gateway exchanged with publishers since its start, by a status line.
type ByteCounters struct {
	At       time.Time
	BytesIn  int
	BytesOut int
}

// countersOf returns the counters in status lines.
func countersOf(lines []string) (all []ByteCounters) {
	for _, line := range lines {
		all = append(all, ByteCounters{
			At:       logline.Time(line),
			BytesIn:  logline.Int(line, "bytes_in"),
			BytesOut: logline.Int(line, "bytes_out"),
		})
	}
	return all
}

// readNewLines reads the log lines since the call before.
func (h *History) readNewLines(gateway *fleet.Gateway) {
	lines, next := gateway.LinesAfter(h.mark)
	h.mark = next
	for _, line := range lines {
		h.readLine(line)
	}
}

// incarnation returns the number of the present incarnation.
func (h *History) incarnation() int { return h.ended + 1 }

// readLine reads one log line.
func (h *History) readLine(line string) {
	event, _ := logline.Event(line)
	applied := AppliedVersion{Incarnation: h.incarnation(), Version: versionOf(line), At: logline.Time(line)}
	switch event {
	case "configuration_damaged":
		h.damaged = true
	case "configuration_loaded":
		applied.FromDisk = true
		applied.Damaged = h.damaged
		h.Applied = append(h.Applied, applied)
	case "configuration_applied":
		h.Applied = append(h.Applied, applied)
	case "configuration_refused":
		h.Refusals = append(h.Refusals, RefusedVersion{versionOf(line), logline.Value(line, "resource")})
	case "exited":
		h.ended++
		h.damaged = false
	}
}

// versionOf returns the version that a log line names; 0 if it names none.
func versionOf(line string) configsync.Version {
	number, err := strconv.ParseUint(logline.Value(line, "version"), 10, 64)
	if err != nil {
		return 0
	}
	return configsync.Version(number)
}

// InForce returns the version in force at the present incarnation; 0 if that goes by its configuration file.
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

// startAbsence records that an absence begins.
func (h *History) startAbsence(now time.Time) { h.Outages = append(h.Outages, Outage{Start: now}) }

// endAbsence records that the latest absence is over.
func (h *History) endAbsence(now time.Time) {
	for i := len(h.Outages) - 1; i >= 0; i-- {
		if h.Outages[i].End.IsZero() {
			h.Outages[i].End = now
			return
		}
	}
}

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

// Applied is a version that came in force at a gateway, by its log line.
type Applied struct {
	Life     int // number of the process's life, from 1 on
	Version  configsync.Version
	At       time.Time // by the gateway's clock, which is the machine's
	FromDisk bool      // a start from the last good version
	Damaged  bool      // that was torn or altered, so that it is an earlier one
}

// Refused is a version that a gateway could not take, by its log line.
type Refused struct {
	Version  configsync.Version
	Resource string
}

// Published is a change that the publishers agreed on.
type Published struct {
	Version  configsync.Version
	Sent     time.Time // the first attempt of the request
	Answered time.Time
}

// Absence is a time in which a gateway was down or had no way to any publisher, by no fault of the program.
type Absence struct {
	From, To time.Time // To is zero while it lasts
}

// History is what befell one gateway, read from its log.
type History struct {
	Applied  []Applied
	Refused  []Refused
	Absences []Absence
	Counters []Counters // of its status lines, in order

	life    int
	damaged bool // the present life found its file torn or altered
	mark    int  // in the log, up to which it was read
}

// Counters are what a gateway's status line tells of the bytes that it exchanged with publishers since its start.
type Counters struct {
	At       time.Time
	BytesIn  int
	BytesOut int
}

// countersOf reads status lines.
func countersOf(lines []string) (all []Counters) {
	for _, line := range lines {
		all = append(all, Counters{
			At:       logline.Time(line),
			BytesIn:  logline.Int(line, "bytes_in"),
			BytesOut: logline.Int(line, "bytes_out"),
		})
	}
	return all
}

// read takes in the log lines that came since the last call.
func (h *History) read(g *fleet.Gateway) {
	lines, next := g.LinesAfter(h.mark)
	h.mark = next
	for _, line := range lines {
		h.take(line)
	}
}

// take takes in one log line.
func (h *History) take(line string) {
	event, _ := logline.Event(line)
	applied := Applied{Life: h.life + 1, Version: versionOf(line), At: logline.Time(line)}
	switch event {
	case "configuration_damaged":
		h.damaged = true
	case "configuration_held":
		applied.FromDisk = true
		applied.Damaged = h.damaged
		h.Applied = append(h.Applied, applied)
	case "configuration_applied":
		h.Applied = append(h.Applied, applied)
	case "configuration_refused":
		h.Refused = append(h.Refused, Refused{versionOf(line), logline.Value(line, "resource")})
	case "exited":
		h.life++
		h.damaged = false
	}
}

// InForce is the version in force in the present life; 0 where the gateway goes by its own file.
func (h *History) InForce() configsync.Version {
	if len(h.Applied) == 0 || h.Applied[len(h.Applied)-1].Life != h.life+1 {
		return 0
	}
	return h.Applied[len(h.Applied)-1].Version
}

// leave notes that an absence begins.
func (h *History) leave(now time.Time) { h.Absences = append(h.Absences, Absence{From: now}) }

// comeBack notes that the absence that began last is over.
func (h *History) comeBack(now time.Time) {
	for i := len(h.Absences) - 1; i >= 0; i-- {
		if h.Absences[i].To.IsZero() {
			h.Absences[i].To = now
			return
		}
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

// Record is what a run left behind, which the checks look at.
type Record struct {
	Histories  []*History // by member index
	Published  []Published
	Publishers []PublisherState // of those that run at the end
	Disks      []DiskState      // by member index
	Unhealthy  []string         // faults of the publishers' processes
}

// PublisherState is a publisher's view at the end.
type PublisherState struct {
	Name    string
	Version configsync.Version
	Digest  string
	Log     configsync.LogID

	Followers []publisher.Follower
}

// DiskState is what a gateway keeps on disk at the end.
type DiskState struct {
	Version configsync.Version
	Digest  string
	Err     error // of reading it
}

func (d *DiskState) String() string {
	if d.Err != nil {
		return d.Err.Error()
	}
	return fmt.Sprintf("version %d, digest %.16s", d.Version, d.Digest)
}

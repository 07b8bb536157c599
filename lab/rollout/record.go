package rollout

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"ravensill/configsync"
	"ravensill/internal/logging"
	"ravensill/internal/publisher"
	"ravensill/lab/fleet"
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
		in, _ := strconv.Atoi(field(line, "bytes_in"))
		out, _ := strconv.Atoi(field(line, "bytes_out"))
		all = append(all, Counters{timeOf(line), in, out})
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
	_, rest, found := strings.Cut(line, "event=")
	if !found {
		return
	}
	event, _, _ := strings.Cut(rest, " ")
	applied := Applied{Life: h.life + 1, Version: versionOf(line), At: timeOf(line)}
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
		h.Refused = append(h.Refused, Refused{versionOf(line), field(line, "resource")})
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

// field gives the value of name=value in a log line, without quotes.
func field(line, name string) string {
	_, rest, _ := strings.Cut(line, " "+name+"=")
	value, _, _ := strings.Cut(rest, " ")
	return strings.Trim(value, `"`)
}

func versionOf(line string) configsync.Version {
	number, err := strconv.ParseUint(field(line, "version"), 10, 64)
	if err != nil {
		return 0
	}
	return configsync.Version(number)
}

func timeOf(line string) time.Time {
	_, text, _ := strings.Cut(line, "time=")
	at, err := time.Parse(logging.TimeLayout, text[:min(len(text), len(logging.TimeLayout))])
	if err != nil {
		return time.Time{}
	}
	return at
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

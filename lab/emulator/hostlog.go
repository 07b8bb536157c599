package emulator

import (
	"sort"
	"time"
)

// HostLog is all that a host received over its restarts, in order.
type HostLog struct {
	Commands []Command
	Steps    []Step
	Opens    []int64 // times of accepted connections
	Refused  int     // connections beyond the limit
	Opened   int     // connections accepted
	Peak     int     // most connections at once
	Busy     int     // commands rejected
	Bad      int     // malformed commands
}

// Command is one attempt that a host received whole.
type Command struct {
	At, Ended  int64 // Ended 0: still open
	ID         string
	Customer   string
	Class      string
	Load       float64       // other requests in flight as it began
	Time       time.Duration // the model's response time
	Outcome    string        // passed, errored, busy, gone (the gateway closed the connection), lost (the host died); "": still open
	Connection int           // number of the connection, over restarts
}

// Step is a change of a host's load or slowness.
type Step struct {
	At     int64
	Open   int
	Factor float64 // without the warm-up
	Began  int64   // start of this process; 0: it did not start cold
	Conns  int
}

// At returns the host's state at a time: the last step not after it.
func (l *HostLog) At(at int64) (Step, bool) {
	i := sort.Search(len(l.Steps), func(i int) bool { return l.Steps[i].At > at })
	if i == 0 {
		return Step{}, false
	}
	return l.Steps[i-1], true
}

// WouldAt returns how long a host with this model and log would have taken for a request that had arrived at a time, on top of the
// load that it had then. It is the ground truth that estimates are compared with.
func (l *HostLog) WouldAt(m Model, id, class string, at int64) (d time.Duration, load float64, ok bool) {
	s, ok := l.At(at)
	if !ok {
		return 0, 0, false
	}
	factor := s.Factor
	if s.Began > 0 {
		factor *= m.warmUpFactor(time.Duration(at - s.Began))
	}
	return m.Time(id, class, float64(s.Open), factor), float64(s.Open), true
}

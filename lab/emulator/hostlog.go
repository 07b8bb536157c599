package emulator

import (
	"sort"
	"time"
)

// HostLog is all that a host received over its restarts, in order.
type HostLog struct {
	Commands          []Command
	LoadSteps         []LoadStep
	AcceptedAt        []int64 // times of accepted connections
	RefusedConns      int     // connections beyond the limit
	AcceptedConns     int     // connections
	PeakConns         int
	BusyReplies       int // commands rejected
	MalformedCommands int // commands
}

// Outcome is how a command ended at its host.
type Outcome string

// Outcomes of commands. An empty one means that the command is still open.
const (
	OutcomeSucceeded  Outcome = "succeeded"
	OutcomeErrored    Outcome = "errored"
	OutcomeBusy       Outcome = "busy"
	OutcomeClientGone Outcome = "client_gone" // the gateway closed the connection
	OutcomeHostKilled Outcome = "host_killed"
)

// Command is one attempt that a host received completely. Times are in nanoseconds of actor.Now.
type Command struct {
	ReceivedAt   int64
	EndedAt      int64 // 0: still open
	ID           string
	Customer     string
	Class        string
	InFlight     float64       // other requests at the host as it began
	ResponseTime time.Duration // by the model
	Outcome      Outcome
	Connection   int // number of the connection, over restarts
}

// LoadStep is a change of a host's load or slowdown.
type LoadStep struct {
	At           int64
	InFlight     int
	Slowdown     float64 // without the warm-up
	WarmingSince int64   // start of this process; 0: it did not warm up
	OpenConns    int
}

// LoadAt returns the host's load at a time: the last step not after it.
func (l *HostLog) LoadAt(at int64) (LoadStep, bool) {
	i := sort.Search(len(l.LoadSteps), func(i int) bool { return l.LoadSteps[i].At > at })
	if i == 0 {
		return LoadStep{}, false
	}
	return l.LoadSteps[i-1], true
}

// ResponseTimeAt returns how long a host with this model and log would have taken for a request that had arrived at a
// time, on top of the load at that time. It is the ground truth that estimates are compared with.
func (l *HostLog) ResponseTimeAt(model Model, id, class string, at int64) (
	responseTime time.Duration, inFlight float64, ok bool) {
	step, ok := l.LoadAt(at)
	if !ok {
		return 0, 0, false
	}
	slowdown := step.Slowdown
	if step.WarmingSince > 0 {
		slowdown *= model.warmUpFactor(time.Duration(at - step.WarmingSince))
	}
	inFlight = float64(step.InFlight)
	return model.ResponseTime(id, class, inFlight, slowdown), inFlight, true
}

package emulator

import (
	"sort"
	"time"
)

// HostLog is everything that a host received over its restarts, in order.
type HostLog struct {
	Commands          []Command
	LoadSteps         []LoadStep
	AcceptedAt        []int64 // times of accepted connections, in ns of actor.Now
	RefusedConns      int     // connections beyond MaxConns
	AcceptedConns     int     // number of accepted connections
	PeakConns         int     // highest number of connections open at once
	BusyReplies       int     // calls turned away, beyond MaxInFlight or by the model
	MalformedCommands int     // calls with arguments that no gateway sends
}

// Outcome says how a call ended at its host.
type Outcome string

// Outcomes of calls. A call that has not ended has an empty outcome.
const (
	OutcomeSucceeded  Outcome = "succeeded"
	OutcomeErrored    Outcome = "errored"
	OutcomeBusy       Outcome = "busy"
	OutcomeClientGone Outcome = "client_gone" // the gateway closed the connection first
	OutcomeHostKilled Outcome = "host_killed"
)

// Command is one attempt that a host received completely. Times are in nanoseconds of actor.Now.
type Command struct {
	ArrivedAt    int64 // when the kernel received its last bytes
	ReceivedAt   int64 // when the host began to handle it: later if this process is slow
	EndedAt      int64 // 0: not ended
	ID           string
	Customer     string
	Class        string
	InFlight     float64       // other calls in flight at the host on arrival
	ResponseTime time.Duration // according to the model
	Outcome      Outcome
	Connection   int // number of the connection, counted over restarts
}

// LoadStep is a host's load and slowdown from a time on, until the next step. Times are in nanoseconds of actor.Now.
type LoadStep struct {
	At           int64
	InFlight     int
	Slowdown     float64 // multiplies response times; without the warm-up
	WarmingSince int64   // start of the warm-up; 0: the host does not warm up
	OpenConns    int
}

// LoadAt returns the host's load at a time: the latest step that is not after it. The result is false before the first
// step.
func (l *HostLog) LoadAt(at int64) (LoadStep, bool) {
	i := sort.Search(len(l.LoadSteps), func(i int) bool { return l.LoadSteps[i].At > at })
	if i == 0 {
		return LoadStep{}, false
	}
	return l.LoadSteps[i-1], true
}

// ResponseTimeAt returns how long a host with this model and log would have taken for a request arriving at a time, in
// addition to the requests in flight then. Estimates of what another host would have done are compared with this ground
// truth. ok is false before the first step.
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

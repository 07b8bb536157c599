package discovery

import "time"

// Timeouts is how long a follower of the list waits for what, before it gives a watch up. A change counts as told 6 s after
// discovery had it and could be reached, whatever became of a watch or of a call: within that a silent watch has to be
// given up, asked for anew and answered, with room for one try that is lost, wherever it is lost. It is fed times and has
// no clock of its own.
type Timeouts struct {
	phase phase
	since time.Time // the phase began; of following, the last byte came
	waits [inValue + 1]time.Duration
}

type phase int

const (
	connecting phase = iota // a connection is being made
	asked                   // the call is out; the head of its answer is not whole
	following               // nothing or white space came since the last value
	inValue                 // a value has begun and is not whole
)

const (
	connectTimeout = 300 * time.Millisecond // discovery's agent is on the gateway's own machine
	// The agent answers at once, or is silent while discovery is down. It then answers a call that waits, as soon
	// as discovery is back: a short wait costs little, and a call that leads nowhere is soon made anew.
	answerTimeout = 500 * time.Millisecond
	// Where the list only comes when asked for, a call may wait for 2 s.
	pollTimeout    = 2250 * time.Millisecond
	silenceTimeout = 2400 * time.Millisecond // an empty line comes every 2 s
	// An answer that stops halfway, in its head or in a value, is lost like one that never began. Bytes that come now and
	// then don't hold it up: these two waits count from their beginnings.
	valueTimeout = time.Second
	// A process that stood still finds its time up and the bytes that came meanwhile in the socket: it looks once more.
	lastLook = 20 * time.Millisecond

	// Again is how long a broken watch rests before it is asked for anew, where that costs nothing.
	RewatchDelay = 100 * time.Millisecond
)

// NewTimeouts returns the timeouts of one watch. poll tells that the list comes only when asked for.
func NewTimeouts(poll bool) *Timeouts {
	p := &Timeouts{waits: [...]time.Duration{connectTimeout, answerTimeout, silenceTimeout, valueTimeout}}
	if poll {
		p.waits[asked] = pollTimeout
	}
	return p
}

// enter tells what begins now; the phase that goes on begins no second time.
func (p *Timeouts) enter(phase phase, now time.Time) {
	if p.phase != phase || p.since.IsZero() {
		p.phase, p.since = phase, now
	}
}

// heard goes for any bytes, also of an empty line.
func (p *Timeouts) heard(now time.Time) {
	if p.phase == following {
		p.since = now
	}
}

// until tells when a follower gives the watch up.
func (p *Timeouts) deadline() time.Time { return p.since.Add(p.waits[p.phase]) }

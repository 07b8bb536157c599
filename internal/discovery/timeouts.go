package discovery

import "time"

// Timeouts bound the phases of one watch. A change of the endpoint list must reach the gateway within 6 s of the moment
// at which discovery had it and could be reached: within that time a silent watch is given up and a new one is
// answered, even if one attempt in between is lost. Timeouts have no clock: callers pass the current time.
type Timeouts struct {
	phase  phase
	since  time.Time // start of the phase; in phase following, the last byte
	limits [phases]time.Duration
}

type phase int

const (
	connecting phase = iota // to the agent
	requested               // the request is sent; the head of the response is not complete
	following               // since the last value came nothing or white space
	inValue                 // a value has begun and is not complete

	phases = iota
)

const (
	connectTimeout = 300 * time.Millisecond // the agent is on the gateway's machine

	// The agent responds at once, or not at all while discovery is down. A request that waits is answered as soon as
	// discovery is back, and a new request costs little.
	responseTimeout = 500 * time.Millisecond

	// Where the list has to be polled, the agent may hold a request for 2 s.
	pollTimeout = 2250 * time.Millisecond

	// The agent sends an empty line every 2 s.
	silenceTimeout = 2400 * time.Millisecond

	// A response that stops in a value is lost. Bytes that trickle in don't extend the time of a value, nor that of the
	// head of a response.
	valueTimeout = time.Second

	// A process that was suspended finds its deadline expired and its bytes in the socket: it reads once more.
	finalReadTimeout = 20 * time.Millisecond
)

// WatchRetryDelay is the pause between a watch that ended and the next one.
const WatchRetryDelay = 100 * time.Millisecond

// NewTimeouts returns the timeouts of one watch. poll means that the agent sends the list on request alone.
func NewTimeouts(poll bool) *Timeouts {
	t := &Timeouts{limits: [phases]time.Duration{
		connecting: connectTimeout,
		requested:  responseTimeout,
		following:  silenceTimeout,
		inValue:    valueTimeout,
	}}
	if poll {
		t.limits[requested] = pollTimeout
	}
	return t
}

// enter starts a phase, unless the watch is in it.
func (t *Timeouts) enter(phase phase, now time.Time) {
	if t.phase == phase && !t.since.IsZero() {
		return
	}
	t.phase = phase
	t.since = now
}

// received restarts the time of phase following: any byte, even of an empty line, ends a silence.
func (t *Timeouts) received(now time.Time) {
	if t.phase == following {
		t.since = now
	}
}

// deadline returns the instant at which the watch is given up.
func (t *Timeouts) deadline() time.Time { return t.since.Add(t.limits[t.phase]) }

package discovery

import "time"

// Timeouts holds the phase that one watch is in and the timeout of each phase. The timeouts are chosen so that a change
// of the endpoint list reaches the gateway within 6 s of the moment at which the discovery service had it and could be
// reached: within that time a silent watch is given up and a new one is answered, even if one attempt in between fails.
// Timeouts has no clock: callers pass the current time. It is not safe for concurrent use.
type Timeouts struct {
	phase  phase
	since  time.Time // start of the phase; in betweenValues, when the last byte was received
	limits [phaseCount]time.Duration
}

// phase is a phase of a watch. Each has its own timeout.
type phase int

const (
	connecting     phase = iota // a connection to the agent is being established
	awaitingHeader              // the request is sent; the header of the response is not complete
	betweenValues               // nothing but white space was received since the header or the last value
	inValue                     // a value has begun and is not complete

	phaseCount = iota
)

const (
	connectTimeout = 300 * time.Millisecond // short, since the agent runs on the gateway's machine

	// The agent responds at once, or not at all while the discovery service is down. It answers a waiting request as
	// soon as the service is back, and a new request costs little.
	headerTimeout = 500 * time.Millisecond

	// pollTimeout replaces headerTimeout if the list has to be polled: the agent may then hold a request for 2 s.
	pollTimeout = 2250 * time.Millisecond

	// The agent sends an empty line every 2 s.
	silenceTimeout = 2400 * time.Millisecond

	// A response that stalls within a value is lost. Bytes that trickle in don't extend the time of a value, nor that of
	// the header.
	valueTimeout = time.Second

	// A process that was suspended finds its deadline exceeded although bytes wait in the socket. It reads once more
	// with this timeout before it gives the watch up.
	finalReadTimeout = 20 * time.Millisecond
)

// WatchRetryDelay is the pause between the end of a watch and the start of the next one.
const WatchRetryDelay = 100 * time.Millisecond

// NewTimeouts returns the timeouts of one watch. poll means that the agent sends the list only on request and may hold
// the request back for 2 s.
func NewTimeouts(poll bool) *Timeouts {
	t := &Timeouts{limits: [phaseCount]time.Duration{
		connecting:     connectTimeout,
		awaitingHeader: headerTimeout,
		betweenValues:  silenceTimeout,
		inValue:        valueTimeout,
	}}
	if poll {
		t.limits[awaitingHeader] = pollTimeout
	}
	return t
}

// enterPhase starts the time of a phase. It does nothing if the watch is in that phase already.
func (t *Timeouts) enterPhase(phase phase, now time.Time) {
	if t.phase == phase && !t.since.IsZero() {
		return
	}
	t.phase = phase
	t.since = now
}

// received restarts the time of betweenValues, in which any byte, even of an empty line, shows that the agent is alive.
func (t *Timeouts) received(now time.Time) {
	if t.phase == betweenValues {
		t.since = now
	}
}

// deadline returns the instant at which the watch is given up if it is still in the same phase.
func (t *Timeouts) deadline() time.Time { return t.since.Add(t.limits[t.phase]) }

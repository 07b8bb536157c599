package hosts

import (
	"errors"
	"slices"
	"syscall"
	"time"

	"ravensill/internal/clock"
	"ravensill/internal/sockets"
)

const (
	// limitedReuseDelay is the reuse delay under a quota, whose connections are too few for the default.
	limitedReuseDelay = time.Millisecond

	// Bounds of the pause of dials after a refusal, which doubles with each.
	minDialBackoff = 50 * time.Millisecond
	maxDialBackoff = 400 * time.Millisecond

	// Bounds of RetryAfter.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 2 * time.Second

	// serviceTimeWeight is the weight of the latest attempt in the average service time.
	serviceTimeWeight = 1.0 / 16
)

var (
	errQueueTimeout = errors.New("no connection in time") // rejected by the quota; it never ran
	errStoreRefused = errors.New("the store refused the connection")
)

// ConnectionLimiter keeps a transport within a quota of connections, dials included, over all hosts: they share one
// store. Attempts without a connection queue, urgent ones first while fewer than the urgent floor are in flight. An
// attempt that would wait too long is rejected at once, with a time to retry after. Where the store refuses a
// connection, the attempt stays in the queue and dials pause.
type ConnectionLimiter struct {
	transport *Transport
	// allowed returns the quota at a time.
	allowed func(now clock.Instant) int
	// onRejected is called for each rejected attempt, with the expected time for which it would use a connection.
	onRejected  func(serviceTime time.Duration)
	urgentFloor int           // urgent attempts go first while fewer of them are in flight
	maxWait     time.Duration // in the queue

	queue          []*Attempt    // the longest waiting first
	serviceTime    float64       // moving average of an attempt's time on a connection, in nanoseconds
	urgentInFlight int           // urgent attempts on a connection
	dialBackoff    time.Duration // latest pause of dials after a refusal
	nextDial       clock.Instant // no dial starts earlier
	timerSet       bool          // whether a timer for serveQueue is running
	retryAfter     time.Duration // see RetryAfter

	// Cumulative counters.
	QueuedAttempts     int // attempts that had to wait
	RejectedAttempts   int // attempts rejected
	RefusedConnections int // connections that the store refused
	Dials              int
}

// LimitConnections puts the transport under a quota of connections. It is called before the first attempt.
func (t *Transport) LimitConnections(
	urgentFloor int,
	maxWait time.Duration,
	allowed func(now clock.Instant) int,
	onRejected func(serviceTime time.Duration),
) *ConnectionLimiter {
	t.reuseDelay = limitedReuseDelay
	t.limiter = &ConnectionLimiter{
		transport:   t,
		allowed:     allowed,
		onRejected:  onRejected,
		urgentFloor: urgentFloor,
		maxWait:     maxWait,
	}
	return t.limiter
}

// SetUrgent sets whether the attempts made from now on are of an urgent request class.
func (l *ConnectionLimiter) SetUrgent(urgent bool) { l.transport.nextUrgent = urgent }

// RetryAfter returns the time after which to retry while a rejected attempt reports its result, and 0 otherwise.
func (l *ConnectionLimiter) RetryAfter() time.Duration { return l.retryAfter }

// Usage returns the number of open connections, dials included, and the number of attempts that are on a connection or
// wait for one.
func (l *ConnectionLimiter) Usage() (open, demand int) {
	t := l.transport
	unassigned := t.idle.Len() + t.dialingCount
	assigned := max(t.openConns-unassigned, 0)
	return t.openConns, len(l.queue) + t.pendingCount + assigned
}

// enqueue adds an attempt to the queue and serves the queue. If the attempt is still there and is expected to wait past
// its queue deadline, it is rejected at once.
func (l *ConnectionLimiter) enqueue(attempt *Attempt) {
	now := l.transport.now()
	attempt.queueDeadline = now.Add(min(l.maxWait, attempt.deadline.Sub(now)/2))
	l.queue = append(l.queue, attempt)
	l.serveQueue()
	if attempt.done || attempt.conn != nil || !slices.Contains(l.queue, attempt) {
		return
	}
	l.QueuedAttempts++
	if now.Add(l.expectedWait(attempt, now)) > attempt.queueDeadline {
		l.reject(attempt)
		return
	}
	time.AfterFunc(attempt.queueDeadline.Sub(now), func() { l.transport.runOnLoop(l.serveQueue) })
}

// expectedWait returns the time until a queued attempt is expected to get a connection.
func (l *ConnectionLimiter) expectedWait(attempt *Attempt, now clock.Instant) time.Duration {
	allowed := l.allowed(now)
	_, demand := l.Usage()
	busy := demand - len(l.queue)
	available := max(allowed-busy, 0)
	ahead := float64(max(slices.Index(l.queue, attempt)+1-available, 0))
	return time.Duration(ahead * l.serviceTime / float64(max(allowed, 1)))
}

// reject fails an attempt that gets no connection in time, and sets the time to retry after.
func (l *ConnectionLimiter) reject(attempt *Attempt) {
	now := l.transport.now()
	l.dequeue(attempt)
	l.RejectedAttempts++
	l.onRejected(time.Duration(l.serviceTime))
	drainTime := time.Duration(float64(len(l.queue)+1) * l.serviceTime / float64(max(l.allowed(now), 1)))
	l.retryAfter = min(max(drainTime, l.nextDial.Sub(now), minRetryAfter), maxRetryAfter)
	attempt.fail(Connecting, errQueueTimeout)
	l.retryAfter = 0
}

// dequeue removes an attempt from the queue, if it is there.
func (l *ConnectionLimiter) dequeue(attempt *Attempt) {
	l.queue = slices.DeleteFunc(l.queue, func(other *Attempt) bool { return other == attempt })
}

// inOrder returns the queued attempts in the order in which they get connections.
func (l *ConnectionLimiter) inOrder() []*Attempt {
	ordered := slices.Clone(l.queue)
	if l.urgentInFlight >= l.urgentFloor {
		return ordered
	}
	slices.SortStableFunc(ordered, urgentFirst)
	return ordered
}

// urgentFirst compares attempts to sort urgent ones before others.
func urgentFirst(a, b *Attempt) int {
	switch {
	case a.urgent == b.urgent:
		return 0
	case a.urgent:
		return -1
	}
	return 1
}

// serveQueue closes idle connections above the quota, and assigns connections and dials to queued attempts in their
// order.
func (l *ConnectionLimiter) serveQueue() {
	t := l.transport
	now := t.now()
	allowed := l.allowed(now)
	for t.openConns > allowed {
		if !t.closeLongestIdle() {
			break
		}
	}
	if len(l.queue) == 0 {
		return
	}
	for _, attempt := range l.inOrder() {
		l.serve(attempt, now, allowed)
	}
	l.setTimer(now)
}

// serve assigns an idle connection to a queued attempt, or dials one within the quota. It ends attempts whose host is
// removed or whose queue deadline is over.
func (l *ConnectionLimiter) serve(attempt *Attempt, now clock.Instant, allowed int) {
	pool := attempt.pool
	switch {
	case attempt.done:
		l.dequeue(attempt)
		return
	case pool.removed:
		l.dequeue(attempt)
		attempt.fail(Connecting, errHostRemoved)
		return
	case now >= attempt.queueDeadline:
		l.reject(attempt)
		return
	}
	if c := pool.reusableConn(now); c != nil {
		l.dequeue(attempt)
		c.assign(attempt)
		return
	}
	if now < l.nextDial || len(pool.idle) > 0 || !l.ensureQuota(pool, allowed) {
		return
	}
	l.dequeue(attempt)
	l.Dials++
	pool.setPending(append(pool.pending, attempt))
	pool.dialPending()
}

// ensureQuota reports whether one more connection to a host is within the quota. At the quota it closes an idle one of
// another host.
func (l *ConnectionLimiter) ensureQuota(pool *hostPool, allowed int) bool {
	t := l.transport
	if t.openConns < allowed {
		return true
	}
	return t.openConns == allowed && l.closeIdleExcept(pool)
}

// closeIdleExcept closes the longest idle connection and reports whether there was one. It spares connections to the
// given host and to the hosts of queued attempts.
func (l *ConnectionLimiter) closeIdleExcept(pool *hostPool) bool {
	for element := l.transport.idle.Front(); element != nil; element = element.Next() {
		c := element.Value.(*conn)
		if c.pool != pool && !l.hasQueued(c.pool) {
			c.close()
			return true
		}
	}
	return false
}

// setTimer starts a timer that serves the queue again when a connection or dial may become available, unless one is
// running.
func (l *ConnectionLimiter) setTimer(now clock.Instant) {
	delay := l.untilNextCheck(now)
	if delay == 0 || l.timerSet {
		return
	}
	l.timerSet = true
	time.AfterFunc(delay, func() {
		l.transport.runOnLoop(func() {
			l.timerSet = false
			l.serveQueue()
		})
	})
}

// untilNextCheck returns the time until a connection within its reuse delay, or a dial that is paused, may serve the
// queue; 0 where only an answer can. The queue is served after each answer anyway.
func (l *ConnectionLimiter) untilNextCheck(now clock.Instant) time.Duration {
	for _, attempt := range l.queue {
		if len(attempt.pool.idle) > 0 {
			return limitedReuseDelay
		}
	}
	if len(l.queue) > 0 && now < l.nextDial {
		return l.nextDial.Sub(now)
	}
	return 0
}

// requeue adds an attempt at the head of the queue.
func (l *ConnectionLimiter) requeue(attempt *Attempt) {
	l.queue = append([]*Attempt{attempt}, l.queue...)
}

// hasQueued reports whether an attempt to the host is in the queue.
func (l *ConnectionLimiter) hasQueued(pool *hostPool) bool {
	return slices.ContainsFunc(l.queue, func(attempt *Attempt) bool { return attempt.pool == pool })
}

// requeueRefused puts an attempt back at the head of the queue if err means that the store refused its connection, or
// that this machine lacks a resource for a dial, and reports whether it did. Other errors of a dial are the host's.
func (l *ConnectionLimiter) requeueRefused(attempt *Attempt, err error) bool {
	switch {
	case isStoreRefusal(err):
		l.RefusedConnections++
	case !sockets.IsResourceExhausted(err):
		return false
	}
	l.backOff()
	attempt.conn = nil
	attempt.started = false
	if l.transport.now() >= attempt.queueDeadline {
		l.reject(attempt)
		return true
	}
	l.requeue(attempt)
	l.serveQueue()
	return true
}

// isStoreRefusal reports whether the error means that the store refused a connection.
func isStoreRefusal(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, errStoreRefused)
}

// backOff pauses dials, longer with each call in a row.
func (l *ConnectionLimiter) backOff() {
	l.dialBackoff = min(max(2*l.dialBackoff, minDialBackoff), maxDialBackoff)
	l.nextDial = l.transport.now().Add(l.dialBackoff)
}

// requeuePending moves the host's longest pending attempt back to the queue when its connection is open, which is then
// idle for the reuse delay: a full store may accept a connection and close it at once, and a request written to it
// might have run.
func (l *ConnectionLimiter) requeuePending(pool *hostPool) {
	if len(pool.pending) > 0 {
		l.requeue(pool.takePending())
	}
}

// attemptAssigned counts an attempt that got a connection.
func (l *ConnectionLimiter) attemptAssigned(attempt *Attempt) {
	if attempt.urgent {
		l.urgentInFlight++
	}
}

// attemptDone counts an attempt that left its connection. An answer ends the backoff and updates the average service
// time.
func (l *ConnectionLimiter) attemptDone(attempt *Attempt, answered bool) {
	if attempt.urgent {
		l.urgentInFlight--
	}
	if !answered {
		return
	}
	l.dialBackoff = 0
	serviceTime := float64(l.transport.now().Sub(attempt.startedAt))
	if l.serviceTime == 0 {
		l.serviceTime = serviceTime
		return
	}
	l.serviceTime += (serviceTime - l.serviceTime) * serviceTimeWeight
}

package hosts

import (
	"slices"
	"time"

	"ravensill/gateway"
	"ravensill/internal/clock"
)

const (
	// firstUseDelay is the time for which a new connection is not used under a connection quota: a store at its limit
	// may accept a connection and close it at once.
	firstUseDelay = time.Millisecond

	// Bounds of the time to retry after that the end of an attempt reports.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 2 * time.Second

	// serviceTimeWeight is the weight of the latest attempt in the moving average of the service time.
	serviceTimeWeight = 1.0 / 16
)

// ConnectionLimiter keeps the connections of a transport, dials in progress included, within a quota that applies to
// all hosts together, because they share one store. Attempts that get no connection wait in a queue. Urgent attempts go
// first while fewer of them than the urgent floor are in flight. An attempt that is expected to wait for too long is
// rejected at once, with a time to retry after. If the store refuses a connection, no dial starts for a while. The
// attempt stays in the queue if its command was not begun, and ends otherwise. Its methods must be called on the event
// loop of the transport.
type ConnectionLimiter struct {
	transport *Transport
	// quotaAt returns the number of connections that may be open at a time.
	quotaAt func(now clock.Instant) int
	// onRejected is called for each rejected attempt, with the average time for which an attempt uses a connection.
	onRejected  func(serviceTime time.Duration)
	urgentFloor int           // urgent attempts go first while fewer of them than this are in flight
	maxWait     time.Duration // longest time that an attempt waits in the queue

	queue          []*Attempt    // the longest waiting first
	serviceTime    float64       // moving average of the time from write to reuse, in nanoseconds; 0: no answer yet
	urgentInFlight int           // urgent attempts that are assigned to a connection
	dialBackoff    time.Duration // latest pause after a refusal; 0 once an attempt was answered
	nextDial       clock.Instant // no dial starts before this time
	timerRunning   bool          // whether a timer for serveQueue is running

	// Cumulative counters.
	QueuedAttempts     int // attempts that got no connection at once, including those rejected for that
	RejectedAttempts   int
	RefusedConnections int // connections that the store refused, or closed without serving a command
	Dials              int // dials started
}

// LimitConnections puts the transport under a quota of connections, which quotaAt returns for a time. It must be called
// before the first attempt. See ConnectionLimiter for urgentFloor, maxWait (the longest time in the queue) and
// onRejected, which is called for each rejected attempt with the average time for which an attempt uses a connection.
func (t *Transport) LimitConnections(
	urgentFloor int,
	maxWait time.Duration,
	quotaAt func(now clock.Instant) int,
	onRejected func(serviceTime time.Duration),
) *ConnectionLimiter {
	t.firstUseDelay = firstUseDelay
	t.limiter = &ConnectionLimiter{
		transport:   t,
		quotaAt:     quotaAt,
		onRejected:  onRejected,
		urgentFloor: urgentFloor,
		maxWait:     maxWait,
	}
	return t.limiter
}

// SetUrgent sets whether the attempts made from now on are of an urgent request class.
func (l *ConnectionLimiter) SetUrgent(urgent bool) { l.transport.nextUrgent = urgent }

// Usage returns the number of open connections, dials in progress included, and the number of connections that are
// wanted: attempts that are assigned to one or wait for one, and connections within their reuse delay.
func (l *ConnectionLimiter) Usage() (open, demand int) {
	t := l.transport
	return t.openConns, len(l.queue) + l.busy() + t.withinReuseDelay(t.now())
}

// busy returns the number of attempts that are assigned to a connection or wait for a dial.
func (l *ConnectionLimiter) busy() int {
	t := l.transport
	unassigned := t.idle.Len() + t.dialingCount
	return t.pendingCount + max(t.openConns-unassigned, 0)
}

// enqueue adds an attempt to the queue and serves the queue. If the attempt gets no connection at once, it is rejected
// if it is expected to wait past its queue deadline, which is never after its write deadline. Otherwise the queue is
// served again at that deadline.
func (l *ConnectionLimiter) enqueue(attempt *Attempt) {
	now := l.transport.now()
	attempt.queueDeadline = min(now.Add(min(l.maxWait, attempt.deadline.Sub(now)/2)), attempt.writeDeadline)
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

// expectedWait estimates the time until a queued attempt gets a connection, from its place in the queue, the
// connections that are in use and the average service time.
func (l *ConnectionLimiter) expectedWait(attempt *Attempt, now clock.Instant) time.Duration {
	quota := l.quotaAt(now)
	available := max(quota-l.busy(), 0)
	ahead := float64(max(slices.Index(l.queue, attempt)+1-available, 0))
	return time.Duration(ahead * l.serviceTime / float64(max(quota, 1)))
}

// reject removes an attempt from the queue and ends it as throttled, with the time until a connection is expected.
func (l *ConnectionLimiter) reject(attempt *Attempt) {
	now := l.transport.now()
	l.dequeue(attempt)
	l.RejectedAttempts++
	l.onRejected(time.Duration(l.serviceTime))
	attempt.end(gateway.Event{Result: gateway.Throttled, RetryAfter: l.untilAvailable(now)}, nil, now)
}

// untilAvailable returns the expected time until the queue is empty and dials may start, within the bounds of the time
// to retry after.
func (l *ConnectionLimiter) untilAvailable(now clock.Instant) time.Duration {
	drainTime := time.Duration(float64(len(l.queue)+1) * l.serviceTime / float64(max(l.quotaAt(now), 1)))
	return min(max(drainTime, l.nextDial.Sub(now), minRetryAfter), maxRetryAfter)
}

// dequeue removes an attempt from the queue, if it is there.
func (l *ConnectionLimiter) dequeue(attempt *Attempt) {
	l.queue = slices.DeleteFunc(l.queue, func(other *Attempt) bool { return other == attempt })
}

// servingOrder returns a copy of the queue in the order in which its attempts get connections.
func (l *ConnectionLimiter) servingOrder() []*Attempt {
	ordered := slices.Clone(l.queue)
	if l.urgentInFlight >= l.urgentFloor {
		return ordered
	}
	slices.SortStableFunc(ordered, urgentFirst)
	return ordered
}

// urgentFirst is a comparison function that sorts urgent attempts before others.
func urgentFirst(a, b *Attempt) int {
	switch {
	case a.urgent == b.urgent:
		return 0
	case a.urgent:
		return -1
	}
	return 1
}

// serveQueue closes idle connections above the quota, then assigns connections or dials to the queued attempts in
// servingOrder.
func (l *ConnectionLimiter) serveQueue() {
	t := l.transport
	now := t.now()
	quota := l.quotaAt(now)
	for t.openConns > quota {
		if !t.closeLongestIdle() {
			break
		}
	}
	if len(l.queue) == 0 {
		return
	}
	waiting := map[*hostPool]int{}
	for _, attempt := range l.servingOrder() {
		if l.serveAttempt(attempt, now, quota, waiting[attempt.pool]) {
			waiting[attempt.pool]++
		}
	}
	l.startTimer(now)
}

// serveAttempt assigns an idle connection to a queued attempt, or starts a dial for it if the quota and the backoff
// permit one. waiting is the number of earlier attempts that wait for idle connections to the same host; serveAttempt
// reports whether this one does too. It fails an attempt whose host was removed and rejects one whose queue deadline is
// over.
func (l *ConnectionLimiter) serveAttempt(attempt *Attempt, now clock.Instant, quota, waiting int) (waits bool) {
	pool := attempt.pool
	switch {
	case attempt.done:
		l.dequeue(attempt)
		return false
	case pool.removed:
		l.dequeue(attempt)
		attempt.fail(Connecting, errHostRemoved)
		return false
	case now >= attempt.queueDeadline:
		l.reject(attempt)
		return false
	}
	if c := pool.reusableConn(now); c != nil {
		l.dequeue(attempt)
		c.assign(attempt)
		return false
	}
	if waiting < len(pool.idle) {
		return true
	}
	if now < l.nextDial || !l.ensureQuota(pool, quota) {
		return false
	}
	l.dequeue(attempt)
	l.Dials++
	pool.setPending(append(pool.pending, attempt))
	pool.dialPending()
	return false
}

// ensureQuota reports whether the quota permits one more connection to a host. At the quota it makes room by closing an
// idle connection to another host, if there is one.
func (l *ConnectionLimiter) ensureQuota(pool *hostPool, quota int) bool {
	t := l.transport
	if t.openConns < quota {
		return true
	}
	return t.openConns == quota && l.closeIdleExcept(pool)
}

// closeIdleExcept closes the connection that has been idle the longest, except for connections to the given host and to
// hosts of queued attempts. It reports whether it closed one.
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

// startTimer starts a timer that serves the queue again when an idle connection or a dial may become available. It does
// nothing if a timer is running or only an answer can make a connection available.
func (l *ConnectionLimiter) startTimer(now clock.Instant) {
	delay := l.untilNextCheck(now)
	if delay == 0 || l.timerRunning {
		return
	}
	l.timerRunning = true
	time.AfterFunc(delay, func() {
		l.transport.runOnLoop(func() {
			l.timerRunning = false
			l.serveQueue()
		})
	})
}

// untilNextCheck returns the time until the reuse delay of an idle connection or the pause between dials is over, if
// that can serve a queued attempt. It returns 0 if only an answer can: the queue is served after each answer anyway.
func (l *ConnectionLimiter) untilNextCheck(now clock.Instant) time.Duration {
	next := clock.Instant(0)
	consider := func(at clock.Instant) {
		if next == 0 || at < next {
			next = at
		}
	}
	for _, attempt := range l.queue {
		for _, c := range attempt.pool.idle {
			consider(c.reusableAt())
		}
	}
	if len(l.queue) > 0 && now < l.nextDial {
		consider(l.nextDial)
	}
	if next == 0 {
		return 0
	}
	return max(next.Sub(now), firstUseDelay)
}

// requeue puts an attempt back at the head of the queue.
func (l *ConnectionLimiter) requeue(attempt *Attempt) {
	l.queue = append([]*Attempt{attempt}, l.queue...)
}

// hasQueued reports whether an attempt to the host is in the queue.
func (l *ConnectionLimiter) hasQueued(pool *hostPool) bool {
	return slices.ContainsFunc(l.queue, func(attempt *Attempt) bool { return attempt.pool == pool })
}

// requeuePending is called when a dial has succeeded. It moves the host's longest pending attempt back to the queue, so
// that the new connection is idle for firstUseDelay before it is used: a store at its connection limit may accept a
// connection and close it at once, and a request that was already written to it might have run.
func (l *ConnectionLimiter) requeuePending(pool *hostPool) {
	if len(pool.pending) > 0 {
		l.requeue(pool.takePending())
	}
}

// attemptAssigned is called when an attempt was assigned to a connection. It counts urgent attempts in flight.
func (l *ConnectionLimiter) attemptAssigned(attempt *Attempt) {
	if attempt.urgent {
		l.urgentInFlight++
	}
}

// attemptUnassigned is called when an attempt was detached from its connection. An answer ends the backoff and updates
// the average service time.
func (l *ConnectionLimiter) attemptUnassigned(attempt *Attempt, answered bool) {
	if attempt.urgent {
		l.urgentInFlight--
	}
	if !answered {
		return
	}
	l.dialBackoff = 0
	serviceTime := float64(l.transport.now().Sub(attempt.startedAt) + l.transport.reuseDelay)
	if l.serviceTime == 0 {
		l.serviceTime = serviceTime
		return
	}
	l.serviceTime += (serviceTime - l.serviceTime) * serviceTimeWeight
}

package node

import (
	"fmt"
	"log/slog"
	"runtime/debug"
	"time"

	"ravensill/gateway"
)

const (
	flushRetryInterval = 5 * time.Millisecond // until a write that a socket did not take is tried again
	droppedLogInterval = time.Second          // between log lines on dropped datagrams
	countsLogInterval  = 5 * time.Second      // between log lines of the module's decisions
	maxWait            = time.Hour            // if nothing is due
)

// runQueued runs the functions that are in the inbox now.
func (n *Node) runQueued() {
	for count := len(n.work); count > 0; count-- {
		n.recoverPanics("loop", <-n.work)
	}
}

// iterate runs one iteration of the loop. A panic in it loses what was being processed, but does not end the
// program.
func (n *Node) iterate() (wait time.Duration) {
	wait = flushRetryInterval
	n.recoverPanics("loop", func() { wait = n.process() })
	return wait
}

// process does what is due, decides on the collected events and carries the actions out. It returns the time
// until something is due.
func (n *Node) process() time.Duration {
	now := n.now()
	if n.nextPhaseAt > 0 && now >= n.nextPhaseAt {
		n.enterNextPhase()
	}
	n.expire(now)
	if n.timerAt > 0 && now >= n.timerAt {
		n.timerFired(now)
	}
	unsent := false
	counterDue := gateway.Time(0)
	for more := true; more; more = n.hasEvents() { // a failed write is another event
		if n.hasEvents() {
			n.decide()
		}
		// Without a decision, too: an answer to PING must not wait for a timer.
		unsent, counterDue = n.flush()
	}
	return n.waitFor(unsent, counterDue)
}

// timerFired handles the module's timer, and the periodic work that goes along with it.
func (n *Node) timerFired(now gateway.Time) {
	n.timerAt = 0
	n.transport.CloseIdle()
	n.clients.CloseOverdue()
	if n.droppedDatagrams > 0 && now.Sub(n.droppedLoggedAt) > droppedLogInterval {
		slog.Warn("datagrams_dropped", "count", n.droppedDatagrams)
		n.droppedDatagrams = 0
		n.droppedLoggedAt = now
	}
	n.events = append(n.events, gateway.Event{Kind: gateway.TimerFired})
	counter, counts := n.module.(DecisionCounter)
	if counts && now.Sub(n.countsLoggedAt) >= countsLogInterval {
		n.countsLoggedAt = now
		logDecisions(counter.DecisionCounts())
	}
}

// logDecisions logs the decisions since the start.
func logDecisions(counts []gateway.DecisionCount) {
	fields := make([]any, 0, len(counts))
	for _, count := range counts {
		fields = append(fields, slog.Int(count.Outcome, count.Count))
	}
	slog.Info("decisions", fields...)
}

func (n *Node) hasEvents() bool { return len(n.events)+len(n.listEvents) > 0 }

// decide has the module decide on all collected events.
func (n *Node) decide() {
	n.batch.Now = n.now()
	n.batch.Events = append(append(n.batch.Events[:0], n.listEvents...), n.events...)
	clear(n.listEvents) // frees the list
	n.listEvents = n.listEvents[:0]
	n.events = n.events[:0]
	n.batchCount++
	n.callModule()
	n.forgetGone()
	clear(n.batch.Events)
}

// callModule calls the module. After a panic in it the requests of the batch that are left without a decision
// fail: they must not wait for their clients' timeouts.
func (n *Node) callModule() {
	n.recoverPanics("module", func() {
		defer func() {
			if p := recover(); p != nil {
				n.failUndecided()
				panic(p)
			}
		}()
		n.module.Decide(&n.batch, n.actions())
	})
}

// failUndecided fails the requests of a batch that have no attempt in flight.
func (n *Node) failUndecided() {
	n.SetTimer(flushRetryInterval)
	for _, event := range n.batch.Events {
		if r := n.requests[event.RequestID]; r != nil && r.inFlight == 0 {
			n.Fail(event.RequestID)
		}
	}
}

// flush writes what is to be written. It reports whether a socket did not take everything, and when the counter
// is due; 0: it is not.
func (n *Node) flush() (unsent bool, counterDue gateway.Time) {
	unsent = n.clients.Flush()
	unsent = n.transport.Flush() || unsent
	if n.counter != nil {
		unsent = n.counter.Flush() || unsent
		counterDue = n.counter.TimeOutCalls(n.now())
	}
	return unsent, counterDue
}

// waitFor returns the time until something is due.
func (n *Node) waitFor(unsent bool, counterDue gateway.Time) time.Duration {
	wait := maxWait
	for _, at := range []gateway.Time{n.timerAt, n.nextExpiry, n.nextPhaseAt, counterDue, n.quota.report()} {
		if at > 0 {
			wait = min(wait, at.Sub(n.now()))
		}
	}
	if unsent {
		wait = min(wait, flushRetryInterval)
	}
	return max(wait, 0)
}

// recoverPanics runs f and logs a panic in it.
func (n *Node) recoverPanics(where string, f func()) {
	defer func() {
		if p := recover(); p != nil {
			slog.Error("panic", "where", where, "error", fmt.Sprint(p), "stack", debug.Stack())
		}
	}()
	f()
}

// SetTimer implements gateway.Actions.
func (n *Node) SetTimer(after time.Duration) { n.timerAt = n.batch.Now.Add(after) }

// SendGossip implements gateway.Actions.
func (n *Node) SendGossip(peer int, message []byte) {
	if n.peerTransport != nil {
		n.peerTransport.Send(peer, message)
	}
}

// AddToCounter implements gateway.Actions. Without a counter the call ends as unreachable.
func (n *Node) AddToCounter(name uint64, amount float64, lifetime time.Duration) {
	if n.counter == nil {
		n.counterReplied(gateway.Event{Kind: gateway.CounterReplied, CounterName: name, Result: gateway.Unreachable})
		return
	}
	n.counter.Increment(name, amount, lifetime)
}

// counterReplied collects an answer of the counter.
func (n *Node) counterReplied(event gateway.Event) { n.events = append(n.events, event) }

// LogNote implements gateway.Actions.
func (n *Node) LogNote(text string) { slog.Info("module_message", "text", text) }

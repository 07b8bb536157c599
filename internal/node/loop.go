package node

import (
	"fmt"
	"log/slog"
	"runtime/debug"
	"time"

	"ravensill/gateway"
)

const (
	flushRetryInterval = 5 * time.Millisecond // until bytes that a socket did not take are tried again
	droppedLogInterval = time.Second          // between lines on dropped datagrams
	countsLogInterval  = 5 * time.Second      // between lines of the module's decisions
	maxWait            = time.Hour            // of a turn in which nothing is due
)

// runQueued runs the functions that wait by now.
func (n *Node) runQueued() {
	for count := len(n.work); count > 0; count-- {
		n.recoverPanics("loop", <-n.work)
	}
}

// step is a turn; a panic in it costs what was at hand, not the program.
func (n *Node) step() (wait time.Duration) {
	wait = flushRetryInterval
	n.recoverPanics("loop", func() { wait = n.turn() })
	return wait
}

// turn does what is due, lets the module decide on what came in, and carries it out. It returns for how long
// nothing more is due.
func (n *Node) turn() time.Duration {
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
	for more := true; more; more = n.hasEvents() { // a write that fails is an event, too
		if n.hasEvents() {
			n.decide()
		}
		// also when there is nothing to decide: an answer to PING must not wait for the next timer
		unsent, counterDue = n.flush()
	}
	return n.waitFor(unsent, counterDue)
}

// timerFired does what goes with the module's timer.
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

func logDecisions(counts []gateway.DecisionCount) {
	fields := make([]any, 0, len(counts))
	for _, count := range counts {
		fields = append(fields, slog.Int(count.Outcome, count.Count))
	}
	slog.Info("decisions", fields...)
}

func (n *Node) hasEvents() bool { return len(n.events)+len(n.listEvents) > 0 }

// decide hands the module a batch of all events.
func (n *Node) decide() {
	n.batch.Now = n.now()
	n.batch.Events = append(append(n.batch.Events[:0], n.listEvents...), n.events...)
	clear(n.listEvents) // a whole list must not stay in memory until the next comes
	n.listEvents = n.listEvents[:0]
	n.events = n.events[:0]
	n.batchCount++
	n.callModule()
	n.forgetGone()
	clear(n.batch.Events)
}

// callModule calls the module. Should it panic, what it left without a decision fails: a fault must not hold a
// request until its client gives up, nor take the others along.
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

// failUndecided ends the requests of a batch that have no attempt in flight.
func (n *Node) failUndecided() {
	n.SetTimer(flushRetryInterval)
	for _, event := range n.batch.Events {
		if r := n.requests[event.RequestID]; r != nil && r.inFlight == 0 {
			n.Fail(event.RequestID)
		}
	}
}

// flush writes what is to be written. It reports whether a socket did not take all, and when the counter is due;
// 0: it is not.
func (n *Node) flush() (unsent bool, counterDue gateway.Time) {
	unsent = n.clients.Flush()
	unsent = n.transport.Flush() || unsent
	if n.counter != nil {
		unsent = n.counter.Flush() || unsent
		counterDue = gateway.Time(n.counter.Expire(n.unixNano()))
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

// recoverPanics keeps a panic from ending the program.
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

// AddToCounter implements gateway.Actions. Without a counter the call is answered as unreachable: the module
// does without.
func (n *Node) AddToCounter(name uint64, amount float64, lifetime time.Duration) {
	if n.counter == nil {
		n.counterReplied(gateway.Event{Kind: gateway.CounterReplied, CounterName: name, Result: gateway.Unreachable})
		return
	}
	n.counter.Count(name, amount, int64(lifetime))
}

// counterReplied takes in an answer of the counter.
func (n *Node) counterReplied(event gateway.Event) { n.events = append(n.events, event) }

// LogNote implements gateway.Actions.
func (n *Node) LogNote(text string) { slog.Info("module_message", "text", text) }

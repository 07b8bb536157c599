package node

import (
	"fmt"
	"log/slog"
	"runtime/debug"
	"time"

	"ravensill/gateway"
)

const (
	flushRetryInterval = 5 * time.Millisecond // delay before bytes that a full socket buffer did not take are retried
	droppedLogInterval = time.Second          // shortest interval between log lines on dropped datagrams
	maxWait            = time.Hour            // longest wait of the loop, used when nothing is due
)

// runQueued runs the functions that are in the inbox at the time of the call. Functions that are added meanwhile wait
// for the next call, so that senders can't keep the loop here.
func (n *Node) runQueued() {
	for count := len(n.inbox); count > 0; count-- {
		n.recoverPanics("loop", <-n.inbox)
	}
}

// runIteration runs process and returns the time until the next iteration is due. A panic in process loses the work
// that it was doing, but does not end the program.
func (n *Node) runIteration() (wait time.Duration) {
	wait = flushRetryInterval
	n.recoverPanics("loop", func() { wait = n.process() })
	return wait
}

// process handles timers and timeouts that are due, has the module decide on the collected events, and writes to
// sockets. It returns the time until something is due.
func (n *Node) process() time.Duration {
	now := n.now()
	if n.nextPhaseAt > 0 && now >= n.nextPhaseAt {
		n.enterNextPhase()
	}
	n.expireAttempts(now)
	if n.timerAt > 0 && now >= n.timerAt {
		n.timerFired(now)
	}
	if n.hasEvents() {
		n.decide()
	}
	// Needed without a decision, too: an answer to PING must not wait for a timer.
	unsent, counterDue := n.flush()
	if n.hasEvents() || n.clients.FlushDue() {
		// The next iteration first takes what has arrived meanwhile. Otherwise, clients that send commands as fast as a
		// flush starts them would keep the loop here.
		return 0
	}
	return n.timeUntilDue(unsent, counterDue)
}

// timerFired handles the module's timer. Periodic work of the loop runs along with it: closing idle connections and
// overdue clients, and logging the status.
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
	n.logStatus(now)
}

func (n *Node) hasEvents() bool { return len(n.events)+len(n.listEvents) > 0 }

// decide has the module decide on all collected events as one batch, those of the endpoint list first.
func (n *Node) decide() {
	n.batch.Now = n.now()
	n.batch.Events = append(append(n.batch.Events[:0], n.listEvents...), n.events...)
	clear(n.listEvents) // so that the endpoint lists can be garbage-collected
	n.listEvents = n.listEvents[:0]
	n.events = n.events[:0]
	n.batchCount++
	n.callModule()
	n.forgetDisconnected()
	clear(n.batch.Events)
}

// callModule calls the module. If the module panics, the requests of the batch for which it started no attempt fail at
// once instead of waiting for their clients' timeouts.
func (n *Node) callModule() {
	n.recoverPanics("module", func() {
		defer func() {
			if p := recover(); p != nil {
				n.failUndecided()
				panic(p)
			}
		}()
		n.module.Decide(&n.batch, n.batchActions())
	})
}

// failUndecided fails the open requests of the batch that have no attempt in flight.
func (n *Node) failUndecided() {
	n.SetTimer(flushRetryInterval)
	for _, event := range n.batch.Events {
		if r := n.requests[event.RequestID]; r != nil && r.inFlight == 0 {
			n.Fail(event.RequestID)
		}
	}
}

// flush writes the buffered bytes to clients, hosts and the counter. unsent reports whether a socket did not take all
// of them. counterDue is the time of the counter's next timeout, 0 if no call to it is in flight.
func (n *Node) flush() (unsent bool, counterDue gateway.Time) {
	unsent = n.clients.Flush()
	unsent = n.transport.Flush() || unsent
	if n.counter != nil {
		unsent = n.counter.Flush() || unsent
		counterDue = n.counter.TimeOutCalls(n.now())
	}
	return unsent, counterDue
}

// timeUntilDue returns the time until the loop has something to do, 0 if that time has passed. It also sends a due
// report of the connection quota.
func (n *Node) timeUntilDue(unsent bool, counterDue gateway.Time) time.Duration {
	wait := maxWait
	for _, at := range []gateway.Time{n.timerAt, n.nextExpiry, n.nextPhaseAt, counterDue, n.quota.sendReport()} {
		if at > 0 {
			wait = min(wait, at.Sub(n.now()))
		}
	}
	if unsent {
		wait = min(wait, flushRetryInterval)
	}
	return max(wait, 0)
}

// recoverPanics runs f. A panic in f ends f only; it is logged with where, which names the part of the program.
func (n *Node) recoverPanics(where string, f func()) {
	defer func() {
		if p := recover(); p != nil {
			slog.Error("panic", "where", where, "error", fmt.Sprint(p), "stack", debug.Stack())
		}
	}()
	f()
}

// SetTimer implements gateway.Actions. It replaces the previous timer; after counts from the time of the batch.
func (n *Node) SetTimer(after time.Duration) { n.timerAt = n.batch.Now.Add(after) }

// SendGossip implements gateway.Actions. Without peers it does nothing.
func (n *Node) SendGossip(peer int, message []byte) {
	if n.peerTransport != nil {
		n.peerTransport.Send(peer, message)
	}
}

// AddToCounter implements gateway.Actions. Without a configured counter, the call ends at once as unreachable.
func (n *Node) AddToCounter(name uint64, amount float64, lifetime time.Duration) {
	if n.counter == nil {
		n.counterReplied(gateway.Event{Kind: gateway.CounterReplied, CounterName: name, Result: gateway.Unreachable})
		return
	}
	n.counter.Increment(name, amount, lifetime)
}

// counterReplied adds the result of a call to the counter to the next batch.
func (n *Node) counterReplied(event gateway.Event) { n.events = append(n.events, event) }

// LogNote implements gateway.Actions. It logs a text from the module.
func (n *Node) LogNote(text string) { slog.Info("module_message", "text", text) }

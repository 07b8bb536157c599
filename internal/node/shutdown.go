package node

import (
	"log/slog"
	"time"
)

const (
	acceptGrace  = 450 * time.Millisecond // new clients still come for so long after the call to stop
	maxDrainWait = 3 * time.Second        // of the longest client timeout: the platform counts no more
	drainMargin  = 500 * time.Millisecond // it kills 0.7 s after that: by then all that was taken is answered
	// after that clients are read to their end for a second; what stays then is cut off
	lingerLimit = 1500 * time.Millisecond
)

// phase is how far the graceful shutdown has come. Each phase ends at Node.nextPhaseAt. Clients keep sending on
// open connections, and a command that crosses a close stays unanswered. So open connections are served until
// shortly before the platform kills the process, at a time that follows from the longest client timeout.
type phase int

const (
	serving  phase = iota // not called to stop
	stopping              // called to stop; new clients still come
	closed                // no new clients; what is open is served until answerBy
	draining              // connections end as soon as they are owed nothing
	cutOff                // all that is left was closed
)

// beginShutdown begins the graceful shutdown. A gateway that does not accept clients yet ends at once.
func (n *Node) beginShutdown() {
	longest := time.Duration(0)
	for _, class := range n.classes {
		longest = max(longest, class.Timeout)
	}
	now := n.now()
	n.phase = stopping
	n.nextPhaseAt = now.Add(acceptGrace)
	n.answerBy = now.Add(min(longest, maxDrainWait) + drainMargin)
	if !n.listening {
		n.nextPhaseAt = now
	}
	slog.Info("shutdown_started", "clients", n.clients.Count(), "in_flight", len(n.requests))
}

// enterNextPhase enters the next phase of the shutdown. A client that neither reads nor closes does not hold it
// up.
func (n *Node) enterNextPhase() {
	switch n.phase {
	case stopping:
		n.phase = closed
		n.nextPhaseAt = n.answerBy
		n.clients.StopAccepting()
		slog.Info("listener_closed", "clients", n.clients.Count(), "in_flight", len(n.requests))
	case closed:
		n.phase = draining
		n.nextPhaseAt = n.now().Add(lingerLimit)
		n.clients.Drain()
	default:
		n.phase = cutOff
		n.nextPhaseAt = 0
		slog.Info("connections_aborted", "clients", n.clients.Count(), "in_flight", len(n.requests))
		n.clients.CloseAll()
	}
}

// shutdownEnded reports whether every client has its answers and is disconnected.
func (n *Node) shutdownEnded() bool { return n.phase >= closed && n.clients.Closed() }

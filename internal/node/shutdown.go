package node

import (
	"log/slog"
	"time"
)

const (
	acceptGrace  = 450 * time.Millisecond  // new clients are accepted for so long after the signal
	maxDrainWait = 3 * time.Second         // at most, of the longest client timeout: platforms grant no more
	drainMargin  = 500 * time.Millisecond  // beyond the client timeout; platforms kill 0.7 s beyond it
	lingerLimit  = 1500 * time.Millisecond // from the drain to closing the connections that are left
)

// phase is how far the graceful shutdown has come. Each phase ends at Node.nextPhaseAt. Clients keep sending on
// open connections, and a command that crosses a close stays unanswered. So open connections are served until
// shortly before the platform kills the process, at a time that follows from the longest client timeout.
type phase int

const (
	serving  phase = iota // no signal yet
	stopping              // after the signal; new clients are still accepted
	closed                // no new clients; open connections are served until answerBy
	draining              // each connection ends once its requests are answered
	cutOff                // the connections that were left are closed
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
	slog.Info("shutdown_started", "clients", n.clients.ConnCount(), "in_flight", len(n.requests))
}

// enterNextPhase enters the next phase of the shutdown. A client that neither reads nor closes does not hold it
// up.
func (n *Node) enterNextPhase() {
	switch n.phase {
	case stopping:
		n.phase = closed
		n.nextPhaseAt = n.answerBy
		n.clients.StopAccepting()
		slog.Info("listener_closed", "clients", n.clients.ConnCount(), "in_flight", len(n.requests))
	case closed:
		n.phase = draining
		n.nextPhaseAt = n.now().Add(lingerLimit)
		n.clients.Drain()
	default:
		n.phase = cutOff
		n.nextPhaseAt = 0
		slog.Info("connections_aborted", "clients", n.clients.ConnCount(), "in_flight", len(n.requests))
		n.clients.CloseAll()
	}
}

// shutdownEnded reports whether every client has its answers and is disconnected.
func (n *Node) shutdownEnded() bool { return n.phase >= closed && n.clients.Closed() }

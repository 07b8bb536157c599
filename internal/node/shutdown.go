package node

import (
	"log/slog"
	"time"
)

const (
	// acceptGracePeriod is how long new clients are still accepted after the shutdown signal.
	acceptGracePeriod = 450 * time.Millisecond

	// Open connections are served for the longest client timeout, but at most maxAnswerWait, plus answerMargin.
	// Platforms kill the process 0.7 s after the longest client timeout, of which they grant at most 3 s.
	maxAnswerWait = 3 * time.Second
	answerMargin  = 500 * time.Millisecond

	// drainTimeout is how long connections may take to end once they are drained. The remaining ones are then closed.
	drainTimeout = 1500 * time.Millisecond
)

// shutdownPhase is a phase of the graceful shutdown. A phase ends at Node.nextPhaseAt. Clients keep sending commands on
// open connections, and a command that is sent while the gateway closes the connection gets no answer. Open connections
// are therefore served until shortly before the platform kills the process, which depends on the longest client
// timeout.
type shutdownPhase int

const (
	phaseServing        shutdownPhase = iota // no shutdown signal was received
	phaseAccepting                           // signal received; new clients are still accepted
	phaseListenerClosed                      // no new clients; open connections are served until answerDeadline
	phaseDraining                            // each connection ends once its requests are answered
	phaseAborted                             // the remaining connections were closed
)

// beginShutdown starts the graceful shutdown at the first shutdown signal. A gateway that does not accept clients yet
// skips the grace period, and so ends at once.
func (n *Node) beginShutdown() {
	longest := time.Duration(0)
	for _, class := range n.classes {
		longest = max(longest, class.Timeout)
	}
	now := n.now()
	n.phase = phaseAccepting
	n.nextPhaseAt = now.Add(acceptGracePeriod)
	n.answerDeadline = now.Add(min(longest, maxAnswerWait) + answerMargin)
	if !n.acceptingClients {
		n.nextPhaseAt = now
	}
	slog.Info("shutdown_started", "clients", n.clients.ConnCount(), "in_flight", len(n.requests))
}

// enterNextPhase enters the next phase of the shutdown. The last phase closes all connections, so that a client that
// neither reads its answers nor closes its connection can't delay the shutdown.
func (n *Node) enterNextPhase() {
	switch n.phase {
	case phaseAccepting:
		n.phase = phaseListenerClosed
		n.nextPhaseAt = n.answerDeadline
		n.clients.StopAccepting()
		slog.Info("listener_closed", "clients", n.clients.ConnCount(), "in_flight", len(n.requests))
	case phaseListenerClosed:
		n.phase = phaseDraining
		n.nextPhaseAt = n.now().Add(drainTimeout)
		n.clients.Drain()
	default:
		n.phase = phaseAborted
		n.nextPhaseAt = 0
		slog.Info("connections_aborted", "clients", n.clients.ConnCount(), "in_flight", len(n.requests))
		n.clients.CloseAll()
	}
}

// shutdownComplete reports whether the listener is closed and all clients are disconnected.
func (n *Node) shutdownComplete() bool { return n.phase >= phaseListenerClosed && n.clients.Closed() }

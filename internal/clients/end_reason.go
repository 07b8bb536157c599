package clients

import (
	"log/slog"

	"ravensill/internal/logging"
)

// EndReason is why a client connection ended.
type EndReason int

// The reasons for the end of a connection. They index Stats.Ended.
const (
	ClientLeft     EndReason = iota // the client closed or reset it
	Malformed                       // its bytes can't be parsed; or many malformed commands while slots are short
	CommandTimeout                  // the client did not complete a command in time
	SlowReader                      // the client accepted no byte of its answers for too long
	Idle                            // it was idle for too long
	Evicted                         // its slot was needed for another client
	WriteFailed                     // a write to its socket failed
	Drained                         // the gateway shut down, and all its commands were answered
	Aborted                         // the gateway shut down before that
	EndReasonCount                  // number of reasons
)

var endReasonNames = [EndReasonCount]string{
	ClientLeft:     "client_left",
	Malformed:      "malformed",
	CommandTimeout: "command_timeout",
	SlowReader:     "slow_reader",
	Idle:           "idle",
	Evicted:        "evicted",
	WriteFailed:    "write_failed",
	Drained:        "drained",
	Aborted:        "aborted",
}

// String returns the name of the reason in log lines.
func (r EndReason) String() string { return endReasonNames[r] }

// Stats are numbers about the connections of a server.
type Stats struct {
	Open     int                 // open connections
	Accepted int                 // connections accepted since the start
	Ended    [EndReasonCount]int // connections that have ended since the start, by reason
}

// Stats returns numbers about the server's connections.
func (s *Server) Stats() Stats {
	stats := s.stats
	stats.Open = len(s.conns)
	return stats
}

// setEndReason records why the gateway ends the connection. Only the first reason counts.
func (c *Conn) setEndReason(reason EndReason) {
	if c.endReason == ClientLeft {
		c.endReason = reason
	}
}

// countEnd counts the end of the connection.
func (c *Conn) countEnd() {
	c.server.stats.Ended[c.endReason]++
	if logging.DebugEnabled() {
		slog.Debug("client_closed",
			"client", c.link.RemoteAddr(),
			"reason", c.endReason,
			"commands", c.commandCount,
			"in_flight", len(c.pending),
		)
	}
}

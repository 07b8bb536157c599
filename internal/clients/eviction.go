package clients

import (
	"log/slog"
	"time"

	"ravensill/internal/clock"
)

const (
	// connectGrace is the time before which a new connection is not evicted: its first command may be on its way.
	connectGrace = 100 * time.Millisecond
	// answerTransit is the time for which an answer may be on its way: closing over unread bytes would reset it away.
	answerTransit = 20 * time.Millisecond
)

// evictConn closes the connection that matters least, if one may be closed. Connections that sent no command could
// use all slots: they are closed first, like those that are half-closed; then those with a single command; then the
// one idle the longest. It is closed at once: if it were half-closed, a client that stays would keep its slot, and
// each new client would wait for that.
func (s *Server) evictConn() {
	now := s.now()
	var victim *Conn
	for c := range s.conns {
		if c.evictable(now) && c.evictedBefore(victim) && c.nothingUnread() {
			victim = c
		}
	}
	if victim != nil && now.Sub(victim.lastAnswer) <= answerTransit { // it can be closed soon
		return
	}
	if s.fullLog.due(now) {
		slog.Warn("client_limit_reached",
			"clients", len(s.conns),
			"evicted", victim != nil,
			"count", s.fullLog.logged(now),
		)
	}
	if victim == nil {
		return
	}
	if victim.halfClosed {
		victim.close()
		return
	}
	victim.closeIfQuiet() // else the next admission evicts another
}

// evictable reports whether a connection may be evicted: it is idle, not new, and no answer is on its way.
func (c *Conn) evictable(now clock.Instant) bool {
	sinceAnswer := now.Sub(c.lastAnswer)
	if !c.idle() {
		return false
	}
	if c.commandCount == 0 && sinceAnswer <= connectGrace {
		return false
	}
	return !c.closing || c.halfClosed && sinceAnswer > answerTransit
}

// evictedBefore reports whether a connection is evicted rather than another, which may be nil.
func (c *Conn) evictedBefore(other *Conn) bool {
	if other == nil {
		return true
	}
	rank, otherRank := c.evictionRank(), other.evictionRank()
	if rank != otherRank {
		return rank < otherRank
	}
	return c.lastAnswer < other.lastAnswer
}

// evictionRank returns a rank that is lower for a connection that matters less.
func (c *Conn) evictionRank() int {
	if c.halfClosed {
		return 0
	}
	return min(c.commandCount, 2)
}

// nothingUnread reports whether no further command is unread, or read and on its way to the loop. After a half-close
// none counts.
func (c *Conn) nothingUnread() bool {
	return c.halfClosed || c.link.NoInputSince(c.readsSeen)
}

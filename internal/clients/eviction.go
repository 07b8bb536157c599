package clients

import (
	"log/slog"
	"time"

	"ravensill/internal/clock"
)

const (
	// connectGrace is the time for which a new connection is not evicted, because its first command may be on its way.
	connectGrace = 100 * time.Millisecond
	// answerTransit is the time for which a written answer is taken to be on its way to the client. A connection is not
	// closed during it: if unread bytes arrived, the close would reset the connection and the answer would be lost.
	answerTransit = 20 * time.Millisecond
)

// evictConn closes one idle connection to free a slot, if there is one that may be closed. It takes half-closed
// connections first, then those without a command, which could otherwise use all slots, then those with a single
// command, then all others; among equals, the one whose latest answer is the oldest. It closes the connection fully:
// after a half-close, a client that does not close its side would keep the slot, and each new client would have to wait
// for it.
func (s *Server) evictConn() {
	now := s.now()
	var victim *Conn
	for c := range s.conns {
		if c.isEvictable(now) && c.evictedBefore(victim) && c.hasNoUnreadInput() {
			victim = c
		}
	}
	if victim != nil && now.Sub(victim.lastAnswerAt) <= answerTransit { // it can be evicted shortly
		return
	}
	if s.connLimitLog.recordEvent(now) {
		slog.Warn("client_limit_reached",
			"clients", len(s.conns),
			"evicted", victim != nil,
			"count", s.connLimitLog.takeCount(now),
		)
	}
	if victim == nil {
		return
	}
	if victim.halfClosed {
		victim.close()
		return
	}
	victim.closeIfNoInput() // if it stays open, the next request for a slot evicts another one
}

// isEvictable reports whether the connection may be evicted: it is idle, it is not so new that its first command may be
// on its way, and if it is to end, it is half-closed and its latest answer is no longer on its way.
func (c *Conn) isEvictable(now clock.Instant) bool {
	sinceAnswer := now.Sub(c.lastAnswerAt)
	if !c.isIdle() {
		return false
	}
	if c.commandCount == 0 && sinceAnswer <= connectGrace {
		return false
	}
	return !c.closing || c.halfClosed && sinceAnswer > answerTransit
}

// evictedBefore reports whether the connection is evicted rather than the other one, which may be nil.
func (c *Conn) evictedBefore(other *Conn) bool {
	if other == nil {
		return true
	}
	rank, otherRank := c.evictionRank(), other.evictionRank()
	if rank != otherRank {
		return rank < otherRank
	}
	return c.lastAnswerAt < other.lastAnswerAt
}

// evictionRank returns a rank by which connections are evicted, the lowest first: 0 for one that is half-closed or had
// no command, 1 after a single command, 2 after more.
func (c *Conn) evictionRank() int {
	if c.halfClosed {
		return 0
	}
	return min(c.commandCount, 2)
}

// hasNoUnreadInput reports whether nothing has arrived that the loop has not received. After a half-close it returns
// true, because commands that arrive then are not answered.
func (c *Conn) hasNoUnreadInput() bool {
	return c.halfClosed || c.link.NoInputSince(c.readsReceived)
}

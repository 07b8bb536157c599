package clients

import (
	"errors"
	"log/slog"
	"net"
	"os"
	"time"

	"ravensill/internal/bufconn"
	"ravensill/internal/resp"
)

// acceptDeadlines is how often accepting may time out after StopAccepting before the listener is closed. Connections that the system
// has completed by then are accepted first, as closing the listener would reset them.
const acceptDeadlines = 2

// StartAccepting starts to accept connections until StopAccepting.
func (s *Server) StartAccepting(listener *net.TCPListener) {
	s.listener = listener
	s.accepting = true
	go s.acceptLoop(listener)
}

// acceptLoop accepts connections while there are places for them.
func (s *Server) acceptLoop(listener *net.TCPListener) {
	defer s.runOnLoop(func() { s.accepting = false })
	failureLog := logLimiter{}
	timeouts := 0
	for {
		s.waitForPlace()
		if timeouts > 0 { // set late: earlier it could pass while this waits for a place
			listener.SetDeadline(time.Now().Add(placeRetryInterval))
		}
		link, err := s.accept(listener)
		switch {
		case err == nil:
			s.open(link)
		case errors.Is(err, os.ErrDeadlineExceeded) && timeouts < acceptDeadlines:
			timeouts++
		case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, net.ErrClosed):
			listener.Close()
			return
		default:
			if now := s.now(); failureLog.due(now) {
				slog.Warn("accept_failed", "error", err, "count", failureLog.logged(now))
			}
			time.Sleep(acceptRetryDelay)
		}
	}
}

// waitForPlace returns once the loop has a place for one more connection.
func (s *Server) waitForPlace() {
	for {
		s.runOnLoop(s.answerAdmission)
		if <-s.admissions {
			return
		}
		select {
		case <-s.placeFreed:
		case <-time.After(placeRetryInterval):
		}
	}
}

// open starts a connection. The loop registers it before it answers the next admission, so that it counts there.
func (s *Server) open(link *bufconn.Link) {
	c := &Conn{
		server:       s,
		link:         link,
		AnswerQueue:  AnswerQueue{out: link.Out},
		commandQueue: commandQueue{hasRoom: make(chan struct{}, 1)},
		done:         make(chan struct{}),
	}
	c.onReady = c.answerReady
	c.receiveFunc = c.receive
	s.runOnLoop(c.register)
	go c.readCommands()
}

// accept accepts one connection and sets up its buffers.
func (s *Server) accept(listener *net.TCPListener) (*bufconn.Link, error) {
	conn, err := s.system.Accept(listener)
	if err != nil {
		return nil, err
	}
	link, err := bufconn.NewLink(s.system, conn, resp.MaxValueBytes, maxUnsentBytes)
	if err != nil {
		conn.Close()
	}
	return link, err
}

// answerAdmission tells the waiting accept loop whether there is a place for one more connection. It answers even if it
// panics, since nothing else would release that loop. Places are counted from the connections themselves, so none can leak.
func (s *Server) answerAdmission() {
	admitted := false
	defer func() { s.admissions <- admitted }()
	if len(s.conns) >= s.maxConns && !s.acceptClosed {
		s.makeRoom()
	}
	admitted = s.acceptClosed || len(s.conns) < s.maxConns
}

// makeRoom closes the connection that is best done without, if there is one. Connections that sent no command could take all
// places from those that do: they go first, like those that are half-closed; then those with a single command; then the one
// idle the longest. It is closed at once, as a client that stays would keep the place of a half-closed connection, and each new
// client would wait for that.
func (s *Server) makeRoom() {
	now := s.now()
	var victim *Conn
	for c := range s.conns {
		if c.evictable(now) && c.evictedBefore(victim) && c.nothingUnread() {
			victim = c
		}
	}
	if victim != nil && now-victim.lastAnswer <= answerTransit { // it can be closed soon
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
	victim.closeIfQuiet() // else the next question makes room
}

// evictable reports whether a connection may be closed to make room: it is idle, not new, and no answer is on its way.
func (c *Conn) evictable(now int64) bool {
	sinceAnswer := now - c.lastAnswer
	if !c.idle() {
		return false
	}
	if c.commandCount == 0 && sinceAnswer <= connectGrace {
		return false
	}
	return !c.closing || c.halfClosed && sinceAnswer > answerTransit
}

// evictedBefore reports whether a connection is rather closed than another, which may be nil.
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

// evictionRank is low for a connection that can be done without.
func (c *Conn) evictionRank() int {
	if c.halfClosed {
		return 0
	}
	return min(c.commandCount, 2)
}

// nothingUnread reports whether no further command is unread, or read and on its way to the loop. After a half-close none counts.
func (c *Conn) nothingUnread() bool {
	return c.halfClosed || c.link.Quiet(c.readsSeen)
}

// StopAccepting stops accepting connections; open ones are still served.
func (s *Server) StopAccepting() {
	s.acceptClosed = true
	if s.listener != nil { // nil if the stop comes before Listen
		s.listener.SetDeadline(time.Now())
	}
}

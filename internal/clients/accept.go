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

const (
	// acceptDeadlines is how often accepting may time out after StopAccepting before the listener is closed.
	// Connections that the system has completed by then are accepted first, as closing the listener would reset them.
	acceptDeadlines = 2
	// slotRetryInterval is the time between two requests of the accept loop for a free slot.
	slotRetryInterval = 20 * time.Millisecond
	// acceptRetryDelay is the pause after a failed accept.
	acceptRetryDelay = 10 * time.Millisecond
)

// StartAccepting starts to accept connections from the listener, until StopAccepting or CloseAll. The accept loop has
// ended when Closed returns true.
func (s *Server) StartAccepting(listener *net.TCPListener) {
	s.listener = listener
	s.accepting = true
	go s.acceptLoop(listener)
}

// StopAccepting stops accepting connections; open ones are still served.
func (s *Server) StopAccepting() {
	s.acceptClosed = true
	if s.listener != nil { // nil before StartAccepting
		s.listener.SetDeadline(time.Now())
	}
}

// acceptLoop accepts connections while there are free slots.
func (s *Server) acceptLoop(listener *net.TCPListener) {
	defer s.runOnLoop(func() { s.accepting = false })
	failureLog := logLimiter{}
	timeouts := 0
	for {
		s.waitForSlot()
		if timeouts > 0 { // set here: it must not pass while the loop waits for a slot
			listener.SetDeadline(time.Now().Add(slotRetryInterval))
		}
		link, err := s.accept(listener)
		switch {
		case err == nil:
			s.startConn(link)
		case errors.Is(err, os.ErrDeadlineExceeded) && timeouts < acceptDeadlines:
			timeouts++
		case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, net.ErrClosed):
			listener.Close()
			return
		default:
			if now := s.now(); failureLog.recordEvent(now) {
				slog.Warn("accept_failed", "error", err, "count", failureLog.takeCount(now))
			}
			time.Sleep(acceptRetryDelay)
		}
	}
}

// waitForSlot returns once the loop has a slot for one more connection.
func (s *Server) waitForSlot() {
	for {
		s.runOnLoop(s.replySlotAvailable)
		if <-s.slotReplies {
			return
		}
		select {
		case <-s.slotFreed:
		case <-time.After(slotRetryInterval):
		}
	}
}

// replySlotAvailable sends the waiting accept loop whether there is a slot for one more connection. It sends even if it
// panics, since nothing else would release that loop. Slots are counted from the connections themselves, so none can
// leak.
func (s *Server) replySlotAvailable() {
	admitted := false
	defer func() { s.slotReplies <- admitted }()
	if len(s.conns) >= s.maxConns && !s.acceptClosed {
		s.evictConn()
	}
	admitted = s.acceptClosed || len(s.conns) < s.maxConns
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
		return nil, err
	}
	return link, nil
}

// startConn starts a connection. The loop registers it before it answers the next admission, so that it counts there.
func (s *Server) startConn(link *bufconn.Link) {
	c := &Conn{
		server:       s,
		link:         link,
		AnswerQueue:  AnswerQueue{out: link.Out},
		commandQueue: commandQueue{hasSpace: make(chan struct{}, 1)},
		done:         make(chan struct{}),
	}
	c.onReady = c.answerReady
	c.receiveFunc = c.receive
	s.runOnLoop(c.register)
	go c.readCommands()
}

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
	// acceptDeadlines is the number of accept calls that may time out after StopAccepting before the listener is
	// closed. Until then the accept loop accepts connections that the kernel has already completed: closing the
	// listener resets those that are not accepted.
	acceptDeadlines = 2
	// slotRetryInterval is the longest time after which the accept loop asks again for a free slot.
	slotRetryInterval = 20 * time.Millisecond
	// acceptRetryDelay is the pause of the accept loop after an error.
	acceptRetryDelay = 10 * time.Millisecond
)

// StartAccepting starts a goroutine that accepts connections from the listener until StopAccepting or CloseAll is
// called. It has ended when Closed returns true.
func (s *Server) StartAccepting(listener *net.TCPListener) {
	s.listener = listener
	s.accepting = true
	go s.acceptLoop(listener)
}

// StopAccepting stops accepting connections. Open ones are still served.
func (s *Server) StopAccepting() {
	s.acceptClosed = true
	if s.listener != nil { // nil before StartAccepting
		s.listener.SetDeadline(time.Now())
	}
}

// acceptLoop accepts connections whenever a slot is free, until the listener is closed or accepting has timed out more
// than acceptDeadlines times after StopAccepting. It runs on its own goroutine.
func (s *Server) acceptLoop(listener *net.TCPListener) {
	defer s.runOnLoop(func() { s.accepting = false })
	failureLog := logLimiter{}
	timeouts := 0
	for {
		s.waitForSlot()
		if timeouts > 0 { // the deadline is set after the wait for a slot, during which it could pass
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

// waitForSlot returns once there is a slot for one more connection. The accept loop calls it.
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

// replySlotAvailable tells the waiting accept loop whether there is a slot for one more connection, for which it may
// evict another. It sends a reply even if it panics, since nothing else would wake that goroutine. The number of used
// slots is the number of registered connections, so that no slot can leak.
func (s *Server) replySlotAvailable() {
	admitted := false
	defer func() { s.slotReplies <- admitted }()
	if len(s.conns) >= s.maxConns && !s.acceptClosed {
		s.evictConn()
	}
	admitted = s.acceptClosed || len(s.conns) < s.maxConns
	s.endsMalformed.Store(s.draining || !admitted)
}

// accept accepts one connection and returns it with its buffers.
func (s *Server) accept(listener *net.TCPListener) (*bufconn.Link, error) {
	conn, err := s.system.Accept(listener)
	if err != nil {
		return nil, err
	}
	limits := bufconn.Limits{MaxIn: resp.MaxValueBytes, MaxOut: maxOutputBytes, InBudget: s.commandMemory}
	link, err := bufconn.NewLink(s.system, conn, limits)
	if err != nil {
		conn.Close()
		return nil, err
	}
	return link, nil
}

// startConn starts the reader of a new connection. The event loop registers the connection before it runs the next
// replySlotAvailable, so that the connection is counted there.
func (s *Server) startConn(link *bufconn.Link) {
	c := &Conn{
		server:       s,
		link:         link,
		AnswerQueue:  AnswerQueue{out: link.Out, memory: s.answerMemory, commandMemory: s.commandMemory},
		commandQueue: commandQueue{memory: s.commandMemory, hasSpace: make(chan struct{}, 1)},
		done:         make(chan struct{}),
	}
	c.AnswerQueue.conn = c
	c.receiveFunc = c.receive
	s.runOnLoop(c.register)
	go c.readCommands()
}

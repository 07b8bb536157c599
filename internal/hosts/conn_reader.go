package hosts

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"runtime/debug"
	"slices"
	"time"

	"ravensill/gateway"
	"ravensill/internal/bufconn"
	"ravensill/internal/clock"
	"ravensill/internal/resp"
)

const (
	// maxCommandBytes is the limit of a connection's output buffer. The largest command fits: a body of the largest
	// size and all other words.
	maxCommandBytes = 160 << 10
	// answerTimeout is the time that an answer may take from its first read to its last byte.
	answerTimeout = 500 * time.Millisecond
)

// answer is a complete answer that was read from a connection.
type answer struct {
	event            gateway.Event
	value            []byte        // nil without one
	received         clock.Instant // when its last byte was read
	readCount        int64         // the link's ReadCount at that time
	hasTrailingBytes bool          // whether further bytes follow it
	split            bool          // whether it took several reads: the read timeout is set
}

// run dials the host, then passes answers to the event loop until the connection fails, the event loop closes it, or an
// answer is followed by more bytes. It is the connection's goroutine.
func (c *conn) run() {
	t := c.pool.transport
	defer func() {
		if p := recover(); p != nil {
			slog.Error("panic", "where", "host", "error", p, "stack", debug.Stack())
			t.runOnLoop(func() { c.fail(errors.New("panic on the goroutine of the connection")) })
		}
	}()
	link, err := c.dial()
	if err != nil {
		t.runOnLoop(func() { c.dialFailed(err) })
		return
	}
	defer link.In.Free()
	t.runOnLoop(func() { c.dialSucceeded(link) })
	c.readAnswers(link)
}

// dial connects to the host and returns the connection with its buffers. It runs on the connection's goroutine.
func (c *conn) dial() (*bufconn.Link, error) {
	t := c.pool.transport
	socket, err := t.Dial(c.addr.String())
	if err != nil {
		return nil, err
	}
	limits := bufconn.Limits{
		MaxIn:     resp.MaxValueBytes,
		MaxOut:    maxCommandBytes,
		InBudget:  t.answerMemory,
		OutBudget: t.answerMemory,
	}
	link, err := bufconn.NewLink(t.system, socket.(*net.TCPConn), limits)
	if err != nil {
		socket.Close()
		return nil, err
	}
	return link, nil
}

// readAnswers passes each answer, and the error that ends the connection, to the event loop. It runs on the
// connection's goroutine.
func (c *conn) readAnswers(link *bufconn.Link) {
	t := c.pool.transport
	var parser resp.Parser
	for {
		answer, err := c.readAnswer(link, &parser)
		if err != nil {
			t.runOnLoop(func() { c.fail(err) })
			return
		}
		t.runOnLoop(func() {
			t.answerMemory.Add(-len(answer.value))
			c.handleAnswer(answer)
		})
		if answer.hasTrailingBytes {
			return
		}
		if answer.split {
			link.SetReadTimeout(0)
		}
	}
}

// readAnswer waits for the next complete answer and parses it. The value is counted in the memory for answers. It fails
// if the connection ends, if the answer is malformed, if its rest does not arrive within answerTimeout, or if there is
// no memory for it. It runs on the connection's goroutine.
func (c *conn) readAnswer(link *bufconn.Link, parser *resp.Parser) (answer, error) {
	t := c.pool.transport
	split := false
	for {
		if err := link.Read(); err != nil {
			if split && errors.Is(err, os.ErrDeadlineExceeded) {
				err = fmt.Errorf("%w: incomplete after %v", errInvalidAnswer, answerTimeout)
			}
			if errors.Is(err, bufconn.ErrNoMemory) { // not the host's fault
				err = fmt.Errorf("%w: %w", ErrCanceled, err)
			}
			return answer{}, err
		}
		reads := link.ReadCount()
		received := t.now()
		parsed, complete, err := parser.Next(link.In)
		if !complete && err == nil {
			if !split && link.In.Len() > 0 {
				split = true
				link.SetReadTimeout(answerTimeout)
			}
			continue
		}
		a := answer{received: received, readCount: reads, split: split}
		if err == nil {
			a.value, err = parseAnswer(parsed, t.loadFields, &a.event)
		}
		if err != nil {
			return answer{}, fmt.Errorf("%w: %w", errInvalidAnswer, err)
		}
		a.value = slices.Clone(a.value)
		t.answerMemory.Add(len(a.value))
		a.hasTrailingBytes = parser.More(link.In)
		parser.Release(link.In) // an idle connection must not keep the memory of a large value
		return a, nil
	}
}

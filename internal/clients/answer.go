package clients

import (
	"bytes"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"ravensill/internal/bufconn"
	"ravensill/internal/resp"
)

// Answer is the answer to one command, at its place in the order of the connection's commands. It is set once, by
// Succeed, Reject or Fail; later calls have no effect. Its methods must be called on the event loop.
type Answer struct {
	queue        *AnswerQueue
	text         []byte
	done         bool   // whether the answer is set or its client is gone
	OnClientGone func() // called if the client leaves before the answer is set; may be nil
}

// AnswerQueue writes the answers of one connection in the order of its commands.
type AnswerQueue struct {
	out        *bufconn.Buffer
	pending    []*Answer // answers that are not in out yet, in the order of the commands
	overflowed bool      // whether an answer did not fit into out, because the client reads too slowly

	// onReady is called each time an answer is set, with the number of answers that were written to out.
	onReady func(count int)

	// clientGone is set by the connection's reader at the end of the connection, before the event loop handles that end.
	clientGone atomic.Bool
}

// Add appends an answer, to be set later, to the next command.
func (q *AnswerQueue) Add() *Answer {
	a := &Answer{queue: q}
	q.pending = append(q.pending, a)
	return a
}

// Succeed sets the answer to the value that the request returned.
func (a *Answer) Succeed(value []byte) { a.set(successReply(value)) }

// Reject sets the answer to a rejection: the request did not run and may be retried after the given time, 0 for at
// once.
func (a *Answer) Reject(retryAfter time.Duration) { a.set(rejection(retryAfter)) }

// Fail sets the answer to an error. The request may have run.
func (a *Answer) Fail(reason string) { a.set(errorReply(reason)) }

// IsClientGone reports whether the client has left, even if the event loop has not handled the end of the connection
// yet. No attempt must be made for such a client.
func (a *Answer) IsClientGone() bool { return a.queue.clientGone.Load() }

// set sets the answer to an encoded text, and writes all answers that have no unset answer before them.
func (a *Answer) set(text []byte) {
	if a.done {
		return
	}
	a.text = text
	a.done = true
	a.OnClientGone = nil
	q := a.queue
	count := 0
	for count < len(q.pending) && q.pending[count].done {
		written := q.out.Write(q.pending[count].text)
		q.overflowed = q.overflowed || !written
		count++
	}
	q.pending = slices.Delete(q.pending, 0, count)
	q.onReady(count)
}

// dropPending drops all answers that are not written, because the client is gone, and calls their OnClientGone.
func (q *AnswerQueue) dropPending() {
	waiting := q.pending
	q.pending = nil
	for _, a := range waiting {
		a.done = true
		if a.OnClientGone != nil {
			a.OnClientGone()
		}
	}
}

// pongReply is the encoded answer to a PING.
const pongReply = "+PONG\r\n"

// successReply returns the encoded answer with a value.
func successReply(value []byte) []byte {
	const maxHeader = 16 // bytes of the encoding beside the value
	return resp.AppendBulk(make([]byte, 0, len(value)+maxHeader), value)
}

// rejection returns the encoded answer to a request that did not run and may be retried after the given time, 0 for at
// once.
func rejection(retryAfter time.Duration) []byte {
	if retryAfter <= 0 {
		return []byte("-BUSY\r\n")
	}
	roundedUp := (retryAfter + time.Millisecond - 1).Milliseconds() // a retry any earlier would be rejected
	text := strconv.AppendInt([]byte("-BUSY "), roundedUp, 10)
	return append(text, "\r\n"...)
}

// errorReply returns the encoded answer for an error. It replaces control characters in reason by spaces, because CR LF
// would end the answer.
func errorReply(reason string) []byte {
	line := bytes.Map(func(r rune) rune {
		if r < ' ' {
			return ' '
		}
		return r
	}, []byte(reason))
	text := append([]byte("-ERR "), line...)
	return append(text, "\r\n"...)
}

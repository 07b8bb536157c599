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

// Answer is the answer to one command, at its place in the order of its connection. It is set once; later calls have no
// effect.
type Answer struct {
	queue        *AnswerQueue
	text         []byte
	done         bool
	OnClientGone func() // called if the client goes away before the answer
}

// AnswerQueue writes the answers of one connection in the order of its commands.
type AnswerQueue struct {
	out     *bufconn.Buffer
	waiting []*Answer
	full    bool // an answer did not fit: the client reads too slowly

	// onReady is called after each answer, with the number of answers that were written to out.
	onReady func(count int)

	// clientGone is set by the connection's reader, before the loop receives the end of the connection.
	clientGone atomic.Bool
}

// Add adds a place for the answer to the next command.
func (q *AnswerQueue) Add() *Answer {
	a := &Answer{queue: q}
	q.waiting = append(q.waiting, a)
	return a
}

// Succeed answers with a value.
func (a *Answer) Succeed(value []byte) { a.set(successReply(value)) }

// Reject answers that the request did not run, with the time to retry after; 0: at once.
func (a *Answer) Reject(retryAfter time.Duration) { a.set(rejection(retryAfter)) }

// Fail answers with an error: the request may have run.
func (a *Answer) Fail(reason string) { a.set(errorReply(reason)) }

// IsClientGone reports whether the client has left, even if the loop has not received that yet. No attempt is made for
// such a client.
func (a *Answer) IsClientGone() bool { return a.queue.clientGone.Load() }

// set sets the answer, and writes all answers that no earlier command holds back.
func (a *Answer) set(text []byte) {
	if a.done {
		return
	}
	a.text = text
	a.done = true
	a.OnClientGone = nil
	q := a.queue
	count := 0
	for count < len(q.waiting) && q.waiting[count].done {
		written := q.out.Write(q.waiting[count].text)
		q.full = q.full || !written
		count++
	}
	q.waiting = slices.Delete(q.waiting, 0, count)
	q.onReady(count)
}

// end drops all answers that are not written: the client is gone.
func (q *AnswerQueue) end() {
	waiting := q.waiting
	q.waiting = nil
	for _, a := range waiting {
		a.done = true
		if a.OnClientGone != nil {
			a.OnClientGone()
		}
	}
}

// pongReply is the answer to a PING.
const pongReply = "+PONG\r\n"

// successReply returns the answer of a value.
func successReply(value []byte) []byte {
	const maxHeader = 16 // bytes around the value
	return resp.AppendBulk(make([]byte, 0, len(value)+maxHeader), value)
}

// rejection returns the answer to a request that did not run, with the time to retry after; 0: at once.
func rejection(retryAfter time.Duration) []byte {
	if retryAfter <= 0 {
		return []byte("-BUSY\r\n")
	}
	roundedUp := (retryAfter + time.Millisecond - 1).Milliseconds() // an earlier retry would be rejected again
	text := strconv.AppendInt([]byte("-BUSY "), roundedUp, 10)
	return append(text, "\r\n"...)
}

// errorReply returns the answer of an error, in one line.
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

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

// Answer is the place of one command's answer in the order of its connection. The first one given counts.
type Answer struct {
	queue      *AnswerQueue
	text       []byte
	done       bool
	ClientGone func() // called if the client goes away before the answer
}

// AnswerQueue keeps the answers of one connection in the order of its commands.
type AnswerQueue struct {
	out        *bufconn.Buffer
	waiting    []*Answer
	full       bool        // an answer did not fit: the client reads too slowly
	onReady    func(int)   // called with how many answers went out with the one just given
	clientGone atomic.Bool // as the reader saw: that overtakes all that waits for the loop
}

// Add adds a place for the answer of the next command.
func (q *AnswerQueue) Add() *Answer {
	a := &Answer{queue: q}
	q.waiting = append(q.waiting, a)
	return a
}

// Succeed answers with a value.
func (a *Answer) Succeed(value []byte) { a.give(successReply(value)) }

// Reject answers that the request did not run, and when to come back, in nanoseconds; 0: at once.
func (a *Answer) Reject(retryAfter int64) { a.give(rejection(retryAfter)) }

// Fail answers with an error: the request may have run.
func (a *Answer) Fail(why string) { a.give(errorReply(why)) }

// IsClientGone reports whether the client has left, also while that is on the way to the loop: nothing more is sent on for it.
func (a *Answer) IsClientGone() bool { return a.queue.clientGone.Load() }

// give sets the answer, and lets out all that no earlier command holds back.
func (a *Answer) give(text []byte) {
	if a.done {
		return
	}
	a.text = text
	a.done = true
	a.ClientGone = nil
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

// end forgets the queue: its client is gone.
func (q *AnswerQueue) end() {
	waiting := q.waiting
	q.waiting = nil
	for _, a := range waiting {
		a.done = true
		if a.ClientGone != nil {
			a.ClientGone()
		}
	}
}

func successReply(value []byte) []byte {
	return resp.AppendBulk(make([]byte, 0, len(value)+16), value)
}

func rejection(retryAfter int64) []byte {
	if retryAfter <= 0 {
		return []byte("-BUSY\r\n")
	}
	const millisecond = int64(time.Millisecond)
	milliseconds := (retryAfter + millisecond - 1) / millisecond // rounded up: earlier would be in vain
	return append(strconv.AppendInt([]byte("-BUSY "), milliseconds, 10), "\r\n"...)
}

func errorReply(why string) []byte {
	clean := bytes.Map(func(r rune) rune {
		if r < ' ' {
			return ' '
		}
		return r
	}, []byte(why))
	return append(append([]byte("-ERR "), clean...), "\r\n"...)
}

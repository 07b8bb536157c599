package clients

import (
	"bytes"
	"strconv"
	"time"

	"ravensill/internal/clock"
	"ravensill/internal/resp"
)

// Answer is the answer to one command, at its place in the order of the connection's commands. It is set once, by
// Succeed, Reject or Fail; later calls have no effect. Its methods must be called on the event loop.
type Answer struct {
	queue        *AnswerQueue
	text         []byte
	receivedAt   clock.Instant
	commandSize  int    // bytes of the command that are counted until the answer is set
	done         bool   // whether the answer is set or its client is gone
	OnClientGone func() // called if the client leaves before the answer is set; may be nil
}

// Succeed sets the answer to the value that the request returned. If the value would have to wait for the client and
// there is no memory for it, the answer is an error instead: the request has run, but its value is dropped.
func (a *Answer) Succeed(value []byte) {
	if a.done {
		return
	}
	if !a.queue.hasMemoryFor(a, len(value)+maxReplyHeader) {
		a.queue.conn.answerDropped()
		a.Fail(errAnswerDropped.Error())
		return
	}
	a.set(successReply(value))
}

// Reject sets the answer to a rejection: the request did not run and may be retried after the given time, 0 for at
// once.
func (a *Answer) Reject(retryAfter time.Duration) { a.set(rejection(retryAfter)) }

// Fail sets the answer to an error. The request may have run.
func (a *Answer) Fail(reason string) { a.set(errorReply(reason)) }

// IsClientGone reports whether the client has left, even if the end of the connection has not been handled or read yet.
// No attempt must be made for such a client.
func (a *Answer) IsClientGone() bool {
	q := a.queue
	return q.clientGone.Load() || q.conn != nil && q.conn.hasClientLeft(a.receivedAt)
}

// MayClientBeGone reports whether the client has left, or so much of the connection is unread that it may have left
// long ago. No attempt must begin then.
func (a *Answer) MayClientBeGone() bool {
	q := a.queue
	return a.IsClientGone() || q.conn != nil && q.conn.isReaderBehind()
}

// set sets the answer to an encoded text.
func (a *Answer) set(text []byte) {
	if a.done {
		return
	}
	a.releaseCommand()
	a.text = text
	a.done = true
	a.OnClientGone = nil
	a.queue.add(a)
}

// releaseCommand releases the memory that is counted for the command.
func (a *Answer) releaseCommand() {
	a.queue.commandMemory.Add(-a.commandSize)
	a.commandSize = 0
}

// pongReply is the encoded answer to a PING.
const pongReply = "+PONG\r\n"

// maxReplyHeader is the largest number of bytes of an encoded value beside the value itself.
const maxReplyHeader = 16

// successReply returns the encoded answer with a value.
func successReply(value []byte) []byte {
	return resp.AppendBulk(make([]byte, 0, len(value)+maxReplyHeader), value)
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

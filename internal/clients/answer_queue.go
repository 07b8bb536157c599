package clients

import (
	"slices"
	"sync/atomic"

	"ravensill/internal/bufconn"
	"ravensill/internal/clock"
	"ravensill/internal/memory"
)

// AnswerQueue writes the answers of one connection in the order of its commands. A set answer waits in pending while an
// earlier command is unanswered, and while the output buffer is full. Neither ends the connection: the client may read
// as fast as it can, and a full buffer only shows that its socket was not offered the bytes yet.
type AnswerQueue struct {
	conn      answerConn // nil only in tests of other packages
	out       *bufconn.Buffer
	pending   []*Answer // answers that are not in out yet, in the order of the commands
	unsent    int       // bytes of set answers, in pending and out, that the socket has not accepted
	sentTotal int64     // bytes that the socket has accepted

	memory        *memory.Budget // of the server's unsent answers
	commandMemory *memory.Budget // of the server's commands

	// clientGone is set by the connection's reader at the end of the connection, before the event loop handles that end.
	clientGone atomic.Bool
}

// answerConn is the connection of an AnswerQueue. Its methods are called on the event loop.
type answerConn interface {
	// answerSet schedules a flush, because an answer was set.
	answerSet()
	// writeAnswers writes the next answers as far as the socket accepts them at once.
	writeAnswers() error
	// hasClientLeft reports whether the client has left, even if the event loop or the reader has not come to the end of
	// the connection yet. receivedAt is when the command was read.
	hasClientLeft(receivedAt clock.Instant) bool
	// isReaderBehind reports whether too much may be unread to know whether the client has left.
	isReaderBehind() bool
	// answerDropped records that a value was dropped because there is no memory in which it can wait.
	answerDropped()
}

// Add appends an answer, to be set later, to the next command.
func (q *AnswerQueue) Add() *Answer {
	a := &Answer{queue: q}
	q.pending = append(q.pending, a)
	q.memory.Add(answerOverhead)
	return a
}

// held returns the bytes of the memory for answers that the connection uses.
func (q *AnswerQueue) held() int { return q.unsent + len(q.pending)*answerOverhead }

// mayStart reports whether there is memory for one more command in flight. There always is for the only one of a
// connection, so that each client is served.
func (q *AnswerQueue) mayStart() bool {
	held := q.held()
	return held == 0 || q.memory.Admits(held, answerOverhead)
}

// admits reports whether a value of the given size may wait. It always may if no other answer of the connection does.
func (q *AnswerQueue) admits(size int) bool { return q.unsent == 0 || q.memory.Admits(q.held(), size) }

// add counts the text of an answer that has just been set, and moves the answers that are next to the output buffer.
func (q *AnswerQueue) add(a *Answer) {
	q.unsent += len(a.text)
	q.memory.Add(len(a.text))
	q.fillOutput()
	q.conn.answerSet()
}

// fillOutput moves answers to the output buffer, until it holds outputBatchBytes or an unset answer is next. The others
// stay in pending, where they take no more memory than their text.
func (q *AnswerQueue) fillOutput() {
	count := 0
	for count < len(q.pending) && q.pending[count].done && q.writeToOutput(q.pending[count].text) {
		count++
	}
	q.pending = slices.Delete(q.pending, 0, count)
	q.memory.Add(-count * answerOverhead)
}

// writeToOutput adds a text to the output buffer, unless that holds enough already.
func (q *AnswerQueue) writeToOutput(text []byte) bool {
	if q.out.Len() > 0 && q.out.Len()+len(text) > outputBatchBytes {
		return false
	}
	return q.out.Write(text)
}

// writeTo writes answers through the link, whose output buffer is out, until the socket accepts no more or the next
// answer is not set.
func (q *AnswerQueue) writeTo(link *bufconn.Link) error {
	for q.fillOutput(); q.out.Len() > 0; q.fillOutput() {
		waiting := q.out.Len()
		err := link.Flush()
		q.countSent(waiting - q.out.Len())
		if err != nil {
			return err
		}
		if q.out.Len() > 0 {
			return nil
		}
	}
	return nil
}

// countSent releases the memory of bytes that the socket has accepted.
func (q *AnswerQueue) countSent(count int) {
	q.unsent -= count
	q.memory.Add(-count)
	q.sentTotal += int64(count)
}

// hasMemoryFor reports whether a value of the given size may be set as the answer. Before it returns false, it writes
// what the socket accepts: a value is dropped only if it has to wait for an earlier answer or for the client to read.
func (q *AnswerQueue) hasMemoryFor(a *Answer, size int) bool {
	if q.admits(size) {
		return true
	}
	_ = q.conn.writeAnswers() // the scheduled flush gets the same error, and closes the connection
	return q.isNext(a) || q.admits(size)
}

// isNext reports whether the answer is to be written next and nothing is unsent before it. Such an answer is always
// taken: it need not wait, and those behind it may wait for it.
func (q *AnswerQueue) isNext(a *Answer) bool { return q.out.Len() == 0 && q.pending[0] == a }

// dropPending drops all answers that are not written, because the client is gone, and calls their OnClientGone.
func (q *AnswerQueue) dropPending() {
	waiting := q.pending
	q.memory.Add(-q.held())
	q.pending = nil
	q.unsent = 0
	for _, a := range waiting {
		a.releaseCommand()
		a.done = true
		if a.OnClientGone != nil {
			a.OnClientGone()
		}
	}
}

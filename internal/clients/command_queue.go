package clients

import (
	"sync"

	"ravensill/internal/clock"
)

// queuedOverhead is the memory counted for a queued command in addition to its text, in bytes.
const queuedOverhead = 128

// commandQueue passes commands from a connection's reader to the event loop. At most one notification per connection is
// queued for the loop. So a client that sends very many commands neither fills the loop's queue of functions nor keeps
// the reader from seeing the end of the connection; commands that are not started by then never start.
type commandQueue struct {
	mu                 sync.Mutex      // guards the other fields except hasSpace
	commands           []queuedCommand // commands[head:] are not started
	head               int             // index of the next command to start
	queuedBytes        int             // total size of commands[head:]
	postedReads        int64           // the link's ReadCount when the reader last called postProgress
	postedPartialSince clock.Instant   // the reader's readerPartialSince at that time
	notified           bool            // whether a notification is on its way to the loop
	hasSpace           chan struct{}   // holds a value after queuedBytes has fallen to maxQueuedBytes or less
}

// queuedCommand is one command that waits to be started, or stands for several commands in a row that are rejected.
type queuedCommand struct {
	size     int           // bytes that it counts in the queue
	run      func(*Answer) // starts the command, on the event loop; nil for rejected ones
	rejected int           // number of rejected commands; 0: one command that is not rejected
}

// count returns the number of commands for which the entry stands.
func (q queuedCommand) count() int { return max(q.rejected, 1) }

// enqueue adds a command whose text has size bytes. The reader calls it.
func (q *commandQueue) enqueue(size int, run func(*Answer)) {
	size += queuedOverhead
	q.mu.Lock()
	defer q.mu.Unlock()
	q.commands = append(q.commands, queuedCommand{size: size, run: run})
	q.queuedBytes += size
}

// postProgress stores how far the reader has come: the link's ReadCount, and the time since which a command is
// incomplete, 0 if none is. It returns whether the loop has to be notified, and the number of queued bytes. The reader
// calls it.
func (q *commandQueue) postProgress(reads int64, partialSince clock.Instant) (notify bool, queuedBytes int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.postedReads = reads
	q.postedPartialSince = partialSince
	notify = !q.notified
	q.notified = true
	return notify, q.queuedBytes
}

// receiveProgress returns what the reader stored by the latest postProgress, whose next call asks for a notification
// again. The loop calls it.
func (q *commandQueue) receiveProgress() (reads int64, partialSince clock.Instant) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.notified = false
	return q.postedReads, q.postedPartialSince
}

// loadQueuedBytes returns the number of queued bytes. It may be called on any goroutine.
func (q *commandQueue) loadQueuedBytes() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.queuedBytes
}

// dequeue removes and returns the first queued command; ok is false if there is none. It wakes the reader if the queue
// has space then.
func (q *commandQueue) dequeue() (command queuedCommand, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.head == len(q.commands) {
		return command, false
	}
	first := &q.commands[q.head]
	if first.rejected > 1 {
		first.rejected--
		return queuedCommand{rejected: 1}, true
	}
	command = *first
	q.commands[q.head] = queuedCommand{} // releases the memory that run holds
	q.head++
	if q.head == len(q.commands) {
		q.resetCommands()
	}
	q.queuedBytes -= command.size
	if q.queuedBytes <= maxQueuedBytes {
		q.signalSpace()
	}
	return command, true
}

// resetCommands empties the slice of commands once all of them are started. It releases a slice that has grown large,
// so that it does not stay allocated for the life of the connection.
func (q *commandQueue) resetCommands() {
	q.commands = q.commands[:0]
	q.head = 0
	if cap(q.commands) > maxInFlight {
		q.commands = nil
	}
}

// rejectOverflow rejects all queued commands if more than maxQueuedBytes are queued after the loop has started as many
// commands as may be in flight. Otherwise the reader would wait until commands in flight are answered and would not
// read the end of the stream behind the unread commands: attempts would be made for commands whose client is gone.
func (q *commandQueue) rejectOverflow() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.queuedBytes <= maxQueuedBytes {
		return
	}
	rejected := 0
	for _, command := range q.commands[q.head:] {
		rejected += command.count()
	}
	clear(q.commands)
	q.commands = append(q.commands[:0], queuedCommand{size: queuedOverhead, rejected: rejected})
	q.head = 0
	q.queuedBytes = queuedOverhead
	q.signalSpace()
}

// signalSpace wakes the reader if it waits for space in the queue.
func (q *commandQueue) signalSpace() {
	select {
	case q.hasSpace <- struct{}{}:
	default:
	}
}

package clients

import (
	"sync"

	"ravensill/internal/clock"
)

// queuedOverhead is the memory of a queued command beside its text, in bytes.
const queuedOverhead = 128

// commandQueue passes commands from a connection's reader to the loop. The loop gets one notification at a time: a
// flood of commands neither fills the loop's inbox nor keeps the reader from the end of the connection, and commands
// that are not started by then never are.
type commandQueue struct {
	mu                 sync.Mutex
	commands           []queuedCommand // not started, from head on
	head               int             // index of the next one to start
	queuedBytes        int             // size of the commands from head on
	postedReads        int64           // the link's count of reads at the latest notification
	postedPartialSince clock.Instant   // partialBegan at that time
	notified           bool            // a notification is on its way to the loop
	hasSpace           chan struct{}   // holds a value once at most maxQueuedBytes are queued
}

// queuedCommand is one command that waits to be started, or several in a row that are rejected.
type queuedCommand struct {
	size     int // bytes
	run      func(*Answer)
	rejected int // number of rejected commands; 0: the one of run
}

// count returns the number of commands that it stands for.
func (q queuedCommand) count() int { return max(q.rejected, 1) }

// enqueue adds a command of size bytes.
func (q *commandQueue) enqueue(size int, run func(*Answer)) {
	size += queuedOverhead
	q.mu.Lock()
	defer q.mu.Unlock()
	q.commands = append(q.commands, queuedCommand{size: size, run: run})
	q.queuedBytes += size
}

// postProgress sets the reader's progress for the next notification. It reports whether a notification has to be
// sent, and the number of queued bytes.
func (q *commandQueue) postProgress(reads int64, partialSince clock.Instant) (notify bool, queuedBytes int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.postedReads = reads
	q.postedPartialSince = partialSince
	notify = !q.notified
	q.notified = true
	return notify, q.queuedBytes
}

// receiveProgress ends a notification and returns the reader's progress.
func (q *commandQueue) receiveProgress() (reads int64, partialSince clock.Instant) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.notified = false
	return q.postedReads, q.postedPartialSince
}

// loadQueuedBytes returns the number of queued bytes.
func (q *commandQueue) loadQueuedBytes() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.queuedBytes
}

// dequeue removes the first queued command.
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
	q.commands[q.head] = queuedCommand{} // for the garbage collector
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

// resetCommands empties the slice of commands, all of which are started, and drops one that a flood has made large.
func (q *commandQueue) resetCommands() {
	q.commands = q.commands[:0]
	q.head = 0
	if cap(q.commands) > maxInFlight {
		q.commands = nil
	}
}

// rejectOverflow rejects all queued commands if more than maxQueuedBytes are queued though the loop has started what
// it may. Else the reader would wait for commands in flight and would not see the end of a client that has closed
// behind what is unread: attempts would be made for commands whose client is gone.
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

// signalSpace wakes a reader that waits for space in the queue.
func (q *commandQueue) signalSpace() {
	select {
	case q.hasSpace <- struct{}{}:
	default:
	}
}

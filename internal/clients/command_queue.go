package clients

import (
	"sync"

	"ravensill/internal/clock"
	"ravensill/internal/memory"
)

// smallCommandBytes is the size of a command's text up to which it is queued without regard to the memory that is left.
const smallCommandBytes = 1024

// queuedOverhead is the memory counted for a queued command in addition to its text, in bytes.
const queuedOverhead = 128

// commandQueue passes commands from a connection's reader to the event loop. At most one notification per connection is
// queued for the loop. So a client that sends very many commands neither fills the loop's queue of functions nor keeps
// the reader from seeing the end of the connection; commands that are not started by then never start.
type commandQueue struct {
	memory             *memory.Budget  // of the commands of all connections of the server
	mu                 sync.Mutex      // guards the following fields except hasSpace
	commands           []queuedCommand // commands[head:] are not started
	head               int             // index of the next command to start
	queuedBytes        int             // total size of commands[head:]
	postedReads        int64           // the link's ReadCount when the reader last called postProgress
	postedPartialSince clock.Instant   // the reader's readerPartialSince at that time
	notified           bool            // whether a notification is on its way to the loop
	released           bool            // whether the connection has ended and nothing may be queued
	hasSpace           chan struct{}   // holds a value after the loop has taken or rejected commands
}

// queuedCommand is one command that waits to be started, or stands for several commands in a row that are rejected.
type queuedCommand struct {
	size     int           // bytes that it counts in the queue
	run      func(*Answer) // starts the command, on the event loop; nil for rejected ones
	rejected int           // number of rejected commands; 0: one command that is not rejected
	endsConn bool          // whether the entry ends the connection, because of a fault of the client
}

// count returns the number of commands for which the entry stands.
func (q queuedCommand) count() int { return max(q.rejected, 1) }

// admitsCommand reports whether there is memory for one more command whose text has size bytes. For a small one there
// always is: the reader waits behind it while too many are queued.
func (q *commandQueue) admitsCommand(size int) bool {
	if size <= smallCommandBytes {
		return true
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.memory.Admits(q.queuedBytes, size)
}

// enqueue adds a command whose text has size bytes. The reader calls it.
func (q *commandQueue) enqueue(size int, run func(*Answer)) {
	q.append(queuedCommand{size: size + queuedOverhead, run: run})
}

// enqueueEnd adds the end of the connection. The reader calls it.
func (q *commandQueue) enqueueEnd(run func(*Answer)) {
	q.append(queuedCommand{size: queuedOverhead, run: run, endsConn: true})
}

func (q *commandQueue) append(command queuedCommand) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.released {
		return
	}
	q.commands = append(q.commands, command)
	q.addBytes(command.size)
}

// addBytes changes the number of queued bytes. The caller holds mu.
func (q *commandQueue) addBytes(count int) {
	q.queuedBytes += count
	q.memory.Add(count)
}

// release drops all queued commands, because the connection has ended. Nothing is queued after that.
func (q *commandQueue) release() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.released = true
	q.commands = nil
	q.head = 0
	q.addBytes(-q.queuedBytes)
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

// dequeue removes and returns the first queued command; ok is false if there is none. Its size stays counted in memory;
// the caller has to release it. It wakes the reader, which may wait for space.
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
	q.signalSpace()
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

// rejectOver rejects all queued commands if more than maxBytes are queued; they take next to no memory then. An end of
// the connection stays queued. The loop calls it after it has started all commands that it may start. If the commands
// stayed queued instead, the reader would wait until earlier commands are answered and would not read the end of the
// stream behind the unread commands: attempts would be made for commands whose client is gone. It wakes the reader.
func (q *commandQueue) rejectOver(maxBytes int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	defer q.signalSpace()
	if q.queuedBytes <= maxBytes {
		return
	}
	kept := []queuedCommand{{size: queuedOverhead}}
	for _, command := range q.commands[q.head:] {
		if command.endsConn {
			kept = append(kept, command)
		} else {
			kept[0].rejected += command.count()
		}
	}
	if kept[0].rejected == 0 {
		kept = kept[1:]
	}
	q.commands = kept
	q.head = 0
	q.addBytes(len(kept)*queuedOverhead - q.queuedBytes)
}

// signalSpace wakes the reader if it waits for space in the queue.
func (q *commandQueue) signalSpace() {
	select {
	case q.hasSpace <- struct{}{}:
	default:
	}
}

// Package task is how the parts of the rig run: each is one goroutine that owns its state and is told what to do by
// messages, so that no state of it needs a lock. Nothing else decides when a message is carried out.
package task

import (
	"sync"
	"time"
)

const inbox = 4096 // messages that wait; who sends more waits too

var epoch = time.Now()

// Now is the rig's one clock: Unix time in nanoseconds that never runs back.
func Now() int64 { return epoch.UnixNano() + int64(time.Since(epoch)) }

// Task carries out messages one after another.
type Task struct {
	work chan func()
	over chan struct{}
	once sync.Once
}

// New starts one.
func New() *Task {
	t := &Task{work: make(chan func(), inbox), over: make(chan struct{})}
	go func() {
		for {
			select {
			case f := <-t.work:
				f()
			case <-t.over:
				return
			}
		}
	}()
	return t
}

// Do hands a message over; it is carried out later, or never once the task is stopped.
func (t *Task) Do(f func()) {
	select {
	case t.work <- f:
	case <-t.over:
	}
}

// Ask hands a message over and waits until it is carried out. It tells false where the task was stopped before.
// A task must not ask itself.
func (t *Task) Ask(f func()) bool {
	done := make(chan struct{})
	t.Do(func() {
		f()
		close(done)
	})
	select {
	case <-done:
		return true
	case <-t.over:
		return false
	}
}

// After hands a message over when so much time has gone by. The timer may be stopped.
func (t *Task) After(d time.Duration, f func()) *time.Timer {
	return time.AfterFunc(d, func() { t.Do(f) })
}

// Over is closed once the task is stopped.
func (t *Task) Over() <-chan struct{} { return t.over }

// Stop ends the task; messages that still wait are dropped. It may be called again.
func (t *Task) Stop() { t.once.Do(func() { close(t.over) }) }

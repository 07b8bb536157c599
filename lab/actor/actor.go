// Package actor runs a goroutine that owns its state and receives messages, one after another, so that no state of it
// needs a lock.
package actor

import (
	"sync"
	"time"
)

const inboxSize = 4096 // queued messages; a sender waits while the inbox is full

var epoch = time.Now()

// Now returns Unix time in nanoseconds that never runs backward.
func Now() int64 { return epoch.UnixNano() + int64(time.Since(epoch)) }

// Actor runs messages in the order in which they were sent.
type Actor struct {
	inbox    chan func()
	stopped  chan struct{}
	stopOnce sync.Once
}

// New starts an actor.
func New() *Actor {
	a := &Actor{inbox: make(chan func(), inboxSize), stopped: make(chan struct{})}
	go a.run()
	return a
}

func (a *Actor) run() {
	for {
		select {
		case message := <-a.inbox:
			message()
		case <-a.stopped:
			return
		}
	}
}

// Do sends a message without waiting for it to run. The message is dropped if the actor is stopped before it runs.
func (a *Actor) Do(message func()) {
	select {
	case a.inbox <- message:
	case <-a.stopped:
	}
}

// Ask sends a message, waits, and reports whether the message ran before the actor was stopped. An actor that asks
// itself deadlocks.
func (a *Actor) Ask(message func()) bool {
	done := make(chan struct{})
	a.Do(func() {
		message()
		close(done)
	})
	select {
	case <-done:
		return true
	case <-a.stopped:
		return false
	}
}

// After sends a message after a delay. The returned timer may be stopped.
func (a *Actor) After(delay time.Duration, message func()) *time.Timer {
	return time.AfterFunc(delay, func() { a.Do(message) })
}

// Stopped returns a channel that is closed once the actor is stopped.
func (a *Actor) Stopped() <-chan struct{} { return a.stopped }

// Stop ends the actor and drops queued messages. It may be called more than once.
func (a *Actor) Stop() { a.stopOnce.Do(func() { close(a.stopped) }) }

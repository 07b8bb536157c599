// Package actor provides goroutines that own their state and run messages one after another, so that the state needs no
// lock.
package actor

import (
	"sync"
	"time"
)

const inboxSize = 4096 // messages that can be queued; a sender blocks while the inbox is full

var epoch = time.Now()

// Now returns the Unix time in nanoseconds. It is based on the monotonic clock since the start of the process, so it
// never goes backward.
func Now() int64 { return epoch.UnixNano() + int64(time.Since(epoch)) }

// Actor runs messages, which are functions, in the order in which they are sent. Its methods may be called by any
// goroutine.
type Actor struct {
	inbox    chan func()
	stopped  chan struct{}
	stopOnce sync.Once
}

// New starts an actor. Stop ends its goroutine.
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

// Do sends a message without waiting until it has run. It blocks while the inbox is full. The message is dropped if the
// actor is stopped first.
func (a *Actor) Do(message func()) {
	select {
	case a.inbox <- message:
	case <-a.stopped:
	}
}

// Ask sends a message and waits until it has run. It returns false if the actor was stopped first. A message must not
// call Ask on its own actor, because that deadlocks.
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

// After sends a message after a delay, unless the returned timer is stopped before.
func (a *Actor) After(delay time.Duration, message func()) *time.Timer {
	return time.AfterFunc(delay, func() { a.Do(message) })
}

// Stopped returns a channel that is closed when Stop is called.
func (a *Actor) Stopped() <-chan struct{} { return a.stopped }

// Stop ends the actor and drops queued messages. A message that is running is not interrupted. Stop may be called more
// than once.
func (a *Actor) Stop() { a.stopOnce.Do(func() { close(a.stopped) }) }

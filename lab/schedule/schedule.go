// Package schedule is the event queue of a discrete-event simulation. Events come out in the order of their times,
// and events of the same time in the order in which they were added, so that the same simulation always runs in the
// same way.
package schedule

import "container/heap"

// Schedule holds events that are to happen. Its zero value is empty and ready to use.
type Schedule[T any] struct {
	events eventHeap[T]
	added  int64 // events added so far
}

// scheduled is an event with its time and its place in the order of addition.
type scheduled[T any] struct {
	at    int64 // ns
	order int64
	event T
}

// eventHeap implements heap.Interface.
type eventHeap[T any] []scheduled[T]

func (h eventHeap[T]) Len() int { return len(h) }

func (h eventHeap[T]) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].order < h[j].order
}

func (h eventHeap[T]) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *eventHeap[T]) Push(x any) { *h = append(*h, x.(scheduled[T])) }

func (h *eventHeap[T]) Pop() any {
	last := len(*h) - 1
	event := (*h)[last]
	(*h)[last] = scheduled[T]{} // for the garbage collector
	*h = (*h)[:last]
	return event
}

// Add schedules an event at a time in nanoseconds.
func (s *Schedule[T]) Add(at int64, event T) {
	s.added++
	heap.Push(&s.events, scheduled[T]{at, s.added, event})
}

// Next removes the earliest event and returns it with its time. It panics if there is none.
func (s *Schedule[T]) Next() (at int64, event T) {
	next := heap.Pop(&s.events).(scheduled[T])
	return next.at, next.event
}

// NextTime returns the time of the earliest event in nanoseconds. It panics if there is none.
func (s *Schedule[T]) NextTime() int64 { return s.events[0].at }

// Len returns the number of scheduled events.
func (s *Schedule[T]) Len() int { return len(s.events) }

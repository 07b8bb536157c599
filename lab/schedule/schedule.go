// Package schedule is the event queue of a discrete-event simulation. Events come out in the order of their times,
// and events of the same time in the order in which they were added, so that the same simulation always runs in the
// same way.
package schedule

import (
	"container/heap"
	"iter"
)

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

// Until removes and yields all events up to a time in nanoseconds, with their times. Events that the loop's body adds
// are among them.
func (s *Schedule[T]) Until(end int64) iter.Seq2[int64, T] {
	return func(yield func(int64, T) bool) {
		for len(s.events) > 0 && s.events[0].at <= end {
			if !yield(s.Next()) {
				return
			}
		}
	}
}

// Len returns the number of scheduled events.
func (s *Schedule[T]) Len() int { return len(s.events) }

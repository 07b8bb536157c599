// Package schedule provides the event queue of a discrete-event simulation. It returns events in the order of their
// times, and events of the same time in the order in which they were added, so that a simulation is deterministic.
package schedule

import (
	"container/heap"
	"iter"
)

// Schedule is a queue of events with their times. Its zero value is empty and ready to use. It is not safe for
// concurrent use.
type Schedule[T any] struct {
	events eventHeap[T]
	added  int64 // number of events added so far
}

// scheduled is an event in the queue.
type scheduled[T any] struct {
	at    int64 // ns
	order int64 // position in the order of addition
	event T
}

// eventHeap implements heap.Interface; the earliest event is at its top.
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
	(*h)[last] = scheduled[T]{} // lets the garbage collector free the event
	*h = (*h)[:last]
	return event
}

// Add schedules an event at a time in nanoseconds. An event that is earlier than those already returned comes next.
func (s *Schedule[T]) Add(at int64, event T) {
	s.added++
	heap.Push(&s.events, scheduled[T]{at, s.added, event})
}

// Next removes the earliest event and returns it with its time in nanoseconds. It panics if there is none.
func (s *Schedule[T]) Next() (at int64, event T) {
	next := heap.Pop(&s.events).(scheduled[T])
	return next.at, next.event
}

// Until removes and yields all events up to and including a time in nanoseconds, with their times. This includes events
// that the loop's body adds. Events that are left when the loop ends early stay in the schedule.
func (s *Schedule[T]) Until(end int64) iter.Seq2[int64, T] {
	return func(yield func(int64, T) bool) {
		for len(s.events) > 0 && s.events[0].at <= end {
			if !yield(s.Next()) {
				return
			}
		}
	}
}

// Len returns the number of events in the schedule.
func (s *Schedule[T]) Len() int { return len(s.events) }

package logic

import (
	"cmp"
	"container/heap"
	"slices"
)

// counterQueue holds the customers whose counters are to be sent to a peer.
type counterQueue []*subscription

// maxSortedQueue is the length up to which a queue is sorted for each message. A longer one becomes a heap: sorting
// ever new customers 25 times a second would take all of the processor's time.
const maxSortedQueue = 256

// order moves the counter with the most unsent units to the head of the queue. The returned function removes the head,
// after which the one with the most unsent units of the others is at the head.
func (q *counterQueue) order() (removeFirst func()) {
	if len(*q) > maxSortedQueue {
		heap.Init(q)
		return func() { heap.Pop(q) }
	}
	slices.SortStableFunc(*q, func(a, b *subscription) int { return cmp.Compare(b.unsent(), a.unsent()) })
	return func() { *q = (*q)[1:] }
}

// removeDropped removes the customers of which this gateway has no record any more.
func (q *counterQueue) removeDropped() {
	*q = slices.DeleteFunc(*q, func(s *subscription) bool { return s.customer.dropped })
}

// Len implements heap.Interface.
func (q counterQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q counterQueue) Less(i, j int) bool { return q[i].unsent() > q[j].unsent() }

// Swap implements heap.Interface.
func (q counterQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *counterQueue) Push(x any) { *q = append(*q, x.(*subscription)) }

// Pop implements heap.Interface.
func (q *counterQueue) Pop() any {
	last := len(*q) - 1
	s := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	return s
}

// Package agenda keeps what is to happen in simulated time: first what comes first, and of what comes at one time what
// was put in first. So the same simulation runs alike each time.
package agenda

import "container/heap"

// Agenda is empty at its zero value.
type Agenda[T any] struct {
	items items[T]
	n     int64 // put in so far
}

type item[T any] struct {
	at, nth int64
	what    T
}

type items[T any] []item[T]

func (q items[T]) Len() int { return len(q) }
func (q items[T]) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].nth < q[j].nth
}
func (q items[T]) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *items[T]) Push(x any)   { *q = append(*q, x.(item[T])) }
func (q *items[T]) Pop() any {
	last := len(*q) - 1
	x := (*q)[last]
	(*q)[last] = item[T]{}
	*q = (*q)[:last]
	return x
}

// Put enters something at a time, in nanoseconds.
func (a *Agenda[T]) Put(at int64, what T) {
	a.n++
	heap.Push(&a.items, item[T]{at, a.n, what})
}

// Next takes out what comes next and when it does. There must be something.
func (a *Agenda[T]) Next() (at int64, what T) {
	x := heap.Pop(&a.items).(item[T])
	return x.at, x.what
}

func (a *Agenda[T]) Len() int { return len(a.items) }

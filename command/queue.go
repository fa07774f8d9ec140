package command

import (
	"container/heap"
	"time"
)

// entry is an item of a queue with the time at which it is due.
type entry[T any] struct {
	at    time.Time
	item  T
	index int
}

// queue is a priority queue of items, ordered by the time at which they are due.
type queue[T any] struct{ entries entries[T] }

// add adds an item to the queue. The returned entry can be passed to remove.
func (q *queue[T]) add(at time.Time, item T) *entry[T] {
	e := &entry[T]{at: at, item: item}
	heap.Push(&q.entries, e)
	return e
}

// remove removes an entry from the queue. It does nothing if the entry is nil or
// has been removed already.
func (q *queue[T]) remove(e *entry[T]) {
	if e != nil && e.index >= 0 {
		heap.Remove(&q.entries, e.index)
	}
}

// len returns the number of items.
func (q *queue[T]) len() int { return len(q.entries) }

// nextDue returns when the first item is due; ok is false if there is none.
func (q *queue[T]) nextDue() (time.Time, bool) {
	if len(q.entries) == 0 {
		return time.Time{}, false
	}
	return q.entries[0].at, true
}

// popDue removes and returns the first item if it is due.
func (q *queue[T]) popDue(now time.Time) (T, bool) {
	if len(q.entries) == 0 || now.Before(q.entries[0].at) {
		var none T
		return none, false
	}
	return heap.Pop(&q.entries).(*entry[T]).item, true
}

// entries implements heap.Interface.
type entries[T any] []*entry[T]

func (s entries[T]) Len() int           { return len(s) }
func (s entries[T]) Less(i, j int) bool { return s[i].at.Before(s[j].at) }

func (s entries[T]) Swap(i, j int) {
	s[i], s[j] = s[j], s[i]
	s[i].index, s[j].index = i, j
}

// Push implements heap.Interface.
func (s *entries[T]) Push(x any) {
	e := x.(*entry[T])
	e.index = len(*s)
	*s = append(*s, e)
}

// Pop implements heap.Interface.
func (s *entries[T]) Pop() any {
	last := len(*s) - 1
	e := (*s)[last]
	(*s)[last] = nil
	*s = (*s)[:last]
	e.index = -1
	return e
}

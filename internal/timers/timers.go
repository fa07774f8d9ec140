// Package timers implements a priority queue of items ordered by due time. It
// does not read the clock; callers pass the time.
package timers

import (
	"cmp"
	"container/heap"
	"time"
)

// Timer holds the due time of the item that contains it. The zero value is not
// set. Among timers with the same due time, the one with the lower Order is
// first.
type Timer struct {
	Order uint64
	at    time.Time
	// position is the index in the heap plus 1, or 0 when the timer is not set.
	position int
}

// DueTime returns the due time; ok is false when the timer is not set.
func (t *Timer) DueTime() (at time.Time, ok bool) { return t.at, t.position > 0 }

// Item is implemented by types that contain a Timer.
type Item interface{ Timer() *Timer }

// Heap is a min-heap of the items whose timers are set. The zero value is an
// empty heap.
type Heap[T Item] struct{ items itemHeap[T] }

// Set sets an item's timer to this due time, whether or not it was set before.
func (h *Heap[T]) Set(item T, at time.Time) {
	t := item.Timer()
	t.at = at
	if t.position == 0 {
		heap.Push(&h.items, item)
		return
	}
	heap.Fix(&h.items, t.position-1)
}

// Stop unsets an item's timer and removes the item. It does nothing if the timer
// is not set.
func (h *Heap[T]) Stop(item T) {
	if t := item.Timer(); t.position > 0 {
		heap.Remove(&h.items, t.position-1)
	}
}

// First returns the item with the earliest due time, and that time; ok is false
// when the heap is empty.
func (h *Heap[T]) First() (item T, at time.Time, ok bool) {
	if len(h.items) == 0 {
		return item, at, false
	}
	return h.items[0], h.items[0].Timer().at, true
}

// Due returns the item with the earliest due time; ok is true if it is due at
// now. The item stays in the heap.
func (h *Heap[T]) Due(now time.Time) (item T, ok bool) {
	item, at, ok := h.First()
	return item, ok && !now.Before(at)
}

// Len returns how many timers are set.
func (h *Heap[T]) Len() int { return len(h.items) }

// itemHeap implements heap.Interface.
type itemHeap[T Item] []T

func (h itemHeap[T]) Len() int { return len(h) }

func (h itemHeap[T]) Less(i, j int) bool {
	a, b := h[i].Timer(), h[j].Timer()
	return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.Order, b.Order)) < 0
}

func (h itemHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].Timer().position, h[j].Timer().position = i+1, j+1
}

func (h *itemHeap[T]) Push(x any) {
	item := x.(T)
	item.Timer().position = len(*h) + 1
	*h = append(*h, item)
}

func (h *itemHeap[T]) Pop() any {
	last := len(*h) - 1
	item := (*h)[last]
	var none T
	(*h)[last] = none
	*h = (*h)[:last]
	item.Timer().position = 0
	return item
}

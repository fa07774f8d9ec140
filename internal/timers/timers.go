// Package timers keeps a set of things in the order of when they are due. It
// reads no clock.
package timers

import (
	"cmp"
	"container/heap"
	"time"
)

// Timer is when a thing is due. It is part of the thing; the zero value is not
// set. Order breaks ties.
type Timer struct {
	Order uint64
	at    time.Time
	// place is the index in the heap and one, or 0 when not set.
	place int
}

// DueTime reports whether the timer is set, and for when.
func (t *Timer) DueTime() (at time.Time, ok bool) { return t.at, t.place > 0 }

// Item is a thing with a timer.
type Item interface{ Timer() *Timer }

// Heap holds the items whose timers are set. The zero value is empty.
type Heap[T Item] struct{ list order[T] }

// Set has an item's timer go off at that time.
func (h *Heap[T]) Set(item T, at time.Time) {
	t := item.Timer()
	t.at = at
	if t.place == 0 {
		heap.Push(&h.list, item)
		return
	}
	heap.Fix(&h.list, t.place-1)
}

// Stop unsets an item's timer.
func (h *Heap[T]) Stop(item T) {
	if t := item.Timer(); t.place > 0 {
		heap.Remove(&h.list, t.place-1)
	}
}

// First returns the item that is due first, and when; ok is false when there
// is none.
func (h *Heap[T]) First() (item T, at time.Time, ok bool) {
	if len(h.list) == 0 {
		return item, at, false
	}
	return h.list[0], h.list[0].Timer().at, true
}

// Due returns the item that is due first, if its time has come by now.
func (h *Heap[T]) Due(now time.Time) (item T, ok bool) {
	item, at, ok := h.First()
	return item, ok && !now.Before(at)
}

// Len returns how many timers are set.
func (h *Heap[T]) Len() int { return len(h.list) }

// order implements heap.Interface.
type order[T Item] []T

func (o order[T]) Len() int { return len(o) }

func (o order[T]) Less(i, j int) bool {
	a, b := o[i].Timer(), o[j].Timer()
	return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.Order, b.Order)) < 0
}

func (o order[T]) Swap(i, j int) {
	o[i], o[j] = o[j], o[i]
	o[i].Timer().place, o[j].Timer().place = i+1, j+1
}

func (o *order[T]) Push(x any) {
	item := x.(T)
	item.Timer().place = len(*o) + 1
	*o = append(*o, item)
}

func (o *order[T]) Pop() any {
	last := len(*o) - 1
	item := (*o)[last]
	var none T
	(*o)[last] = none
	*o = (*o)[:last]
	item.Timer().place = 0
	return item
}

package timers

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

type testItem struct {
	name  string
	timer Timer
}

func (t *testItem) Timer() *Timer { return &t.timer }

func TestHeap(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	a, b, c := &testItem{name: "a", timer: Timer{Order: 1}}, &testItem{name: "b", timer: Timer{Order: 2}}, &testItem{name: "c", timer: Timer{Order: 3}}
	var h Heap[*testItem]
	_, _, ok := h.First()
	is.True(!ok)
	h.Set(c, now)
	h.Set(b, now)
	h.Set(a, now.Add(time.Second))
	first := func() string { x, _, _ := h.First(); return x.name }
	is.Equal(first(), "b") // among equal due times, the lower order is first
	h.Set(a, now.Add(-time.Second))
	is.Equal(first(), "a")
	h.Stop(a)
	h.Stop(a) // stopping an unset timer does nothing
	_, set := a.timer.DueTime()
	is.True(!set)
	is.Equal(first(), "b")
	h.Stop(b)
	at, set := c.timer.DueTime()
	is.True(set)
	is.Equal(at, now)
	is.Equal(h.Len(), 1)
}

func TestDue(t *testing.T) {
	is := is.New(t)
	var h Heap[*testItem]
	now := time.Unix(1000, 0)
	_, due := h.Due(now)
	is.True(!due) // the heap is empty
	x := &testItem{}
	h.Set(x, now)
	_, due = h.Due(now.Add(-1))
	is.True(!due)
	item, due := h.Due(now)
	is.True(due)
	is.Equal(item, x)
}

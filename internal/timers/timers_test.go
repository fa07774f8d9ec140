package timers

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

type thing struct {
	name  string
	timer Timer
}

func (t *thing) Timer() *Timer { return &t.timer }

func TestHeap(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	a, b, c := &thing{name: "a", timer: Timer{Order: 1}}, &thing{name: "b", timer: Timer{Order: 2}}, &thing{name: "c", timer: Timer{Order: 3}}
	var h Heap[*thing]
	_, _, ok := h.First()
	is.True(!ok)
	h.Set(c, now)
	h.Set(b, now)
	h.Set(a, now.Add(time.Second))
	first := func() string { x, _, _ := h.First(); return x.name }
	is.Equal(first(), "b") // of equal times the lower order
	h.Set(a, now.Add(-time.Second))
	is.Equal(first(), "a")
	h.Stop(a)
	h.Stop(a) // once more does no harm
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
	var h Heap[*thing]
	now := time.Unix(1000, 0)
	_, due := h.Due(now)
	is.True(!due) // nothing is set
	x := &thing{}
	h.Set(x, now)
	_, due = h.Due(now.Add(-1))
	is.True(!due)
	item, due := h.Due(now)
	is.True(due)
	is.Equal(item, x)
}

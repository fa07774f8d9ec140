package query

import (
	"container/heap"
	"time"
)

// timers is a heap of runs by when they want a tick.
type timers []*run

func (t timers) Len() int { return len(t) }
func (t timers) Less(i, j int) bool {
	if t[i].wake.Equal(t[j].wake) {
		return t[i].id < t[j].id
	}
	return t[i].wake.Before(t[j].wake)
}
func (t timers) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].timer, t[j].timer = i, j
}

// Push adds a run; it serves container/heap.
func (t *timers) Push(x any) {
	r := x.(*run)
	r.timer = len(*t)
	*t = append(*t, r)
}

// Pop removes the last run; it serves container/heap.
func (t *timers) Pop() any {
	last := len(*t) - 1
	r := (*t)[last]
	(*t)[last] = nil
	*t = (*t)[:last]
	r.timer = noTimer
	return r
}

// noTimer is the heap index of a run without a timer.
const noTimer = -1

// set makes the run tick at that time.
func (t *timers) set(r *run, at time.Time) {
	r.wake = at
	if r.timer == noTimer {
		heap.Push(t, r)
		return
	}
	heap.Fix(t, r.timer)
}

func (t *timers) stop(r *run) {
	if r.timer != noTimer {
		heap.Remove(t, r.timer)
	}
}

package forward

import (
	"container/heap"
	"time"
)

// noTimer is the index of a run without a timer.
const noTimer = -1

// timers is a heap of the runs by when they want a tick.
type timers []*run

func (t *timers) set(r *run, at time.Time) {
	r.wake = at
	if r.index == noTimer {
		heap.Push(t, r)
		return
	}
	heap.Fix(t, r.index)
}

func (t *timers) stop(r *run) {
	if r.index != noTimer {
		heap.Remove(t, r.index)
	}
}

// Len implements heap.Interface.
func (t timers) Len() int { return len(t) }

// Less implements heap.Interface.
func (t timers) Less(i, j int) bool { return t[i].wake.Before(t[j].wake) }

// Swap implements heap.Interface.
func (t timers) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].index, t[j].index = i, j
}

// Push implements heap.Interface.
func (t *timers) Push(x any) {
	r := x.(*run)
	r.index = len(*t)
	*t = append(*t, r)
}

// Pop implements heap.Interface.
func (t *timers) Pop() any {
	old := *t
	r := old[len(old)-1]
	old[len(old)-1] = nil
	r.index = noTimer
	*t = old[:len(old)-1]
	return r
}

package query

import (
	"container/heap"
	"time"
)

// notQueued is the queueIndex of a run or part that is in no queue.
const notQueued = -1

// saturationThreshold is, for each rank, how many parts of that rank or a more
// urgent one saturate a leaf when they wait at it. Its service then starts no
// more queries of that rank. The thresholds are high enough to keep the leaf
// busy and low enough for waiting parts to finish in time.
var saturationThreshold = [urgencyLevels]int{4, 2, 1}

// leafQueue is the engine's state of one leaf. It is a heap of the parts that
// wait for a free connection, ordered by part.before.
type leafQueue struct {
	service *service
	parts   []*part
	// waiting counts, for each rank, the waiting parts of that rank or a more
	// urgent one.
	waiting [urgencyLevels]int
	// missing lists the servers that recently lacked a snapshot.
	missing []missingSnapshot
	// isRemoved is set once the leaf is no longer part of the service.
	isRemoved bool
}

func (q *leafQueue) Len() int           { return len(q.parts) }
func (q *leafQueue) Less(i, j int) bool { return q.parts[i].before(q.parts[j]) }
func (q *leafQueue) Swap(i, j int) {
	q.parts[i], q.parts[j] = q.parts[j], q.parts[i]
	q.parts[i].queueIndex, q.parts[j].queueIndex = i, j
}

// Push implements heap.Interface.
func (q *leafQueue) Push(x any) {
	p := x.(*part)
	p.queueIndex = len(q.parts)
	q.parts = append(q.parts, p)
}

// Pop implements heap.Interface.
func (q *leafQueue) Pop() any {
	last := len(q.parts) - 1
	p := q.parts[last]
	q.parts[last] = nil
	q.parts = q.parts[:last]
	p.queueIndex = notQueued
	return p
}

func (p *part) before(other *part) bool { return p.run.before(other.run) }

func (q *leafQueue) first() *part {
	if len(q.parts) == 0 {
		return nil
	}
	return q.parts[0]
}

func (q *leafQueue) add(p *part) {
	heap.Push(q, p)
	for rank := p.run.rank(); rank < urgencyLevels; rank++ {
		if q.waiting[rank]++; q.waiting[rank] == saturationThreshold[rank] {
			q.service.saturatedLeaves[rank]++
		}
	}
}

func (q *leafQueue) remove(p *part) {
	if p.queueIndex == notQueued {
		return
	}
	for rank := p.run.rank(); rank < urgencyLevels; rank++ {
		if q.waiting[rank]--; q.waiting[rank] == saturationThreshold[rank]-1 {
			q.service.saturatedLeaves[rank]--
		}
	}
	heap.Remove(q, p.queueIndex)
}

// sendWaiting sends the calls of waiting parts while a server has a free
// connection. Parts that cannot be sent any more fail, and queries past their
// deadline finish.
func (q *leafQueue) sendWaiting(now time.Time) {
	for len(q.parts) > 0 {
		p := q.parts[0]
		if !now.Before(p.run.req.Deadline) {
			p.run.finish(now)
			continue
		}
		srv, reason := p.pick(now, false)
		if srv == nil && isTransient(reason) {
			return
		}
		q.remove(p)
		if srv != nil {
			p.send(now, srv)
			continue
		}
		p.fail(now, reason)
		p.run.finishIfDecided(now)
	}
}

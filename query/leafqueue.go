package query

import (
	"container/heap"
	"time"
)

// noPlace is the index of what stands in no queue.
const noPlace = -1

// crowdedAt is how many parts of a rank, or of those before it, wait at a leaf
// before its service starts no further query of that rank: enough to keep the
// leaf busy, few enough to end in time.
var crowdedAt = [ranks]int{4, 2, 1}

// leafQueue is what the engine keeps of one leaf: a heap of the parts that
// wait for a free connection, the first served first.
type leafQueue struct {
	service *service
	parts   []*part
	// ahead counts the waiting parts of each rank and of those before it.
	ahead [ranks]int
	// marks tell which servers lack a snapshot.
	marks []mark
}

func (q *leafQueue) Len() int           { return len(q.parts) }
func (q *leafQueue) Less(i, j int) bool { return q.parts[i].before(q.parts[j]) }
func (q *leafQueue) Swap(i, j int) {
	q.parts[i], q.parts[j] = q.parts[j], q.parts[i]
	q.parts[i].place, q.parts[j].place = i, j
}

// Push adds a part; it serves container/heap.
func (q *leafQueue) Push(x any) {
	p := x.(*part)
	p.place = len(q.parts)
	q.parts = append(q.parts, p)
}

// Pop removes the last part; it serves container/heap.
func (q *leafQueue) Pop() any {
	last := len(q.parts) - 1
	p := q.parts[last]
	q.parts[last] = nil
	q.parts = q.parts[:last]
	p.place = noPlace
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
	for rank := p.run.rank(); rank < ranks; rank++ {
		if q.ahead[rank]++; q.ahead[rank] == crowdedAt[rank] {
			q.service.crowded[rank]++
		}
	}
}

func (q *leafQueue) remove(p *part) {
	if p.place == noPlace {
		return
	}
	for rank := p.run.rank(); rank < ranks; rank++ {
		if q.ahead[rank]--; q.ahead[rank] == crowdedAt[rank]-1 {
			q.service.crowded[rank]--
		}
	}
	heap.Remove(q, p.place)
}

// serve sends the calls of waiting parts while servers are free.
func (q *leafQueue) serve(now time.Time) {
	for len(q.parts) > 0 {
		p := q.parts[0]
		if !now.Before(p.run.req.Deadline) {
			p.run.finish(now)
			continue
		}
		srv, reason := p.pick(now, false)
		if srv == nil && waitable(reason) {
			return
		}
		q.remove(p)
		if srv != nil {
			p.send(now, srv)
			continue
		}
		p.fail(now, reason)
		p.run.settle(now)
	}
}

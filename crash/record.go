package crash

import (
	"cmp"
	"slices"
	"time"
)

const (
	// keepFor is how long a report is kept; requests that crash servers come
	// again within seconds.
	keepFor = 60 * time.Second
	// maxReports bounds the reports kept, so that a message stays small.
	maxReports = 128
	// answerStep is how much later an answer must be to replace one that is
	// known: ages grow by the time on the way each time they are passed on.
	answerStep = time.Second
)

// Record holds the reports of all hosts. It is not safe for concurrent use.
type Record struct {
	byRequest map[uint64]*history
	size      int
}

// NewRecord returns a Record without reports.
func NewRecord() *Record { return &Record{byRequest: make(map[uint64]*history)} }

// Take takes in a report and reports whether it changes what is known.
func (r *Record) Take(now time.Time, p Report) bool {
	at := now.Add(-time.Duration(p.AgeMs) * time.Millisecond)
	if now.Sub(at) > keepFor {
		return false
	}
	h := r.byRequest[p.Fingerprint]
	if p.Answered {
		if h == nil {
			return false // nothing is held against the request
		}
		old, known := h.answered[p.Service]
		if known && at.Sub(old) < answerStep {
			return false
		}
		h.answered[p.Service] = at
		return true
	}
	l := lifetime{p.Service, p.Server, p.Born}
	if h != nil {
		if _, known := h.crashed[l]; known {
			return false
		}
	}
	if r.size >= maxReports {
		return false
	}
	if h == nil {
		h = newHistory()
		r.byRequest[p.Fingerprint] = h
	}
	h.crashed[l] = at
	r.size++
	return true
}

// Reports returns what is to be passed on, in a fixed order.
func (r *Record) Reports(now time.Time) []Report {
	r.lapse(now)
	var out []Report
	for f, h := range r.byRequest {
		for l, at := range h.crashed {
			out = append(out, Report{Fingerprint: f, Server: l.server, AgeMs: now.Sub(at).Milliseconds(), Service: l.service, Born: l.born})
		}
		for service, at := range h.answered {
			out = append(out, Report{Fingerprint: f, AgeMs: now.Sub(at).Milliseconds(), Service: service, Answered: true})
		}
	}
	slices.SortFunc(out, compare)
	return out
}

// compare has crashes before answers, as an answer alone says nothing.
func compare(a, b Report) int {
	rank := func(p Report) int {
		if p.Answered {
			return 1
		}
		return 0
	}
	return cmp.Or(
		cmp.Compare(rank(a), rank(b)), cmp.Compare(a.Fingerprint, b.Fingerprint), cmp.Compare(a.Service, b.Service),
		cmp.Compare(a.Server, b.Server), cmp.Compare(a.Born, b.Born),
	)
}

// Verdicts returns what the reports come to for each request that a server has
// crashed under.
func (r *Record) Verdicts(now time.Time) map[uint64]Verdict {
	r.lapse(now)
	out := make(map[uint64]Verdict)
	for f, h := range r.byRequest {
		if n := len(h.standing()); n > 0 {
			out[f] = Verdict{Crashed: n}
		}
	}
	return out
}

func (r *Record) lapse(now time.Time) {
	for f, h := range r.byRequest {
		for l, at := range h.crashed {
			if now.Sub(at) > keepFor {
				delete(h.crashed, l)
				r.size--
			}
		}
		if len(h.crashed) == 0 {
			delete(r.byRequest, f)
		}
	}
}

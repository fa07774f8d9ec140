package query

import (
	"slices"
	"time"

	"github.com/figmast/figmast/document"
	"github.com/figmast/figmast/policy"
)

// Limits on changes of snapshot.
const (
	// goneFor is how long it counts that a server lacks a snapshot; then it
	// is asked again.
	goneFor = 500 * time.Millisecond
	// maxRestarts bounds how often a query starts again on another snapshot.
	maxRestarts = 2
	// mostServers is the share of each leaf's servers that must not be known to
	// lack a snapshot; halfServers holds once it is older than loading, so that
	// one server that never loads it holds nothing back for good.
	mostServers = 0.7
	halfServers = 0.5
	loading     = 10 * time.Second
)

// mark says that a server lacks a snapshot.
type mark struct {
	server   *policy.Server
	snapshot string
	until    time.Time
}

// lacks records that the server said that it does not have the snapshot.
func (q *leafQueue) lacks(now time.Time, srv *policy.Server, snapshot string) {
	until := now.Add(goneFor)
	for i := range q.marks {
		if m := &q.marks[i]; m.server == srv && m.snapshot == snapshot {
			m.until = until
			return
		}
	}
	q.marks = append(q.marks, mark{srv, snapshot, until})
	q.service.marks++
}

// without adds the leaf's servers that lack the snapshot to the list.
func (q *leafQueue) without(tried []*policy.Server, snapshot string) []*policy.Server {
	for _, m := range q.marks {
		if m.snapshot == snapshot {
			tried = append(tried, m.server)
		}
	}
	return tried
}

// forget drops marks that have expired.
func (q *leafQueue) forget(now time.Time) {
	before := len(q.marks)
	q.marks = slices.DeleteFunc(q.marks, func(m mark) bool { return !now.Before(m.until) })
	q.service.marks -= before - len(q.marks)
}

// choose returns the newest snapshot that most servers of every leaf are
// believed to serve. Where there is none, it is the newest that some server
// of every leaf may serve, and else the newest.
func (s *service) choose(now time.Time, doc *document.Service) *document.Snapshot {
	newest := len(doc.Snapshots) - 1
	if id := doc.Snapshots[newest].ID; id != s.newest {
		s.newest, s.newestSince = id, now
	}
	if s.marks > 0 {
		for _, q := range s.leaves {
			q.forget(now)
		}
	}
	if s.marks == 0 {
		return &doc.Snapshots[newest]
	}
	most := mostServers
	if now.Sub(s.newestSince) > loading {
		most = halfServers
	}
	for _, least := range []float64{most, 0} {
		for i := newest; i >= 0; i-- {
			if s.served(doc, doc.Snapshots[i].ID, least) {
				return &doc.Snapshots[i]
			}
		}
	}
	return &doc.Snapshots[newest]
}

// served reports whether more than the least share of each leaf's servers is
// believed to have the snapshot.
func (s *service) served(doc *document.Service, snapshot string, least float64) bool {
	for i := range doc.Leaves {
		l := &doc.Leaves[i]
		q := s.leaves[l.Name]
		if q == nil || len(q.marks) == 0 {
			continue
		}
		usable, lacking := q.count(doc, l, snapshot)
		if lacking > 0 && float64(usable-lacking) <= least*float64(usable) {
			return false
		}
	}
	return true
}

// count returns how many servers of the leaf get work, and how many of them
// lack the snapshot.
func (q *leafQueue) count(doc *document.Service, l *document.Leaf, snapshot string) (usable, lacking int) {
	for _, srv := range l.Servers {
		if srv.Leaving || doc.Out(srv.DataCentre) {
			continue
		}
		usable++
		for _, m := range q.marks {
			if m.snapshot == snapshot && m.server.ID == srv.ID {
				lacking++
			}
		}
	}
	return usable, lacking
}

// restart begins the query again on another snapshot, if one is believed to
// be served by all and time allows. Nothing of the first try is kept.
func (r *run) restart(now time.Time) bool {
	v := r.engine.opts.Router.View()
	doc := v.Services[r.req.Service]
	if doc == nil || !v.Valid(now) || r.restarts >= maxRestarts || r.service.late(now, r) {
		return false
	}
	s := r.service.choose(now, doc)
	if s.ID == r.snapshot.ID {
		return false
	}
	r.restarts++
	r.giveUpCalls()
	r.doc = doc
	r.pin(now, s)
	return true
}

package query

import (
	"slices"
	"time"

	"github.com/figmast/figmast/document"
	"github.com/figmast/figmast/policy"
)

// Limits of snapshot selection.
const (
	// missingTTL is how long a server is assumed to lack a snapshot after it
	// said so; then it is asked again.
	missingTTL = 500 * time.Millisecond
	// maxRestarts limits how often a query is restarted on another snapshot.
	maxRestarts = 2
	// A snapshot is chosen only if, at each leaf, more than minServingShare of
	// the servers are not known to lack it. Once the engine has known the newest
	// snapshot for longer than snapshotLoadTime, minServingShareAfterLoad
	// applies instead, so that a single server that never loads a snapshot does
	// not block its use forever.
	minServingShare          = 0.7
	minServingShareAfterLoad = 0.5
	snapshotLoadTime         = 10 * time.Second
)

// missingSnapshot records that a server lacks a snapshot.
type missingSnapshot struct {
	server   *policy.Server
	snapshot string
	until    time.Time
}

// markMissing records that the server reported not to have the snapshot.
func (q *leafQueue) markMissing(now time.Time, srv *policy.Server, snapshot string) {
	if q.isRemoved {
		return
	}
	until := now.Add(missingTTL)
	for i := range q.missing {
		if m := &q.missing[i]; m.server == srv && m.snapshot == snapshot {
			m.until = until
			return
		}
	}
	q.missing = append(q.missing, missingSnapshot{srv, snapshot, until})
	q.service.missingCount++
}

// appendMissing appends the leaf's servers that are marked as lacking the
// snapshot to tried.
func (q *leafQueue) appendMissing(tried []*policy.Server, snapshot string) []*policy.Server {
	for _, m := range q.missing {
		if m.snapshot == snapshot {
			tried = append(tried, m.server)
		}
	}
	return tried
}

// dropExpired drops the entries of missing that have expired.
func (q *leafQueue) dropExpired(now time.Time) {
	before := len(q.missing)
	q.missing = slices.DeleteFunc(q.missing, func(m missingSnapshot) bool { return !now.Before(m.until) })
	q.service.missingCount -= before - len(q.missing)
}

// chooseSnapshot returns the newest snapshot that enough servers of every leaf
// are assumed to have. If there is none, it returns the newest one that at
// least one server of every leaf may have, and failing that, the newest one.
func (s *service) chooseSnapshot(now time.Time, doc *document.Service) *document.Snapshot {
	newest := len(doc.Snapshots) - 1
	if id := doc.Snapshots[newest].ID; id != s.newestID {
		s.newestID, s.newestSince = id, now
	}
	if s.missingCount > 0 {
		for _, q := range s.leaves {
			q.dropExpired(now)
		}
	}
	if s.missingCount == 0 {
		return &doc.Snapshots[newest]
	}
	minShare := minServingShare
	if now.Sub(s.newestSince) > snapshotLoadTime {
		minShare = minServingShareAfterLoad
	}
	for _, share := range []float64{minShare, 0} {
		for i := newest; i >= 0; i-- {
			if s.isServed(doc, doc.Snapshots[i].ID, share) {
				return &doc.Snapshots[i]
			}
		}
	}
	return &doc.Snapshots[newest]
}

// isServed reports whether more than minShare of each leaf's servers are
// assumed to have the snapshot.
func (s *service) isServed(doc *document.Service, snapshot string, minShare float64) bool {
	for i := range doc.Leaves {
		l := &doc.Leaves[i]
		q := s.leaves[l.Name]
		if q == nil || len(q.missing) == 0 {
			continue
		}
		usable, lacking := q.countServers(doc, l, snapshot)
		if lacking > 0 && float64(usable-lacking) <= minShare*float64(usable) {
			return false
		}
	}
	return true
}

// countServers returns how many servers of the leaf may get calls, and how many
// of those lack the snapshot.
func (q *leafQueue) countServers(doc *document.Service, l *document.Leaf, snapshot string) (usable, lacking int) {
	for _, srv := range l.Servers {
		if srv.Leaving || doc.IsDataCentreOut(srv.DataCentre) {
			continue
		}
		usable++
		for _, m := range q.missing {
			if m.snapshot == snapshot && m.server.ID == srv.ID {
				lacking++
			}
		}
	}
	return usable, lacking
}

// restart starts the query again on the snapshot that chooseSnapshot now
// returns. It reports false if that is the current one, if there is too little
// time left, or if the query was restarted too often. Results that have already
// arrived are discarded.
func (r *run) restart(now time.Time) bool {
	v := r.engine.opts.Router.View()
	doc := v.Services[r.req.Service]
	if doc == nil || !v.Valid(now) || r.restarts >= maxRestarts || r.service.cannotFinish(now, r) {
		return false
	}
	s := r.service.chooseSnapshot(now, doc)
	if s.ID == r.snapshot.ID {
		return false
	}
	r.restarts++
	r.stopParts()
	r.doc = doc
	r.pin(now, s)
	return true
}

// Package fake implements small fakes of the external systems: the platform and
// backend servers. They serve the published protocols over real HTTP.
package fake

import (
	"bytes"
	"encoding/json"
	"net/http"
	"sort"
	"sync"

	"github.com/figmast/figmast/configstore"
)

// Paths for changing values on the fake platform.
const (
	PathPut    = "/v3/kv/put"
	PathDelete = "/v3/kv/deleterange"
)

// PathMode is the path with which tests set the Mode of the fake platform. The
// answer is its State.
const PathMode = "/fake/mode"

// Mode defines how the fake platform behaves.
type Mode struct {
	// Down makes every read fail and ends all watches.
	Down bool `json:"down,omitempty"`
	// StaleRevision, if not 0, makes every read return the values as of this
	// revision, and watches report no later changes.
	StaleRevision int64 `json:"stale,omitempty"`
}

// State is what the fake platform reports to tests.
type State struct {
	Revision int64 `json:"revision"`
	// Calls is the number of reads and watches received; a watch counts as one
	// call.
	Calls int64 `json:"calls"`
}

// PutRequest is the body of a request to set a value.
type PutRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
}

// DeleteRequest is the body of a request to delete a key.
type DeleteRequest struct {
	Key []byte `json:"key"`
}

// Platform is a fake of the configuration service, which also holds the host
// list.
type Platform struct {
	mu       sync.Mutex
	revision int64
	values   map[string]configstore.KeyValue
	history  []configstore.Event
	changed  chan struct{}
	calls    int64
	mode     Mode
}

// NewPlatform returns an empty platform at revision 1.
func NewPlatform() *Platform {
	return &Platform{revision: 1, values: make(map[string]configstore.KeyValue), changed: make(chan struct{})}
}

// Put sets the value of a key and returns the new revision.
func (p *Platform) Put(key string, value []byte) int64 {
	return p.apply(configstore.Event{Type: "PUT", Kv: configstore.KeyValue{Key: []byte(key), Value: value}})
}

// Delete deletes a key and returns the new revision.
func (p *Platform) Delete(key string) int64 {
	return p.apply(configstore.Event{Type: configstore.EventDelete, Kv: configstore.KeyValue{Key: []byte(key)}})
}

func (p *Platform) apply(e configstore.Event) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.revision++
	e.Kv.ModRevision = configstore.Int64(p.revision)
	e.Kv.CreateRevision = e.Kv.ModRevision
	if old, ok := p.values[string(e.Kv.Key)]; ok {
		e.Kv.CreateRevision = old.CreateRevision
	}
	p.history = append(p.history, e)
	if e.Type == configstore.EventDelete {
		delete(p.values, string(e.Kv.Key))
	} else {
		p.values[string(e.Kv.Key)] = e.Kv
	}
	p.notifyWatchers()
	return p.revision
}

func (p *Platform) notifyWatchers() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// SetMode changes how the platform behaves and returns its state.
func (p *Platform) SetMode(m Mode) State {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	p.notifyWatchers()
	return State{Revision: p.revision, Calls: p.calls}
}

// ServeHTTP serves the platform's protocol.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case configstore.PathRange, configstore.PathWatch:
		p.serveRead(w, r)
	case PathMode:
		serveJSON(w, r, func(m Mode) any { return p.SetMode(m) })
	case PathPut:
		serveJSON(w, r, func(q PutRequest) any { return header(p.Put(string(q.Key), q.Value)) })
	case PathDelete:
		serveJSON(w, r, func(q DeleteRequest) any { return header(p.Delete(string(q.Key))) })
	default:
		http.NotFound(w, r)
	}
}

// serveRead counts and serves range reads and watches.
func (p *Platform) serveRead(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	p.calls++
	down := p.mode.Down
	p.mu.Unlock()
	switch {
	case down:
		http.Error(w, "unavailable", http.StatusServiceUnavailable)
	case r.URL.Path == configstore.PathRange:
		serveJSON(w, r, p.readRange)
	default:
		p.watch(w, r)
	}
}

func header(revision int64) configstore.RangeResponse {
	return configstore.RangeResponse{Header: configstore.Header{Revision: configstore.Int64(revision)}}
}

func serveJSON[T any](w http.ResponseWriter, r *http.Request, f func(T) any) {
	var req T
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(f(req))
}

func (p *Platform) readRange(q configstore.RangeRequest) any {
	p.mu.Lock()
	defer p.mu.Unlock()
	revision, values := p.visibleState()
	out := header(revision)
	for key, kv := range values {
		if !inRange([]byte(key), q.Key, q.RangeEnd) {
			continue
		}
		out.Count++
		if !q.CountOnly {
			out.Kvs = append(out.Kvs, kv)
		}
	}
	sort.Slice(out.Kvs, func(i, j int) bool { return bytes.Compare(out.Kvs[i].Key, out.Kvs[j].Key) < 0 })
	return out
}

// visibleState returns the revision and the values that reads see. The caller
// holds mu.
func (p *Platform) visibleState() (int64, map[string]configstore.KeyValue) {
	if p.mode.StaleRevision == 0 {
		return p.revision, p.values
	}
	values := make(map[string]configstore.KeyValue)
	for _, e := range p.history {
		key := string(e.Kv.Key)
		switch {
		case int64(e.Kv.ModRevision) > p.mode.StaleRevision:
		case e.Type == configstore.EventDelete:
			delete(values, key)
		default:
			values[key] = e.Kv
		}
	}
	return p.mode.StaleRevision, values
}

func inRange(key, from, to []byte) bool {
	if len(to) == 0 {
		return bytes.Equal(key, from)
	}
	return bytes.Compare(key, from) >= 0 && bytes.Compare(key, to) < 0
}

func (p *Platform) watch(w http.ResponseWriter, r *http.Request) {
	var req configstore.WatchRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	q := req.CreateRequest
	out := http.NewResponseController(w)
	lines := json.NewEncoder(w)
	w.Header().Set("Content-Type", "application/json")
	created := true
	for next := int64(q.StartRevision); ; {
		events, revision, changed, down := p.eventsSince(next, q)
		if down {
			return
		}
		if created || len(events) > 0 {
			res := configstore.WatchResult{Header: configstore.Header{Revision: configstore.Int64(revision)}, Created: created, Events: events}
			if lines.Encode(configstore.WatchResponse{Result: res}) != nil || out.Flush() != nil {
				return
			}
		}
		created = false
		next = revision + 1
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

// eventsSince returns the watched changes from a revision on, the newest visible
// revision, a channel that is closed at the next change, and whether the
// platform is down.
func (p *Platform) eventsSince(from int64, q configstore.WatchCreate) ([]configstore.Event, int64, <-chan struct{}, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var events []configstore.Event
	until, _ := p.visibleState()
	for _, e := range p.history {
		revision := int64(e.Kv.ModRevision)
		if revision >= from && revision <= until && inRange(e.Kv.Key, q.Key, q.RangeEnd) {
			events = append(events, e)
		}
	}
	return events, max(until, from-1), p.changed, p.mode.Down
}

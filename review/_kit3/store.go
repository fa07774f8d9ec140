package main

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/figmast/figmast/platform/standin"
	"github.com/figmast/figmast/route"
)

// Limits of the platform's store, as the users' pages give them.
const (
	pageItems   = 500
	pageBytes   = 1 << 20
	historyTime = 20 * time.Second // history_s
	valueBytes  = 1 << 20          // value_bytes
)

// logStore is a metadata store that keeps each write as an event for history_s, and
// answers ranges in pages.
type logStore struct {
	mu        sync.Mutex
	revision  int64
	items     map[string]storeItem
	events    []storeEvent
	discarded int64 // the events up to this revision are no longer available
	changed   chan struct{}
}

type storeItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	LeaseID  int64  `json:"lease_id"`
	Deleted  bool   `json:"deleted,omitempty"`
}

type storeEvent struct {
	storeItem
	at time.Time
}

func newLogStore() *logStore {
	return &logStore{revision: 100, discarded: 100, items: make(map[string]storeItem), changed: make(chan struct{})}
}

// put writes a value, as the operator and the backend servers do.
func (s *logStore) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(value) > valueBytes {
		panic(notRun{"value is larger than the store takes"})
	}
	s.revision++
	it := storeItem{Key: key, Value: value, Revision: s.revision, Created: s.revision}
	if old, ok := s.items[key]; ok {
		it.Created = old.Created
	}
	s.items[key] = it
	s.add(it)
}

// remove removes the entry of a backend server.
func (s *logStore) remove(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	delete(s.items, "servers/"+id)
	s.add(storeItem{Key: "servers/" + id, Revision: s.revision, Deleted: true})
}

// add records an event and wakes the watches. The caller holds mu.
func (s *logStore) add(it storeItem) {
	s.events = append(s.events, storeEvent{it, time.Now()})
	close(s.changed)
	s.changed = make(chan struct{})
}

// putServer writes the entry of a backend server.
func (s *logStore) putServer(v route.Server) {
	x := standin.NewStore()
	x.PutServer(v)
	it := readItem(x)
	s.put(it.Key, it.Value)
}

// encodeConfig returns a configuration as the operator writes it.
func encodeConfig(c *route.Config) []byte {
	x := standin.NewStore()
	x.PutConfig(c)
	return readItem(x).Value
}

// serveFor returns the store's API as one host reaches it. It turns the host away
// while refused returns true.
func (s *logStore) serveFor(refused func() bool, asked func(path string, status, events, size int)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if refused() {
			asked(r.URL.Path, http.StatusServiceUnavailable, 0, 0)
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.Header().Set(names.Era, "0")
		q := r.URL.Query()
		switch r.URL.Path {
		case names.Range:
			list, more, revision := s.page(q.Get(names.Prefix), q.Get("after"))
			b := toJSON(map[string]any{"items": list, "has_more": more, names.Revision: revision})
			asked(r.URL.Path, http.StatusOK, len(list), len(b))
			_, _ = w.Write(b)
		case names.Watch:
			after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
			wait, _ := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
			events, revision, gone := s.watch(after, time.Duration(wait)*time.Millisecond, q.Get(names.Prefix), r)
			if gone {
				asked(r.URL.Path, http.StatusGone, 0, 0)
				w.WriteHeader(http.StatusGone)
				return
			}
			b := toJSON(map[string]any{"events": events, names.Revision: revision})
			asked(r.URL.Path, http.StatusOK, len(events), len(b))
			_, _ = w.Write(b)
		default:
			w.WriteHeader(http.StatusNotFound)
		}
	})
}

func (s *logStore) page(prefix, after string) (list []storeItem, more bool, revision int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	size := 0
	for _, k := range keys {
		it := s.items[k]
		if len(list) >= pageItems || len(list) > 0 && size+len(it.Value) > pageBytes {
			return list, true, s.revision
		}
		list, size = append(list, it), size+len(it.Value)
	}
	return list, false, s.revision
}

func (s *logStore) watch(after int64, wait time.Duration, prefix string, r *http.Request) (events []storeItem, revision int64, gone bool) {
	end := time.After(wait)
	for done := false; ; {
		s.mu.Lock()
		for len(s.events) > 0 && time.Since(s.events[0].at) > historyTime {
			s.discarded = s.events[0].Revision
			s.events = s.events[1:]
		}
		if after < s.discarded || after > s.revision {
			s.mu.Unlock()
			return nil, 0, true
		}
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
				events = append(events, e.storeItem)
			}
		}
		revision = s.revision
		changed := s.changed
		s.mu.Unlock()
		if len(events) > 0 || done {
			return events, revision, false
		}
		select {
		case <-changed:
		case <-end:
			done = true
		case <-r.Context().Done():
			return nil, revision, false
		}
	}
}

// readItem returns the only item of the project's stand-in.
func readItem(s *standin.Store) storeItem {
	answer := httptest.NewRecorder()
	s.ServeHTTP(answer, httptest.NewRequest(http.MethodGet, names.Range+"?"+names.Prefix+"=", nil))
	var body struct{ Items []storeItem }
	must(json.Unmarshal(answer.Body.Bytes(), &body))
	if len(body.Items) != 1 {
		panic(notRun{"the stand-in does not hold one item"})
	}
	return body.Items[0]
}

package main

import (
	"net"
	"net/http"
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

func (s *logStore) putServer(v route.Server) {
	state := "ready"
	if v.Draining {
		state = "draining"
	}
	s.put("servers/"+v.ID, toJSON(map[string]any{
		"service": v.Service, "address": v.Address, "zone": v.DataCentre, "version": "v1", "slot_count": v.Slots,
		"state": state, "cold_left_ms": 0, "seq_no": 1, "born": v.StartUnixMs,
	}))
}

// encodeConfig returns a configuration as the operator writes it.
func encodeConfig(c *route.Config) []byte {
	var captured []byte
	s := standin.NewStore()
	s.PutConfig(c)
	captured = readItem(s, "op/config")
	return captured
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
		w.Header().Set("Store-Era", "0")
		q := r.URL.Query()
		switch r.URL.Path {
		case "/kv-range":
			list, more, revision := s.page(q.Get("path_prefix"), q.Get("after"))
			b := toJSON(map[string]any{"items": list, "has_more": more, "store_revision": revision})
			asked(r.URL.Path, http.StatusOK, len(list), len(b))
			_, _ = w.Write(b)
		case "/kv-watch":
			after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
			wait, _ := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
			events, revision, gone := s.watch(after, time.Duration(wait)*time.Millisecond, q.Get("path_prefix"), r)
			if gone {
				asked(r.URL.Path, http.StatusGone, 0, 0)
				w.WriteHeader(http.StatusGone)
				return
			}
			b := toJSON(map[string]any{"events": events, "store_revision": revision})
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

// readItem returns the value of a key of the project's stand-in.
func readItem(s *standin.Store, key string) []byte {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	server := &http.Server{Handler: s, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(l) }()
	defer server.Close()
	resp, err := http.Get("http://" + l.Addr().String() + "/kv-range?path_prefix=")
	must(err)
	defer resp.Body.Close()
	var body struct{ Items []storeItem }
	must(decode(resp.Body, &body))
	for _, it := range body.Items {
		if it.Key == key {
			return it.Value
		}
	}
	panic(notRun{"no " + key})
}

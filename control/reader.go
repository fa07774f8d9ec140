package control

import (
	"time"

	"github.com/figmast/figmast/configstore"
)

// Intervals and timeouts of calls to the platform.
const (
	// checkInterval is how often a watcher requests the newest revision.
	checkInterval = 500 * time.Millisecond
	// staleCallInterval is how often any other host requests it while its
	// confirmation is stale. It is also the interval between reads of the
	// entire contents.
	staleCallInterval = time.Second
	// CheckTimeout bounds a request for the newest revision, ReadTimeout a read
	// of the entire contents.
	CheckTimeout = time.Second
	ReadTimeout  = 5 * time.Second
)

// platformReader is the state of this host's calls to the platform.
type platformReader struct {
	// callPending is set while a call is in progress; there is at most one.
	callPending bool
	nextCall    time.Time
	// loaded is set once the entire contents were read.
	loaded bool
	// revisionAtCall is the table's revision when the last call was started.
	revisionAtCall int64
	// newestRevision is the newest revision of the platform that the table had not
	// reached.
	newestRevision int64
}

// callPlatform requests a call to the platform when one is due.
func (s *State) callPlatform(now time.Time) {
	r := &s.platformReader
	watcher := s.isWatcher(now)
	if r.callPending || now.Before(r.nextCall) || !watcher && !s.IsConfirmationStale(now) {
		return
	}
	r.callPending, r.revisionAtCall = true, s.table.revision
	if !r.loaded || r.newestRevision > s.table.revision {
		s.out.Read = true
		r.nextCall = now.Add(staleCallInterval)
		return
	}
	s.out.Check = true
	r.nextCall = now.Add(staleCallInterval)
	if watcher {
		r.nextCall = now.Add(checkInterval)
	}
}

// WatchFrom returns the revision from which to watch the platform, and whether
// this host is to watch it now.
func (s *State) WatchFrom(now time.Time) (from int64, ok bool) {
	return s.table.revision + 1, s.platformReader.loaded && s.isWatcher(now)
}

// HandlePlatformFailure reports that a call to the platform failed.
func (s *State) HandlePlatformFailure() { s.platformReader.callPending = false }

// HandlePlatformRevision reports the platform's newest revision, requested at
// requestedAt.
func (s *State) HandlePlatformRevision(requestedAt time.Time, revision int64) {
	s.platformReader.callPending = false
	s.handleRevision(requestedAt, revision)
}

// handleRevision confirms the table if the platform's revision is that of the
// table now or when the call was started. A revision lower than both confirms
// nothing: the platform then answered from an old state, which says nothing
// about the present.
func (s *State) handleRevision(requestedAt time.Time, revision int64) {
	if revision == s.table.revision || revision == s.platformReader.revisionAtCall {
		s.confirm(requestedAt)
	}
	if revision > s.platformReader.newestRevision && revision > s.table.revision {
		s.platformReader.newestRevision = revision
		s.platformReader.nextCall = requestedAt.Add(watchGrace)
	}
}

// watchGrace is how long a watcher waits for the watch to deliver a change that
// a check has found, before it reads the entire contents.
const watchGrace = 200 * time.Millisecond

// HandlePlatformContents reports the platform's entire contents, requested at
// requestedAt.
func (s *State) HandlePlatformContents(requestedAt time.Time, contents *configstore.RangeResponse) {
	s.platformReader.callPending = false
	s.platformReader.loaded = true
	s.startup.platformRead = true
	for _, kv := range contents.Kvs {
		s.putValue(kv)
	}
	if revision := int64(contents.Header.Revision); revision > s.table.revision {
		s.removeMissing(revision, contents.Kvs)
		s.table.revision = revision
	}
	s.handleRevision(requestedAt, int64(contents.Header.Revision))
}

// putValue applies one published value and reports the verdict if the value was
// refused or changed the table.
func (s *State) putValue(kv configstore.KeyValue) {
	before := s.table.hash()
	v := s.table.put(kv)
	if v.Err != nil || s.table.hash() != before {
		s.recordVerdict(v)
	}
}

// removeMissing removes the keys from the table that the platform's contents at
// the given revision lack.
func (s *State) removeMissing(revision int64, kvs []configstore.KeyValue) {
	services, hosts := make(map[string]bool), make(map[string]bool)
	for _, kv := range kvs {
		key := string(kv.Key)
		if id, ok := hostIDFromKey(key); ok {
			hosts[id] = true
		} else if len(key) > len(configstore.PrefixServices) {
			services[key[len(configstore.PrefixServices):]] = true
		}
	}
	for _, key := range s.table.prune(revision, services, hosts) {
		s.handleRemovedKey(key)
	}
}

// HandlePlatformChanges applies the changes that a watch reports, oldest first.
func (s *State) HandlePlatformChanges(events []configstore.Event) {
	for _, e := range events {
		revision := int64(e.Kv.ModRevision)
		if revision <= s.table.revision {
			continue
		}
		if e.Type == configstore.EventDelete {
			if s.table.remove(Tombstone{Key: string(e.Kv.Key), Revision: revision}) {
				s.handleRemovedKey(string(e.Kv.Key))
			}
		} else {
			s.putValue(e.Kv)
		}
	}
	if len(events) > 0 {
		last := int64(events[len(events)-1].Kv.ModRevision)
		s.table.revision = max(s.table.revision, last)
	}
}

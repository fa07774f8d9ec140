package control

import (
	"time"

	"github.com/figmast/figmast/configstore"
)

// Intervals of asking the platform.
const (
	// checkEvery is how often a watcher asks for the newest revision.
	checkEvery = 500 * time.Millisecond
	// deafEvery is how often any other host does while it hears of the
	// platform through no peer.
	deafEvery = time.Second
	// CheckTimeout and ReadTimeout bound the two calls.
	CheckTimeout = time.Second
	ReadTimeout  = 5 * time.Second
)

// reader is what a host asks of the platform.
type reader struct {
	// calling is set while a call is under way; at most one is.
	calling  bool
	nextCall time.Time
	// loaded is set once everything was read.
	loaded bool
	// held is the table's revision when the call was made.
	held int64
	// behind is the newest revision seen at the platform.
	behind int64
}

// readPlatform asks the platform when it is time.
func (s *State) readPlatform(now time.Time) {
	r := &s.reader
	watcher := s.watches(now)
	if r.calling || now.Before(r.nextCall) || !watcher && !s.IsConfirmationStale(now) {
		return
	}
	r.calling, r.held = true, s.table.revision
	if !r.loaded || r.behind > s.table.revision {
		s.out.Read = true
		r.nextCall = now.Add(deafEvery)
		return
	}
	s.out.Check = true
	r.nextCall = now.Add(deafEvery)
	if watcher {
		r.nextCall = now.Add(checkEvery)
	}
}

// WatchFrom reports whether this host is to watch the platform now, and the
// revision to watch from.
func (s *State) WatchFrom(now time.Time) (from int64, ok bool) {
	return s.table.revision + 1, s.reader.loaded && s.watches(now)
}

// HandlePlatformFailure reports that a call to the platform failed.
func (s *State) HandlePlatformFailure() { s.reader.calling = false }

// HandlePlatformRevision reports the platform's newest revision, asked for at a time.
func (s *State) HandlePlatformRevision(asked time.Time, revision int64) {
	s.reader.calling = false
	s.platformAt(asked, revision)
}

// platformAt confirms the table if the platform is where the table is, or was
// when the platform was asked. A platform that is behind it answers from an
// old state, which says nothing about the present.
func (s *State) platformAt(asked time.Time, revision int64) {
	if revision == s.table.revision || revision == s.reader.held {
		s.confirm(asked)
	}
	if revision > s.reader.behind && revision > s.table.revision {
		s.reader.behind = revision
		s.reader.nextCall = asked.Add(changeGrace)
	}
}

// changeGrace is how long a watcher waits for the watch to bring what a check
// saw, before it reads everything.
const changeGrace = 200 * time.Millisecond

// HandlePlatformContents reports everything that the platform holds, asked for at a
// time.
func (s *State) HandlePlatformContents(asked time.Time, all *configstore.RangeResponse) {
	s.reader.calling = false
	s.reader.loaded = true
	s.fresh.platform = true
	for _, kv := range all.Kvs {
		s.putValue(kv)
	}
	if revision := int64(all.Header.Revision); revision > s.table.revision {
		s.dropMissing(revision, all.Kvs)
		s.table.revision = revision
	}
	s.platformAt(asked, int64(all.Header.Revision))
}

func (s *State) putValue(kv configstore.KeyValue) {
	before := s.table.hash()
	v := s.table.put(kv)
	if v.Err != nil || s.table.hash() != before {
		s.record(v)
	}
}

func (s *State) dropMissing(revision int64, kvs []configstore.KeyValue) {
	services, hosts := make(map[string]bool), make(map[string]bool)
	for _, kv := range kvs {
		key := string(kv.Key)
		if id, ok := hostKey(key); ok {
			hosts[id] = true
		} else if len(key) > len(configstore.PrefixServices) {
			services[key[len(configstore.PrefixServices):]] = true
		}
	}
	for _, key := range s.table.prune(revision, services, hosts) {
		s.removedKey(key)
	}
}

// HandlePlatformChanges takes in changes that a watch reports, oldest first.
func (s *State) HandlePlatformChanges(events []configstore.Event) {
	for _, e := range events {
		revision := int64(e.Kv.ModRevision)
		if revision <= s.table.revision {
			continue
		}
		if e.Type == configstore.EventDelete {
			if s.table.remove(Tombstone{Key: string(e.Kv.Key), Revision: revision}) {
				s.removedKey(string(e.Kv.Key))
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

package news

import (
	"time"

	"github.com/figmast/figmast/route"
)

// full replaces every entry that is not newer than the revision.
func (s *State) full(now time.Time, items []Item, revision int64) {
	if s.revision > revision {
		return
	}
	present := make(map[string]bool, len(items))
	for _, it := range items {
		present[it.Key] = true
		s.put(now, it)
	}
	for key, e := range s.entries {
		if !present[key] && e.Revision <= revision && !e.Deleted {
			s.put(now, Item{Key: key, Revision: revision, Deleted: true})
		}
	}
	s.revision = revision
	// Removals before the revision are unknown to whoever asks for less.
	s.floor = revision
}

// delta takes in changes up to a revision.
func (s *State) delta(now time.Time, items []Item, revision int64) {
	for _, it := range items {
		s.put(now, it)
	}
	s.revision = max(s.revision, revision)
	if len(s.entries) > maxRemoved {
		s.forget()
	}
}

// put takes in one entry or removal if it is newer than what is known.
func (s *State) put(now time.Time, it Item) {
	old := s.entries[it.Key]
	if old != nil && old.Revision >= it.Revision {
		return
	}
	e := &entry{Item: it}
	e.kind, e.name = s.opts.Decoder.Classify(it.Key)
	s.entries[it.Key] = e
	s.dirty = true
	switch {
	case e.kind == KindConfig && !it.Deleted:
		s.putConfig(e)
	case e.kind == KindServer:
		s.putServer(now, old, e)
	case e.kind == KindEvacuation:
		e.since = s.before
		if old != nil && !old.Deleted {
			e.since = old.since
		}
		s.opts.Log("evacuation changed", "data_centre", e.name, "out", !it.Deleted, "revision", it.Revision)
	}
}

func (s *State) putConfig(e *entry) {
	c, err := s.opts.Decoder.Config(e.Value)
	switch {
	case err != nil:
		s.opts.Log("configuration ignored", "revision", e.Revision, "err", err)
	case s.config != nil && c.Version < s.config.Version:
		s.opts.Log("configuration ignored", "revision", e.Revision, "version", c.Version, "in_force", s.config.Version)
	default:
		s.config = c
		s.opts.Log("configuration in force", "version", c.Version, "revision", e.Revision, "routes", len(c.Routes))
	}
}

func (s *State) putServer(now time.Time, old, e *entry) {
	if e.Deleted {
		s.removeServer(now, old, e)
		return
	}
	srv, err := s.opts.Decoder.Server(e.name, e.Value)
	if err != nil {
		e.broken = true
		s.opts.Log("server entry ignored", "server", e.name, "revision", e.Revision, "err", err)
		return
	}
	if srv.StartUnixMs < s.born[srv.ID] {
		e.broken = true
		s.opts.Log("server entry ignored", "server", e.name, "revision", e.Revision, "born", srv.StartUnixMs, "newer", s.born[srv.ID])
		return
	}
	s.born[srv.ID] = srv.StartUnixMs
	srv.DrainingSince = s.drainingSince(old, srv)
	e.server = srv
	s.opts.Log("server registered", "server", srv.ID, "service", srv.Service, "address", srv.Address,
		"data_centre", srv.DataCentre, "draining", srv.Draining, "revision", e.Revision)
}

// drainingSince returns a time before which the store did not hold that the
// server drains, or zero. An entry that was gone may have said so before.
func (s *State) drainingSince(old *entry, srv route.Server) time.Time {
	switch {
	case !srv.Draining, old != nil && old.Deleted:
		return time.Time{}
	case old != nil && old.server.Draining && old.server.Key() == srv.Key():
		return old.server.DrainingSince
	}
	return s.before
}

// removeServer keeps a server for a while that went missing while the store
// was away: it may be back as soon as it can register again.
func (s *State) removeServer(now time.Time, old, e *entry) {
	if old == nil || old.broken || old.Deleted || old.server.Draining {
		return
	}
	e.server = old.server
	if !s.returned.IsZero() && now.Sub(s.returned) < lapseFor {
		e.lapsedUntil = s.returned.Add(lapseFor)
	}
	s.opts.Log("server removed", "server", e.name, "service", old.server.Service, "revision", e.Revision, "kept", !e.lapsedUntil.IsZero())
}

// forget drops removals; whoever lacks them gets every entry instead.
func (s *State) forget() {
	for key, e := range s.entries {
		if e.Deleted && e.lapsedUntil.IsZero() {
			delete(s.entries, key)
		}
	}
	s.floor = s.revision
}

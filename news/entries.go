package news

import (
	"time"

	"github.com/figmast/figmast/route"
)

// applyFull replaces every entry that is not newer than the revision. It does
// nothing if the State has a newer revision.
func (s *State) applyFull(now time.Time, items []Item, revision int64) {
	if s.revision > revision {
		s.opts.Log("full read passed over", "revision", revision, "known_revision", s.revision)
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
	// Removals before this revision are not known here, so a host with an older
	// revision must be sent every entry.
	s.compactRevision = revision
}

// applyDelta applies changes up to a revision.
func (s *State) applyDelta(now time.Time, items []Item, revision int64) {
	for _, it := range items {
		s.put(now, it)
	}
	s.revision = max(s.revision, revision)
	if len(s.entries) > compactAbove {
		s.dropRemovals()
	}
}

// put stores an entry or a removal if it is newer than the stored one.
func (s *State) put(now time.Time, it Item) {
	old := s.entries[it.Key]
	if old != nil && old.Revision >= it.Revision {
		return
	}
	e := &entry{Item: it}
	e.kind, e.name = s.opts.Decoder.Classify(it.Key)
	e.remember(old)
	s.entries[it.Key] = e
	s.dirty = true
	switch {
	case e.kind == KindConfig:
		if !s.putConfig(e) && old != nil {
			e.Value, e.Deleted = old.Value, old.Deleted // other hosts are sent what is in force
		}
	case e.kind == KindServer:
		s.putServer(now, old, e)
	case e.kind == KindEvacuation:
		e.evacuatedSince = s.confirmedBefore
		if old != nil && (!old.Deleted || !old.retainedUntil.IsZero()) {
			e.evacuatedSince = old.evacuatedSince
		}
		s.opts.Log("evacuation changed", "data_centre", e.name, "out", !it.Deleted, "revision", it.Revision)
	}
}

// putConfig puts a configuration in force and reports whether it did: one that
// cannot be read, an older version, and a removal are ignored.
func (s *State) putConfig(e *entry) bool {
	if e.Deleted {
		s.opts.Log("configuration ignored", "revision", e.Revision, "err", "removed")
		return false
	}
	c, err := s.opts.Decoder.Config(e.Value)
	switch {
	case err != nil:
		s.opts.Log("configuration ignored", "revision", e.Revision, "err", err)
		return false
	case s.config != nil && c.Version < s.config.Version:
		s.opts.Log("configuration ignored", "revision", e.Revision, "version", c.Version, "in_force", s.config.Version)
		return false
	}
	s.config = c
	s.opts.Log("configuration in force", "version", c.Version, "revision", e.Revision, "era", s.era, "routes", len(c.Routes))
	return true
}

func (s *State) putServer(now time.Time, old, e *entry) {
	if e.Deleted {
		s.removeServer(now, old, e)
		return
	}
	srv, err := s.opts.Decoder.Server(e.name, e.Value)
	if err != nil {
		e.isInvalid = true
		s.opts.Log("server entry ignored", "server", e.name, "revision", e.Revision, "err", err)
		return
	}
	if srv.StartUnixMs < s.latestStart[srv.ID] {
		e.isInvalid = true
		s.opts.Log("server entry ignored", "server", e.name, "revision", e.Revision, "born", srv.StartUnixMs, "newer", s.latestStart[srv.ID])
		return
	}
	s.latestStart[srv.ID] = srv.StartUnixMs
	srv.DrainingSince = s.drainingSince(old, srv)
	e.server = srv
	s.opts.Log("server registered", "server", srv.ID, "service", srv.Service, "address", srv.Address,
		"data_centre", srv.DataCentre, "draining", srv.Draining, "revision", e.Revision)
}

// drainingSince returns a time at which the store did not yet list the server
// as draining, or zero if none is known. For an entry that had been removed it
// is zero, as the server may have been draining before the removal.
func (s *State) drainingSince(old *entry, srv route.Server) time.Time {
	switch {
	case !srv.Draining, old != nil && old.Deleted:
		return time.Time{}
	case old != nil && old.server.Draining && old.server.Key() == srv.Key():
		return old.server.DrainingSince
	}
	return s.confirmedBefore
}

// removeServer removes a server. If an outage of the store ended only shortly
// before, the server is kept for a while: its entry may have expired because it
// could not be renewed during the outage, and the server can register again.
func (s *State) removeServer(now time.Time, old, e *entry) {
	if old == nil || old.isInvalid || old.Deleted || old.server.Draining {
		return
	}
	e.server = old.server
	if !s.recoveredAt.IsZero() && now.Sub(s.recoveredAt) < reregisterWithin {
		e.retainedUntil = s.recoveredAt.Add(reregisterWithin)
	}
	s.opts.Log("server removed", "server", e.name, "service", old.server.Service, "revision", e.Revision, "kept", !e.retainedUntil.IsZero())
}

// dropRemovals forgets the removed entries; hosts with an older revision are
// sent every entry instead of the changes.
func (s *State) dropRemovals() {
	for key, e := range s.entries {
		if e.Deleted && e.retainedUntil.IsZero() {
			delete(s.entries, key)
		}
	}
	s.compactRevision = s.revision
}

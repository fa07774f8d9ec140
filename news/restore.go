package news

import (
	"bytes"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxPastWrites bounds the earlier writes of an entry that are remembered: a
	// copy of the store is only seconds old.
	maxPastWrites = 8
	// evacuationRewriteWithin is how long after a restore an evacuation that is
	// missing from the copy stays in force: the operator writes it again.
	evacuationRewriteWithin = 5 * time.Second
)

// write identifies a write of an entry to the store.
type write struct {
	revision int64
	value    uint64 // hash
}

// Position returns the position in the store's history that the State reflects. It
// is zero until the State rests on a read that was not stale, or on another host:
// the revision of a stale read may be one that a restore has taken back.
func (s *State) Position() Position {
	if !s.isVerified {
		return Position{}
	}
	return Position{s.era, s.revision}
}

// MarkHistoryGone records that the store does not have the changes after the
// State's revision, so that the next read has to be a full one.
func (s *State) MarkHistoryGone() { s.needsRange, s.goneRevision = true, s.revision }

// admit reports whether an answer to a read requested at asked may be applied. An
// answer without a usable era counts as one of the current era. One of an earlier
// era was given before a restore that this host has already heard of, unless it
// was asked for afterwards.
func (s *State) admit(asked time.Time, a *Answer) bool {
	problem := ""
	switch {
	case a.InvalidEra != "":
		problem = "invalid"
	case a.Era == 0 && s.era != 0:
		problem = "missing"
	case a.Era < s.era && asked.Before(s.eraSince):
		s.opts.Log("answer of an earlier era passed over", "era", a.Era, "known_era", s.era, "revision", a.Revision)
		return false
	case a.Era < s.era:
		problem = "earlier"
	}
	if problem != "" && problem != s.eraProblem {
		s.opts.Log("store named no usable era", "problem", problem, "era", a.Era, "value", a.InvalidEra, "known_era", s.era)
	}
	s.eraProblem = problem
	if problem != "" {
		a.Era = s.era
	}
	return true
}

// isOutdated reports whether another host's entries are of an earlier era. Hosts
// that name no era are believed until the first restore.
func (s *State) isOutdated(u *Update) bool {
	return u.Era < s.era && (u.Era != 0 || s.hasSeenRestore)
}

// adopt replaces the entries by those of a later era, or those of a stale read by
// ones that are not stale. After a restore, the store holds a copy that is some
// seconds old and what was written since the restore; what was written between the
// two is written again, but maybe not yet. Until then what this host knows of it
// stays in force.
func (s *State) adopt(now time.Time, items []Item, at Position) {
	previous := Position{s.era, s.revision}
	s.era, s.eraSince, s.needsRange = at.Era, now, false
	if s.revision == 0 {
		s.applyFull(now, items, at.Revision)
		return
	}
	kept := 0
	present := make(map[string]bool, len(items))
	for _, it := range items {
		present[it.Key] = true
		if s.adoptItem(now, it, at.Revision) {
			kept++
		}
	}
	if s.isVerified {
		s.recoveredAt = now
	}
	for key, e := range s.entries {
		if !present[key] && s.adoptMissing(now, e, at.Revision) {
			kept++
		}
	}
	s.revision, s.compactRevision = at.Revision, at.Revision
	if !s.isVerified {
		return // the entries were those of a stale read, not of another era
	}
	s.hasSeenRestore = true
	s.opts.Log("store restored", "era", at.Era, "previous_era", previous.Era, "revision", at.Revision, "previous_revision", previous.Revision,
		"entries", len(items), "kept", kept)
}

// adoptItem applies an entry of a later era and reports whether this host's newer
// one is kept instead.
func (s *State) adoptItem(now time.Time, it Item, revision int64) (kept bool) {
	old := s.entries[it.Key]
	switch {
	case old == nil:
	case !it.Deleted && s.isSuperseded(old, it):
		old.keep(revision)
		return true
	case !old.Deleted && !it.Deleted && bytes.Equal(old.Value, it.Value):
		old.Revision, old.written = it.Revision, it.Revision
		return false
	default:
		old.Revision = 0
	}
	s.put(now, it)
	return false
}

// adoptMissing handles an entry that a later era does not have, and reports whether
// it is kept.
func (s *State) adoptMissing(now time.Time, e *entry, revision int64) (kept bool) {
	switch {
	case e.Deleted:
		e.Revision = revision
		return false
	case e.kind == KindConfig:
		e.keep(revision)
		return true
	}
	e.Revision = 0
	s.put(now, Item{Key: e.Key, Revision: revision, Deleted: true})
	removed := s.entries[e.Key]
	if e.kind == KindEvacuation && s.isVerified {
		removed.evacuatedSince, removed.retainedUntil = e.evacuatedSince, now.Add(evacuationRewriteWithin)
	}
	return !removed.retainedUntil.IsZero()
}

// keep keeps the entry although a later era has an older one or none. Reads of that
// era up to the revision do not replace it.
func (e *entry) keep(revision int64) { e.Revision, e.isKept = revision, true }

// isSuperseded reports whether the item of a later era is an older state of the
// entry than the one that this host knows.
func (s *State) isSuperseded(e *entry, it Item) bool {
	if slices.Contains(e.past, write{it.Revision, xxhash.Sum64(it.Value)}) {
		return true
	}
	if e.kind != KindServer || e.isInvalid {
		return false
	}
	v, err := s.opts.Decoder.Server(e.name, it.Value)
	if err != nil {
		return false
	}
	// A server that has said that it is draining does not take it back.
	stopsDraining := !e.Deleted && e.server.Draining && !v.Draining && v.Key() == e.server.Key()
	return stopsDraining || v.StartUnixMs < s.latestStart[v.ID]
}

// remember adds the previous write of the entry to those known to be superseded.
func (e *entry) remember(old *entry) {
	e.written = e.Revision
	if old == nil {
		return
	}
	e.past = old.past
	if old.Deleted {
		return
	}
	e.past = append(slices.Clone(old.past), write{old.written, xxhash.Sum64(old.Value)})
	if n := len(e.past); n > maxPastWrites {
		e.past = e.past[n-maxPastWrites:]
	}
}

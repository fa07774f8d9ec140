package news

import (
	"maps"
	"slices"
	"time"

	"github.com/figmast/figmast/route"
)

// Options configure a State.
type Options struct {
	// Address and DataCentre are this host's own.
	Address    string
	DataCentre string
	// Strength is higher for hosts that had better pass on news to many.
	Strength int
	// Seeds are the addresses of some hosts, which may be down.
	Seeds   []string
	Decoder Decoder
	// ApplyWithin is how late a change may take effect here, at most.
	ApplyWithin time.Duration
	// Heartbeat is how often backend servers renew their entries.
	Heartbeat time.Duration
	// Log is told what is believed from now on, and why.
	Log func(event string, fields ...any)
}

// State is what a host knows. It is not safe for concurrent use.
type State struct {
	opts    Options
	started time.Time

	entries  map[string]*entry
	revision int64
	// floor is the least revision from which every removal is known.
	floor  int64
	config *route.Config
	// born holds the latest start of each server ID.
	born map[string]int64

	// confirmed is when the store was known to hold nothing newer; relayed is
	// the same as far as other hosts have told.
	confirmed time.Time
	relayed   time.Time
	// returned is when the store was heard of again after a long silence.
	returned time.Time

	members members
	crashes map[Crash]time.Time
	slow    map[string]slowSpan

	picture *route.Picture
	dirty   bool
	reading bool
}

// entry is a published entry with what it says.
type entry struct {
	Item
	kind   Kind
	name   string
	server route.Server
	broken bool
	// lapsedUntil is set for a removed server that is kept for a while.
	lapsedUntil time.Time
}

const (
	// lapseBeats is a silence of the store, in heartbeats, after which removed
	// servers may only have failed to renew: entries lapse after three.
	lapseBeats = 2
	// lapseFor is within which servers that live are back after the store's
	// return; the platform's pages say about two seconds.
	lapseFor = 2200 * time.Millisecond
	// maxRemoved bounds the removals remembered, so that memory is bounded.
	maxRemoved = 4096
)

// NewState returns a State that knows nothing.
func NewState(now time.Time, opts Options) *State {
	if opts.Log == nil {
		opts.Log = func(string, ...any) {}
	}
	s := &State{
		opts: opts, started: now, entries: make(map[string]*entry), born: make(map[string]int64),
		crashes: make(map[Crash]time.Time), slow: make(map[string]slowSpan),
	}
	s.members = newMembers(now, opts)
	return s
}

// Revision returns the store's revision that the State reflects; 0 is none.
func (s *State) Revision() int64 { return s.revision }

// Age returns how long ago the store was known to hold nothing newer.
func (s *State) Age(now time.Time) (time.Duration, bool) {
	if s.confirmed.IsZero() {
		return 0, false
	}
	return now.Sub(s.confirmed), true
}

// TakeRange takes in a full read of the store that was asked for at asked.
func (s *State) TakeRange(now, asked time.Time, items []Item, revision int64, stale bool) {
	s.full(now, items, revision)
	if !stale {
		s.confirm(now, asked)
	}
}

// TakeWatch takes in the answer at now to a watch that was asked for at asked.
func (s *State) TakeWatch(now, asked time.Time, items []Item, revision int64) {
	s.confirm(now, s.watchedUntil(now, asked, len(items) > 0))
	s.delta(now, items, revision)
}

// TakeUpdate takes in what another host said; asked is when the poll that it
// answers was sent, or zero.
func (s *State) TakeUpdate(now, asked time.Time, u *Update) {
	if u.AgeMs >= 0 && !asked.IsZero() {
		at := asked.Add(-time.Duration(u.AgeMs) * time.Millisecond)
		if at.After(s.relayed) {
			s.relayed = at
		}
		if u.Revision >= s.revision {
			s.confirm(now, at)
		}
	}
	switch {
	case u.Full && u.Revision > s.revision:
		s.full(now, u.Items, u.Revision)
	case !u.Full && s.revision > 0:
		s.delta(now, u.Items, u.Revision)
	}
	s.takeCrashes(now, u.Crashes)
	s.TakeSlow(now, u.Slow)
}

// confirm notes that the store held nothing newer at that time.
func (s *State) confirm(now, at time.Time) {
	if !at.After(s.confirmed) {
		return
	}
	if !s.confirmed.IsZero() && at.Sub(s.confirmed) > lapseBeats*s.opts.Heartbeat {
		s.returned = now
		s.opts.Log("store heard again", "silent_ms", at.Sub(s.confirmed).Milliseconds())
	}
	s.confirmed = at
}

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
	if srv.Born < s.born[srv.ID] {
		e.broken = true
		s.opts.Log("server entry ignored", "server", e.name, "revision", e.Revision, "born", srv.Born, "newer", s.born[srv.ID])
		return
	}
	s.born[srv.ID] = srv.Born
	e.server = srv
	s.opts.Log("server registered", "server", srv.ID, "service", srv.Service, "address", srv.Address,
		"data_centre", srv.DataCentre, "draining", srv.Draining, "revision", e.Revision)
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

// Picture returns what the host goes by, and whether it has changed.
func (s *State) Picture(now time.Time) (*route.Picture, bool) {
	for _, e := range s.entries {
		if !e.lapsedUntil.IsZero() && !now.Before(e.lapsedUntil) {
			e.lapsedUntil = time.Time{}
			s.dirty = true
			s.opts.Log("server gone", "server", e.name, "service", e.server.Service)
		}
	}
	if !s.dirty {
		return s.picture, false
	}
	s.dirty = false
	p := &route.Picture{Config: s.config, Evacuated: make(map[string]bool)}
	for _, key := range slices.Sorted(maps.Keys(s.entries)) {
		e := s.entries[key]
		switch {
		case e.kind == KindEvacuation && !e.Deleted:
			p.Evacuated[e.name] = true
		case e.kind == KindServer && !e.broken && (!e.Deleted || !e.lapsedUntil.IsZero()):
			p.Servers = append(p.Servers, e.server)
		}
	}
	s.picture = p
	return p, true
}

// Answer returns what a poll calls for.
func (s *State) Answer(now time.Time, p *Poll) *Update {
	s.members.polled(now, p)
	s.takeCrashes(now, p.Crashes)
	s.TakeSlow(now, p.Slow)
	u := s.News(now, p.Have)
	u.Nonce = p.Nonce
	u.Below = hashOf(s.members.below[p.From.Address].list)
	if live := s.members.live(now); hashOf(live) != p.Known {
		u.Members = live
	}
	return u
}

// News returns what has changed after a revision.
func (s *State) News(now time.Time, have int64) *Update {
	u := &Update{Revision: s.revision, AgeMs: -1, Crashes: s.crashNotes(now), Slow: s.slowNotes(now)}
	if age, ok := s.Age(now); ok {
		u.AgeMs = age.Milliseconds()
	}
	u.Full = have < s.floor && s.revision > 0
	for _, e := range s.entries {
		if u.Full && !e.Deleted || !u.Full && e.Revision > have {
			u.Items = append(u.Items, e.Item)
		}
	}
	return u
}

// Poll returns what to ask another host; last is its last answer, or nil.
func (s *State) Poll(now time.Time, nonce uint64, address string, last *Update, push bool) *Poll {
	p := &Poll{From: s.members.self.Note, Nonce: nonce, Have: s.revision, Crashes: s.crashNotes(now), Slow: s.slowNotes(now), Push: push}
	m := &s.members
	m.lapse(now)
	if m.later(now, address) {
		if t := m.peeked[address]; t != nil {
			p.Known = hashOf(t.list)
		}
		p.Below = []Note{m.self.Note}
		return p
	}
	if t := m.above[address]; t != nil {
		p.Known = hashOf(t.list)
	}
	if below := m.subtree(); last == nil || last.Below != hashOf(below) {
		p.Below = below
	}
	return p
}

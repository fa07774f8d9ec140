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
	// Capacity is higher for hosts that had better pass on news to many.
	Capacity int
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
	// before is what confirmed was when the changes came that are being taken
	// in: the store did not hold them then. It is zero where nothing was known.
	before time.Time
	// returned is when the store was heard of again after a long silence.
	returned time.Time

	members members
	crashes crashes
	slow    map[string]slowSpan
	// leaving is when servers said first that they leave.
	leaving map[route.Key]time.Time

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
	// since is a time before which the store did not hold the evacuation; it is
	// zero where none is known.
	since time.Time
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
		crashes: newCrashes(now, opts.Address), slow: make(map[string]slowSpan),
		leaving: make(map[route.Key]time.Time),
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

// ApplyRange takes in a full read of the store that was asked for at asked.
func (s *State) ApplyRange(now, asked time.Time, items []Item, revision int64, stale bool) {
	s.noteBefore()
	s.full(now, items, revision)
	if !stale {
		s.confirm(now, asked)
	}
}

// ApplyWatch takes in the answer at now to a watch that was asked for at asked.
func (s *State) ApplyWatch(now, asked time.Time, items []Item, revision int64) {
	s.noteBefore()
	s.confirm(now, s.watchedUntil(now, asked, len(items) > 0))
	s.delta(now, items, revision)
}

// ApplyUpdate takes in what another host said; asked is when the poll that it
// answers was sent, or zero.
func (s *State) ApplyUpdate(now, asked time.Time, u *Update) {
	s.noteBefore()
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
	s.takeCrashes(now, fromUpstream, u.Crashes)
	s.takeSlow(now, u.Slow, true)
	s.AddLeavingReports(now, u.Leaving)
}

// noteBefore notes until when the store is known to have held nothing newer
// than the State.
func (s *State) noteBefore() {
	s.before = s.confirmed
	if s.revision == 0 {
		s.before = time.Time{}
	}
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

// Picture returns what the host goes by, and whether it has changed.
func (s *State) Picture(now time.Time) (*route.Picture, bool) {
	for _, e := range s.entries {
		if !e.lapsedUntil.IsZero() && !now.Before(e.lapsedUntil) {
			e.lapsedUntil = time.Time{}
			s.dirty = true
			s.opts.Log("server gone", "server", e.name, "service", e.server.Service)
		}
	}
	s.forgetLeaving(now)
	if !s.dirty {
		return s.picture, false
	}
	s.dirty = false
	p := &route.Picture{Config: s.config, Evacuated: make(map[string]time.Time)}
	for _, key := range slices.Sorted(maps.Keys(s.entries)) {
		e := s.entries[key]
		switch {
		case e.kind == KindEvacuation && !e.Deleted:
			p.Evacuated[e.name] = e.since
		case e.kind == KindServer && !e.broken && (!e.Deleted || !e.lapsedUntil.IsZero()):
			v := e.server
			v.ToldLeaving = s.leaving[v.Key()]
			p.Servers = append(p.Servers, v)
		}
	}
	s.picture = p
	return p, true
}

// AnswerPoll returns what a poll calls for.
func (s *State) AnswerPoll(now time.Time, p *Poll) *Update {
	s.members.polled(now, p)
	s.takeCrashes(now, fromBelow, p.Crashes)
	s.AddSlowReports(now, p.Slow)
	s.AddLeavingReports(now, p.Leaving)
	u := s.UpdateSince(now, p.Revision, p.CrashAck)
	u.Nonce, u.CrashAck = p.Nonce, p.CrashSeq
	u.SubtreeHash = hashOf(s.members.below[p.From.Address].list)
	if live := s.members.live(now); hashOf(live) != p.MembersHash {
		u.Members = live
	}
	return u
}

// UpdateSince returns what has changed after a revision and a state of the reports of
// crashes.
func (s *State) UpdateSince(now time.Time, have int64, crashesKnown uint64) *Update {
	u := &Update{Revision: s.revision, AgeMs: -1, Slow: s.slowNotes(now, false), Leaving: s.leavingNotes(now)}
	s.addCrashes(now, u, crashesKnown)
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

// BuildPoll returns what to ask another host; last is its last answer, or nil.
func (s *State) BuildPoll(now time.Time, nonce uint64, address string, last *Update, push bool) *Poll {
	p := &Poll{From: s.members.self.Member, Nonce: nonce, Revision: s.revision, Slow: s.slowNotes(now, true), Leaving: s.leavingNotes(now), Push: push}
	s.pollCrashes(now, p, last)
	m := &s.members
	m.lapse(now)
	if m.later(now, address) {
		if t := m.peeked[address]; t != nil {
			p.MembersHash = hashOf(t.list)
		}
		p.Subtree = []Member{m.self.Member}
		return p
	}
	if t := m.above[address]; t != nil {
		p.MembersHash = hashOf(t.list)
	}
	if below := m.subtree(); last == nil || last.SubtreeHash != hashOf(below) {
		p.Subtree = below
	}
	return p
}

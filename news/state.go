package news

import (
	"maps"
	"slices"
	"time"

	"github.com/figmast/figmast/route"
)

// Options configures a State.
type Options struct {
	// Address and DataCentre are those of this host.
	Address    string
	DataCentre string
	// RelayCapacity is higher for hosts that are better suited to relay updates to
	// many others.
	RelayCapacity int
	// Seeds are the addresses of some hosts of the deployment, which may be
	// down.
	Seeds   []string
	Decoder Decoder
	// ApplyWithin is the maximum delay with which a change may take effect on
	// this host.
	ApplyWithin time.Duration
	// Heartbeat is the interval at which backend servers renew their entries.
	Heartbeat time.Duration
	// Log records changes of the state, with their reasons. It may be nil.
	Log func(event string, fields ...any)
}

// State is a host's replica of the published entries. It is not safe for
// concurrent use.
type State struct {
	opts      Options
	startedAt time.Time

	entries  map[string]*entry
	revision int64
	// era is the store's era that revision belongs to, since when this host has
	// known of it. eraProblem is why the last answer had no usable era, for the log.
	era        int64
	eraSince   time.Time
	eraProblem string
	// hasSeenRestore is set once the era has changed.
	hasSeenRestore bool
	// isVerified is set unless the State rests on a stale read only; needsRange is
	// set if the next read has to be a full one.
	isVerified bool
	needsRange bool
	// goneRevision is the revision that the store last did not have the changes
	// after.
	goneRevision int64
	// compactRevision is the lowest revision after which every removal is
	// known.
	compactRevision int64
	config          *route.Config
	// latestStart holds the latest start time of each server ID, in Unix
	// milliseconds.
	latestStart map[string]int64

	// confirmedAt is the latest time at which the store was known to hold
	// nothing newer. relayedAt is the same according to other hosts only.
	confirmedAt time.Time
	relayedAt   time.Time
	// confirmedBefore is the value of confirmedAt before the changes that are
	// being applied: the store did not hold them at that time. It is zero while
	// no revision is known.
	confirmedBefore time.Time
	// recoveredAt is when the store was last confirmed again after an outage.
	recoveredAt time.Time

	members membership
	crashes crashState
	slow    map[string]slowSpan
	// leaving holds when each server first announced that it is leaving.
	leaving map[route.ServerKey]time.Time
	// limits holds the request limits that servers have named.
	limits            map[route.ServerKey]reportedLimit
	haveLimitsChanged bool

	topology *route.Topology
	// dirty is set when topology is out of date.
	dirty bool
	// isReading is whether the host has been reading the store, to log changes.
	isReading bool
}

// entry is a published entry with its decoded value.
type entry struct {
	Item
	kind      Kind
	name      string
	server    route.Server
	isInvalid bool
	// evacuatedSince is a time at which the store did not yet hold the
	// evacuation, or zero if none is known.
	evacuatedSince time.Time
	// retainedUntil is set for a removed server or evacuation that is kept for a
	// while.
	retainedUntil time.Time
	// written is the revision of the write, which Revision differs from if the
	// entry was kept over a restore of the store; isKept is set then. past holds
	// the writes that it has superseded.
	written int64
	isKept  bool
	past    []write
}

const (
	// outageHeartbeats is how many heartbeats the store must be silent for
	// removed servers to be suspected of only having failed to renew; entries
	// expire after three.
	outageHeartbeats = 2
	// reregisterWithin is how long after the store's return running servers
	// take to register again; the platform's documentation says about two
	// seconds.
	reregisterWithin = 2200 * time.Millisecond
	// compactAbove is the number of entries, removed ones included, above which
	// removals are dropped to bound memory.
	compactAbove = 4096
)

// NewState returns an empty State.
func NewState(now time.Time, opts Options) *State {
	if opts.Log == nil {
		opts.Log = func(string, ...any) {}
	}
	s := &State{
		opts: opts, startedAt: now, entries: make(map[string]*entry), latestStart: make(map[string]int64),
		crashes: newCrashState(now, opts.Address), slow: make(map[string]slowSpan),
		leaving: make(map[route.ServerKey]time.Time), limits: make(map[route.ServerKey]reportedLimit),
	}
	s.members = newMembership(now, opts)
	return s
}

// Revision returns the store revision that the State reflects, or 0 if none.
func (s *State) Revision() int64 { return s.revision }

// Age returns how long ago the store was known to hold nothing newer. It
// reports false if that was never known.
func (s *State) Age(now time.Time) (time.Duration, bool) {
	if s.confirmedAt.IsZero() {
		return 0, false
	}
	return now.Sub(s.confirmedAt), true
}

// ApplyRange applies a full read of the store that was requested at asked. A
// stale read does not confirm that the store holds nothing newer.
func (s *State) ApplyRange(now, asked time.Time, a Answer, stale bool) {
	if !s.admit(asked, &a) {
		return
	}
	s.saveConfirmedBefore()
	if stale {
		if s.revision == 0 {
			s.applyFull(now, a.Items, a.Revision)
			s.needsRange = true
		}
		return
	}
	// A store that names no era has gone back if it does not know the revision that
	// this host has and is at an earlier one.
	hasGoneBack := s.goneRevision == s.revision && a.Revision < s.revision
	if a.Era > s.era || !s.isVerified || hasGoneBack {
		s.adopt(now, a.Items, a.Position)
	} else {
		s.applyFull(now, a.Items, a.Revision)
	}
	s.isVerified, s.needsRange = true, false
	s.confirm(now, asked)
}

// ApplyWatch applies the answer to a watch, which is processed at now.
func (s *State) ApplyWatch(now time.Time, w Watch, a Answer) {
	if !s.admit(w.AskedAt, &a) {
		return
	}
	if a.Era != w.From.Era || w.From.Era != s.era {
		// The changes follow a revision of another era.
		s.needsRange = s.needsRange || a.Era > s.era
		s.opts.Log("watch answer of another era passed over", "era", a.Era, "watched_era", w.From.Era, "known_era", s.era, "revision", a.Revision)
		return
	}
	s.saveConfirmedBefore()
	if a.MayBePartial {
		s.markRecovered(now, w.AskedAt)
	} else {
		s.confirm(now, w.confirmedUntil(now, len(a.Items) > 0))
	}
	s.applyDelta(now, a.Items, a.Revision)
}

// ApplyUpdate applies an update from another host. asked is when the poll that
// it answers was sent, or zero for a pushed update, which does not confirm that
// the store holds nothing newer.
func (s *State) ApplyUpdate(now, asked time.Time, u *Update) {
	if u.Revision > 0 && !s.isOutdated(u) && (u.Era <= s.era || u.Full) {
		s.applyEntries(now, asked, u)
	}
	s.addCrashReports(now, fromUpstream, u.Crashes)
	s.addSlowReports(now, u.Slow, true)
	s.AddLeavingReports(now, u.Leaving)
	s.AddLimitReports(now, u.Limits)
}

// applyEntries applies the entries of an update that is not of an earlier era.
func (s *State) applyEntries(now, asked time.Time, u *Update) {
	s.saveConfirmedBefore()
	isLater := u.Era > s.era || !s.isVerified && u.Full
	if u.AgeMs >= 0 && !asked.IsZero() {
		at := asked.Add(-time.Duration(u.AgeMs) * time.Millisecond)
		if at.After(s.relayedAt) {
			s.relayedAt = at
		}
		if isLater || u.Revision >= s.revision {
			s.confirm(now, at)
		}
	}
	switch {
	case isLater:
		s.adopt(now, u.Items, u.position())
		s.isVerified = true
	case u.Full && u.Revision > s.revision:
		s.applyFull(now, u.Items, u.Revision)
	case !u.Full && s.isVerified:
		s.applyDelta(now, u.Items, u.Revision)
	}
}

// saveConfirmedBefore saves until when the store was known to hold nothing
// newer, before changes are applied.
func (s *State) saveConfirmedBefore() {
	s.confirmedBefore = s.confirmedAt
	if s.revision == 0 {
		s.confirmedBefore = time.Time{}
	}
}

// confirm records that the store held nothing newer at that time.
func (s *State) confirm(now, at time.Time) {
	if !at.After(s.confirmedAt) {
		return
	}
	s.markRecovered(now, at)
	s.confirmedAt = at
}

// markRecovered records the end of an outage of the store if there was one before
// an answer that was given at that time.
func (s *State) markRecovered(now, at time.Time) {
	if !s.confirmedAt.IsZero() && at.Sub(s.confirmedAt) > outageHeartbeats*s.opts.Heartbeat {
		s.recoveredAt = now
		s.opts.Log("store reachable again", "silent_ms", at.Sub(s.confirmedAt).Milliseconds())
	}
}

// Topology returns the current topology of the deployment, and whether it has
// changed since the last call.
func (s *State) Topology(now time.Time) (*route.Topology, bool) {
	for _, e := range s.entries {
		if !e.retainedUntil.IsZero() && !now.Before(e.retainedUntil) {
			e.retainedUntil = time.Time{}
			s.dirty = true
			if e.kind == KindEvacuation {
				s.opts.Log("evacuation not written again", "data_centre", e.name)
				continue
			}
			s.opts.Log("removed server dropped", "server", e.name, "service", e.server.Service)
		}
	}
	s.expireLeaving(now)
	s.expireLimits(now)
	if !s.dirty {
		return s.topology, false
	}
	s.dirty = false
	t := &route.Topology{Config: s.config, Evacuated: make(map[string]time.Time)}
	for _, key := range slices.Sorted(maps.Keys(s.entries)) {
		e := s.entries[key]
		switch {
		case e.kind == KindEvacuation && (!e.Deleted || !e.retainedUntil.IsZero()):
			t.Evacuated[e.name] = e.evacuatedSince
		case e.kind == KindServer && !e.isInvalid && (!e.Deleted || !e.retainedUntil.IsZero()):
			v := e.server
			v.LeavingNoticeAt = s.leaving[v.Key()]
			t.Servers = append(t.Servers, v)
		}
	}
	s.topology = t
	s.markUnpublishedLimits(now, t)
	return t, true
}

// AnswerPoll records the reports of a poll and returns the answer to it.
func (s *State) AnswerPoll(now time.Time, p *Poll) *Update {
	s.members.recordPoll(now, p)
	s.addCrashReports(now, fromDownstream, p.Crashes)
	s.AddSlowReports(now, p.Slow)
	s.AddLeavingReports(now, p.Leaving)
	s.AddLimitReports(now, p.Limits)
	u := s.UpdateSince(now, p.position(), p.CrashAck)
	u.Nonce, u.CrashAck = p.Nonce, p.CrashSeq
	u.SubtreeHash = hashMembers(s.members.downstream[p.From.Address].members)
	if live := s.members.live(now); hashMembers(live) != p.MembersHash {
		u.Members = live
	}
	return u
}

// UpdateSince returns the changes after a position, and the crash reports after
// a sequence number. A host that names no era is taken to be in the current one.
func (s *State) UpdateSince(now time.Time, from Position, crashAck uint64) *Update {
	at := s.Position()
	u := &Update{Revision: at.Revision, Era: at.Era, AgeMs: -1, Slow: s.slowReports(now, false), Leaving: s.leavingReports(now), Limits: s.limitReports(now, from.Revision == 0)}
	s.setUpdateCrashes(now, u, crashAck)
	if at.Revision == 0 {
		return u
	}
	if age, ok := s.Age(now); ok {
		u.AgeMs = ceilMs(age)
	}
	u.Full = from.Era != 0 && from.Era != at.Era || from.Revision < s.compactRevision
	for _, e := range s.entries {
		if u.Full && (!e.Deleted || e.isKept) || !u.Full && e.Revision > from.Revision {
			u.Items = append(u.Items, e.Item)
		}
	}
	return u
}

// ceilMs returns a duration in milliseconds, rounded up: an age does not become
// younger by being passed on.
func ceilMs(d time.Duration) int64 { return int64((d + time.Millisecond - 1) / time.Millisecond) }

// BuildPoll returns the next poll to send to a host; last is that host's last
// answer, or nil.
func (s *State) BuildPoll(now time.Time, nonce uint64, address string, last *Update, push bool) *Poll {
	p := &Poll{From: s.members.self.Member, Nonce: nonce, Revision: s.Position().Revision, Era: s.Position().Era, Slow: s.slowReports(now, true), Leaving: s.leavingReports(now), Limits: s.limitReports(now, false), Push: push}
	s.setPollCrashes(now, p, last)
	m := &s.members
	m.expire(now)
	if m.isAfterSelf(now, address) {
		if t := m.discovery[address]; t != nil {
			p.MembersHash = hashMembers(t.members)
		}
		p.Subtree = []Member{m.self.Member}
		return p
	}
	if t := m.upstream[address]; t != nil {
		p.MembersHash = hashMembers(t.members)
	}
	if subtree := m.subtree(); last == nil || last.SubtreeHash != hashMembers(subtree) {
		p.Subtree = subtree
	}
	return p
}

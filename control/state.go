// Package control decides which configuration is in force on a host, how long
// it may be acted on, and which hosts there are. State is owned by one
// goroutine: it gets the platform's news, peers' messages and the time, and
// gives back actions. It does no I/O and reads no clock.
package control

import (
	"math/rand/v2"
	"time"

	"github.com/figmast/figmast/configstore"
	"github.com/figmast/figmast/view"
)

// Options configure a State.
type Options struct {
	// Self is this host; it is in each view even while the platform's host
	// list lags.
	Self view.Host
	// Incarnation is the wall clock's time at the start of the process, in
	// nanoseconds.
	Incarnation int64
	// Seeds are addresses of peers to ask while no host list is known.
	Seeds []string
	// Rand chooses peers; it is used from the State's caller only.
	Rand *rand.Rand
}

// State is the control state of a host. It is not safe for concurrent use.
type State struct {
	opts    Options
	table   *table
	members *members
	hosts   []view.Host
	// confirmed is when the platform is known to have held nothing newer.
	confirmed time.Time
	reader    reader
	relay     relay
	fresh     freshness
	suspects  suspects
	ids       []string
	idsOf     uint64
	// view is the last one published.
	view *view.View
	// until is how long it may be acted on; it never shrinks.
	until    time.Time
	viewOf   uint64
	dirty    bool
	nextTidy time.Time
	refusals map[string]int64
	out      Actions
}

// Actions is what the State wants done, in this order.
type Actions struct {
	// Verdicts on published values, for the log.
	Verdicts []Verdict
	// View is to be put in force; nil when none is new. Renewed is set when
	// it differs from the last one in Confirmed and ValidUntil only.
	View    *view.View
	Renewed bool
	// Read and Check ask the platform once: for everything, or for its
	// newest revision.
	Read  bool
	Check bool
	// Asks go to peers.
	Asks []OutgoingRequest
	// Replies answer peers' questions.
	Replies []Reply
	// Learn are requests that peers suspect to crash backend servers.
	Learn []CrashSuspect
}

// OutgoingRequest is a question to the host at an address. What becomes of it is to
// be reported under its ID within Timeout.
type OutgoingRequest struct {
	ID      uint64
	To      string
	Timeout time.Duration
	Ask     SyncRequest
}

// Reply answers the question that came with Token.
type Reply struct {
	Token  uint64
	Answer SyncResponse
}

// NewState returns a State that knows nothing but this host.
func NewState(opts Options) *State {
	self := Member{ID: opts.Self.ID, Address: opts.Self.Address, DataCentre: opts.Self.DataCentre, Incarnation: opts.Incarnation}
	s := &State{
		opts:     opts,
		table:    newTable(),
		members:  newMembers(self),
		refusals: make(map[string]int64),
		relay:    newRelay(),
		fresh:    freshness{answered: make(map[string]bool)},
	}
	return s
}

// Revision returns the platform's revision that the State reflects.
func (s *State) Revision() int64 { return s.table.revision }

// Tick lets time pass and returns what is to be done. It is to be called after
// each event and at least every TickEvery.
func (s *State) Tick(now time.Time) Actions {
	s.tidy(now)
	s.readPlatform(now)
	s.askPeers(now)
	s.replyDue(now)
	s.publish(now)
	out := s.out
	s.out = Actions{}
	return out
}

// TickInterval is the longest time between two Ticks.
const TickInterval = 50 * time.Millisecond

// tidyEvery is how often what has expired is looked for.
const tidyEvery = time.Second

func (s *State) tidy(now time.Time) {
	if !now.Before(s.nextTidy) {
		s.nextTidy = now.Add(tidyEvery)
		s.members.tidy(now, s.IsConfirmationStale(now), s.table.hosts)
		s.suspects.tidy(now)
	}
	if s.members.changed || s.viewOf != s.table.hash() {
		s.hosts = s.members.picture(s.table.hosts)
		s.viewOf = s.table.hash()
		s.members.changed = false
		s.relay.ranked = false
		s.dirty = true
	}
}

// Leave announces that this host is leaving.
func (s *State) Leave(now time.Time) {
	if s.members.self.Leaving {
		return
	}
	s.members.self.Leaving = true
	s.members.changed = true
	s.tidy(now)
	s.announce(now)
}

// publish gives out a view when hosts or documents have changed, or when the
// last one may be acted on for longer.
func (s *State) publish(now time.Time) {
	if !s.ready(now) {
		return
	}
	until := s.validUntil(now)
	longer := until.After(s.until)
	if longer {
		s.until = until
	}
	switch {
	case s.view == nil || s.dirty:
		entry, listed := s.table.hosts[s.members.self.ID]
		s.view = &view.View{
			Self: s.self(), Hosts: s.hosts, Services: s.table.documents(),
			Unlisted: !listed, ListedRevision: entry.revision,
		}
		s.dirty = false
	case longer:
		next := *s.view
		s.view = &next
		s.out.Renewed = true
	default:
		return
	}
	s.view.ConfirmedAt, s.view.ValidUntil = s.confirmed, s.until
	s.out.View = s.view
}

func (s *State) self() view.Host {
	for _, h := range s.hosts {
		if h.ID == s.members.self.ID {
			return h
		}
	}
	return s.opts.Self
}

// record keeps a verdict for the log, each refusal once.
func (s *State) record(v Verdict) {
	if v.Err != nil {
		if s.refusals[v.Key] >= v.Revision {
			return
		}
		s.refusals[v.Key] = v.Revision
	}
	s.out.Verdicts = append(s.out.Verdicts, v)
}

// removedKey reports that a key was removed from the platform.
func (s *State) removedKey(key string) {
	delete(s.refusals, key)
	if id, ok := hostKey(key); ok {
		s.members.delist(id)
	}
}

func hostKey(key string) (string, bool) {
	if len(key) > len(configstore.PrefixHosts) && key[:len(configstore.PrefixHosts)] == configstore.PrefixHosts {
		return key[len(configstore.PrefixHosts):], true
	}
	return "", false
}

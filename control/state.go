// Package control decides which configuration is in force on a host, how long
// the host may act on it, and which hosts the fleet has. One goroutine owns the
// State: it passes in platform events, peer messages and the time, and carries
// out the returned Actions. State performs no I/O and reads no clock.
package control

import (
	"math/rand/v2"
	"time"

	"github.com/figmast/figmast/configstore"
	"github.com/figmast/figmast/view"
)

// Options configure a State.
type Options struct {
	// Self is this host. Every view includes it, even while the platform's host
	// list does not.
	Self view.Host
	// Incarnation is the wall-clock time at which the process started, in
	// nanoseconds.
	Incarnation int64
	// Seeds are the addresses of peers to contact while no host list is known.
	Seeds []string
	// Rand selects peers. It is used only during calls to the State.
	Rand *rand.Rand
}

// State is the control state of a host. It is not safe for concurrent use.
type State struct {
	opts    Options
	table   *table
	members *members
	hosts   []view.Host
	// confirmedAt is the latest time at which the platform is known to have
	// held nothing newer than the table.
	confirmedAt    time.Time
	platformReader platformReader
	gossip         gossip
	startup        startup
	crashSuspects  crashSuspects
	// sortedListedIDs caches the IDs of the platform's host list for the table
	// with sortedListedIDsHash.
	sortedListedIDs     []string
	sortedListedIDsHash uint64
	// view is the last published view.
	view *view.View
	// viewValidUntil is the time until which work may be dispatched on view. It
	// never decreases.
	viewValidUntil time.Time
	// hostsHash is the hash of the table that hosts was built from.
	hostsHash      uint64
	viewIsOutdated bool
	nextExpiry     time.Time
	// loggedRefusals holds the highest refused revision that was reported for
	// each key.
	loggedRefusals map[string]int64
	out            Actions
}

// Actions are what the caller must do, in this order.
type Actions struct {
	// Verdicts are the results of validating published values, for the log.
	Verdicts []Verdict
	// View is the view to put in force, or nil if there is no new one. Renewed
	// is set when it differs from the previous one only in ConfirmedAt and
	// ValidUntil.
	View    *view.View
	Renewed bool
	// Read requests one read of the platform's entire contents, Check one read
	// of its newest revision.
	Read  bool
	Check bool
	// Asks are requests to send to peers.
	Asks []OutgoingRequest
	// Replies are responses to peers' requests.
	Replies []Reply
	// Learn are crash suspects reported by peers.
	Learn []CrashSuspect
}

// OutgoingRequest is a request to the host at address To. The caller must
// report the response or the failure under ID within Timeout.
type OutgoingRequest struct {
	ID      uint64
	To      string
	Timeout time.Duration
	Ask     SyncRequest
}

// Reply is the response to the request that was received with Token.
type Reply struct {
	Token  uint64
	Answer SyncResponse
}

// NewState returns a State that knows no host but this one and no
// configuration.
func NewState(opts Options) *State {
	self := Member{ID: opts.Self.ID, Address: opts.Self.Address, DataCentre: opts.Self.DataCentre, Incarnation: opts.Incarnation}
	s := &State{
		opts:           opts,
		table:          newTable(),
		members:        newMembers(self),
		loggedRefusals: make(map[string]int64),
		gossip:         newGossip(),
		startup:        startup{answeredPeers: make(map[string]bool)},
	}
	return s
}

// Revision returns the platform revision that the table reflects.
func (s *State) Revision() int64 { return s.table.revision }

// Tick advances the State to the time now and returns what the caller must do.
// It must be called after each event and at least every TickInterval.
func (s *State) Tick(now time.Time) Actions {
	s.refreshHosts(now)
	s.callPlatform(now)
	s.requestFromPeers(now)
	s.replyToDue(now)
	s.publish(now)
	out := s.out
	s.out = Actions{}
	return out
}

// TickInterval is the maximum time between two calls of Tick.
const TickInterval = 50 * time.Millisecond

// expiryInterval is how often expired entries are removed.
const expiryInterval = time.Second

// refreshHosts removes expired entries when it is time to, and rebuilds the
// list of hosts if the members or the table have changed.
func (s *State) refreshHosts(now time.Time) {
	if !now.Before(s.nextExpiry) {
		s.nextExpiry = now.Add(expiryInterval)
		s.members.expire(now, s.IsConfirmationStale(now), s.table.hosts)
		s.crashSuspects.expire(now)
	}
	if s.members.changed || s.hostsHash != s.table.hash() {
		s.hosts = s.members.hostList(s.table.hosts)
		s.hostsHash = s.table.hash()
		s.members.changed = false
		s.gossip.isRanked = false
		s.viewIsOutdated = true
	}
}

// Leave marks this host as leaving and announces it to peers.
func (s *State) Leave(now time.Time) {
	if s.members.self.Leaving {
		return
	}
	s.members.self.Leaving = true
	s.members.changed = true
	s.refreshHosts(now)
	s.announce(now)
}

// publish returns a new view in the next Actions when hosts or documents have
// changed, or when the validity of the last view can be extended.
func (s *State) publish(now time.Time) {
	if !s.isReady(now) {
		return
	}
	until := s.validUntil(now)
	isExtended := until.After(s.viewValidUntil)
	if isExtended {
		s.viewValidUntil = until
	}
	switch {
	case s.view == nil || s.viewIsOutdated:
		entry, listed := s.table.hosts[s.members.self.ID]
		s.view = &view.View{
			Self: s.self(), Hosts: s.hosts, Services: s.table.documents(),
			Unlisted: !listed, ListedRevision: entry.revision,
		}
		s.viewIsOutdated = false
	case isExtended:
		next := *s.view
		s.view = &next
		s.out.Renewed = true
	default:
		return
	}
	s.view.ConfirmedAt, s.view.ValidUntil = s.confirmedAt, s.viewValidUntil
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

// recordVerdict queues a verdict for the log. It reports the refusal of each
// published value only once.
func (s *State) recordVerdict(v Verdict) {
	if v.Err != nil {
		if s.loggedRefusals[v.Key] >= v.Revision {
			return
		}
		s.loggedRefusals[v.Key] = v.Revision
	}
	s.out.Verdicts = append(s.out.Verdicts, v)
}

// handleRemovedKey updates the state that belongs to a key after its removal
// from the platform.
func (s *State) handleRemovedKey(key string) {
	delete(s.loggedRefusals, key)
	if id, ok := hostIDFromKey(key); ok {
		s.members.markDelisted(id)
	}
}

// hostIDFromKey returns the host ID in a key of the platform's host list, and
// whether the key is one.
func hostIDFromKey(key string) (string, bool) {
	if len(key) > len(configstore.PrefixHosts) && key[:len(configstore.PrefixHosts)] == configstore.PrefixHosts {
		return key[len(configstore.PrefixHosts):], true
	}
	return "", false
}

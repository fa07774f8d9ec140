package control

import (
	"time"

	"github.com/figmast/figmast/view"
)

// Shape and timing of the synchronisation with peers. The hosts of a data
// centre form a tree: the watchers at its root watch the platform, every other
// host synchronises with a parent.
const (
	// watchersPerDataCentre is how many hosts of a data centre watch the
	// platform.
	watchersPerDataCentre = 2
	// fanOut is how many hosts below the watchers have the same parent at most.
	fanOut = 6
	// maxHold is how long a parent may hold a request. A confirmation that is
	// newer by minConfirmationGain also ends the hold, so that it passes down
	// the tree without waiting at each host.
	maxHold             = 700 * time.Millisecond
	minConfirmationGain = 300 * time.Millisecond
	// responseTimeout is how long a response may take beyond the hold.
	responseTimeout = 700 * time.Millisecond
	// minParentInterval is the minimum time between two requests to the parent.
	minParentInterval = 100 * time.Millisecond
	// repairInterval is how often a random peer is contacted in addition to the
	// parent.
	repairInterval = 5 * time.Second
	// searchInterval is how often a random peer is contacted while the host is
	// starting or its confirmation is stale.
	searchInterval = 250 * time.Millisecond
	// sampleAnyOneIn makes one in so many requests to a random peer choose among
	// all peers, including those that are marked as down.
	sampleAnyOneIn = 8
	// slowSearchMargin is the remaining validity of the view above which peers
	// are contacted at half the rate that searchInterval sets.
	slowSearchMargin = 3 * time.Second
	// fullDigestInterval is the minimum time between two requests for a full
	// digest or back to a requester. A starting host requests full digests
	// without waiting for it.
	fullDigestInterval = 2 * time.Second
	// maxHeldRequests bounds the requests held at once; further ones are
	// answered at once.
	maxHeldRequests = 64
)

// gossip is the state of the synchronisation with the parent, random peers and
// children.
type gossip struct {
	lastID  uint64
	pending map[uint64]*pendingRequest
	// isRanked is unset when parent, hasParent and isWatcher are out of date.
	isRanked  bool
	parent    view.Host
	hasParent bool
	// answeredParentID is the ID of the last parent that responded.
	answeredParentID string
	isWatcher        bool
	// nextParentRequest is the earliest time of the next request to the parent.
	nextParentRequest time.Time
	parentPending     bool
	// lastRandomRequest is when a random peer was last contacted, and
	// nextFullDigest the earliest time of the next request that
	// fullDigestInterval limits.
	lastRandomRequest time.Time
	nextFullDigest    time.Time
	held              []heldRequest
	// seedIndex selects the seed to contact. memberOffset selects which members
	// the next message carries when there are more than fit.
	seedIndex, memberOffset int
}

// pendingRequest is a request that was sent and has no response yet.
type pendingRequest struct {
	to            view.Host
	sentAt        time.Time
	toParent      bool
	full          bool
	wantDocuments []string
}

// heldRequest is a peer's request that waits for a change.
type heldRequest struct {
	token      uint64
	request    SyncRequest
	receivedAt time.Time
	answerBy   time.Time
	// confirmedAt is the time of this host's confirmation when the request
	// arrived, or of the requester's if that is older and the tables were equal.
	// A confirmation newer than this by minConfirmationGain ends the hold.
	confirmedAt time.Time
}

func newGossip() gossip { return gossip{pending: make(map[uint64]*pendingRequest)} }

// requestFromPeers contacts the parent, and from time to time a random peer.
func (s *State) requestFromPeers(now time.Time) {
	s.assignParent(now)
	g := &s.gossip
	if g.hasParent && !g.parentPending && !now.Before(g.nextParentRequest) {
		g.parentPending = true
		g.nextParentRequest = now.Add(minParentInterval)
		s.send(now, pendingRequest{to: g.parent, toParent: true}, s.parentHold())
	}
	if now.Sub(g.lastRandomRequest) < s.randomRequestInterval(now) {
		return
	}
	g.lastRandomRequest = now
	if h, ok := s.randomPeer(now); ok {
		s.request(now, h)
	}
}

// parentHold returns how long the parent may hold the next request. The first
// request to a parent, and any request of a starting host, is answered at once.
func (s *State) parentHold() time.Duration {
	if s.gossip.answeredParentID != s.gossip.parent.ID || !s.startup.done {
		return 0
	}
	return maxHold
}

func (s *State) randomRequestInterval(now time.Time) time.Duration {
	switch {
	case s.startup.done && !s.IsConfirmationStale(now):
		return repairInterval
	case s.viewValidUntil.Sub(now) > slowSearchMargin:
		return 2 * searchInterval
	}
	return searchInterval
}

// randomPeer returns another host, preferably one that is not down. A starting
// host prefers peers that have not responded yet, and contacts a seed while it
// knows no other host.
func (s *State) randomPeer(now time.Time) (view.Host, bool) {
	var all, notDown, unanswered []view.Host
	for _, h := range s.hosts {
		if h.ID == s.members.self.ID {
			continue
		}
		all = append(all, h)
		if s.isDown(now, h.ID) {
			continue
		}
		notDown = append(notDown, h)
		if !s.startup.answeredPeers[h.ID] {
			unanswered = append(unanswered, h)
		}
	}
	if len(all) == 0 {
		return s.nextSeed()
	}
	if s.opts.Rand.IntN(sampleAnyOneIn) == 0 {
		return s.sample(all), true
	}
	switch {
	case !s.startup.done && len(unanswered) > 0:
		return s.sample(unanswered), true
	case len(notDown) > 0:
		return s.sample(notDown), true
	}
	return s.sample(all), true
}

func (s *State) sample(list []view.Host) view.Host { return list[s.opts.Rand.IntN(len(list))] }

func (s *State) nextSeed() (view.Host, bool) {
	seeds := s.opts.Seeds
	if len(seeds) == 0 {
		return view.Host{}, false
	}
	s.gossip.seedIndex++
	return view.Host{Address: seeds[s.gossip.seedIndex%len(seeds)]}, true
}

// request sends a request that is to be answered at once.
func (s *State) request(now time.Time, to view.Host) { s.send(now, pendingRequest{to: to}, 0) }

// send queues a request that the peer may hold for the given time.
func (s *State) send(now time.Time, p pendingRequest, hold time.Duration) {
	g := &s.gossip
	g.lastID++
	p.sentAt = now
	g.pending[g.lastID] = &p
	req := s.newRequest(now)
	req.HoldMs, req.Full, req.WantDocuments = toMsFloor(hold), p.full, p.wantDocuments
	req.WantAttestations = !p.toParent && s.IsConfirmationStale(now)
	s.out.Asks = append(s.out.Asks, OutgoingRequest{ID: g.lastID, To: p.to.Address, Timeout: hold + responseTimeout, Ask: req})
}

func (s *State) newRequest(now time.Time) SyncRequest {
	isConfirmationStale := s.IsConfirmationStale(now)
	s.gossip.memberOffset += maxGossipedMembers
	return SyncRequest{
		From: s.members.self, Revision: s.table.revision, Hash: s.table.hash(), AgeMs: toMsCeil(now.Sub(s.confirmedAt)),
		Members:       s.members.toGossip(now, isConfirmationStale, s.gossip.memberOffset, s.table.hosts),
		CrashSuspects: s.crashSuspects.toGossip(now),
	}
}

// announce tells the parent, the children and some random peers at once that
// this host's state has changed; these pass it on to the others.
func (s *State) announce(now time.Time) {
	s.assignParent(now)
	peers := make([]view.Host, 0, len(s.hosts))
	for _, h := range s.hosts {
		if h.ID != s.members.self.ID {
			peers = append(peers, h)
		}
	}
	s.opts.Rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, h := range peers[:min(len(peers), announcePeers)] {
		s.request(now, h)
	}
	s.propagateNow(now)
}

// announcePeers is how many random peers a host tells that it is leaving.
const announcePeers = 16

// propagateNow passes on updates without delay: to the parent with a request,
// to the children with responses to the requests held.
func (s *State) propagateNow(now time.Time) {
	s.assignParent(now)
	if s.gossip.hasParent {
		s.request(now, s.gossip.parent)
	}
	for i := range s.gossip.held {
		s.gossip.held[i].answerBy = now
	}
}

// HandleRequestFailure reports that a request got no response.
func (s *State) HandleRequestFailure(now time.Time, id uint64) {
	p := s.removePending(now, id)
	if p != nil && p.to.ID != "" {
		s.members.markDown(now, p.to.ID)
		s.refreshHosts(now)
	}
}

// removePending returns and forgets the pending request with the given ID, or
// returns nil if there is none.
func (s *State) removePending(now time.Time, id uint64) *pendingRequest {
	g := &s.gossip
	p := g.pending[id]
	delete(g.pending, id)
	if p != nil && p.toParent {
		g.parentPending = false
	}
	return p
}

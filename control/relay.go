package control

import (
	"time"

	"github.com/figmast/figmast/view"
)

// Shape and pace of the relay.
const (
	// watchersPerCentre is how many hosts of a data centre watch the platform.
	watchersPerCentre = 2
	// fanOut is how many hosts of its data centre follow one host.
	fanOut = 6
	// holdFor is how long a peer may hold a follower's question; a newer word
	// from the platform by relayStep ends that too, so that it passes down the
	// tree without waiting at each host.
	holdFor   = 700 * time.Millisecond
	relayStep = 300 * time.Millisecond
	// askTimeout is how long an answer may take beyond the hold.
	askTimeout = 700 * time.Millisecond
	// leastPause is the least time between two questions to one peer.
	leastPause = 100 * time.Millisecond
	// repairEvery is how often a random peer is asked besides.
	repairEvery = 5 * time.Second
	// searchEvery is how often a random peer is asked while the host is fresh
	// or hears nothing of the platform; one time in anyoneOf it may be one
	// that did not answer lately.
	searchEvery = 250 * time.Millisecond
	anyoneOf    = 8
	// easyMargin is how long the view must still be valid for half of that.
	easyMargin = 3 * time.Second
	// fullEvery is the least time between two questions for a whole digest.
	fullEvery = 2 * time.Second
	// maxHeld bounds the questions held at once; more are answered at once.
	maxHeld = 64
)

// relay is how a host follows its peers and serves its followers.
type relay struct {
	lastID uint64
	asks   map[uint64]*asked
	// ranks are the hosts of each data centre by rendezvous rank, and ranked
	// is unset when they are out of date.
	ranked bool
	leader view.Host
	leads  bool
	// heard is the id of the last leader that answered.
	heard   string
	watcher bool
	// leaderFree is when the leader may be asked again.
	leaderFree time.Time
	leaderBusy bool
	// lastRandom is when a random peer was asked, and nextFull when a whole
	// digest may be.
	lastRandom time.Time
	nextFull   time.Time
	held       []held
	// seed is the next seed to ask, and turn the next part of the members.
	seed, turn int
}

// asked is a question under way.
type asked struct {
	to     view.Host
	at     time.Time
	leader bool
	full   bool
	want   []string
}

// held is a peer's question that waits for a change.
type held struct {
	token uint64
	ask   SyncRequest
	since time.Time
	until time.Time
	// confirmed is when the platform was last heard, by this host or by the
	// asker, when the question came.
	confirmed time.Time
}

func newRelay() relay { return relay{asks: make(map[uint64]*asked)} }

// askPeers asks the leader, and now and then a random peer.
func (s *State) askPeers(now time.Time) {
	s.rank(now)
	r := &s.relay
	if r.leads && !r.leaderBusy && !now.Before(r.leaderFree) {
		r.leaderBusy = true
		r.leaderFree = now.Add(leastPause)
		s.send(now, asked{to: r.leader, leader: true}, s.hold())
	}
	if now.Sub(r.lastRandom) < s.randomPause(now) {
		return
	}
	r.lastRandom = now
	if h, ok := s.randomPeer(now); ok {
		s.ask(now, h)
	}
}

// hold is how long the leader may hold a question: not the first one.
func (s *State) hold() time.Duration {
	if s.relay.heard != s.relay.leader.ID || !s.fresh.done {
		return 0
	}
	return holdFor
}

func (s *State) randomPause(now time.Time) time.Duration {
	switch {
	case s.fresh.done && !s.IsConfirmationStale(now):
		return repairEvery
	case s.until.Sub(now) > easyMargin:
		return 2 * searchEvery
	}
	return searchEvery
}

// randomPeer returns another host, mostly one that answers: a fresh host's
// choice is one that it has not heard, or a seed while it knows of none.
func (s *State) randomPeer(now time.Time) (view.Host, bool) {
	var all, up, unheard []view.Host
	for _, h := range s.hosts {
		if h.ID == s.members.self.ID {
			continue
		}
		all = append(all, h)
		if s.down(now, h.ID) {
			continue
		}
		up = append(up, h)
		if !s.fresh.answered[h.ID] {
			unheard = append(unheard, h)
		}
	}
	if len(all) == 0 {
		return s.nextSeed()
	}
	if s.opts.Rand.IntN(anyoneOf) == 0 {
		return s.sample(all), true
	}
	switch {
	case !s.fresh.done && len(unheard) > 0:
		return s.sample(unheard), true
	case len(up) > 0:
		return s.sample(up), true
	}
	return s.sample(all), true
}

func (s *State) sample(list []view.Host) view.Host { return list[s.opts.Rand.IntN(len(list))] }

func (s *State) nextSeed() (view.Host, bool) {
	seeds := s.opts.Seeds
	if len(seeds) == 0 {
		return view.Host{}, false
	}
	s.relay.seed++
	return view.Host{Address: seeds[s.relay.seed%len(seeds)]}, true
}

// ask sends a question that is to be answered at once.
func (s *State) ask(now time.Time, to view.Host) { s.send(now, asked{to: to}, 0) }

// send sends a question.
func (s *State) send(now time.Time, q asked, hold time.Duration) {
	r := &s.relay
	r.lastID++
	q.at = now
	r.asks[r.lastID] = &q
	a := s.question(now)
	a.HoldMs, a.Full, a.WantDocuments = msDown(hold), q.full, q.want
	a.WantAttestations = !q.leader && s.IsConfirmationStale(now)
	s.out.Asks = append(s.out.Asks, OutgoingRequest{ID: r.lastID, To: q.to.Address, Timeout: hold + askTimeout, Ask: a})
}

func (s *State) question(now time.Time) SyncRequest {
	deaf := s.IsConfirmationStale(now)
	s.relay.turn += maxNews
	return SyncRequest{
		From: s.members.self, Revision: s.table.revision, Hash: s.table.hash(), AgeMs: msUp(now.Sub(s.confirmed)),
		Members:       s.members.tell(now, deaf, s.relay.turn, s.table.hosts),
		CrashSuspects: s.suspects.tell(now),
	}
}

// announce tells the leader, a few followers and random peers at once that
// this host has news of itself; the others hear it from these.
func (s *State) announce(now time.Time) {
	s.rank(now)
	peers := make([]view.Host, 0, len(s.hosts))
	for _, h := range s.hosts {
		if h.ID != s.members.self.ID {
			peers = append(peers, h)
		}
	}
	s.opts.Rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, h := range peers[:min(len(peers), announceTo)] {
		s.ask(now, h)
	}
	s.hurry(now)
}

// announceTo is how many peers a host tells that it is leaving.
const announceTo = 16

// hurry passes news on at once: to the leader by a question, to the followers
// by answers.
func (s *State) hurry(now time.Time) {
	s.rank(now)
	if s.relay.leads {
		s.ask(now, s.relay.leader)
	}
	for i := range s.relay.held {
		s.relay.held[i].until = now
	}
}

// HandleRequestFailure reports that a question got no answer.
func (s *State) HandleRequestFailure(now time.Time, id uint64) {
	a := s.endAsk(now, id)
	if a != nil && a.to.ID != "" {
		s.members.failed(now, a.to.ID)
		s.tidy(now)
	}
}

func (s *State) endAsk(now time.Time, id uint64) *asked {
	r := &s.relay
	a := r.asks[id]
	delete(r.asks, id)
	if a != nil && a.leader {
		r.leaderBusy = false
	}
	return a
}

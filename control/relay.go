package control

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

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
	ask   Ask
	since time.Time
	until time.Time
	// confirmed is when the platform was last heard, by this host or by the
	// asker, when the question came.
	confirmed time.Time
}

func newRelay() relay { return relay{asks: make(map[uint64]*asked)} }

// rank works out whom this host follows: two hosts of each data centre, by
// rendezvous hash, watch the platform, the next ones follow these, and so on.
// Hosts that did not answer lately are passed over, so that others move up.
func (s *State) rank(now time.Time) {
	r := &s.relay
	if r.ranked {
		return
	}
	r.ranked = true
	mine := s.ranking(now, s.members.self.DataCentre)
	place := 0
	for i, h := range mine {
		if h.ID == s.members.self.ID {
			place = i
		}
	}
	r.watcher = place < watchersPerCentre
	r.leads = false
	switch {
	case !r.watcher:
		r.leader = mine[(place-watchersPerCentre)/fanOut]
		r.leads = true
	case place > 0:
		r.leader = mine[0]
		r.leads = true
	default:
		r.leader, r.leads = s.nextCentre(now)
	}
}

// ranking returns the hosts of a data centre that are neither leaving nor
// passed over, the highest rendezvous hash first.
func (s *State) ranking(now time.Time, dataCentre string) []view.Host {
	var out []view.Host
	for _, h := range s.hosts {
		if h.DataCentre == dataCentre && (h.ID == s.members.self.ID || !h.Leaving && !s.down(now, h.ID)) {
			out = append(out, h)
		}
	}
	sortByHash(out)
	return out
}

func (s *State) down(now time.Time, id string) bool {
	p := s.members.byID[id]
	return p != nil && now.Before(p.down)
}

// nextCentre returns the first host of the data centre after this one in the
// ring of all, which the first host of this one follows.
func (s *State) nextCentre(now time.Time) (view.Host, bool) {
	own := s.members.self.DataCentre
	var next, least string
	for _, h := range s.hosts {
		dc := h.DataCentre
		if dc == own || h.Leaving || s.down(now, h.ID) {
			continue
		}
		if least == "" || dc < least {
			least = dc
		}
		if dc > own && (next == "" || dc < next) {
			next = dc
		}
	}
	if next == "" {
		next = least
	}
	if next == "" {
		return view.Host{}, false
	}
	return s.ranking(now, next)[0], true
}

func rendezvous(h view.Host) uint64 { return xxhash.Sum64String(h.DataCentre + "/" + h.ID) }

// watches reports whether this host is one of those that watch the platform.
func (s *State) watches(now time.Time) bool {
	s.rank(now)
	return s.relay.watcher
}

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
	case s.fresh.done && !s.Deaf(now):
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
	a.HoldMs, a.Full, a.Want = msDown(hold), q.full, q.want
	a.Witness = !q.leader && s.Deaf(now)
	s.out.Asks = append(s.out.Asks, Outgoing{ID: r.lastID, To: q.to.Address, Timeout: hold + askTimeout, Ask: a})
}

func (s *State) question(now time.Time) Ask {
	deaf := s.Deaf(now)
	s.relay.turn += maxNews
	return Ask{
		From: s.members.self, Revision: s.table.revision, Hash: s.table.hash(), AgeMs: msUp(now.Sub(s.confirmed)),
		Members:    s.members.tell(now, deaf, s.relay.turn, s.table.hosts),
		Suspicions: s.suspects.tell(now),
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

// AskFailed reports that a question got no answer.
func (s *State) AskFailed(now time.Time, id uint64) {
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

// Answered takes in the answer to a question.
func (s *State) Answered(now time.Time, id uint64, in *Answer) {
	q := s.endAsk(now, id)
	if q == nil {
		return
	}
	s.hear(now, in.From, in.Members)
	s.members.alive(in.From.ID)
	if q.leader {
		s.relay.heard = q.to.ID
	}
	s.learnSuspicions(now, in.Suspicions)
	missing := s.merge(now, in)
	s.confirmBy(q.at, in)
	s.witness(q.at, in)
	switch {
	case len(missing) > 0:
		s.fetch(now, q, missing)
	case s.differs(now, in):
		s.relay.nextFull = now.Add(fullEvery)
		s.send(now, asked{to: q.to, full: true}, 0)
	default:
		s.fresh.answered[in.From.ID] = true
	}
}

// fetch asks the same peer for documents that it holds, unless it has just
// failed to send them.
func (s *State) fetch(now time.Time, q *asked, missing []string) {
	if len(missing) == len(q.want) {
		return
	}
	s.send(now, asked{to: q.to, full: q.full, want: missing}, 0)
}

// fetching reports whether documents are still to come.
func (s *State) fetching() bool {
	for _, q := range s.relay.asks {
		if len(q.want) > 0 {
			return true
		}
	}
	return false
}

// differs reports whether a peer's whole digest is to be compared: it holds
// something else at the same revision, or this host is fresh.
func (s *State) differs(now time.Time, in *Answer) bool {
	if in.Full || in.Hash == s.table.hash() {
		return false
	}
	return !s.fresh.done || in.Revision == s.table.revision && !now.Before(s.relay.nextFull)
}

// hear takes in what a peer said of itself and of others.
func (s *State) hear(now time.Time, from Member, others []Member) {
	for _, m := range append([]Member{from}, others...) {
		l, listed := s.table.hosts[m.ID]
		listed = listed && l.entry.Address == m.Address && l.entry.DataCentre == m.DataCentre
		s.members.learn(now, m, listed)
	}
}

// merge takes in a peer's configuration and returns the services whose
// documents must be fetched.
func (s *State) merge(now time.Time, in *Answer) []string {
	before := s.table.hash()
	verdicts, removed, missing := s.table.merge(in)
	for _, v := range verdicts {
		s.record(v)
	}
	for _, key := range removed {
		s.removedKey(key)
	}
	if s.table.hash() != before {
		s.tidy(now)
	}
	return missing
}

// Asked takes in a peer's question; its answer is given out by a Tick with
// the token.
func (s *State) Asked(now time.Time, token uint64, in *Ask) {
	s.hear(now, in.From, in.Members)
	s.learnSuspicions(now, in.Suspicions)
	until := now.Add(min(ms(in.HoldMs), holdFor))
	if len(s.relay.held) >= maxHeld || s.lacks(in) {
		until = now
	}
	s.askBack(now, in)
	confirmed := s.confirmed
	if theirs := now.Add(-ms(in.AgeMs)); in.Hash == s.table.hash() && theirs.Before(confirmed) {
		confirmed = theirs
	}
	s.relay.held = append(s.relay.held, held{token: token, ask: *in, since: now, until: until, confirmed: confirmed})
}

// askBack asks the asker when it may hold something that this host lacks.
func (s *State) askBack(now time.Time, in *Ask) {
	same := in.Revision == s.table.revision && in.Hash == s.table.hash()
	if same || in.Revision < s.table.revision || now.Before(s.relay.nextFull) {
		return
	}
	s.relay.nextFull = now.Add(fullEvery)
	s.ask(now, view.Host{ID: in.From.ID, Address: in.From.Address})
}

// lacks reports whether a peer is to be told something at once.
func (s *State) lacks(in *Ask) bool {
	return in.Full || len(in.Want) > 0 || in.Revision < s.table.revision
}

// replyDue answers the questions that have waited long enough, or that there
// is news for.
func (s *State) replyDue(now time.Time) {
	kept := s.relay.held[:0]
	for _, h := range s.relay.held {
		fresher := s.confirmed.Sub(h.confirmed) >= relayStep
		if now.Before(h.until) && !fresher && !s.lacks(&h.ask) {
			kept = append(kept, h)
			continue
		}
		s.out.Replies = append(s.out.Replies, Reply{Token: h.token, Answer: s.answer(now, h)})
	}
	s.relay.held = kept
}

func (s *State) answer(now time.Time, h held) Answer {
	deaf := s.Deaf(now)
	a := Answer{
		From: s.members.self, HeldMs: msDown(now.Sub(h.since)),
		Confirmed: !s.confirmed.IsZero(), AgeMs: msUp(now.Sub(s.confirmed)),
		Members:    s.members.tell(now, deaf, s.relay.turn, s.table.hosts),
		Suspicions: s.suspects.tell(now),
	}
	s.relay.turn += maxNews
	s.table.digest(&h.ask, &a)
	if h.ask.Witness && deaf {
		a.Witnesses = s.witnesses(now)
	}
	return a
}

func sortByHash(hosts []view.Host) {
	sort.Slice(hosts, func(i, j int) bool {
		a, b := rendezvous(hosts[i]), rendezvous(hosts[j])
		if a != b {
			return a > b
		}
		return hosts[i].ID < hosts[j].ID
	})
}

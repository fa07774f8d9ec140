package forward

import (
	"fmt"
	"maps"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/figmast/figmast/route"
)

// leavingShape is what servers of a fleet say of leaving and of being left
// alone, and what the platform's rules bound. Times count from fleetCalm.
type leavingShape struct {
	// drain and evacuateFor are the rules' bounds, apply the news'.
	drain       time.Duration
	evacuateFor time.Duration
	apply       time.Duration
	// least is the least share of shards in an answer.
	least float64
	// scaleIn is the part of the servers that leaves at scaleInAt; unentered
	// ones have their entries removed in place of registering it.
	scaleIn   float64
	scaleInAt time.Duration
	unentered bool
	// evacuateAt is when data centre a is evacuated, takenBack how long after
	// it is taken back.
	evacuateAt time.Duration
	takenBack  time.Duration
	// falsely is the part of the servers that say for a while that they leave.
	falsely float64
	// asking is the part of the servers that turn calls away for askingFor and
	// ask back off for askFor.
	asking    float64
	askFor    time.Duration
	askingFor time.Duration
	// freezes has a host do nothing for two seconds, in turn, so often.
	freezes time.Duration
	// whole is the time from scaleInAt in which answers are owed in full.
	whole time.Duration
}

const (
	// fleetFalsely is how long a server says falsely that it leaves.
	fleetFalsely = 2 * time.Second
	// fleetLinger is how long after its bound a server that leaves goes on.
	fleetLinger = time.Second
	fleetFreeze = 2 * time.Second
	// askSlack is how long after its notice calls may still reach a server that
	// asks for back-off, and mostAsked how many may later: the rule.
	askSlack  = 500 * time.Millisecond
	mostAsked = 2
	// leastCredit is the share of what is owed that callers get while servers
	// leave: the target for the worst seconds of the large deployment.
	leastCredit = 0.8
)

// serverWord is what a server says in this lifetime.
type serverWord struct {
	leaves      bool
	acked       time.Time
	falselyTill time.Time
	asksTill    time.Time
}

// saying names what one run of a host has heard from one lifetime of a server.
type saying struct {
	engine *Engine
	place  *fleetPlace
	life   int
}

// asked is a server's notice that it asks for back-off.
type asked struct {
	at, until time.Time
	calls     int
}

// leavingRecord is what a fleet of hosts saw of servers that leave.
type leavingRecord struct {
	evacuated time.Time
	back      time.Time
	// began is when the caller sent the request of a call.
	began map[*Engine]map[CallID]time.Time
	said  map[saying]time.Time
	asked map[saying]*asked

	// Arrivals beyond the rules.
	afterDrain, afterEvacuation, afterWord, afterAsking int
	// toLeaving are arrivals at servers that leave, within the rules; newLives
	// those at lifetimes that follow one which left.
	toLeaving, newLives int
	// owed is when callers send their first attempts, credit what they got.
	owed   []time.Time
	credit map[time.Time]float64
}

func newLeavingRecord() leavingRecord {
	return leavingRecord{
		began: make(map[*Engine]map[CallID]time.Time), said: make(map[saying]time.Time),
		asked: make(map[saying]*asked), credit: make(map[time.Time]float64),
	}
}

func (l *leavingRecord) sent(h *fleetHost, x Send) {
	if r := h.engine.runs[x.Run]; r != nil {
		if l.began[h.engine] == nil {
			l.began[h.engine] = make(map[CallID]time.Time)
		}
		l.began[h.engine][x.Call] = r.began
	}
}

// answered takes in an answer: the square of the share of its parts, in time.
func (l *leavingRecord) answered(rt *route.Route, r *hostRequest, x Finish, now time.Time) {
	if now.Sub(r.first) > rt.Objective {
		return
	}
	share := 1.0
	if n := len(rt.Gather); n > 0 {
		share = 1 - float64(x.Missing)/float64(n)
	}
	l.credit[r.first] = share * share
}

// scheduleLeaving plans what the shape says.
func (f *hostFleet) scheduleLeaving() {
	l := f.shape.leaving
	start := f.t0.Add(fleetCalm)
	if l.evacuateAt > 0 {
		f.events.add(start.Add(l.evacuateAt), func() {
			f.put("out/a", []byte("{}"))
			f.leaving.evacuated, f.leaving.back = f.now, f.now.Add(l.takenBack)
		})
		f.events.add(start.Add(l.evacuateAt+l.takenBack), func() { f.put("out/a", nil) })
	}
	f.events.add(start.Add(l.scaleInAt), func() {
		for _, s := range f.servers {
			switch x := f.random.Float64(); {
			case x < l.scaleIn:
				f.leave(s)
			case x < l.scaleIn+l.falsely:
				s.word.falselyTill = f.now.Add(fleetFalsely)
			case x < l.scaleIn+l.falsely+l.asking:
				s.word.asksTill = f.now.Add(l.askingFor)
			}
		}
	})
	if l.freezes > 0 {
		f.events.add(start, func() { f.freeze(0) })
	}
}

// leave has a server leave; another lifetime follows at its place.
func (f *hostFleet) leave(s *fleetPlace) {
	l := f.shape.leaving
	s.word.leaves, s.word.acked = true, f.now
	if l.unentered {
		f.put("server/"+s.ID, nil)
	} else {
		s.Draining = true
		f.register(s)
	}
	life := s.lives
	f.events.add(f.now.Add(l.drain+fleetLinger), func() {
		if s.up && s.lives == life {
			f.crash(s)
		}
	})
}

func (f *hostFleet) freeze(i int) {
	h := f.hosts[i%len(f.hosts)]
	h.frozen = f.now.Add(fleetFreeze)
	// The rules excuse what a host heard before.
	maps.DeleteFunc(f.leaving.said, func(k saying, _ time.Time) bool { return k.engine == h.engine })
	maps.DeleteFunc(f.leaving.asked, func(k saying, _ *asked) bool { return k.engine == h.engine })
	f.events.add(f.now.Add(f.shape.leaving.freezes), func() { f.freeze(i + 1) })
}

func (f *hostFleet) saysLeaving(s *fleetPlace) bool {
	return s.word.leaves || f.now.Before(s.word.falselyTill)
}

// turnsAway returns the answer of a server that asks for back-off.
func (f *hostFleet) turnsAway(s *fleetPlace) (Reply, bool) {
	if !f.now.Before(s.word.asksTill) {
		return Reply{}, false
	}
	return Reply{
		Outcome: NotRun, Status: http.StatusServiceUnavailable, Backoff: f.shape.leaving.askFor, Detail: "not run, status 503",
	}, true
}

// heard takes in what a host hears of a server.
func (f *hostFleet) heard(c *hostCall, r Reply) {
	s := f.byPlace[c.send.Target.Address]
	k := saying{c.engine, s, s.lives}
	if r.Leaving && f.leaving.said[k].IsZero() {
		f.leaving.said[k] = f.now
	}
	if r.Backoff > 0 {
		if old := f.leaving.asked[k]; old == nil || !f.now.Before(old.until) {
			f.leaving.asked[k] = &asked{at: f.now, until: f.now.Add(r.Backoff)}
		}
	}
}

// judge counts a call that reaches a server against the rules.
func (f *hostFleet) judge(c *hostCall, s *fleetPlace) {
	l, shape := &f.leaving, f.shape.leaving
	k := saying{c.engine, s, s.lives}
	sent, known := l.began[c.engine][c.send.Call]
	if at, ok := l.said[k]; ok && known && sent.After(at.Add(shape.drain)) {
		l.afterWord++
	}
	if a := l.asked[k]; a != nil && f.now.After(a.at.Add(askSlack)) && f.now.Before(a.until) {
		if a.calls++; a.calls > mostAsked {
			l.afterAsking++
		}
	}
	gone := f.now.Sub(f.t0.Add(fleetCalm + time.Second))
	inTouch := f.shape.away == 0 || gone < 0 || gone >= f.shape.away+fleetContact
	switch {
	case s.word.leaves && inTouch && f.now.After(s.word.acked.Add(shape.drain)):
		l.afterDrain++
	case s.word.leaves:
		l.toLeaving++
	case s.lives > 0:
		l.newLives++
	}
	out := s.DataCentre == "a" && !l.evacuated.IsZero() && f.now.Before(l.back)
	if out && inTouch && f.now.After(l.evacuated.Add(shape.evacuateFor)) {
		l.afterEvacuation++
	}
}

// creditWhile returns the share of what is owed that callers got whose first
// attempts were sent within that time after the servers began to leave.
func (f *hostFleet) creditWhile(from, d time.Duration) float64 {
	begin := f.t0.Add(fleetCalm + from)
	var got, owed float64
	for _, at := range f.leaving.owed {
		if !at.Before(begin) && at.Before(begin.Add(d)) {
			owed++
			got += f.leaving.credit[at]
		}
	}
	return got / owed
}

func (l leavingShape) String() string {
	var words []string
	for _, x := range []struct {
		what string
		is   bool
	}{
		{fmt.Sprintf("%.2f leave", l.scaleIn), l.scaleIn > 0}, {"unentered", l.unentered}, {"evacuation", l.evacuateAt > 0},
		{fmt.Sprintf("%.2f falsely", l.falsely), l.falsely > 0}, {fmt.Sprintf("%.2f ask for %v", l.asking, l.askFor), l.asking > 0},
		{"frozen hosts", l.freezes > 0},
	} {
		if x.is {
			words = append(words, x.what)
		}
	}
	return strings.Join(words, ", ")
}

// small, grown and large return a shape with the bounds of the deployments.
func small(l leavingShape) leavingShape {
	l.drain, l.evacuateFor, l.apply, l.least = 3*time.Second, 5*time.Second, 3*time.Second, 0.89
	return l
}

func grown(l leavingShape) leavingShape {
	l.drain, l.evacuateFor, l.apply, l.least = 5*time.Second, 5*time.Second, 5*time.Second, 0.95
	return l
}

func large(l leavingShape) leavingShape {
	l.drain, l.evacuateFor, l.apply, l.least = 6*time.Second, 5*time.Second, 5*time.Second, 0.95
	return l
}

// scaleIn beside an evacuation: some shards have only servers that leave. The
// whole time is what the bounds leave after the age of news (9/20 of apply)
// and the way of a call.
func scaleInBesideEvacuation(whole time.Duration) leavingShape {
	return leavingShape{scaleIn: 0.3, scaleInAt: time.Second, evacuateAt: time.Second, takenBack: 4 * time.Second, whole: whole}
}

var leavingShapes = []fleetShape{
	{hosts: 1, shards: 10, servers: 3, load: 20, spell: 12 * time.Second, leaving: small(scaleInBesideEvacuation(time.Second))},
	{hosts: 9, shards: 10, servers: 3, load: 60, spell: 12 * time.Second, leaving: small(scaleInBesideEvacuation(time.Second))},
	{hosts: 85, shards: 36, servers: 3, load: 60, spell: 12 * time.Second, leaving: grown(scaleInBesideEvacuation(2 * time.Second))},
	{hosts: 295, shards: 90, servers: 3, load: 96, spell: 8 * time.Second, leaving: large(scaleInBesideEvacuation(2 * time.Second))},
	{hosts: 9, servers: 6, load: 60, spell: 12 * time.Second, leaving: small(leavingShape{scaleIn: 0.5, scaleInAt: time.Second})},
	{hosts: 9, servers: 3, load: 60, spell: 12 * time.Second, leaving: small(leavingShape{scaleIn: 1, scaleInAt: time.Second, whole: time.Second})},
	{hosts: 9, shards: 10, servers: 3, load: 60, spell: 16 * time.Second, away: 8 * time.Second, leaving: small(leavingShape{scaleIn: 0.4, scaleInAt: 2 * time.Second, evacuateAt: 3 * time.Second, takenBack: 8 * time.Second})},
	{hosts: 9, shards: 10, servers: 3, load: 60, spell: 16 * time.Second, leaving: small(leavingShape{scaleIn: 0.4, scaleInAt: time.Second, evacuateAt: time.Second, takenBack: 8 * time.Second, freezes: 700 * time.Millisecond})},
	{hosts: 9, shards: 10, servers: 3, load: 60, spell: 12 * time.Second, restarts: 900 * time.Millisecond, leaving: small(leavingShape{scaleIn: 0.4, scaleInAt: time.Second, evacuateAt: time.Second, takenBack: 8 * time.Second})},
	{hosts: 9, shards: 10, servers: 3, load: 60, spell: 12 * time.Second, leaving: small(leavingShape{scaleIn: 0.3, unentered: true, scaleInAt: time.Second})},
	{hosts: 9, shards: 10, servers: 3, load: 60, spell: 12 * time.Second, leaving: small(leavingShape{falsely: 0.4, scaleInAt: time.Second})},
	{hosts: 9, servers: 6, load: 60, spell: 12 * time.Second, leaving: small(leavingShape{falsely: 1, scaleInAt: time.Second})},
	{hosts: 9, servers: 6, load: 60, spell: 16 * time.Second, away: 14 * time.Second, leaving: small(leavingShape{falsely: 0.5, scaleInAt: 2 * time.Second})},
	{hosts: 1, servers: 3, load: 60, spell: 10 * time.Second, leaving: small(leavingShape{asking: 0.5, askFor: 2 * time.Second, askingFor: 3 * time.Second, scaleInAt: time.Second})},
	{hosts: 9, servers: 6, load: 180, spell: 10 * time.Second, leaving: small(leavingShape{asking: 0.5, askFor: 3 * time.Second, askingFor: 4 * time.Second, scaleInAt: time.Second})},
	{hosts: 9, servers: 3, load: 180, spell: 10 * time.Second, leaving: small(leavingShape{asking: 1, askFor: 2 * time.Second, askingFor: 3 * time.Second, scaleInAt: time.Second})},
	{hosts: 9, shards: 10, servers: 3, load: 60, spell: 10 * time.Second, leaving: small(leavingShape{asking: 0.4, askFor: 2 * time.Second, askingFor: 3 * time.Second, scaleInAt: time.Second, freezes: 700 * time.Millisecond})},
	{hosts: 85, shards: 36, servers: 3, load: 40, spell: 8 * time.Second, leaving: grown(leavingShape{asking: 0.3, askFor: 2 * time.Second, askingFor: 3 * time.Second, scaleInAt: time.Second})},
	{hosts: 295, shards: 90, servers: 3, load: 96, spell: 6 * time.Second, leaving: large(leavingShape{asking: 0.2, falsely: 0.2, askFor: 2 * time.Second, askingFor: 3 * time.Second, scaleInAt: time.Second})},
}

// TestServersThatLeaveOrAskForBackoff plays whole requests while servers
// leave, say so, or ask for back-off. No call reaches one against the
// rules, and callers are served while servers that leave still answer.
func TestServersThatLeaveOrAskForBackoff(t *testing.T) {
	for i, shape := range leavingShapes {
		t.Run(fmt.Sprintf("%d hosts, %d shards, away %v, restarts %v, %v", shape.hosts, shape.shards, shape.away, shape.restarts, shape.leaving), func(t *testing.T) {
			t.Parallel()
			shape.back = fleetLinger
			shape.sameID = true
			f := newHostFleet(shape, uint64(i))
			f.play()
			l := &f.leaving
			t.Logf("%d of %d served; %d arrivals at servers that leave, %d at lifetimes that follow", f.served, f.others, l.toLeaving, l.newLives)
			for _, x := range []struct {
				what string
				n    int
			}{
				{"after the bound of a server that leaves", l.afterDrain}, {"after the bound of an evacuation", l.afterEvacuation},
				{"after the bound from a server's own notice", l.afterWord}, {"at servers that asked for back-off", l.afterAsking},
				{"beyond the retry budget", f.overBudget()},
			} {
				if x.n > 0 {
					t.Errorf("%d calls %s", x.n, x.what)
				}
			}
			if shape.leaving.whole > 0 {
				if got := f.creditWhile(shape.leaving.scaleInAt, shape.leaving.whole); got < leastCredit {
					t.Errorf("%.3f of the credit owed while servers leave, less than %.2f", got, leastCredit)
				}
			}
			if shape.leaving.scaleIn > 0 && shape.spell > shape.leaving.scaleInAt+shape.leaving.drain+4*time.Second && l.newLives == 0 {
				t.Error("no call to the lifetimes that follow")
			}
		})
	}
}

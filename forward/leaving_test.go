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

// leavingShape configures which servers leave or ask for back-off, and the
// bounds of the platform's rules. Times count from fleetWarmUp.
type leavingShape struct {
	// drain and evacuateWithin are the bounds of the rules, applyWithin the
	// bound on the age of news.
	drain          time.Duration
	evacuateWithin time.Duration
	applyWithin    time.Duration
	// minShardRatio is the least share of shards in an answer.
	minShardRatio float64
	// scaleIn is the share of servers that leave at scaleInAt. If entryRemoved
	// is set, their entries are removed instead of being marked as draining.
	scaleIn      float64
	scaleInAt    time.Duration
	entryRemoved bool
	// evacuateAt is when data centre a is evacuated, evacuationLength how long
	// until the evacuation is withdrawn.
	evacuateAt       time.Duration
	evacuationLength time.Duration
	// falseNoticeShare of the servers announce for a while that they are
	// leaving, but stay.
	falseNoticeShare float64
	// backoffShare of the servers refuse calls during backoffSpell and ask for
	// a back-off of backoffFor.
	backoffShare float64
	backoffFor   time.Duration
	backoffSpell time.Duration
	// freezeInterval is the time between two-second freezes of hosts, in turn.
	freezeInterval time.Duration
	// serveWithin is the time from scaleInAt in which the answers must reach
	// minWorth.
	serveWithin time.Duration
}

const (
	// falseNoticeTime is how long a server falsely announces that it is
	// leaving.
	falseNoticeTime = 2 * time.Second
	// leaveLinger is how long a leaving server keeps running after the drain
	// bound.
	leaveLinger = time.Second
	freezeTime  = 2 * time.Second
	// backoffGrace is how long after its notice calls may still reach a server
	// that asks for back-off, maxCallsAfterBackoff how many may later: the
	// platform's rule.
	backoffGrace         = 500 * time.Millisecond
	maxCallsAfterBackoff = 2
	// minWorth is the share of the possible worth that callers must get while
	// servers leave: the target for the worst seconds of the large deployment.
	minWorth = 0.8
)

// serverNotices is what a server's current incarnation announces.
type serverNotices struct {
	leaving          bool
	leavingSince     time.Time
	falseNoticeUntil time.Time
	backoffUntil     time.Time
}

// noticeKey identifies the notices from one incarnation of a server to one run of
// a host.
type noticeKey struct {
	engine      *Engine
	server      *hostedServer
	incarnation int
}

// backoffNotice is a server's request for back-off.
type backoffNotice struct {
	at, until time.Time
	calls     int
}

// leavingStats counts how the fleet treated leaving servers.
type leavingStats struct {
	// evacuated is when data centre a is evacuated, takenBack when the
	// evacuation is withdrawn.
	evacuated time.Time
	takenBack time.Time
	// requestStart is when the request of a call started.
	requestStart   map[*Engine]map[CallID]time.Time
	leavingNotices map[noticeKey]time.Time
	backoffNotices map[noticeKey]*backoffNotice

	// Arrivals that violate the rules.
	afterDrain, afterEvacuation, afterNotice, afterBackoff int
	// toLeaving counts arrivals at leaving servers within the rules,
	// toNewIncarnations those at the incarnations that follow leaving ones.
	toLeaving, toNewIncarnations int
	// firstAttempts are the send times of callers' first attempts, worth what
	// their answers were worth.
	firstAttempts []time.Time
	worth         map[time.Time]float64
}

func newLeavingStats() leavingStats {
	return leavingStats{
		requestStart: make(map[*Engine]map[CallID]time.Time), leavingNotices: make(map[noticeKey]time.Time),
		backoffNotices: make(map[noticeKey]*backoffNotice), worth: make(map[time.Time]float64),
	}
}

func (l *leavingStats) recordSend(h *fleetHost, x Send) {
	if r := h.engine.runs[x.Run]; r != nil {
		if l.requestStart[h.engine] == nil {
			l.requestStart[h.engine] = make(map[CallID]time.Time)
		}
		l.requestStart[h.engine][x.Call] = r.startedAt
	}
}

// recordAnswer records the worth of an answer that is in time: the square of
// its coverage.
func (l *leavingStats) recordAnswer(rt *route.Route, r *hostRequest, x Finish, now time.Time) {
	if now.Sub(r.firstSentAt) > rt.Objective {
		return
	}
	share := 1.0
	if n := len(rt.Gather); n > 0 {
		share = 1 - float64(x.Missing)/float64(n)
	}
	l.worth[r.firstSentAt] = share * share
}

// scheduleLeaving schedules the events of the shape.
func (f *hostFleet) scheduleLeaving() {
	l := f.shape.leaving
	start := f.t0.Add(fleetWarmUp)
	if l.evacuateAt > 0 {
		f.events.add(start.Add(l.evacuateAt), func() {
			f.put("out/a", []byte("{}"))
			f.leaving.evacuated, f.leaving.takenBack = f.now, f.now.Add(l.evacuationLength)
		})
		f.events.add(start.Add(l.evacuateAt+l.evacuationLength), func() { f.put("out/a", nil) })
	}
	f.events.add(start.Add(l.scaleInAt), func() {
		for _, s := range f.servers {
			switch x := f.random.Float64(); {
			case x < l.scaleIn:
				f.leaveServer(s)
			case x < l.scaleIn+l.falseNoticeShare:
				s.notices.falseNoticeUntil = f.now.Add(falseNoticeTime)
			case x < l.scaleIn+l.falseNoticeShare+l.backoffShare:
				s.notices.backoffUntil = f.now.Add(l.backoffSpell)
			}
		}
	})
	if l.freezeInterval > 0 {
		f.events.add(start, func() { f.freezeHost(0) })
	}
}

// leaveServer starts a server's departure; another incarnation follows at its
// address.
func (f *hostFleet) leaveServer(s *hostedServer) {
	l := f.shape.leaving
	s.notices.leaving, s.notices.leavingSince = true, f.now
	if l.entryRemoved {
		f.put("server/"+s.ID, nil)
	} else {
		s.Draining = true
		f.register(s)
	}
	incarnation := s.incarnation
	f.events.add(f.now.Add(l.drain+leaveLinger), func() {
		if s.up && s.incarnation == incarnation {
			f.crash(s)
		}
	})
}

func (f *hostFleet) freezeHost(i int) {
	h := f.hosts[i%len(f.hosts)]
	h.frozenUntil = f.now.Add(freezeTime)
	// The rules do not count the notices that a host got before a freeze.
	maps.DeleteFunc(f.leaving.leavingNotices, func(k noticeKey, _ time.Time) bool { return k.engine == h.engine })
	maps.DeleteFunc(f.leaving.backoffNotices, func(k noticeKey, _ *backoffNotice) bool { return k.engine == h.engine })
	f.events.add(f.now.Add(f.shape.leaving.freezeInterval), func() { f.freezeHost(i + 1) })
}

func (f *hostFleet) announcesLeaving(s *hostedServer) bool {
	return s.notices.leaving || f.now.Before(s.notices.falseNoticeUntil)
}

// backoffReply returns the reply of a server that is asking for back-off.
func (f *hostFleet) backoffReply(s *hostedServer) (Reply, bool) {
	if !f.now.Before(s.notices.backoffUntil) {
		return Reply{}, false
	}
	return Reply{
		Outcome: NotRun, Status: http.StatusServiceUnavailable, Backoff: f.shape.leaving.backoffFor, Detail: "not run, status 503",
	}, true
}

// recordNotices records the notices that a host gets from a server.
func (f *hostFleet) recordNotices(c *hostCall, r Reply) {
	s := f.byAddress[c.send.Target.Address]
	k := noticeKey{c.engine, s, s.incarnation}
	if r.Leaving && f.leaving.leavingNotices[k].IsZero() {
		f.leaving.leavingNotices[k] = f.now
	}
	f.recordToldLimit(k, r)
	if r.Backoff > 0 {
		if old := f.leaving.backoffNotices[k]; old == nil || !f.now.Before(old.until) {
			f.leaving.backoffNotices[k] = &backoffNotice{at: f.now, until: f.now.Add(r.Backoff)}
		}
	}
}

// countViolations checks a call that reaches a server against the rules.
func (f *hostFleet) countViolations(c *hostCall, s *hostedServer) {
	l, shape := &f.leaving, f.shape.leaving
	k := noticeKey{c.engine, s, s.incarnation}
	sent, known := l.requestStart[c.engine][c.send.Call]
	if at, ok := l.leavingNotices[k]; ok && known && sent.After(at.Add(shape.drain)) {
		l.afterNotice++
	}
	if a := l.backoffNotices[k]; a != nil && f.now.After(a.at.Add(backoffGrace)) && f.now.Before(a.until) {
		if a.calls++; a.calls > maxCallsAfterBackoff {
			l.afterBackoff++
		}
	}
	sinceOutage := f.now.Sub(f.t0.Add(fleetWarmUp + time.Second))
	inSync := f.shape.storeOutage == 0 || sinceOutage < 0 || sinceOutage >= f.shape.storeOutage+fleetSyncTime
	switch {
	case s.notices.leaving && inSync && f.now.After(s.notices.leavingSince.Add(shape.drain)):
		l.afterDrain++
	case s.notices.leaving:
		l.toLeaving++
	case s.incarnation > 0:
		l.toNewIncarnations++
	}
	evacuated := s.DataCentre == "a" && !l.evacuated.IsZero() && f.now.Before(l.takenBack)
	if evacuated && inSync && f.now.After(l.evacuated.Add(shape.evacuateWithin)) {
		l.afterEvacuation++
	}
}

// worthShare returns the share of the possible worth that callers got whose
// first attempts were sent within d, starting from after fleetWarmUp.
func (f *hostFleet) worthShare(from, d time.Duration) float64 {
	begin := f.t0.Add(fleetWarmUp + from)
	var got, expected float64
	for _, at := range f.leaving.firstAttempts {
		if !at.Before(begin) && at.Before(begin.Add(d)) {
			expected++
			got += f.leaving.worth[at]
		}
	}
	return got / expected
}

func (l leavingShape) String() string {
	var parts []string
	for _, x := range []struct {
		what string
		is   bool
	}{
		{fmt.Sprintf("%.2f leave", l.scaleIn), l.scaleIn > 0}, {"unentered", l.entryRemoved}, {"evacuation", l.evacuateAt > 0},
		{fmt.Sprintf("%.2f falsely", l.falseNoticeShare), l.falseNoticeShare > 0}, {fmt.Sprintf("%.2f ask for %v", l.backoffShare, l.backoffFor), l.backoffShare > 0},
		{"frozen hosts", l.freezeInterval > 0},
	} {
		if x.is {
			parts = append(parts, x.what)
		}
	}
	return strings.Join(parts, ", ")
}

// smallDeployment, grownDeployment and largeDeployment return the shape with
// the bounds of that deployment.
func smallDeployment(l leavingShape) leavingShape {
	l.drain, l.evacuateWithin, l.applyWithin, l.minShardRatio = 3*time.Second, 5*time.Second, 3*time.Second, 0.89
	return l
}

func grownDeployment(l leavingShape) leavingShape {
	l.drain, l.evacuateWithin, l.applyWithin, l.minShardRatio = 5*time.Second, 5*time.Second, 5*time.Second, 0.95
	return l
}

func largeDeployment(l leavingShape) leavingShape {
	l.drain, l.evacuateWithin, l.applyWithin, l.minShardRatio = 6*time.Second, 5*time.Second, 5*time.Second, 0.95
	return l
}

// scaleInDuringEvacuation leaves some shards with leaving servers only. Answers
// can be demanded for what the bounds leave after the age of news (9/20 of
// applyWithin) and the latency of a call.
func scaleInDuringEvacuation(serveWithin time.Duration) leavingShape {
	return leavingShape{scaleIn: 0.3, scaleInAt: time.Second, evacuateAt: time.Second, evacuationLength: 4 * time.Second, serveWithin: serveWithin}
}

var leavingShapes = []fleetShape{
	{hosts: 1, shards: 10, servers: 3, load: 20, duration: 12 * time.Second, leaving: smallDeployment(scaleInDuringEvacuation(time.Second))},
	{hosts: 9, shards: 10, servers: 3, load: 60, duration: 12 * time.Second, leaving: smallDeployment(scaleInDuringEvacuation(time.Second))},
	{hosts: 85, shards: 36, servers: 3, load: 60, duration: 12 * time.Second, leaving: grownDeployment(scaleInDuringEvacuation(2 * time.Second))},
	{hosts: 295, shards: 90, servers: 3, load: 96, duration: 8 * time.Second, leaving: largeDeployment(scaleInDuringEvacuation(2 * time.Second))},
	{hosts: 9, servers: 6, load: 60, duration: 12 * time.Second, leaving: smallDeployment(leavingShape{scaleIn: 0.5, scaleInAt: time.Second})},
	{hosts: 9, servers: 3, load: 60, duration: 12 * time.Second, leaving: smallDeployment(leavingShape{scaleIn: 1, scaleInAt: time.Second, serveWithin: time.Second})},
	{hosts: 9, shards: 10, servers: 3, load: 60, duration: 16 * time.Second, storeOutage: 8 * time.Second, leaving: smallDeployment(leavingShape{scaleIn: 0.4, scaleInAt: 2 * time.Second, evacuateAt: 3 * time.Second, evacuationLength: 8 * time.Second})},
	{hosts: 9, shards: 10, servers: 3, load: 60, duration: 16 * time.Second, leaving: smallDeployment(leavingShape{scaleIn: 0.4, scaleInAt: time.Second, evacuateAt: time.Second, evacuationLength: 8 * time.Second, freezeInterval: 700 * time.Millisecond})},
	{hosts: 9, shards: 10, servers: 3, load: 60, duration: 12 * time.Second, hostRestartInterval: 900 * time.Millisecond, leaving: smallDeployment(leavingShape{scaleIn: 0.4, scaleInAt: time.Second, evacuateAt: time.Second, evacuationLength: 8 * time.Second})},
	{hosts: 9, shards: 10, servers: 3, load: 60, duration: 12 * time.Second, leaving: smallDeployment(leavingShape{scaleIn: 0.3, entryRemoved: true, scaleInAt: time.Second})},
	{hosts: 9, shards: 10, servers: 3, load: 60, duration: 12 * time.Second, leaving: smallDeployment(leavingShape{falseNoticeShare: 0.4, scaleInAt: time.Second})},
	{hosts: 9, servers: 6, load: 60, duration: 12 * time.Second, leaving: smallDeployment(leavingShape{falseNoticeShare: 1, scaleInAt: time.Second})},
	{hosts: 9, servers: 6, load: 60, duration: 16 * time.Second, storeOutage: 14 * time.Second, leaving: smallDeployment(leavingShape{falseNoticeShare: 0.5, scaleInAt: 2 * time.Second})},
	{hosts: 1, servers: 3, load: 60, duration: 10 * time.Second, leaving: smallDeployment(leavingShape{backoffShare: 0.5, backoffFor: 2 * time.Second, backoffSpell: 3 * time.Second, scaleInAt: time.Second})},
	{hosts: 9, servers: 6, load: 180, duration: 10 * time.Second, leaving: smallDeployment(leavingShape{backoffShare: 0.5, backoffFor: 3 * time.Second, backoffSpell: 4 * time.Second, scaleInAt: time.Second})},
	{hosts: 9, servers: 3, load: 180, duration: 10 * time.Second, leaving: smallDeployment(leavingShape{backoffShare: 1, backoffFor: 2 * time.Second, backoffSpell: 3 * time.Second, scaleInAt: time.Second})},
	{hosts: 9, shards: 10, servers: 3, load: 60, duration: 10 * time.Second, leaving: smallDeployment(leavingShape{backoffShare: 0.4, backoffFor: 2 * time.Second, backoffSpell: 3 * time.Second, scaleInAt: time.Second, freezeInterval: 700 * time.Millisecond})},
	{hosts: 85, shards: 36, servers: 3, load: 40, duration: 8 * time.Second, leaving: grownDeployment(leavingShape{backoffShare: 0.3, backoffFor: 2 * time.Second, backoffSpell: 3 * time.Second, scaleInAt: time.Second})},
	{hosts: 295, shards: 90, servers: 3, load: 96, duration: 6 * time.Second, leaving: largeDeployment(leavingShape{backoffShare: 0.2, falseNoticeShare: 0.2, backoffFor: 2 * time.Second, backoffSpell: 3 * time.Second, scaleInAt: time.Second})},
}

// TestServersThatLeaveOrAskForBackoff simulates servers that leave, announce
// it, or ask for back-off. No call may reach them against the rules, and
// callers must be served while leaving servers still answer.
func TestServersThatLeaveOrAskForBackoff(t *testing.T) {
	for i, shape := range leavingShapes {
		t.Run(fmt.Sprintf("%d hosts, %d shards, away %v, restarts %v, %v", shape.hosts, shape.shards, shape.storeOutage, shape.hostRestartInterval, shape.leaving), func(t *testing.T) {
			t.Parallel()
			shape.restartAfter = leaveLinger
			shape.sameID = true
			f := newHostFleet(shape, uint64(i))
			f.play()
			l := &f.leaving
			t.Logf("%d of %d served; %d arrivals at leaving servers, %d at the incarnations that follow", f.served, f.others, l.toLeaving, l.toNewIncarnations)
			for _, x := range []struct {
				what string
				n    int
			}{
				{"after the drain bound of a leaving server", l.afterDrain}, {"after the bound of an evacuation", l.afterEvacuation},
				{"after the drain bound from a server's own notice", l.afterNotice}, {"to servers that asked for back-off", l.afterBackoff},
				{"beyond the retry budget", f.overBudget()},
			} {
				if x.n > 0 {
					t.Errorf("%d calls %s", x.n, x.what)
				}
			}
			if shape.leaving.serveWithin > 0 {
				if got := f.worthShare(shape.leaving.scaleInAt, shape.leaving.serveWithin); got < minWorth {
					t.Errorf("%.3f of the possible worth while servers leave, want at least %.2f", got, minWorth)
				}
			}
			if shape.leaving.scaleIn > 0 && shape.duration > shape.leaving.scaleInAt+shape.leaving.drain+4*time.Second && l.toNewIncarnations == 0 {
				t.Error("no call reached the incarnations that follow")
			}
		})
	}
}

package forward

import (
	"testing"
	"time"

	"github.com/figmast/figmast/crash"
	"github.com/figmast/figmast/route"
)

// without publishes the servers of s without one.
func (w *world) without(id string, change func(*route.Server)) {
	p := &route.Topology{Config: &route.Config{Services: map[string]route.Service{"s": {Name: "s", MaxConnections: 60}}}}
	for i, dc := range []string{"a", "b", "c"} {
		s := route.Server{ID: "s-" + dc, Service: "s", Address: "10." + string(rune('0'+i)) + ".0.1:80", DataCentre: dc, Slots: 6}
		if s.ID == id {
			if change == nil {
				continue
			}
			change(&s)
		}
		p.Servers = append(p.Servers, s)
	}
	w.balancer.ApplyPicture(w.now, p)
	w.take(w.engine.ServersChanged(w.now))
}

// reports returns the servers held against the request once every finding is
// due.
func (w *world) reports() (servers []string) {
	w.pass(holdFor)
	for _, p := range w.engine.TakeReports(w.now) {
		if p.Fingerprint == guilty && !p.Answered {
			servers = append(servers, p.Server)
		}
	}
	return servers
}

// TestServersEndIsHeldAgainstTheRequestItEndedUnder plays how a server's end
// shows after a call of a request that may not repeat.
func TestServersEndIsHeldAgainstTheRequestItEndedUnder(t *testing.T) {
	refuses := func(w *world) { w.take(w.engine.HandleCheck(w.now, w.checks[0].Target, true)) }
	another := func(r Reply) func(*world) {
		return func(w *world) {
			for range 20 {
				_, a := w.engine.Start(w.now, Request{ID: "o", Route: single(false), Deadline: w.now.Add(time.Second), Fingerprint: 8})
				w.take(a)
				if s := w.sends[len(w.sends)-1]; s.Target == w.sends[0].Target {
					w.reply(s, r)
					return
				}
			}
			t.Error("no other call goes to the server")
		}
	}
	gone := func(w *world) { w.without("s-a", nil) }
	for name, c := range map[string]struct {
		end   Reply
		then  []func(*world)
		blame bool
	}{
		"closed, and refuses connections":               {Reply{Outcome: Broken}, []func(*world){refuses}, true},
		"closed, and takes connections":                 {Reply{Outcome: Broken}, []func(*world){func(w *world) { w.take(w.engine.HandleCheck(w.now, w.checks[0].Target, false)) }}, false},
		"closed, and another call is refused":           {Reply{Outcome: Broken}, []func(*world){another(Reply{Outcome: NotSent, Unreachable: true})}, true},
		"closed, and another call is not opened":        {Reply{Outcome: Broken}, []func(*world){another(Reply{Outcome: NotSent})}, false},
		"closed, and another lifetime is there":         {Reply{Outcome: Broken}, []func(*world){another(Reply{Outcome: NotRun, Misdirected: true})}, true},
		"closed, and its entry is gone":                 {Reply{Outcome: Broken}, []func(*world){gone}, true},
		"closed, answers another call, its entry goes":  {Reply{Outcome: Broken}, []func(*world){another(ok("x")), gone}, false},
		"closed, sheds another call, its entry goes":    {Reply{Outcome: Broken}, []func(*world){another(Reply{Outcome: NotRun}), gone}, false},
		"closed while it leaves, its entry goes":        {Reply{Outcome: Broken}, []func(*world){func(w *world) { w.without("s-a", func(s *route.Server) { s.Draining = true }) }, gone}, false},
		"silent until the call ends, its entry is gone": {Reply{Outcome: TimedOut}, []func(*world){gone}, true},
		"silent, given up, its entry is gone":           {Reply{Outcome: Cancelled}, []func(*world){gone}, true},
		"answered, and its entry is gone":               {ok("x"), []func(*world){gone}, false},
		"restarted under its ID": {Reply{Outcome: Broken}, []func(*world){func(w *world) {
			w.without("s-a", func(s *route.Server) { s.StartUnixMs = 5 })
		}}, true},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, "s")
			w.without("", nil)
			w.start(single(false))
			w.is.Equal(w.sends[0].Target.ID, "s-a")
			w.pass(time.Millisecond)
			w.reply(w.sends[0], c.end)
			w.pass(checkAfter)
			for _, do := range c.then {
				do(w)
				w.pass(time.Millisecond)
			}
			got := w.reports()
			w.is.Equal(len(got) == 1 && got[0] == "s-a", c.blame)
		})
	}
}

// TestSlowHeartbeatsAreWaitedFor plays servers that renew their entries every
// four seconds: a silent one's lapses after twelve.
func TestSlowHeartbeatsAreWaitedFor(t *testing.T) {
	w := newWorld(t, "s")
	w.engine.opts.Heartbeat = 4 * time.Second
	w.without("", nil)
	w.start(single(false))
	w.reply(w.sends[0], Reply{Outcome: TimedOut})
	w.pass(13 * time.Second)
	w.engine.TakeReports(w.now)
	w.without("s-a", nil)
	w.is.Equal(w.reports(), []string{"s-a"})
}

// TestSilentServersEndIsHeldAgainstTheCallInProgress plays a caller that still
// waits when the server's entry lapses.
func TestSilentServersEndIsHeldAgainstTheCallInProgress(t *testing.T) {
	w := newWorld(t, "s")
	w.without("", nil)
	w.start(single(false))
	w.pass(time.Second)
	w.without("s-a", nil)
	w.is.Equal(w.reports(), []string{"s-a"})
}

// TestRequestAnsweredElsewhereIsNotBlamed plays a request that was beside the
// one at fault: another server answers it.
func TestRequestAnsweredElsewhereIsNotBlamed(t *testing.T) {
	w := newWorld(t, "s")
	w.start(single(true))
	w.reply(w.sends[0], Reply{Outcome: Broken})
	w.take(w.engine.HandleCheck(w.now, w.sends[0].Target, true))
	w.reply(w.sends[1], ok("x"))
	w.is.Equal(len(w.reports()), 0)
}

// TestAnswerClearsASuspectedRequest plays an answer to a request against which
// other hosts hold a crash.
func TestAnswerClearsASuspectedRequest(t *testing.T) {
	w := newWorld(t, "s")
	w.take(w.engine.SetCrashes(w.now, map[uint64]crash.Verdict{guilty: {Crashed: 2}}))
	w.start(single(true))
	w.reply(w.sends[0], ok("x"))
	list := w.engine.TakeReports(w.now)
	w.is.Equal(len(list), 1)
	w.is.True(list[0].Answered)
	w.is.Equal(list[0].Service, "s")
}

// TestChecksAreBounded plays breaks at many servers at once: a server is looked
// at once a second, and few are beyond those for requests that may be at fault.
func TestChecksAreBounded(t *testing.T) {
	rt, shards := gatherRoute(40, 1)
	rt.MaxAttempts = 1
	w := newWorld(t, shards...)
	for range 3 {
		w.start(rt)
		for _, s := range w.sends {
			w.reply(s, Reply{Outcome: Broken})
		}
		w.sends = nil
	}
	seen := make(map[string]bool)
	for _, c := range w.checks {
		w.is.True(!seen[c.Target.ID])
		seen[c.Target.ID] = true
	}
	w.is.True(len(w.checks) <= mostChecks+3*crash.RefusalThreshold)

}

// TestRefusalReachesRequestsInProgress plays news of a request's crashes that
// arrives while it waits for a server, and while a call of it is in flight.
func TestRefusalReachesRequestsInProgress(t *testing.T) {
	verdicts := map[uint64]crash.Verdict{guilty: {Crashed: crash.RefusalThreshold, RefusedFor: time.Minute}}
	w := newWorld(t, "s")
	var others []Send
	for w.engine.service("s").waiting() == 0 {
		_, a := w.engine.Start(w.now, Request{ID: "o", Route: single(true), Deadline: w.now.Add(time.Second), Fingerprint: 8})
		w.take(a)
	}
	others, w.sends = w.sends, nil
	waiting := w.start(single(true))
	w.take(w.engine.SetCrashes(w.now, verdicts))
	w.is.Equal(w.finished[waiting].Verdict, Refused)
	w.is.Equal(w.finished[waiting].RetryAfter, time.Minute)
	for _, s := range others {
		w.reply(s, ok("x"))
	}
	for _, s := range w.sends {
		w.is.True(w.engine.calls[s.Call] == nil || w.engine.calls[s.Call].part.run.req.Fingerprint != guilty)
	}

	w = newWorld(t, "s")
	running := w.start(single(true))
	w.take(w.engine.SetCrashes(w.now, verdicts))
	w.is.Equal(w.finished[running].Verdict, Failed) // it may have run
	w.is.Equal(len(w.cancels), 1)
	w.is.Equal(w.cancels[0].After, time.Duration(0)) // a server drops what it has not begun
	w.reply(w.sends[0], Reply{Outcome: Broken})
	w.is.Equal(len(w.sends), 1)
}

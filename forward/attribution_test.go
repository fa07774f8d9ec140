package forward

import (
	"testing"
	"time"

	"github.com/figmast/figmast/crash"
	"github.com/figmast/figmast/route"
)

// publishWith publishes the servers of service s. The server with the given ID
// is changed by change, or left out if change is nil.
func (h *harness) publishWith(id string, change func(*route.Server)) {
	topology := &route.Topology{Config: &route.Config{Services: map[string]route.Service{"s": {Name: "s", MaxConnections: 60}}}}
	for i, dc := range []string{"a", "b", "c"} {
		s := route.Server{ID: "s-" + dc, Service: "s", Address: "10." + string(rune('0'+i)) + ".0.1:80", DataCentre: dc, Slots: 6}
		if s.ID == id {
			if change == nil {
				continue
			}
			change(&s)
		}
		topology.Servers = append(topology.Servers, s)
	}
	h.balancer.Apply(h.now, topology)
	h.apply(h.engine.ServersChanged(h.now))
}

// reportedServers returns the servers whose crashes are reported for the
// crashing request, once every finding is due.
func (h *harness) reportedServers() (servers []string) {
	h.advance(findingDelay)
	for _, p := range h.engine.TakeReports(h.now) {
		if p.Fingerprint == crashingFingerprint && !p.Answered {
			servers = append(servers, p.Server)
		}
	}
	return servers
}

// TestServerCrashIsAttributedToRequest covers the ways in which a server's
// crash becomes known after a call of a non-idempotent request. Only a crash
// while the server was working on the request may be reported.
func TestServerCrashIsAttributedToRequest(t *testing.T) {
	refuses := func(w *harness) { w.apply(w.engine.HandleCheck(w.now, w.checks[0].Target, true)) }
	another := func(r Reply) func(*harness) {
		return func(w *harness) {
			for range 20 {
				_, a := w.engine.Start(w.now, Request{ID: "o", Route: singleRoute(false), Deadline: w.now.Add(time.Second), Fingerprint: 8})
				w.apply(a)
				if s := w.sends[len(w.sends)-1]; s.Target == w.sends[0].Target {
					w.reply(s, r)
					return
				}
			}
			t.Error("no other call was sent to the server")
		}
	}
	gone := func(w *harness) { w.publishWith("s-a", nil) }
	for name, c := range map[string]struct {
		end   Reply
		then  []func(*harness)
		blame bool
	}{
		"closed, and refuses connections":               {Reply{Outcome: Broken}, []func(*harness){refuses}, true},
		"closed, and takes connections":                 {Reply{Outcome: Broken}, []func(*harness){func(w *harness) { w.apply(w.engine.HandleCheck(w.now, w.checks[0].Target, false)) }}, false},
		"closed, and another call is refused":           {Reply{Outcome: Broken}, []func(*harness){another(Reply{Outcome: NotSent, Unreachable: true})}, true},
		"closed, and another call is not opened":        {Reply{Outcome: Broken}, []func(*harness){another(Reply{Outcome: NotSent})}, false},
		"closed, and another incarnation is there":      {Reply{Outcome: Broken}, []func(*harness){another(Reply{Outcome: NotRun, Misdirected: true})}, true},
		"closed, and its entry is gone":                 {Reply{Outcome: Broken}, []func(*harness){gone}, true},
		"closed, answers another call, its entry goes":  {Reply{Outcome: Broken}, []func(*harness){another(ok("x")), gone}, false},
		"closed, sheds another call, its entry goes":    {Reply{Outcome: Broken}, []func(*harness){another(Reply{Outcome: NotRun}), gone}, false},
		"closed while it leaves, its entry goes":        {Reply{Outcome: Broken}, []func(*harness){func(w *harness) { w.publishWith("s-a", func(s *route.Server) { s.Draining = true }) }, gone}, false},
		"silent until the call ends, its entry is gone": {Reply{Outcome: TimedOut}, []func(*harness){gone}, true},
		"silent, cancelled, its entry is gone":          {Reply{Outcome: Cancelled}, []func(*harness){gone}, true},
		"answered, and its entry is gone":               {ok("x"), []func(*harness){gone}, false},
		"restarted under its ID": {Reply{Outcome: Broken}, []func(*harness){func(w *harness) {
			w.publishWith("s-a", func(s *route.Server) { s.StartUnixMs = 5 })
		}}, true},
	} {
		t.Run(name, func(t *testing.T) {
			w := newHarness(t, "s")
			w.publishWith("", nil)
			w.start(singleRoute(false))
			w.is.Equal(w.sends[0].Target.ID, "s-a")
			w.advance(time.Millisecond)
			w.reply(w.sends[0], c.end)
			w.advance(checkDelay)
			for _, do := range c.then {
				do(w)
				w.advance(time.Millisecond)
			}
			got := w.reportedServers()
			w.is.Equal(len(got) == 1 && got[0] == "s-a", c.blame)
		})
	}
}

// TestUnansweredCallsOutliveSlowHeartbeats covers servers that renew their
// entries every four seconds: the entry of a silent one expires only after
// twelve, and its unanswered call must still be remembered then.
func TestUnansweredCallsOutliveSlowHeartbeats(t *testing.T) {
	w := newHarness(t, "s")
	w.engine.opts.Heartbeat = 4 * time.Second
	w.publishWith("", nil)
	w.start(singleRoute(false))
	w.reply(w.sends[0], Reply{Outcome: TimedOut})
	w.advance(13 * time.Second)
	w.engine.TakeReports(w.now)
	w.publishWith("s-a", nil)
	w.is.Equal(w.reportedServers(), []string{"s-a"})
}

// TestSilentCrashIsAttributedToCallInFlight covers a caller that is still
// waiting when the server's entry expires.
func TestSilentCrashIsAttributedToCallInFlight(t *testing.T) {
	w := newHarness(t, "s")
	w.publishWith("", nil)
	w.start(singleRoute(false))
	w.advance(time.Second)
	w.publishWith("s-a", nil)
	w.is.Equal(w.reportedServers(), []string{"s-a"})
}

// TestRequestAnsweredElsewhereIsNotReported guards against reporting a
// bystander: a request that ran on the crashed server but is answered by
// another one.
func TestRequestAnsweredElsewhereIsNotReported(t *testing.T) {
	w := newHarness(t, "s")
	w.start(singleRoute(true))
	w.reply(w.sends[0], Reply{Outcome: Broken})
	w.apply(w.engine.HandleCheck(w.now, w.sends[0].Target, true))
	w.reply(w.sends[1], ok("x"))
	w.is.Equal(len(w.reportedServers()), 0)
}

// TestAnswerClearsASuspectedRequest checks that an answer to a request is
// reported if other hosts have reported crashes for it.
func TestAnswerClearsASuspectedRequest(t *testing.T) {
	w := newHarness(t, "s")
	w.apply(w.engine.SetCrashes(w.now, map[uint64]crash.Verdict{crashingFingerprint: {Crashed: 2}}))
	w.start(singleRoute(true))
	w.reply(w.sends[0], ok("x"))
	list := w.engine.TakeReports(w.now)
	w.is.Equal(len(list), 1)
	w.is.True(list[0].Answered)
	w.is.Equal(list[0].Service, "s")
}

// TestChecksAreBounded breaks connections to many servers at once: each server
// is checked at most once a second, and only requests that may be at fault
// exceed the bound.
func TestChecksAreBounded(t *testing.T) {
	rt, shards := gatherRoute(40, 1)
	rt.MaxAttempts = 1
	w := newHarness(t, shards...)
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
	w.is.True(len(w.checks) <= maxChecks+3*crash.RefusalThreshold)

}

// TestRefusalReachesRequestsInProgress checks that a refusal ends requests in
// progress, both while queued and with a call in flight.
func TestRefusalReachesRequestsInProgress(t *testing.T) {
	verdicts := map[uint64]crash.Verdict{crashingFingerprint: {Crashed: crash.RefusalThreshold, RefusedFor: time.Minute}}
	w := newHarness(t, "s")
	var others []Send
	for w.engine.service("s").queueLen() == 0 {
		_, a := w.engine.Start(w.now, Request{ID: "o", Route: singleRoute(true), Deadline: w.now.Add(time.Second), Fingerprint: 8})
		w.apply(a)
	}
	others, w.sends = w.sends, nil
	waiting := w.start(singleRoute(true))
	w.apply(w.engine.SetCrashes(w.now, verdicts))
	w.is.Equal(w.finished[waiting].Verdict, Refused)
	w.is.Equal(w.finished[waiting].RetryAfter, time.Minute)
	for _, s := range others {
		w.reply(s, ok("x"))
	}
	for _, s := range w.sends {
		w.is.True(w.engine.calls[s.Call] == nil || w.engine.calls[s.Call].part.run.req.Fingerprint != crashingFingerprint)
	}

	w = newHarness(t, "s")
	running := w.start(singleRoute(true))
	w.apply(w.engine.SetCrashes(w.now, verdicts))
	w.is.Equal(w.finished[running].Verdict, Failed) // it may have run
	w.is.Equal(len(w.cancels), 1)
	w.is.Equal(w.cancels[0].After, time.Duration(0)) // a server drops a call that it has not started
	w.reply(w.sends[0], Reply{Outcome: Broken})
	w.is.Equal(len(w.sends), 1)
}

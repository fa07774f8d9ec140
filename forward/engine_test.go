package forward

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/figmast/figmast/crash"
	"github.com/figmast/figmast/policy"
	"github.com/figmast/figmast/route"
)

// world drives one engine in virtual time.
type world struct {
	t        *testing.T
	is       *is.I
	now      time.Time
	balancer *policy.Balancer
	engine   *Engine
	sends    []Send
	cancels  []Cancel
	finished map[RunID]Finish
	checks   []Check
}

// newWorld returns an engine with three servers for each service, one in each
// of the data centres a (this host's), b and c.
func newWorld(t *testing.T, services ...string) *world {
	w := &world{t: t, is: is.New(t), now: time.Unix(1000, 0), finished: make(map[RunID]Finish)}
	random := rand.New(rand.NewPCG(1, 2))
	w.balancer = policy.NewBalancer(w.now, policy.BalancerOptions{
		Address: "10.1.0.1", DataCentre: "a", Rand: random, RetryRatio: 0.2, RetrySlack: 600, RetryWindow: 10 * time.Second,
	})
	p := &route.Topology{Config: &route.Config{Services: map[string]route.Service{}}, Evacuated: map[string]time.Time{}}
	for _, s := range services {
		p.Config.Services[s] = route.Service{Name: s, MaxConnections: 60}
		for i, dc := range []string{"a", "b", "c"} {
			p.Servers = append(p.Servers, route.Server{
				ID: s + "-" + dc, Service: s, Address: fmt.Sprintf("10.%d.0.1:80", i), DataCentre: dc, Slots: 6,
			})
		}
	}
	w.balancer.ApplyPicture(w.now, p)
	w.engine = NewEngine(Options{Balancer: w.balancer, Rand: random, CPUCores: 1})
	return w
}

func (w *world) take(a Actions) {
	w.sends = append(w.sends, a.Send...)
	w.cancels = append(w.cancels, a.Cancel...)
	w.checks = append(w.checks, a.Check...)
	for _, f := range a.Finish {
		w.finished[f.Run] = f
	}
}

func (w *world) start(rt *route.Route) RunID {
	id, a := w.engine.Start(w.now, Request{ID: "r", Route: rt, Deadline: w.now.Add(rt.Timeout), Fingerprint: 7})
	w.take(a)
	return id
}

// pass lets time go on, with every tick that is due.
func (w *world) pass(d time.Duration) {
	until := w.now.Add(d)
	for {
		next, ok := w.engine.NextTick()
		if !ok || next.After(until) {
			break
		}
		if next.After(w.now) {
			w.now = next
		}
		w.take(w.engine.Tick(w.now))
	}
	w.now = until
}

func (w *world) reply(s Send, r Reply) { w.take(w.engine.HandleReply(w.now, s.Call, r)) }

func ok(body string) Reply {
	return Reply{Outcome: Answered, Status: http.StatusOK, OK: true, Signature: "sig", Body: []byte(body), Answer: "whole"}
}

func single(repeatable bool) *route.Route {
	return &route.Route{Name: "one", Service: "s", Idempotent: repeatable, MaxAttempts: 2, Timeout: 3 * time.Second, Objective: 500 * time.Millisecond}
}

func gatherRoute(n int, least float64) (*route.Route, []string) {
	var shards []string
	for i := range n {
		shards = append(shards, fmt.Sprintf("s%d", i))
	}
	return &route.Route{
		Name: "all", Gather: shards, Idempotent: true, MaxAttempts: 2, Timeout: 3 * time.Second, Objective: 200 * time.Millisecond,
		TopK: 3, MinShardRatio: least,
	}, shards
}

func TestAnAnswerIsPassedOn(t *testing.T) {
	w := newWorld(t, "s")
	id := w.start(single(false))
	w.is.Equal(len(w.sends), 1)
	w.is.Equal(w.sends[0].Target.ID, "s-a") // of the host's own data centre
	w.is.True(w.sends[0].NonIdempotent)
	w.reply(w.sends[0], ok("x"))
	w.is.Equal(w.finished[id].Verdict, PassThrough)
}

// TestWhatMayNotRepeatIsSentOnce: after a call that may have run there is
// neither a second one nor a word that it has not run.
func TestWhatMayNotRepeatIsSentOnce(t *testing.T) {
	for name, reply := range map[string]Reply{
		"broken": {Outcome: Broken}, "timed out": {Outcome: TimedOut}, "cancelled": {Outcome: Cancelled},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, "s")
			id := w.start(single(false))
			w.pass(400 * time.Millisecond)
			w.is.Equal(len(w.sends), 1) // no second server beside the first
			w.reply(w.sends[0], reply)
			w.is.Equal(len(w.sends), 1)
			w.is.Equal(w.finished[id].Verdict, Failed)
		})
	}
}

func TestWhatHasNotRunGoesElsewhere(t *testing.T) {
	for name, reply := range map[string]Reply{"refused": {Outcome: NotRun}, "not sent": {Outcome: NotSent}} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, "s")
			id := w.start(single(false))
			w.reply(w.sends[0], reply)
			w.is.Equal(len(w.sends), 2)
			w.is.True(w.sends[1].Target != w.sends[0].Target)
			w.reply(w.sends[1], ok("x"))
			w.is.Equal(w.finished[id].Verdict, PassThrough)
		})
	}
}

// TestRefusedMeansNotRun: the verdict is kept for requests of which every call
// was refused by its server.
func TestRefusedMeansNotRun(t *testing.T) {
	w := newWorld(t, "s")
	id := w.start(single(true))
	for i := 0; i < len(w.sends); i++ {
		w.reply(w.sends[i], Reply{Outcome: NotRun})
	}
	w.is.Equal(len(w.sends), 3) // every server once
	w.is.Equal(w.finished[id].Verdict, Refused)
	w.is.True(w.finished[id].RetryAfter > 0)

	id = w.start(single(true))
	w.reply(w.sends[3], Reply{Outcome: Broken})
	for i := 4; i < len(w.sends); i++ {
		w.reply(w.sends[i], Reply{Outcome: NotRun})
	}
	w.is.Equal(w.finished[id].Verdict, Failed) // the first may have run
}

func TestAttemptsBoundTheServersThatRun(t *testing.T) {
	w := newWorld(t, "s")
	id := w.start(single(true))
	w.reply(w.sends[0], Reply{Outcome: Broken})
	w.reply(w.sends[1], Reply{Outcome: Broken})
	w.is.Equal(len(w.sends), 2)
	w.is.Equal(w.finished[id].Verdict, Failed)
}

func TestAServersOwnFailureIsPassedOn(t *testing.T) {
	w := newWorld(t, "s")
	id := w.start(single(false))
	w.reply(w.sends[0], Reply{Outcome: Answered, Status: 500, Answer: "failure"})
	w.is.Equal(w.finished[id].Verdict, PassThrough)
	w.is.Equal(w.finished[id].Answer, "failure")
}

// TestGatherAtTheObjective plays a paused shard: the answer leaves in time
// without it, with a true count.
func TestGatherAtTheObjective(t *testing.T) {
	rt, shards := gatherRoute(10, 0.89)
	w := newWorld(t, shards...)
	id := w.start(rt)
	w.is.Equal(len(w.sends), 10)
	for _, s := range w.sends[:9] {
		w.reply(s, ok("0123456789abcdef"))
	}
	w.pass(rt.Objective)
	f, done := w.finished[id]
	w.is.True(done)
	w.is.Equal(f.Verdict, Merged)
	w.is.Equal(f.Missing, 1)
	w.is.Equal(len(f.Signatures), 9)
	w.is.Equal(len(f.Body), 3*recordBytes)
	w.is.Equal(len(w.sends), 11) // the paused shard's second server was asked
}

// TestAWeakHostAnswersSooner plays merged answers on hosts of different
// strength: what leaves at the objective must still reach the caller in time,
// and the work of many parts takes a weak host longer.
func TestAWeakHostAnswersSooner(t *testing.T) {
	for _, c := range []struct {
		processor float64
		parts     int
		margin    time.Duration
	}{
		{1, 1, 12050 * time.Microsecond},
		{0.8, 36, 14250 * time.Microsecond},
		{0.4, 36, 16500 * time.Microsecond},
		{0.2, 54, 25500 * time.Microsecond},
	} {
		t.Run(fmt.Sprintf("%d parts on %v of a core", c.parts, c.processor), func(t *testing.T) {
			rt, shards := gatherRoute(max(c.parts, 2), 0.5)
			w := newWorld(t, shards...)
			w.engine.opts.CPUCores = c.processor
			w.is.Equal(deliveryMargin(c.processor, c.parts), c.margin)
			if c.parts == 1 {
				return
			}
			id := w.start(rt)
			for _, s := range w.sends[1:] {
				w.reply(s, ok("0123456789abcdef"))
			}
			w.pass(rt.Objective - c.margin - time.Millisecond)
			w.is.Equal(len(w.finished), 0)
			w.pass(time.Millisecond)
			w.is.Equal(w.finished[id].Missing, 1)
		})
	}
}

// TestGatherNeverBelowTheLeastShare: with too few parts it waits on.
func TestGatherNeverBelowTheLeastShare(t *testing.T) {
	rt, shards := gatherRoute(10, 0.89)
	w := newWorld(t, shards...)
	id := w.start(rt)
	for _, s := range w.sends[:8] {
		w.reply(s, ok("0123456789abcdef"))
	}
	w.pass(2 * rt.Objective)
	_, done := w.finished[id]
	w.is.True(!done)
	w.reply(w.sends[8], ok("0123456789abcdef"))
	w.is.Equal(w.finished[id].Missing, 1) // late, and delivered at once
}

// breakOff breaks every call to two shards off until none is left.
func (w *world) breakOff(from int) {
	lost := []string{w.sends[0].Target.Service, w.sends[1].Target.Service}
	for i := from; i < len(w.sends); i++ {
		if slices.Contains(lost, w.sends[i].Target.Service) && w.engine.calls[w.sends[i].Call] != nil {
			w.reply(w.sends[i], Reply{Outcome: Broken})
		}
	}
}

// TestGatherWithoutHopeEndsAtOnce: two shards of ten are lost, one may be. While
// nothing has answered, the request itself may be at fault: at most three calls
// more break off, and it ends with the first answer.
func TestGatherWithoutHopeEndsAtOnce(t *testing.T) {
	rt, shards := gatherRoute(10, 0.89)
	w := newWorld(t, shards...)
	id := w.start(rt)
	w.reply(w.sends[2], ok("0123456789abcdef"))
	w.breakOff(0)
	f, done := w.finished[id]
	w.is.True(done)
	w.is.Equal(f.Verdict, Failed)

	w = newWorld(t, shards...)
	id = w.start(rt)
	w.breakOff(0)
	w.is.True(len(w.sends) < 10+crash.RefusalThreshold)
	w.is.Equal(len(w.finished), 0)
	sent := len(w.sends)
	w.reply(w.sends[2], ok("0123456789abcdef"))
	w.breakOff(sent)
	w.is.Equal(w.finished[id].Verdict, Failed)
}

// TestAFailureIsNoPart: a failure with a signature is not merged.
func TestAFailureIsNoPart(t *testing.T) {
	rt, shards := gatherRoute(2, 0.5)
	rt.MaxAttempts = 1
	w := newWorld(t, shards...)
	id := w.start(rt)
	w.reply(w.sends[0], Reply{Outcome: Answered, Status: 500, Signature: "sig", Body: []byte("0123456789abcdef")})
	w.reply(w.sends[1], ok("fedcba9876543210"))
	w.is.Equal(w.finished[id].Missing, 1)
	w.is.Equal(string(w.finished[id].Body), "fedcba9876543210")
}

// TestUnservableIsRefusedAtOnce: no server is known for the service.
func TestUnservableIsRefusedAtOnce(t *testing.T) {
	w := newWorld(t, "other")
	id := w.start(single(true))
	w.is.Equal(w.finished[id].Verdict, Refused)
	w.is.Equal(len(w.sends), 0)
}

func TestTheTimeoutBringsAFinalAnswer(t *testing.T) {
	w := newWorld(t, "s")
	id := w.start(single(false))
	w.pass(3 * time.Second)
	w.is.Equal(w.finished[id].Verdict, Expired)
}

// TestALateTimeoutIsNoFailure: a call that times out when the request has met
// its deadline ends it as expired.
func TestALateTimeoutIsNoFailure(t *testing.T) {
	w := newWorld(t, "s")
	id := w.start(single(false))
	w.now = w.now.Add(3 * time.Second)
	w.reply(w.sends[0], Reply{Outcome: TimedOut})
	w.is.Equal(w.finished[id].Verdict, Expired)
}

// TestEndAll: a host that exits answers what is in progress.
func TestEndAll(t *testing.T) {
	rt, shards := gatherRoute(4, 0.5)
	w := newWorld(t, append(shards, "s")...)
	merged := w.start(rt)
	w.reply(w.sends[0], ok("0123456789abcdef"))
	w.reply(w.sends[1], ok("0123456789abcdef"))
	ran := w.start(single(false))
	w.take(w.engine.EndAll(w.now))
	w.is.Equal(w.finished[merged].Missing, 2)
	w.is.Equal(w.finished[ran].Verdict, Failed) // it may have run
	w.is.Equal(w.engine.Running(), 0)
}

func TestACallerThatLeavesFreesItsCalls(t *testing.T) {
	w := newWorld(t, "s")
	id := w.start(single(true))
	w.take(w.engine.Abandon(w.now, id))
	w.is.Equal(len(w.cancels), 1)
	w.is.True(w.cancels[0].After < 500*time.Millisecond)
	w.is.Equal(w.engine.Running(), 0)
}

func TestWeightsAreKept(t *testing.T) {
	w := newWorld(t, "s", "t")
	rt := single(true)
	rt.Service, rt.Split = "", []route.WeightedService{{Service: "s", Weight: 3}, {Service: "t", Weight: 1}}
	counts := make(map[string]int)
	for range 100 {
		w.start(rt)
		s := w.sends[len(w.sends)-1]
		counts[s.Target.Service]++
		w.reply(s, ok("x"))
	}
	w.is.Equal(counts["s"], 75)
	w.is.Equal(counts["t"], 25)
}

// TestBurst plays the load of a burst: three times what the servers can do,
// for two seconds. Every request gets a final answer, no refused one has run,
// and at least four fifths of what can be served within the objective is.
func TestBurst(t *testing.T) {
	w := newWorld(t, "s")
	rt := single(true)
	rt.MaxAttempts = 1
	rt.Timeout = time.Second
	const (
		work     = 50 * time.Millisecond
		perSlot  = 3 // servers
		slots    = 6
		spell    = 2 * time.Second
		overload = 3
	)
	capacity := float64(perSlot*slots) / work.Seconds()
	gap := time.Duration(float64(time.Second) / (overload * capacity))
	type running struct {
		send Send
		end  time.Time
	}
	busy := make(map[string][]time.Time)
	var calls []running
	started := make(map[RunID]time.Time)
	inTime := 0
	end := w.now.Add(spell)
	for begin := w.now; w.now.Before(end.Add(2 * time.Second)); {
		if w.now.Before(end) {
			id := w.start(rt)
			started[id] = w.now
		}
		for _, s := range w.sends {
			// A server works on six requests at a time, first come first served.
			free := busy[s.Target.ID]
			if len(free) < slots {
				free = append(free, w.now)
			}
			least := 0
			for i := range free {
				if free[i].Before(free[least]) {
					least = i
				}
			}
			at := free[least]
			if at.Before(w.now) {
				at = w.now
			}
			free[least] = at.Add(work)
			busy[s.Target.ID] = free
			calls = append(calls, running{s, at.Add(work)})
		}
		w.sends = nil
		w.pass(gap)
		for i := 0; i < len(calls); {
			if calls[i].end.After(w.now) {
				i++
				continue
			}
			c := calls[i]
			calls = append(calls[:i], calls[i+1:]...)
			before := len(w.finished)
			w.reply(c.send, ok("x"))
			if len(w.finished) > before && w.now.Sub(started[c.send.Run]) <= rt.Objective && w.finished[c.send.Run].Verdict == PassThrough {
				inTime++
			}
		}
		_ = begin
	}
	w.is.Equal(len(w.finished), len(started)) // a final answer for each
	possible := capacity * spell.Seconds()
	if float64(inTime) < 0.8*possible {
		t.Errorf("%d requests were served in time of %.0f that could be", inTime, possible)
	}
}

// TestWaitingInVainEndsSoon plays the load of servers that hang while a queue
// stands before them: nobody is held until the deadline for a server that will
// not be free, and those who are told so come back to servers that work.
func TestWaitingInVainEndsSoon(t *testing.T) {
	const (
		// mostHeld is half of the time that requests have, and a little; soon
		// is when all but a few must know.
		mostHeld = 1600 * time.Millisecond
		soon     = rateWindow + 100*time.Millisecond
	)
	for name, waiting := range map[string]int{"a long queue": 60, "a short queue": 3} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, "s")
			rt := single(true)
			rt.MaxAttempts = 1
			var calls []Send
			for w.engine.service("s").waiting() == 0 {
				w.start(rt)
				calls = append(calls, w.sends...)
				w.sends = nil
				w.is.True(len(calls) < 1000) // the connections are bounded
			}
			// The service has answered at a good rate until now.
			for range 100 {
				w.reply(calls[0], ok("x"))
				calls = append(calls[1:], w.sends...)
				w.sends = nil
				w.pass(2 * time.Millisecond)
				for w.engine.service("s").waiting() == 0 {
					w.start(rt)
					calls = append(calls, w.sends...)
					w.sends = nil
				}
			}
			began := w.now
			ids := make(map[RunID]bool)
			for range waiting {
				if id := w.start(rt); w.finished[id].Run == 0 {
					ids[id] = true
				}
			}
			w.is.True(len(ids) == waiting) // they wait, as the queue drains
			var last time.Duration
			for w.now.Before(began.Add(rt.Timeout)) {
				w.pass(10 * time.Millisecond)
				if w.now.Sub(began) > soon {
					w.is.True(len(ids) <= fewWaiting)
				}
				for id := range ids {
					f, done := w.finished[id]
					if !done {
						continue
					}
					delete(ids, id)
					last = w.now.Sub(began)
					w.is.Equal(f.Verdict, Refused)
					w.is.True(f.RetryAfter > 0)
				}
			}
			w.is.Equal(len(ids), 0)
			if last > mostHeld {
				t.Errorf("the last one was told after %v", last)
			}
		})
	}
}

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

// harness drives one engine in virtual time.
type harness struct {
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

// newHarness returns an engine with three servers for each service, one in each
// of the data centres a (this host's), b and c.
func newHarness(t *testing.T, services ...string) *harness {
	w := &harness{t: t, is: is.New(t), now: time.Unix(1000, 0), finished: make(map[RunID]Finish)}
	random := rand.New(rand.NewPCG(1, 2))
	w.balancer = policy.NewBalancer(w.now, policy.BalancerOptions{
		Address: "10.1.0.1", DataCentre: "a", Rand: random, RetryRatio: 0.2, RetrySlack: 600, RetryWindow: 10 * time.Second,
	})
	topology := &route.Topology{Config: &route.Config{Services: map[string]route.Service{}}, Evacuated: map[string]time.Time{}}
	for _, s := range services {
		topology.Config.Services[s] = route.Service{Name: s, MaxConnections: 60}
		for i, dc := range []string{"a", "b", "c"} {
			topology.Servers = append(topology.Servers, route.Server{
				ID: s + "-" + dc, Service: s, Address: fmt.Sprintf("10.%d.0.1:80", i), DataCentre: dc, Slots: 6,
			})
		}
	}
	w.balancer.Apply(w.now, topology)
	w.engine = NewEngine(Options{Balancer: w.balancer, Rand: random, CPUCapacity: 1})
	return w
}

func (h *harness) apply(a Actions) {
	h.sends = append(h.sends, a.Send...)
	h.cancels = append(h.cancels, a.Cancel...)
	h.checks = append(h.checks, a.Check...)
	for _, f := range a.Finish {
		h.finished[f.Run] = f
	}
	for range a.Probe {
		h.apply(h.engine.HandleProbe(h.now, true))
	}
}

func (h *harness) start(rt *route.Route) RunID {
	id, a := h.engine.Start(h.now, Request{ID: "r", Route: rt, Deadline: h.now.Add(rt.Timeout), Fingerprint: 7})
	h.apply(a)
	return id
}

// advance moves the virtual time forward and runs every tick that is due.
func (h *harness) advance(d time.Duration) {
	until := h.now.Add(d)
	for {
		next, ok := h.engine.NextTick()
		if !ok || next.After(until) {
			break
		}
		if next.After(h.now) {
			h.now = next
		}
		h.apply(h.engine.Tick(h.now))
	}
	h.now = until
}

func (h *harness) reply(s Send, r Reply) { h.apply(h.engine.HandleReply(h.now, s.Call, r)) }

func ok(body string) Reply {
	return Reply{Outcome: Answered, Status: http.StatusOK, OK: true, Signature: "sig", Body: []byte(body), Answer: "whole"}
}

func singleRoute(idempotent bool) *route.Route {
	return &route.Route{Name: "one", Service: "s", Idempotent: idempotent, MaxAttempts: 2, Timeout: 3 * time.Second, Objective: 500 * time.Millisecond}
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

func TestAnswerIsPassedThrough(t *testing.T) {
	w := newHarness(t, "s")
	id := w.start(singleRoute(false))
	w.is.Equal(len(w.sends), 1)
	w.is.Equal(w.sends[0].Target.ID, "s-a") // in the host's own data centre
	w.is.True(w.sends[0].NonIdempotent)
	w.reply(w.sends[0], ok("x"))
	w.is.Equal(w.finished[id].Verdict, PassThrough)
}

// TestNonIdempotentRequestIsSentOnce: after a call that may have run, the
// request must neither be sent again nor be reported as not run.
func TestNonIdempotentRequestIsSentOnce(t *testing.T) {
	for name, reply := range map[string]Reply{
		"broken": {Outcome: Broken}, "timed out": {Outcome: TimedOut}, "cancelled": {Outcome: Cancelled},
	} {
		t.Run(name, func(t *testing.T) {
			w := newHarness(t, "s")
			id := w.start(singleRoute(false))
			w.advance(400 * time.Millisecond)
			w.is.Equal(len(w.sends), 1) // no hedge
			w.reply(w.sends[0], reply)
			w.is.Equal(len(w.sends), 1)
			w.is.Equal(w.finished[id].Verdict, Failed)
		})
	}
}

func TestCallThatDidNotRunIsRetriedElsewhere(t *testing.T) {
	for name, reply := range map[string]Reply{"refused": {Outcome: NotRun}, "not sent": {Outcome: NotSent}} {
		t.Run(name, func(t *testing.T) {
			w := newHarness(t, "s")
			id := w.start(singleRoute(false))
			w.reply(w.sends[0], reply)
			w.is.Equal(len(w.sends), 2)
			w.is.True(w.sends[1].Target != w.sends[0].Target)
			w.reply(w.sends[1], ok("x"))
			w.is.Equal(w.finished[id].Verdict, PassThrough)
		})
	}
}

// TestRefusedMeansNotRun: a request is refused only if none of its calls may
// have run.
func TestRefusedMeansNotRun(t *testing.T) {
	w := newHarness(t, "s")
	id := w.start(singleRoute(true))
	for i := 0; i < len(w.sends); i++ {
		w.reply(w.sends[i], Reply{Outcome: NotRun})
	}
	w.is.Equal(len(w.sends), 3) // each server once
	w.is.Equal(w.finished[id].Verdict, Refused)
	w.is.True(w.finished[id].RetryAfter > 0)

	id = w.start(singleRoute(true))
	w.reply(w.sends[3], Reply{Outcome: Broken})
	for i := 4; i < len(w.sends); i++ {
		w.reply(w.sends[i], Reply{Outcome: NotRun})
	}
	w.is.Equal(w.finished[id].Verdict, Failed) // the first call may have run
}

// TestUnidentifiedRejectionProvesNothing guards against a rejection that may belong
// to another request being taken for a promise that this one has not run.
func TestUnidentifiedRejectionProvesNothing(t *testing.T) {
	w := newHarness(t, "s")
	id := w.start(singleRoute(false))
	w.reply(w.sends[0], Reply{Outcome: NotRun, Unidentified: true})
	w.is.Equal(len(w.sends), 1) // it may have run
	w.is.Equal(w.finished[id].Verdict, Failed)

	id = w.start(singleRoute(true))
	w.reply(w.sends[1], Reply{Outcome: NotRun, Unidentified: true})
	w.is.Equal(len(w.sends), 3)
	w.reply(w.sends[2], Reply{Outcome: NotRun})
	for i := 3; i < len(w.sends); i++ {
		w.reply(w.sends[i], Reply{Outcome: NotRun})
	}
	w.is.Equal(w.finished[id].Verdict, Failed) // the first call may have run
}

func TestMaxAttemptsBoundsServersThatMayRun(t *testing.T) {
	w := newHarness(t, "s")
	id := w.start(singleRoute(true))
	w.reply(w.sends[0], Reply{Outcome: Broken})
	w.reply(w.sends[1], Reply{Outcome: Broken})
	w.is.Equal(len(w.sends), 2)
	w.is.Equal(w.finished[id].Verdict, Failed)
}

func TestServerErrorIsPassedThrough(t *testing.T) {
	w := newHarness(t, "s")
	id := w.start(singleRoute(false))
	w.reply(w.sends[0], Reply{Outcome: Answered, Status: 500, Answer: "failure"})
	w.is.Equal(w.finished[id].Verdict, PassThrough)
	w.is.Equal(w.finished[id].Answer, "failure")
}

// TestGatherAtTheObjective covers a paused shard: the answer is sent without it
// at the objective, with a correct count of missing parts.
func TestGatherAtTheObjective(t *testing.T) {
	rt, shards := gatherRoute(10, 0.89)
	w := newHarness(t, shards...)
	id := w.start(rt)
	w.is.Equal(len(w.sends), 10)
	for _, s := range w.sends[:9] {
		w.reply(s, ok("0123456789abcdef"))
	}
	w.advance(rt.Objective)
	f, done := w.finished[id]
	w.is.True(done)
	w.is.Equal(f.Verdict, Merged)
	w.is.Equal(f.Missing, 1)
	w.is.Equal(len(f.Signatures), 9)
	w.is.Equal(len(f.Body), 3*recordBytes)
	w.is.Equal(len(w.sends), 11) // the paused shard was hedged
}

// TestDeliveryMarginGrowsOnSlowHosts covers merged answers on hosts with
// different CPU shares: an answer must reach the caller by the objective, and a
// host with less CPU needs longer to process many parts.
func TestDeliveryMarginGrowsOnSlowHosts(t *testing.T) {
	for _, c := range []struct {
		cpuCapacity float64
		parts       int
		margin      time.Duration
	}{
		{1, 1, 12050 * time.Microsecond},
		{0.8, 36, 14250 * time.Microsecond},
		{0.4, 36, 16500 * time.Microsecond},
		{0.2, 54, 25500 * time.Microsecond},
	} {
		t.Run(fmt.Sprintf("%d parts on %v of a core", c.parts, c.cpuCapacity), func(t *testing.T) {
			rt, shards := gatherRoute(max(c.parts, 2), 0.5)
			w := newHarness(t, shards...)
			w.engine.opts.CPUCapacity = c.cpuCapacity
			w.is.Equal(deliveryMargin(c.cpuCapacity, c.parts), c.margin)
			if c.parts == 1 {
				return
			}
			id := w.start(rt)
			for _, s := range w.sends[1:] {
				w.reply(s, ok("0123456789abcdef"))
			}
			w.advance(rt.Objective - c.margin - time.Millisecond)
			w.is.Equal(len(w.finished), 0)
			w.advance(time.Millisecond)
			w.is.Equal(w.finished[id].Missing, 1)
		})
	}
}

// TestGatherNeverBelowMinShardRatio: with too few parts the request keeps
// waiting past the objective.
func TestGatherNeverBelowMinShardRatio(t *testing.T) {
	rt, shards := gatherRoute(10, 0.89)
	w := newHarness(t, shards...)
	id := w.start(rt)
	for _, s := range w.sends[:8] {
		w.reply(s, ok("0123456789abcdef"))
	}
	w.advance(2 * rt.Objective)
	_, done := w.finished[id]
	w.is.True(!done)
	w.reply(w.sends[8], ok("0123456789abcdef"))
	w.is.Equal(w.finished[id].Missing, 1) // late, but answered as soon as there are enough parts
}

// breakCallsToTwoShards breaks every call to the first two shards, including
// the retries.
func (h *harness) breakCallsToTwoShards(from int) {
	lost := []string{h.sends[0].Target.Service, h.sends[1].Target.Service}
	for i := from; i < len(h.sends); i++ {
		if slices.Contains(lost, h.sends[i].Target.Service) && h.engine.calls[h.sends[i].Call] != nil {
			h.reply(h.sends[i], Reply{Outcome: Broken})
		}
	}
}

// TestUnservableGatherFailsAtOnce loses two shards of ten where one may be
// missing. While no server has answered, the request itself may be at fault:
// then fewer than crash.RefusalThreshold further calls are sent, and the request
// fails with the first answer.
func TestUnservableGatherFailsAtOnce(t *testing.T) {
	rt, shards := gatherRoute(10, 0.89)
	w := newHarness(t, shards...)
	id := w.start(rt)
	w.reply(w.sends[2], ok("0123456789abcdef"))
	w.breakCallsToTwoShards(0)
	f, done := w.finished[id]
	w.is.True(done)
	w.is.Equal(f.Verdict, Failed)

	w = newHarness(t, shards...)
	id = w.start(rt)
	w.breakCallsToTwoShards(0)
	w.is.True(len(w.sends) < 10+crash.RefusalThreshold)
	w.is.Equal(len(w.finished), 0)
	sent := len(w.sends)
	w.reply(w.sends[2], ok("0123456789abcdef"))
	w.breakCallsToTwoShards(sent)
	w.is.Equal(w.finished[id].Verdict, Failed)
}

// TestServerErrorIsNotMerged: an error response is not merged even if it has a
// signature.
func TestServerErrorIsNotMerged(t *testing.T) {
	rt, shards := gatherRoute(2, 0.5)
	rt.MaxAttempts = 1
	w := newHarness(t, shards...)
	id := w.start(rt)
	w.reply(w.sends[0], Reply{Outcome: Answered, Status: 500, Signature: "sig", Body: []byte("0123456789abcdef")})
	w.reply(w.sends[1], ok("fedcba9876543210"))
	w.is.Equal(w.finished[id].Missing, 1)
	w.is.Equal(string(w.finished[id].Body), "fedcba9876543210")
}

// TestUnservableIsRefusedAtOnce: a request for a service without known servers
// is refused at once.
func TestUnservableIsRefusedAtOnce(t *testing.T) {
	w := newHarness(t, "other")
	id := w.start(singleRoute(true))
	w.is.Equal(w.finished[id].Verdict, Refused)
	w.is.Equal(len(w.sends), 0)
}

func TestTimeoutEndsAsExpired(t *testing.T) {
	w := newHarness(t, "s")
	id := w.start(singleRoute(false))
	w.advance(3 * time.Second)
	w.is.Equal(w.finished[id].Verdict, Expired)
}

// TestCallTimeoutAtDeadlineIsExpired: a call that times out at the request's
// deadline ends the request as expired, not as failed.
func TestCallTimeoutAtDeadlineIsExpired(t *testing.T) {
	w := newHarness(t, "s")
	id := w.start(singleRoute(false))
	w.now = w.now.Add(3 * time.Second)
	w.reply(w.sends[0], Reply{Outcome: TimedOut})
	w.is.Equal(w.finished[id].Verdict, Expired)
}

// TestEndAll: a host that exits answers every request in progress.
func TestEndAll(t *testing.T) {
	rt, shards := gatherRoute(4, 0.5)
	w := newHarness(t, append(shards, "s")...)
	merged := w.start(rt)
	w.reply(w.sends[0], ok("0123456789abcdef"))
	w.reply(w.sends[1], ok("0123456789abcdef"))
	ran := w.start(singleRoute(false))
	w.apply(w.engine.EndAll(w.now))
	w.is.Equal(w.finished[merged].Missing, 2)
	w.is.Equal(w.finished[ran].Verdict, Failed) // it may have run
	w.is.Equal(w.engine.Running(), 0)
}

func TestAbandonedRequestCancelsItsCalls(t *testing.T) {
	w := newHarness(t, "s")
	id := w.start(singleRoute(true))
	w.apply(w.engine.Abandon(w.now, id))
	w.is.Equal(len(w.cancels), 1)
	w.is.True(w.cancels[0].After < 500*time.Millisecond)
	w.is.Equal(w.engine.Running(), 0)
}

func TestWeightsAreKept(t *testing.T) {
	w := newHarness(t, "s", "t")
	rt := singleRoute(true)
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

// TestBurst offers three times the load that the servers can take for two
// seconds. Every request must get a final answer, and at least four fifths of
// the requests that could be served within the objective must be.
func TestBurst(t *testing.T) {
	w := newHarness(t, "s")
	rt := singleRoute(true)
	rt.MaxAttempts = 1
	rt.Timeout = time.Second
	const (
		serviceTime = 50 * time.Millisecond
		servers     = 3
		slots       = 6
		duration    = 2 * time.Second
		overload    = 3
	)
	capacity := float64(servers*slots) / serviceTime.Seconds()
	gap := time.Duration(float64(time.Second) / (overload * capacity))
	type running struct {
		send Send
		end  time.Time
	}
	busyUntil := make(map[string][]time.Time)
	var calls []running
	started := make(map[RunID]time.Time)
	inTime := 0
	end := w.now.Add(duration)
	for begin := w.now; w.now.Before(end.Add(2 * time.Second)); {
		if w.now.Before(end) {
			id := w.start(rt)
			started[id] = w.now
		}
		for _, s := range w.sends {
			// A server runs six requests at a time in order of arrival.
			free := busyUntil[s.Target.ID]
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
			free[least] = at.Add(serviceTime)
			busyUntil[s.Target.ID] = free
			calls = append(calls, running{s, at.Add(serviceTime)})
		}
		w.sends = nil
		w.advance(gap)
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
	w.is.Equal(len(w.finished), len(started)) // every request got a final answer
	possible := capacity * duration.Seconds()
	if float64(inTime) < 0.8*possible {
		t.Errorf("%d requests were served in time, want at least 0.8 of the possible %.0f", inTime, possible)
	}
}

// TestHopelessWaitIsRefusedSoon covers servers that hang while requests are
// queued for them. The requests must be refused well before their deadline, so
// that callers can retry at servers that work.
func TestHopelessWaitIsRefusedSoon(t *testing.T) {
	const (
		// maxWait is a little more than half of the time that requests have;
		// settleTime is when all but a few must be refused.
		maxWait    = 1600 * time.Millisecond
		settleTime = rateWindow + 100*time.Millisecond
	)
	for name, waiting := range map[string]int{"a long queue": 60, "a short queue": 3} {
		t.Run(name, func(t *testing.T) {
			w := newHarness(t, "s")
			rt := singleRoute(true)
			rt.MaxAttempts = 1
			var calls []Send
			for w.engine.service("s").queueLen() == 0 {
				w.start(rt)
				calls = append(calls, w.sends...)
				w.sends = nil
				w.is.True(len(calls) < 1000) // the number of connections is bounded
			}
			// The service has answered at a good rate so far.
			for range 100 {
				w.reply(calls[0], ok("x"))
				calls = append(calls[1:], w.sends...)
				w.sends = nil
				w.advance(2 * time.Millisecond)
				for w.engine.service("s").queueLen() == 0 {
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
			w.is.True(len(ids) == waiting) // they wait, because the queue is moving
			var lastRefusal time.Duration
			for w.now.Before(began.Add(rt.Timeout)) {
				w.advance(10 * time.Millisecond)
				if w.now.Sub(began) > settleTime {
					w.is.True(len(ids) <= smallQueue)
				}
				for id := range ids {
					f, done := w.finished[id]
					if !done {
						continue
					}
					delete(ids, id)
					lastRefusal = w.now.Sub(began)
					w.is.Equal(f.Verdict, Refused)
					w.is.True(f.RetryAfter > 0)
				}
			}
			w.is.Equal(len(ids), 0)
			if lastRefusal > maxWait {
				t.Errorf("the last request was refused after %v", lastRefusal)
			}
		})
	}
}

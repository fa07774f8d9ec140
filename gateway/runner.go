package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/figmast/figmast/forward"
	"github.com/figmast/figmast/http1"
	"github.com/figmast/figmast/news"
	"github.com/figmast/figmast/news/feed"
	"github.com/figmast/figmast/policy"
	"github.com/figmast/figmast/route"
)

// runner drives the engine: events under one lock, calls on goroutines.
type runner struct {
	now     func() time.Time
	pool    *http1.Pool
	headers Headers
	counts  *counters

	mu       sync.Mutex
	balancer *policy.Balancer
	engine   *forward.Engine
	requests map[forward.RunID]*exchange
	cancels  map[forward.CallID]context.CancelFunc
	sleeps   time.Time
	local    string

	picture atomic.Pointer[route.Topology]
	// confirmed is when the store was known to hold nothing newer, in nanoseconds
	// of the host's time; 0 is never.
	confirmed atomic.Int64
	live      atomic.Pointer[map[http1.Peer]bool]

	wake chan struct{}
	stop chan struct{}
	done sync.WaitGroup
}

// exchange is a caller's request with what its calls need.
type exchange struct {
	request *callerRequest
	finish  chan forward.Finish
}

const (
	// readingPart of the host's memory may be held by answers that are being
	// read: 23 MB of the smallest host's 184.
	readingPart = 8
	// maxPartBytes bounds a part of a merged answer: 64 Ki records of 16 bytes,
	// a hundred times the largest part of the deployments known.
	maxPartBytes = 1 << 20
)

// mostBytes returns how large a server's answer to the request may be; 0 means
// the pool's bound.
func (q *callerRequest) mostBytes() int {
	if len(q.route.Gather) > 0 {
		return maxPartBytes
	}
	return 0
}

func newRunner(now func() time.Time, s Settings, h Headers, b *policy.Balancer, e *forward.Engine, c *counters) *runner {
	r := &runner{
		now: now, headers: h, balancer: b, engine: e, local: s.DataCentre, counts: c,
		pool:     http1.NewPool(http1.Options{RequestID: h.RequestID, Now: now, MaxReading: s.MemoryBytes / readingPart}),
		requests: make(map[forward.RunID]*exchange), cancels: make(map[forward.CallID]context.CancelFunc),
		wake: make(chan struct{}, 1), stop: make(chan struct{}),
	}
	r.live.Store(&map[http1.Peer]bool{})
	return r
}

// believe puts what is published in force and returns what was seen since the
// last time.
func (r *runner) believe(b feed.View) feed.Observations {
	if b.AgeKnown {
		r.confirmed.Store(r.now().Add(-b.Age).UnixNano())
	}
	addresses := make([]string, len(b.Hosts))
	local := 0
	for i, h := range b.Hosts {
		addresses[i] = h.Address
		if h.DataCentre == r.local {
			local++
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	r.balancer.ApplyHosts(now, addresses, local)
	r.balancer.SetSlowServers(b.Slow)
	r.act(r.engine.SetCrashes(now, b.Crashes))
	if b.Topology != nil {
		r.apply(now, b.Topology)
	}
	seen := feed.Observations{Crashes: r.engine.TakeReports(now)}
	r.counts.reports(seen.Crashes)
	for _, s := range r.balancer.TakeSlowSpans() {
		seen.Slow = append(seen.Slow, news.NewSlowReport(now, s.Server, s.From, s.To, s.LastFast))
	}
	for _, s := range r.balancer.TakeLeavingNotices() {
		seen.Leaving = append(seen.Leaving, news.NewLeavingReport(s.Server, now.Sub(s.At)))
	}
	return seen
}

// apply puts a picture in force; the lock is held.
func (r *runner) apply(now time.Time, p *route.Topology) {
	r.balancer.Apply(now, p)
	live := make(map[http1.Peer]bool, len(p.Servers))
	for _, s := range p.Servers {
		live[peerOf(s)] = true
	}
	r.live.Store(&live)
	r.picture.Store(p)
	r.act(r.engine.ServersChanged(now))
}

func peerOf(s route.Server) http1.Peer { return http1.Peer{Name: s.ID, Address: s.Address} }

// viewAge returns how old what the host goes by may be, or -1 when unknown.
func (r *runner) viewAge() time.Duration {
	at := r.confirmed.Load()
	if at == 0 {
		return -1
	}
	return r.now().Sub(time.Unix(0, at))
}

// run decides on a request and returns how it ended; ok is false when the
// caller went away first.
func (r *runner) run(ctx context.Context, q *callerRequest) (f forward.Finish, ok bool) {
	x := &exchange{request: q, finish: make(chan forward.Finish, 1)}
	id := r.start(x)
	select {
	case f = <-x.finish:
		return f, true
	case <-ctx.Done():
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.requests, id)
	r.act(r.engine.Abandon(r.now(), id))
	return forward.Finish{}, false
}

func (r *runner) start(x *exchange) forward.RunID {
	r.mu.Lock()
	defer r.mu.Unlock()
	q := x.request
	elapsed := r.engine.EstimateElapsed(q.route, q.waits)
	id, acts := r.engine.Start(r.now(), forward.Request{
		ID: q.id, Route: q.route, Deadline: q.deadline, Elapsed: elapsed, Fingerprint: q.fingerprint,
	})
	r.requests[id] = x
	r.act(acts)
	return id
}

// act carries out actions; the lock is held.
func (r *runner) act(a forward.Actions) {
	for _, s := range a.Send {
		ctx, cancel := context.WithCancel(context.Background())
		r.cancels[s.Call] = cancel
		r.done.Add(1)
		go r.call(ctx, s, r.requests[s.Run].request)
	}
	for _, c := range a.Cancel {
		if cancel := r.cancels[c.Call]; cancel != nil {
			time.AfterFunc(c.After, cancel)
		}
	}
	for _, f := range a.Finish {
		if x := r.requests[f.Run]; x != nil {
			x.finish <- f
			delete(r.requests, f.Run)
		}
	}
	for _, c := range a.Check {
		r.done.Add(1)
		go r.check(c)
	}
	if next, ok := r.engine.NextTick(); ok && (r.sleeps.IsZero() || next.Before(r.sleeps)) {
		select {
		case r.wake <- struct{}{}:
		default:
		}
	}
}

// call makes one call to a backend server and reports it.
func (r *runner) call(ctx context.Context, s forward.Send, q *callerRequest) {
	defer r.done.Done()
	began := r.now()
	answer, state, err := r.pool.Do(ctx, http1.Call{
		Peer: peerOf(s.Target.Server), Method: q.method, ID: q.id, Deadline: s.Deadline, MostBytes: q.mostBytes(), Careful: s.NonIdempotent, KeepIdle: s.Target.IdleTimeout(),
		Bytes: func(left time.Duration) []byte { return q.bytes(r.headers, s.Target.ID, left) },
		Guard: func() bool { return r.takes(s.Target) },
	})
	reply := r.reply(answer, state, err)
	r.counts.call(s, reply, r.now().Sub(began))
	r.mu.Lock()
	defer r.mu.Unlock()
	if cancel := r.cancels[s.Call]; cancel != nil {
		cancel()
		delete(r.cancels, s.Call)
	}
	r.act(r.engine.HandleReply(r.now(), s.Call, reply))
}

// takes reports whether a call may still be written to a server. Opening a
// connection, or a suspension of the machine, may have taken long.
func (r *runner) takes(t *policy.Target) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.balancer.CanSend(r.now(), t)
}

// check looks whether a server refuses connections and tells the engine.
func (r *runner) check(c forward.Check) {
	defer r.done.Done()
	select {
	case <-time.After(c.After):
	case <-r.stop:
		return
	}
	refuses := r.pool.Refuses(peerOf(c.Target.Server), c.Target.IdleTimeout())
	r.counts.checked(refuses)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.act(r.engine.HandleCheck(r.now(), c.Target, refuses))
}

// timer ticks the engine when something is due.
func (r *runner) timer() {
	defer r.done.Done()
	t := time.NewTimer(time.Hour)
	defer t.Stop()
	for {
		select {
		case <-r.stop:
			return
		case <-r.wake:
		case <-t.C:
		}
		t.Reset(r.tick())
	}
}

// longestSleep bounds the sleep of the timer, which does not count the time
// for which the machine is suspended.
const longestSleep = 200 * time.Millisecond

func (r *runner) tick() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	r.sleeps = now // no wake-up while the lock is held
	r.act(r.engine.Tick(now))
	wait := longestSleep
	if next, ok := r.engine.NextTick(); ok {
		wait = min(max(next.Sub(now), 0), longestSleep)
	}
	r.sleeps = now.Add(wait)
	return wait
}

// tidyEvery is how often idle connections are looked through.
const tidyEvery = time.Second

// tidy closes connections that are no longer of use.
func (r *runner) tidy() {
	defer r.done.Done()
	t := time.NewTicker(tidyEvery)
	defer t.Stop()
	for {
		select {
		case <-r.stop:
			return
		case <-t.C:
			live := *r.live.Load()
			r.pool.Tidy(func(p http1.Peer) bool { return live[p] })
		}
	}
}

func (r *runner) begin() {
	r.done.Add(2)
	go r.timer()
	go r.tidy()
}

// endAll gives every request in progress its final answer.
func (r *runner) endAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.act(r.engine.EndAll(r.now()))
}

// end stops the timers and gives up every call.
func (r *runner) end() {
	close(r.stop)
	r.mu.Lock()
	for _, cancel := range r.cancels {
		cancel()
	}
	r.mu.Unlock()
	r.done.Wait()
}

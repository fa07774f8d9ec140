package gateway

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/figmast/figmast/forward"
	"github.com/figmast/figmast/handover"
	"github.com/figmast/figmast/http1"
	"github.com/figmast/figmast/news"
	"github.com/figmast/figmast/news/feed"
	"github.com/figmast/figmast/policy"
	"github.com/figmast/figmast/route"
)

// runner drives the engine: it feeds it events under one lock and makes the
// calls on goroutines of their own.
type runner struct {
	now     func() time.Time
	pool    *http1.Pool
	headers Headers
	// peerPool keeps connections to the other hosts' handoverPort.
	peerPool     *http1.Pool
	handoverPort string
	address      string
	metrics      *hostMetrics
	log          *log.Logger

	mu       sync.Mutex
	balancer *policy.Balancer
	engine   *forward.Engine
	requests map[forward.RunID]*pendingRequest
	cancels  map[forward.CallID]context.CancelFunc
	// handovers cancels the handovers in progress.
	handovers map[forward.RunID]context.CancelFunc
	// sleepsUntil is when the timer ticks the engine next unless it is woken
	// earlier; zero before its first tick.
	sleepsUntil time.Time
	dataCentre  string
	// faultLines bounds the log lines about invalid headers of servers.
	faultLines lineLimiter

	topology atomic.Pointer[route.Topology]
	// confirmedAt is when the metadata store was last known to hold nothing
	// newer, in Unix nanoseconds of the host's clock; 0 means never.
	confirmedAt   atomic.Int64
	liveEndpoints atomic.Pointer[map[http1.Endpoint]bool]

	wake       chan struct{}
	stop       chan struct{}
	goroutines sync.WaitGroup
}

// pendingRequest is a caller's request that waits for its result.
type pendingRequest struct {
	request *callerRequest
	finish  chan forward.Finish
}

const (
	// bufferDivisor limits the memory for responses being read to an eighth of
	// the host's: 23 MB of the smallest host's 184 MB.
	bufferDivisor = 8
	// maxPartBytes bounds a part of a merged response: 64 Ki records of 16
	// bytes, a hundred times the largest part in known deployments.
	maxPartBytes = 1 << 20
)

// maxBodyBytes returns the limit for the body of a server's response; 0 means
// the pool's default.
func (q *callerRequest) maxBodyBytes() int {
	if len(q.route.Gather) > 0 {
		return maxPartBytes
	}
	return 0
}

func newRunner(now func() time.Time, s Settings, h Headers, b *policy.Balancer, e *forward.Engine, m *hostMetrics, l *log.Logger) *runner {
	r := &runner{
		now: now, headers: h, balancer: b, engine: e, dataCentre: s.DataCentre, metrics: m, log: l,
		pool:     http1.NewPool(http1.Options{RequestIDHeader: h.RequestID, Now: now, MaxBufferedBytes: s.MemoryBytes / bufferDivisor}),
		requests: make(map[forward.RunID]*pendingRequest), cancels: make(map[forward.CallID]context.CancelFunc),
		peerPool:  http1.NewPool(http1.Options{RequestIDHeader: h.RequestID, Now: now, MaxBufferedBytes: s.MemoryBytes / bufferDivisor}),
		handovers: make(map[forward.RunID]context.CancelFunc), handoverPort: strconv.Itoa(s.HandoverPort), address: s.Address,
		wake: make(chan struct{}, 1), stop: make(chan struct{}),
	}
	r.liveEndpoints.Store(&map[http1.Endpoint]bool{})
	return r
}

// applyView applies the feed's current view and returns what this host has
// observed since the last one.
func (r *runner) applyView(v feed.View) feed.Observations {
	if v.AgeKnown {
		r.confirmedAt.Store(r.now().Add(-v.Age).UnixNano())
	}
	addresses := make([]string, len(v.Hosts))
	peers := make([]handover.Host, len(v.Hosts))
	local := 0
	for i, h := range v.Hosts {
		addresses[i] = h.Address
		peers[i] = handover.Host{Address: h.Address, DataCentre: h.DataCentre}
		if h.DataCentre == r.dataCentre {
			local++
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	r.balancer.ApplyHosts(now, addresses, local)
	r.engine.SetHosts(peers)
	r.balancer.SetSlowServers(v.Slow)
	if v.Limits != nil {
		r.balancer.SetReportedLimits(now, v.Limits)
	}
	r.perform(r.engine.SetCrashes(now, v.Crashes))
	if v.Topology != nil {
		r.applyTopology(now, v.Topology)
	}
	observed := feed.Observations{Crashes: r.engine.TakeReports(now)}
	r.metrics.countCrashes(observed.Crashes)
	for _, s := range r.balancer.TakeSlowSpans() {
		observed.Slow = append(observed.Slow, news.NewSlowReport(now, s.Server, s.From, s.To, s.LastFast))
	}
	for _, s := range r.balancer.TakeLeavingNotices() {
		observed.Leaving = append(observed.Leaving, news.NewLeavingReport(s.Server, now.Sub(s.At)))
	}
	for _, c := range r.balancer.TakeLimitChanges() {
		r.log.Info("server changed its request limit", "server", c.Server.ID, "address", c.Server.Address, "born", c.Server.StartUnixMs,
			"limit", c.Limit.String(), "previous", c.Previous.String(), "calls", c.Calls, "for_ms", c.For.Milliseconds())
		observed.Limits = append(observed.Limits, news.NewLimitReport(c.Server, c.Limit, now.Sub(c.At)))
	}
	return observed
}

// applyTopology applies a new configuration and list of servers. The caller
// holds mu.
func (r *runner) applyTopology(now time.Time, topology *route.Topology) {
	r.balancer.Apply(now, topology)
	live := make(map[http1.Endpoint]bool, len(topology.Servers))
	for _, s := range topology.Servers {
		live[endpointOf(s)] = true
	}
	r.liveEndpoints.Store(&live)
	r.topology.Store(topology)
	r.perform(r.engine.ServersChanged(now))
}

func endpointOf(s route.Server) http1.Endpoint {
	return http1.Endpoint{ServerID: s.ID, Address: s.Address}
}

// viewAge returns how stale the host's configuration and list of servers may
// be, or -1 if unknown.
func (r *runner) viewAge() time.Duration {
	at := r.confirmedAt.Load()
	if at == 0 {
		return -1
	}
	return r.now().Sub(time.Unix(0, at))
}

// run processes a request and returns its result; ok is false if the caller
// disconnected first.
func (r *runner) run(ctx context.Context, q *callerRequest) (f forward.Finish, ok bool) {
	pending := &pendingRequest{request: q, finish: make(chan forward.Finish, 1)}
	id := r.submit(pending)
	select {
	case f = <-pending.finish:
		return f, true
	case <-ctx.Done():
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.requests, id)
	r.perform(r.engine.Abandon(r.now(), id))
	return forward.Finish{}, false
}

func (r *runner) submit(pending *pendingRequest) forward.RunID {
	r.mu.Lock()
	defer r.mu.Unlock()
	q := pending.request
	elapsed := r.engine.EstimateElapsed(q.route, q.callerTimeout)
	req := forward.Request{ID: q.id, Route: q.route, Deadline: q.deadline, Elapsed: elapsed, Fingerprint: q.fingerprint}
	if q.guest != nil {
		req.HandedOver, req.PriorCalls = true, q.guest.priorCalls
		req.Elapsed += r.now().Sub(q.arrivedAt)
	}
	id, actions := r.engine.Start(r.now(), req)
	r.requests[id] = pending
	r.perform(actions)
	return id
}

// perform carries out the engine's actions. The caller holds mu.
func (r *runner) perform(a forward.Actions) {
	for _, s := range a.Send {
		ctx, cancel := context.WithCancel(context.Background())
		r.cancels[s.Call] = cancel
		r.goroutines.Add(1)
		go r.call(ctx, s, r.requests[s.Run].request)
	}
	for _, c := range a.Cancel {
		if cancel := r.cancels[c.Call]; cancel != nil {
			time.AfterFunc(c.After, cancel)
		}
	}
	r.runHandovers(a)
	for _, f := range a.Finish {
		if pending := r.requests[f.Run]; pending != nil {
			pending.finish <- f
			delete(r.requests, f.Run)
		}
	}
	for _, c := range a.Reach {
		r.recordReach(c)
	}
	for _, p := range a.Probe {
		r.goroutines.Add(1)
		go r.probe(p)
	}
	for _, c := range a.Check {
		r.goroutines.Add(1)
		go r.checkServer(c)
	}
	if next, ok := r.engine.NextTick(); ok && (r.sleepsUntil.IsZero() || next.Before(r.sleepsUntil)) {
		select {
		case r.wake <- struct{}{}:
		default:
		}
	}
}

// reachMessages holds the log message for each state of the host's reach.
var reachMessages = map[policy.ReachState]string{
	policy.Silent:     "no backend server answers",
	policy.Isolated:   "no backend server can be reached",
	policy.Recovering: "backend servers can be reached again",
	policy.Reachable:  "backend servers answer again",
}

// recordReach logs and counts a change of whether this host reaches backend
// servers.
func (r *runner) recordReach(c policy.ReachChange) {
	r.metrics.reach.Store(int64(c.State))
	r.log.Info(reachMessages[c.State], "silent_ms", r.now().Sub(c.HeardAt).Milliseconds(), "unreached", c.Unreached)
}

// call makes one call to a backend server and passes its result to the engine.
func (r *runner) call(ctx context.Context, s forward.Send, q *callerRequest) {
	defer r.goroutines.Done()
	began := r.now()
	response, outcome, err := r.pool.Do(ctx, http1.Call{
		Endpoint: endpointOf(s.Target.Server), Method: q.method, RequestID: q.id, Deadline: s.Deadline, MaxBodyBytes: q.maxBodyBytes(), NonIdempotent: s.NonIdempotent, IdleTimeout: s.Target.IdleTimeout(), Hold: q.hold,
		Encode: func(left time.Duration) []byte { return q.encode(r.headers, s.Target.ID, left) },
		Guard:  func() bool { return r.canSend(s.Target) },
	})
	reply := r.newReply(response, outcome, err)
	r.metrics.observeCall(s, reply, r.now().Sub(began))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.logInvalidLimit(s.Target, reply)
	if cancel := r.cancels[s.Call]; cancel != nil {
		cancel()
		delete(r.cancels, s.Call)
	}
	r.perform(r.engine.HandleReply(r.now(), s.Call, reply))
}

// logInvalidLimit logs a request limit that cannot be read. The caller holds mu.
func (r *runner) logInvalidLimit(t *policy.Target, reply forward.Reply) {
	if reply.InvalidLimit == "" {
		return
	}
	if skipped, ok := r.faultLines.admit(r.now()); ok {
		r.log.Warn("server named an invalid request limit", "server", t.ID, "value", reply.InvalidLimit, "lines_left_out", skipped)
	}
}

// canSend reports whether a call may still be sent to a server. It is checked
// right before the write, as opening a connection or a suspension of the
// machine may have taken long.
func (r *runner) canSend(t *policy.Target) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.balancer.CanSend(r.now(), t)
}

// checkServer tests whether a server refuses connections and passes the result
// to the engine.
func (r *runner) checkServer(c forward.Check) {
	defer r.goroutines.Done()
	select {
	case <-time.After(c.After):
	case <-r.stop:
		return
	}
	refuses := r.pool.RefusesConnections(endpointOf(c.Target.Server), c.Target.IdleTimeout())
	r.metrics.countCheck(refuses)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.perform(r.engine.HandleCheck(r.now(), c.Target, refuses))
}

// runTimer ticks the engine whenever something is due.
func (r *runner) runTimer() {
	defer r.goroutines.Done()
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

// maxSleep bounds the sleep of the timer, because timers stand still while the
// machine is suspended.
const maxSleep = 200 * time.Millisecond

func (r *runner) tick() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	r.sleepsUntil = now // so that perform does not wake the timer during its own tick
	r.perform(r.engine.Tick(now))
	wait := maxSleep
	if next, ok := r.engine.NextTick(); ok {
		wait = min(max(next.Sub(now), 0), maxSleep)
	}
	r.sleepsUntil = now.Add(wait)
	return wait
}

// pruneInterval is how often idle connections are checked.
const pruneInterval = time.Second

// runPruning periodically closes idle connections that are no longer usable.
func (r *runner) runPruning() {
	defer r.goroutines.Done()
	t := time.NewTicker(pruneInterval)
	defer t.Stop()
	for {
		select {
		case <-r.stop:
			return
		case <-t.C:
			live := *r.liveEndpoints.Load()
			r.pool.PruneIdle(func(p http1.Endpoint) bool { return live[p] })
			r.peerPool.PruneIdle(func(http1.Endpoint) bool { return true })
		}
	}
}

func (r *runner) start() {
	r.goroutines.Add(2)
	go r.runTimer()
	go r.runPruning()
}

// stopAt tells the engine that the host ends all requests after the given time.
func (r *runner) stopAt(after time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.engine.StopAt(r.now().Add(after))
}

// finishAll gives every request in progress its final response.
func (r *runner) finishAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.perform(r.engine.EndAll(r.now()))
}

// shutdown stops the background goroutines, cancels every call and waits for
// them.
func (r *runner) shutdown() {
	close(r.stop)
	r.mu.Lock()
	for _, cancel := range r.cancels {
		cancel()
	}
	for _, cancel := range r.handovers {
		cancel()
	}
	r.mu.Unlock()
	r.goroutines.Wait()
}

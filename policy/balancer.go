package policy

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/figmast/figmast/route"
)

const (
	// stuckCost is the cost factor of a server with an overdue call; it makes the
	// server the last choice.
	stuckCost = 50
	// loadCost is the added cost of each call in flight, relative to a server
	// without calls. Calls beyond this host's share of the server's slots add
	// more; see cost.
	loadCost = 0.1
	// staleConnectionTime is how long servers still count the connections of hosts
	// that lost power: about seven seconds.
	staleConnectionTime = 7 * time.Second
)

// BalancerOptions configure a Balancer.
type BalancerOptions struct {
	// Address and DataCentre are those of this host.
	Address    string
	DataCentre string
	// Regions maps each data centre to its region.
	Regions map[string]string
	Rand    *rand.Rand
	// RetryRatio and RetrySlack bound the extra calls (beyond the first of each
	// request) that a service gets from all hosts within RetryWindow: a ratio of
	// the requests, plus a constant.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// DrainFor and EvacuateFor are how long leaving servers, and servers of an
	// evacuated data centre, may still get requests after the metadata store has
	// recorded the drain or the evacuation.
	DrainFor    time.Duration
	EvacuateFor time.Duration
}

// Balancer chooses backend servers and keeps within limits that hold for all
// hosts together: connections to a server, calls to a cold server and extra
// calls beyond the first of each request. It is not safe for concurrent use.
type Balancer struct {
	opts     BalancerOptions
	selfHash uint64
	pools    map[string]*targetPool
	byKey    map[route.ServerKey]*Target
	// byID holds the latest incarnation of each ID.
	byID map[string]*Target

	hostHashes []uint64
	localHosts int
	// largestFleet is the largest number of live hosts within goneHostsWindow,
	// since largestFleetAt.
	largestFleet   int
	largestFleetAt time.Time
	start          time.Time

	slowSpans   map[string]SlowSpan
	slowServers map[string]route.Slowness
	// notices are those of incarnations that are not published now, but may be
	// again when the metadata store recovers.
	notices map[route.ServerKey]notice
	// pendingNotices are those not reported to the other hosts yet.
	pendingNotices []LeavingNotice
	// pendingLimits are the changes of request limits not taken yet.
	pendingLimits []LimitChange
	// inFlight counts this host's calls to all servers.
	inFlight int
	reach    reach
	// reportedLimits are the request limits that other hosts have reported.
	reportedLimits map[route.ServerKey]route.LimitReport
}

// targetPool holds the backend servers of one service.
type targetPool struct {
	name    string
	service route.Service
	targets []*Target
	retries retryBudget
}

// NewBalancer returns a Balancer that knows no servers.
func NewBalancer(now time.Time, opts BalancerOptions) *Balancer {
	b := &Balancer{
		opts: opts, selfHash: xxhash.Sum64String(opts.Address), start: now,
		pools: make(map[string]*targetPool), byKey: make(map[route.ServerKey]*Target), byID: make(map[string]*Target), slowSpans: make(map[string]SlowSpan),
		notices: make(map[route.ServerKey]notice), reach: newReach(now),
	}
	b.hostHashes, b.localHosts = []uint64{b.selfHash}, 1
	return b
}

// at converts a time to the scale of the health records. It starts at one
// second, as 0 means never.
func (b *Balancer) at(now time.Time) time.Duration { return now.Sub(b.start) + time.Second }

// Apply puts a new topology in force. Observations of incarnations that are
// still in it are kept.
func (b *Balancer) Apply(now time.Time, topology *route.Topology) {
	for _, pool := range b.pools {
		pool.targets = pool.targets[:0]
	}
	seen := make(map[route.ServerKey]bool, len(topology.Servers))
	for _, s := range topology.Servers {
		t := b.upsertTarget(now, topology, s)
		t.Draining, t.DrainingSince, t.LeavingNoticeAt, t.Slots = s.Draining, s.DrainingSince, s.LeavingNoticeAt, s.Slots
		t.evacuated, t.evacuatedSince = false, time.Time{}
		if since, ok := topology.Evacuated[s.DataCentre]; ok {
			t.evacuated, t.evacuatedSince = true, since
		}
		b.updateLastResort(t)
		if s.ColdLeft != t.ColdLeft {
			t.ColdLeft, t.coldUntil = s.ColdLeft, now.Add(s.ColdLeft)
		}
		seen[s.Key()] = true
	}
	for key, t := range b.byKey {
		if !seen[key] {
			t.gone = true
			delete(b.byKey, key)
			if b.byID[t.ID] == t {
				delete(b.byID, t.ID)
			}
			b.storeNotice(now, t)
		}
	}
	b.updateShares(now)
}

func (b *Balancer) upsertTarget(now time.Time, topology *route.Topology, s route.Server) *Target {
	pool := b.pools[s.Service]
	if pool == nil {
		pool = &targetPool{name: s.Service}
		pool.retries.addExtra(now, b.opts.RetryWindow, initialSpentShare*b.retrySlack())
		b.pools[s.Service] = pool
	}
	if topology.Config != nil {
		pool.service = topology.Config.Services[s.Service]
	}
	t := b.byKey[s.Key()]
	if t == nil || t.pool != pool {
		prior := b.notices[s.Key()]
		if t != nil {
			prior = t.notice
		}
		delete(b.notices, s.Key())
		t = newTarget(now, pool, s)
		t.local = s.DataCentre == b.opts.DataCentre
		t.notice = prior
		b.applyReportedLimit(now, t)
		b.byKey[s.Key()], b.byID[s.ID] = t, t
	}
	pool.targets = append(pool.targets, t)
	return t
}

// retrySlack returns this host's share of the constant part of the retry
// budget.
func (b *Balancer) retrySlack() float64 { return b.opts.RetrySlack / float64(b.assumedHosts()) }

// ChooseInfo describes the call that Choose selects a server for.
type ChooseInfo struct {
	Service string
	// ExpectedLatency is the median latency of such calls, or an estimate of it.
	ExpectedLatency time.Duration
	// Tried servers are not chosen again.
	Tried []*Target
	// Hedge is set for a second call beside one in progress: it avoids servers
	// that seem stuck.
	Hedge bool
	// Urgent is set for requests of the highest priority.
	Urgent bool
	// Draw is a random number in [0, 1) that admits the call where this host may
	// send only a fraction of a request (see heardLimit). Calls of one request use
	// the same number, so that it gets all of its parts or none.
	Draw float64
	// drawn is the part of the range that the servers considered so far have used.
	drawn float64
	// limitReserve is the part of what is saved for limited servers that the call
	// leaves to others.
	limitReserve float64
	// Regions are the regions in which the request may be served; empty means any.
	Regions []string
}

// Choose returns the server for a call, or nil and the reason. The caller
// follows with Begin when it sends the call.
func (b *Balancer) Choose(now time.Time, c ChooseInfo) (*Target, Reason) {
	pool := b.pools[c.Service]
	if pool == nil {
		return nil, NoServer
	}
	c.limitReserve = b.limitReserve(now, pool, &c)
	t, reason := b.leastCost(now, pool, &c, false)
	if t != nil {
		return t, Picked
	}
	t, lastResortReason := b.leastCost(now, pool, &c, true)
	if t != nil {
		return t, Picked
	}
	if reasonRank(lastResortReason) > reasonRank(reason) {
		reason = lastResortReason
	}
	return nil, reason
}

// leastCost returns the cheapest server, either among those that stay or among
// those of last resort, or nil and the reason.
func (b *Balancer) leastCost(now time.Time, pool *targetPool, c *ChooseInfo, lastResort bool) (*Target, Reason) {
	for {
		t, reason := b.cheapest(now, pool, c, lastResort)
		if t == nil || b.admit(now, t, c) {
			return t, reason
		}
	}
}

// cheapest returns the cheapest server that may take the call, or nil and the
// reason. A server that has just admitted the request by chance goes first.
func (b *Balancer) cheapest(now time.Time, pool *targetPool, c *ChooseInfo, lastResort bool) (*Target, Reason) {
	var best *Target
	least, ties, reason := 0.0, 0, NoServer
	at := b.at(now)
	for _, t := range pool.targets {
		if !b.mayChoose(t, c, lastResort) {
			continue
		}
		if refusal := b.refusalReason(now, at, t, c); refusal != Picked {
			if reasonRank(refusal) > reasonRank(reason) {
				reason = refusal
			}
			continue
		}
		if t.heardLimit.admittedAt.Equal(now) {
			return t, Picked
		}
		cost := b.cost(now, t)
		switch {
		case best == nil || cost < least/equalCostRatio:
			best, least, ties = t, cost, 1
		case cost <= least*equalCostRatio:
			ties++
			if b.opts.Rand.IntN(ties) == 0 {
				best, least = t, min(cost, least)
			}
		}
	}
	if best == nil {
		return nil, reason
	}
	return best, Picked
}

// mayChoose reports whether the target belongs to those that a call may go to.
func (b *Balancer) mayChoose(t *Target, c *ChooseInfo, lastResort bool) bool {
	if t.lastResort != lastResort || slices.Contains(c.Tried, t) {
		return false
	}
	return len(c.Regions) == 0 || slices.Contains(c.Regions, b.opts.Regions[t.DataCentre])
}

// refusalReason returns why a server may not get a call now, or Picked.
func (b *Balancer) refusalReason(now time.Time, at time.Duration, t *Target, c *ChooseInfo) Reason {
	switch {
	case t.isExcluded(now):
		return AllOut
	case t.isBackingOff(now):
		return AllBackingOff
	case t.health.isEjected(at):
		return AllDown
	case t.isFull(now):
		return AllBusy
	case c.Hedge && (t.hasOverdueCall(now) || b.mayMeetStaleConnections(now, t)):
		return AllBusy
	case !t.allowColdCall(now, false):
		return AllCold
	case !b.mayAdmit(now, t, c):
		return AllLimited
	}
	return Picked
}

// mayMeetStaleConnections reports whether a hedge might exceed the connections
// that the target accepts: the target is remote, its connections are scarce and
// this host has just started, so that the target may still count the
// connections of the hosts that ran before.
func (b *Balancer) mayMeetStaleConnections(now time.Time, t *Target) bool {
	return !t.local && t.scarce && now.Sub(b.start) < staleConnectionTime
}

// cost returns the cost of one more call to a server; the lowest wins.
func (b *Balancer) cost(now time.Time, t *Target) float64 {
	slotShare := float64(t.Slots)
	switch {
	case !t.local:
		slotShare /= float64(len(b.hostHashes))
	case !t.isResponsive(now):
		slotShare /= float64(b.localHosts)
	}
	slotShare = max(slotShare, 1)
	inFlight := float64(len(t.calls))
	cost := t.currentLatencyFactor(now) * (1 + loadCost*inFlight + max(inFlight+1-slotShare, 0)/slotShare)
	cost *= 1 + failureCost*t.currentFailureShare(now)
	if !t.local {
		cost *= remoteFactor
	}
	if t.nonPreferred {
		cost *= nonPreferredCost
	}
	if t.hasOverdueCall(now) {
		cost *= stuckCost
	}
	if b.slowServers[t.ID].Slow {
		cost *= slowServerCost
	}
	return cost
}

// Begin records that a call to a server starts; first is set for the first call
// of a request to the service.
func (b *Balancer) Begin(now time.Time, t *Target, expectedLatency time.Duration, first bool) *Call {
	c := &Call{Target: t, Sent: now, ExpectedLatency: expectedLatency}
	t.calls = append(t.calls, c)
	b.inFlight++
	t.allowColdCall(now, true)
	b.countCall(now, t)
	if first {
		t.pool.retries.addFirst(now, b.opts.RetryWindow)
	}
	return c
}

// SpendRetry takes one extra call from the service's retry budget and reports
// whether the budget allowed it.
func (b *Balancer) SpendRetry(now time.Time, service string) bool {
	if b.RetriesLeft(now, service) < 1 {
		return false
	}
	b.pools[service].retries.addExtra(now, b.opts.RetryWindow, 1)
	return true
}

// RetriesLeft returns how many extra calls the service's retry budget allows
// now.
func (b *Balancer) RetriesLeft(now time.Time, service string) float64 {
	pool := b.pools[service]
	if pool == nil {
		return 0
	}
	return pool.retries.remaining(now, b.opts.RetryWindow, b.opts.RetryRatio, b.retrySlack())
}

// Done records how a call has ended.
func (b *Balancer) Done(now time.Time, c *Call, result Result) {
	t := c.Target
	for i, x := range t.calls {
		if x == c {
			t.calls[i] = t.calls[len(t.calls)-1]
			t.calls[len(t.calls)-1] = nil
			t.calls = t.calls[:len(t.calls)-1]
			b.inFlight--
			break
		}
	}
	at, latency := b.at(now), now.Sub(c.Sent)
	switch result {
	case ResultOK:
		t.health.recordSuccess()
		t.recordResult(now, false)
		t.recordLatency(now, latency, c.ExpectedLatency)
		b.recordSpeed(c, latency)
	case ResultCancelled, ResultTimeout:
		if latency > c.ExpectedLatency {
			t.recordLatency(now, latency, c.ExpectedLatency)
			b.recordSpeed(c, latency)
		}
	case ResultShed, ResultBroken:
		t.recordResult(now, true)
	case ResultNotSent:
		t.recordResult(now, true)
		// An unreachable server is ejected at once: ejection takes two failures in a
		// row.
		t.health.recordFailure(at)
		t.health.recordFailure(at)
	case ResultInconclusive:
	}
}

// Capacity returns how many servers of the service may get calls, and how many
// calls this host may have in flight to all of them.
func (b *Balancer) Capacity(now time.Time, service string) (usable, capacity int) {
	pool := b.pools[service]
	if pool == nil {
		return 0, 0
	}
	at := b.at(now)
	for _, t := range pool.targets {
		if !t.isExcluded(now) && !t.isBackingOff(now) && !t.health.isEjected(at) {
			usable++
			capacity += t.limit
		}
	}
	return usable, capacity
}

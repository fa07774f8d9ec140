package policy

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/figmast/figmast/route"
)

const (
	// stuckCost makes a server with an overdue call the last choice.
	stuckCost = 50
	// loadCost is what each call in flight adds below the host's part of the
	// server's slots.
	loadCost = 0.1
	// settleFor is how long servers count the connections of hosts that lost
	// power, as seen on played days: about seven seconds.
	settleFor = 7 * time.Second
)

// BalancerOptions configure a Balancer.
type BalancerOptions struct {
	// Address and DataCentre are this host's own.
	Address    string
	DataCentre string
	// Regions maps each data centre to its region.
	Regions map[string]string
	Rand    *rand.Rand
	// RetryRatio and RetrySlack bound the calls beyond the first of each
	// request that a service gets from all hosts in the window of the budget:
	// a part of the requests, and a number.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// DrainFor and EvacuateFor are how long servers that leave, and those of an
	// evacuated data centre, may get requests after the metadata store has
	// taken the word.
	DrainFor    time.Duration
	EvacuateFor time.Duration
}

// Balancer chooses backend servers and keeps the sums over all hosts: their
// connections to a server, the calls to a cold server and the calls beyond the
// first of each request. It is not safe for concurrent use.
type Balancer struct {
	opts  BalancerOptions
	self  uint64
	pools map[string]*targets
	byKey map[route.ServerKey]*Target
	// byID holds the latest lifetime of each ID.
	byID map[string]*Target

	hosts  []uint64
	local  int
	most   int
	mostAt time.Time
	start  time.Time

	slow     map[string]SlowSpan
	toldSlow map[string]route.Slowness
	// words are those of lifetimes that are not published now, which may come
	// back when the metadata store does.
	notices map[route.ServerKey]notice
	// said are words that the other hosts have not been told of.
	toTell []LeavingNotice
}

// targets are the backend servers of one service.
type targets struct {
	name    string
	service route.Service
	list    []*Target
	retries allowance
}

// NewBalancer returns a Balancer that knows no servers.
func NewBalancer(now time.Time, opts BalancerOptions) *Balancer {
	b := &Balancer{
		opts: opts, self: xxhash.Sum64String(opts.Address), start: now,
		pools: make(map[string]*targets), byKey: make(map[route.ServerKey]*Target), byID: make(map[string]*Target), slow: make(map[string]SlowSpan),
		notices: make(map[route.ServerKey]notice),
	}
	b.hosts, b.local, b.most = []uint64{b.self}, 1, fewestHosts
	return b
}

// at converts a time for the record of failures.
func (b *Balancer) at(now time.Time) time.Duration { return now.Sub(b.start) + time.Second }

// ApplyPicture puts a picture in force. What was observed of lifetimes that
// stay is kept.
func (b *Balancer) ApplyPicture(now time.Time, p *route.Topology) {
	for _, pool := range b.pools {
		pool.list = pool.list[:0]
	}
	seen := make(map[route.ServerKey]bool, len(p.Servers))
	for _, s := range p.Servers {
		t := b.target(now, p, s)
		t.Draining, t.DrainingSince, t.LeavingNoticeAt, t.Slots = s.Draining, s.DrainingSince, s.LeavingNoticeAt, s.Slots
		t.evacuated, t.evacuatedSince = false, time.Time{}
		if since, ok := p.Evacuated[s.DataCentre]; ok {
			t.evacuated, t.evacuatedSince = true, since
		}
		b.setLeaving(t)
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
			b.keepNotice(now, t)
		}
	}
	b.share(now)
}

func (b *Balancer) target(now time.Time, p *route.Topology, s route.Server) *Target {
	pool := b.pools[s.Service]
	if pool == nil {
		pool = &targets{name: s.Service}
		pool.retries.addExtra(now, b.opts.RetryWindow, firstSpent*b.slack())
		b.pools[s.Service] = pool
	}
	if p.Config != nil {
		pool.service = p.Config.Services[s.Service]
	}
	t := b.byKey[s.Key()]
	if t == nil || t.pool != pool {
		said := b.notices[s.Key()]
		if t != nil {
			said = t.notice
		}
		delete(b.notices, s.Key())
		t = newTarget(now, pool, s)
		t.local = s.DataCentre == b.opts.DataCentre
		t.notice = said
		b.byKey[s.Key()], b.byID[s.ID] = t, t
	}
	pool.list = append(pool.list, t)
	return t
}

// slack is this host's part of the retry budget's number.
func (b *Balancer) slack() float64 { return b.opts.RetrySlack / float64(b.most) }

// Choice asks for a server.
type Choice struct {
	Service string
	// Usual is the latency that the call is expected to have.
	Usual time.Duration
	// Tried servers are not chosen again.
	Tried []*Target
	// Spare is set for a call beside one in progress: it goes to no server
	// that seems stuck.
	Spare bool
	// Homes are the regions that the request may be served in; empty means
	// any.
	Homes []string
}

// Choose returns the server for a call, or nil and why. Begin follows when the
// call is sent.
func (b *Balancer) Choose(now time.Time, c Choice) (*Target, Reason) {
	pool := b.pools[c.Service]
	if pool == nil {
		return nil, NoServer
	}
	t, reason := b.cheapest(now, pool, c, false)
	if t != nil {
		return t, Picked
	}
	t, last := b.cheapest(now, pool, c, true)
	if t != nil {
		return t, Picked
	}
	if hope(last) > hope(reason) {
		reason = last
	}
	return nil, reason
}

// cheapest returns the server of least cost among those that stay or among
// those that leave, or nil and why.
func (b *Balancer) cheapest(now time.Time, pool *targets, c Choice, lastResort bool) (*Target, Reason) {
	var best *Target
	least, ties, reason := 0.0, 0, NoServer
	at := b.at(now)
	for _, t := range pool.list {
		if t.lastResort != lastResort || slices.Contains(c.Tried, t) || len(c.Homes) > 0 && !slices.Contains(c.Homes, b.opts.Regions[t.DataCentre]) {
			continue
		}
		if why := b.refuses(now, at, t, c.Spare); why != Picked {
			if hope(why) > hope(reason) {
				reason = why
			}
			continue
		}
		cost := b.cost(now, t)
		switch {
		case best == nil || cost < least/aboutEqual:
			best, least, ties = t, cost, 1
		case cost <= least*aboutEqual:
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

// refuses tells why a server may not get a call now.
func (b *Balancer) refuses(now time.Time, at time.Duration, t *Target, spare bool) Reason {
	switch {
	case t.out(now):
		return AllOut
	case t.backingOff(now):
		return AllBackingOff
	case t.health.ejected(at):
		return AllDown
	case t.full(now):
		return AllBusy
	case spare && (t.overdue(now) || b.settling(now, t)):
		return AllBusy
	case !t.allowsCold(now, false):
		return AllCold
	}
	return Picked
}

// settling reports whether the target is away, its connections are scarce and
// this host has just started: servers may still count the connections of the
// hosts that ran before, and second calls would meet their caps.
func (b *Balancer) settling(now time.Time, t *Target) bool {
	return !t.local && t.scarce && now.Sub(b.start) < settleFor
}

// cost of one more call to a server; the least wins.
func (b *Balancer) cost(now time.Time, t *Target) float64 {
	part := float64(t.Slots)
	switch {
	case !t.local:
		part /= float64(len(b.hosts))
	case !t.prompt(now):
		part /= float64(b.local)
	}
	part = max(part, 1)
	busy := float64(len(t.calls))
	cost := t.slowness(now) * (1 + loadCost*busy + max(busy+1-part, 0)/part)
	cost *= 1 + failingCost*t.failures(now)
	if !t.local {
		cost *= awayFactor
	}
	if t.other {
		cost *= otherCost
	}
	if t.overdue(now) {
		cost *= stuckCost
	}
	if b.toldSlow[t.ID].Slow {
		cost *= toldSlowCost
	}
	return cost
}

// Begin records that a call to a server starts; first is set for the first
// call of a request to the service.
func (b *Balancer) Begin(now time.Time, t *Target, usual time.Duration, first bool) *Call {
	c := &Call{Target: t, Sent: now, Usual: usual}
	t.calls = append(t.calls, c)
	t.allowsCold(now, true)
	if first {
		t.pool.retries.addFirst(now, b.opts.RetryWindow)
	}
	return c
}

// SpendRetry takes one call beyond the first of a request from the service's
// budget and reports whether there was one.
func (b *Balancer) SpendRetry(now time.Time, service string) bool {
	if b.RetryLeft(now, service) < 1 {
		return false
	}
	b.pools[service].retries.addExtra(now, b.opts.RetryWindow, 1)
	return true
}

// RetryLeft returns how many calls the service's budget has left.
func (b *Balancer) RetryLeft(now time.Time, service string) float64 {
	pool := b.pools[service]
	if pool == nil {
		return 0
	}
	return pool.retries.left(now, b.opts.RetryWindow, b.opts.RetryRatio, b.slack())
}

// Done records how a call has ended.
func (b *Balancer) Done(now time.Time, c *Call, result Result) {
	t := c.Target
	for i, x := range t.calls {
		if x == c {
			t.calls[i] = t.calls[len(t.calls)-1]
			t.calls[len(t.calls)-1] = nil
			t.calls = t.calls[:len(t.calls)-1]
			break
		}
	}
	at, latency := b.at(now), now.Sub(c.Sent)
	switch result {
	case ResultOK:
		t.health.succeed()
		t.ended(now, false)
		t.answered(now, latency, c.Usual)
		b.noteSpeed(c, latency)
	case ResultCancelled, ResultTimeout:
		if latency > c.Usual {
			t.answered(now, latency, c.Usual)
			b.noteSpeed(c, latency)
		}
	case ResultShed, ResultBroken:
		t.ended(now, true)
	case ResultFailed:
		t.ended(now, true)
		// Two failures in a row have it left alone.
		t.health.fail(at)
		t.health.fail(at)
	case ResultNoVerdict:
	}
}

// Servers returns how many servers of the service may get calls, and how many
// calls this host may have in flight to them together.
func (b *Balancer) Servers(now time.Time, service string) (usable, room int) {
	pool := b.pools[service]
	if pool == nil {
		return 0, 0
	}
	at := b.at(now)
	for _, t := range pool.list {
		if !t.out(now) && !t.backingOff(now) && !t.health.ejected(at) {
			usable++
			room += t.limit
		}
	}
	return usable, room
}

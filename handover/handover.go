// Package handover decides which other host gets a request that this host cannot
// serve itself, because it reaches no backend server for it. It does no I/O and
// reads no clock.
package handover

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Host is another host of the deployment.
type Host struct {
	Address    string
	DataCentre string
}

// Result is how the handover of a request ended.
type Result int

// Results of a handover. After all but Final and Lost, the request has not run
// at the other host.
const (
	// Final means that the other host gave the request its final answer.
	Final Result = iota
	// Busy means that the other host takes no more requests from hosts for now,
	// Isolated that it reaches no backend server itself, Unservable that it
	// reaches none that could serve this request, Outdated that its configuration
	// is older than this host's.
	Busy
	Isolated
	Unservable
	Outdated
	// Unreachable means that the other host could not be reached.
	Unreachable
	// Lost means that the request was sent and no answer came.
	Lost
)

var resultNames = [...]string{"final", "busy", "isolated", "unservable", "outdated", "unreachable", "lost"}

// Results returns all results.
func Results() []Result {
	return []Result{Final, Busy, Isolated, Unservable, Outdated, Unreachable, Lost}
}

// String returns the result's name, which is also its form in messages between
// hosts.
func (r Result) String() string { return resultNames[r] }

// ParseResult returns the result with a name.
func ParseResult(name string) (r Result, ok bool) {
	i := slices.Index(resultNames[:], name)
	return Result(i), i >= 0
}

// avoidFor is how long a host is not asked again after each result.
var avoidFor = map[Result]time.Duration{
	Busy:     100 * time.Millisecond,
	Isolated: time.Second,
	Outdated: 300 * time.Millisecond,
	// Hosts of an earlier version accept no requests of other hosts.
	Unreachable: 2 * time.Second,
	Lost:        time.Second,
}

const (
	// unknownCost is the cost factor of a host that has served no request within
	// servedMemory: it may be isolated too.
	unknownCost  = 2
	servedMemory = 3 * time.Second
	// remoteCost is the cost factor of a host in another data centre, and
	// foreignCost that of one in another region.
	remoteCost  = 1.5
	foreignCost = 4
)

// Options configure Peers.
type Options struct {
	// Address and DataCentre are those of this host.
	Address    string
	DataCentre string
	// Regions maps each data centre to its region.
	Regions map[string]string
	Rand    *rand.Rand
}

// Peers holds the other hosts and what is known of them as receivers of
// requests. It is not safe for concurrent use.
type Peers struct {
	opts  Options
	hosts map[string]*peer
	order []*peer
}

type peer struct {
	Host
	inFlight   int
	avoidUntil time.Time
	servedAt   time.Time
}

// NewPeers returns Peers without hosts.
func NewPeers(opts Options) *Peers { return &Peers{opts: opts, hosts: make(map[string]*peer)} }

// SetHosts sets the live hosts. This host may be among them.
func (p *Peers) SetHosts(hosts []Host) {
	known := p.hosts
	p.hosts, p.order = make(map[string]*peer, len(hosts)), p.order[:0]
	for _, h := range hosts {
		if h.Address == p.opts.Address {
			continue
		}
		x := known[h.Address]
		if x == nil {
			x = new(peer)
		}
		x.Host = h
		p.hosts[h.Address] = x
		p.order = append(p.order, x)
	}
}

// Len returns the number of other hosts.
func (p *Peers) Len() int { return len(p.order) }

// Choose returns the address of the host that should get a request, and false if
// there is none. Hosts in tried are left out, and so are those outside the
// regions unless there are none.
func (p *Peers) Choose(now time.Time, tried, regions []string) (address string, ok bool) {
	var best *peer
	least, ties := 0.0, 0
	for _, x := range p.order {
		if now.Before(x.avoidUntil) || slices.Contains(tried, x.Address) {
			continue
		}
		if len(regions) > 0 && !slices.Contains(regions, p.opts.Regions[x.DataCentre]) {
			continue
		}
		cost := p.cost(now, x)
		switch {
		case best == nil || cost < least:
			best, least, ties = x, cost, 1
		case cost == least:
			ties++
			if p.opts.Rand.IntN(ties) == 0 {
				best = x
			}
		}
	}
	if best == nil {
		return "", false
	}
	return best.Address, true
}

func (p *Peers) cost(now time.Time, x *peer) float64 {
	cost := 1 + float64(x.inFlight)
	switch {
	case x.DataCentre == p.opts.DataCentre:
	case p.opts.Regions[x.DataCentre] == p.opts.Regions[p.opts.DataCentre]:
		cost *= remoteCost
	default:
		cost *= foreignCost
	}
	if x.servedAt.IsZero() || now.Sub(x.servedAt) > servedMemory {
		cost *= unknownCost
	}
	return cost
}

// Begin records that a request is handed over to a host.
func (p *Peers) Begin(address string) {
	if x := p.hosts[address]; x != nil {
		x.inFlight++
	}
}

// End records that a handover has ended or was taken back.
func (p *Peers) End(address string) {
	if x := p.hosts[address]; x != nil {
		x.inFlight = max(x.inFlight-1, 0)
	}
}

// Record records the result of a handover.
func (p *Peers) Record(now time.Time, address string, r Result) {
	x := p.hosts[address]
	if x == nil {
		return
	}
	if r == Final {
		x.servedAt = now
	}
	if d, ok := avoidFor[r]; ok {
		x.avoidUntil = now.Add(d)
	}
}

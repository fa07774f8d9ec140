// Package route holds a deployment's configuration in the product's terms:
// which requests go to which backend services, and which backend servers there
// are. It does no I/O.
package route

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Config is one version of a deployment's configuration. It is immutable.
type Config struct {
	Version  int64
	Routes   []Route
	Services map[string]Service
	Limits   Limits

	// byHost holds the routes of each host name, the longest prefix first.
	byHost map[string][]*Route
}

// Route tells what becomes of the requests under one host name and path prefix.
// One of Service, Split and Gather is set.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Idempotent requests may run more than once.
	Idempotent bool
	// Timeout is the longest time that a request is kept waiting, Objective
	// the time within which an answer has its full worth.
	Timeout   time.Duration
	Objective time.Duration
	// MaxAttempts is the most backend servers that may run one request; of a
	// gather route it holds for each shard.
	MaxAttempts int
	// Priority is the rank of the requests; 0 is the most urgent.
	Priority int

	// Service answers the requests alone.
	Service string
	// Split shares the requests over services by weight.
	Split []WeightedService
	// Gather lists the shards, each a service that holds a part of the answer.
	Gather []string
	// TopK is how many records an answer of a gather route holds at most.
	TopK int
	// MinShardRatio of the shards must be in an answer.
	MinShardRatio float64
	// AllowedRegions are the regions that the requests may be served in; empty means
	// any.
	AllowedRegions []string
}

// WeightedService is one service of a split route.
type WeightedService struct {
	Service string
	Weight  float64
}

// Service describes the backend servers of one service.
type Service struct {
	Name string
	// MaxConnections is how many connections one backend server accepts from
	// all hosts together.
	MaxConnections int
	// ColdFor is how long a backend server stays cold after its start.
	ColdFor time.Duration
	// ColdRate is how many requests a second a cold backend server bears from
	// all hosts together; 0 means that it bears any number.
	ColdRate float64
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Index prepares the configuration for Match. It is called once, before the
// configuration is shared.
func (c *Config) Index() {
	c.byHost = make(map[string][]*Route)
	for i := range c.Routes {
		r := &c.Routes[i]
		host := normalHost(r.Host)
		c.byHost[host] = append(c.byHost[host], r)
	}
	for _, list := range c.byHost {
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
}

// Match returns the route of a request by the longest prefix of its path, or
// nil.
func (c *Config) Match(host, path string) *Route {
	for _, r := range c.byHost[normalHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// normalHost drops the port and the case of a host name.
func normalHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// Server is one lifetime of a backend server, as it has registered itself.
type Server struct {
	// ID and Born, the time of its start in Unix milliseconds, name the
	// lifetime.
	ID          string
	StartUnixMs int64
	Service     string
	Address     string
	DataCentre  string
	// Slots is how many requests it works on at once.
	Slots int
	// Draining servers are about to leave. DrainingSince is a time before which
	// the metadata store did not hold this; it is zero where none is known.
	Draining      bool
	DrainingSince time.Time
	// LeavingNoticeAt is when the server told one of the hosts that it leaves; the
	// zero time is never.
	LeavingNoticeAt time.Time
	// ColdLeft is how much longer the server stays cold, as of its registration.
	ColdLeft time.Duration
}

// ServerKey names the lifetime of a server.
type ServerKey struct {
	ID          string
	StartUnixMs int64
	Address     string
}

// Key returns the name of the server's lifetime.
func (s Server) Key() ServerKey { return ServerKey{s.ID, s.StartUnixMs, s.Address} }

// Slowness is what the hosts together know of a server that was slow to answer
// some calls.
type Slowness struct {
	// Slow is set where it is slow to answer all of them. Since is when the first
	// of those in a row was sent, or the last quick one before, and Until when the
	// last was.
	Slow  bool
	Since time.Time
	Until time.Time
}

// Topology is what a host knows of the deployment. It is immutable.
type Topology struct {
	// Config is nil while no configuration is known.
	Config  *Config
	Servers []Server
	// Evacuated are the data centres to leave, each with a time before which
	// the metadata store did not hold this; it is zero where none is known.
	Evacuated map[string]time.Time
}

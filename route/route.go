// Package route holds a deployment's configuration in the terms of the product:
// which requests go to which backend services, and which backend servers exist.
// It does no I/O.
package route

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Config is a version of a deployment's configuration. It is immutable.
type Config struct {
	Version  int64
	Routes   []Route
	Services map[string]Service
	Limits   Limits

	// byHost holds the routes of each host name, longest prefix first.
	byHost map[string][]*Route
}

// Route configures how requests with a certain host name and path prefix are
// served. Exactly one of Service, Split and Gather is set.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Idempotent requests may run more than once.
	Idempotent bool
	// Timeout is the longest time that a request may wait for its answer,
	// Objective the time within which an answer has its full worth.
	Timeout   time.Duration
	Objective time.Duration
	// MaxAttempts is the largest number of backend servers that may run a
	// request; on a gather route, that may run it for each shard.
	MaxAttempts int
	// Priority ranks the requests; 0 is the most urgent.
	Priority int

	// Service answers all requests of the route.
	Service string
	// Split distributes the requests over services by weight.
	Split []WeightedService
	// Gather lists the shards: services that each hold a part of the answer.
	Gather []string
	// TopK is the largest number of records in an answer of a gather route.
	TopK int
	// MinShardRatio is the least share of the shards that must be in an answer.
	MinShardRatio float64
	// AllowedRegions are the regions in which the requests may be served; empty
	// means all.
	AllowedRegions []string
}

// WeightedService is a service of a split route.
type WeightedService struct {
	Service string
	Weight  float64
}

// Service describes the backend servers of a service.
type Service struct {
	Name string
	// MaxConnections is the number of connections that one backend server
	// accepts from all hosts together.
	MaxConnections int
	// ColdFor is how long a backend server stays in cold start after it has
	// started.
	ColdFor time.Duration
	// ColdRate is the number of requests per second that a backend server in
	// cold start can take from all hosts together; 0 means no limit.
	ColdRate float64
}

// Limits bounds what callers may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Index prepares the configuration for Match. It must be called once, before
// the configuration is shared.
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

// Match returns the route with the longest prefix of the path, or nil.
func (c *Config) Match(host, path string) *Route {
	for _, r := range c.byHost[normalHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// normalHost removes the port and converts a host name to lower case.
func normalHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// Server is one incarnation of a backend server, as registered by itself.
type Server struct {
	// ID and StartUnixMs, the time of its start in Unix milliseconds, identify
	// the incarnation.
	ID          string
	StartUnixMs int64
	Service     string
	Address     string
	DataCentre  string
	// Slots is the number of requests that the server runs at once.
	Slots int
	// Draining is set if the server is about to leave. DrainingSince is a time
	// before which the metadata store did not say so; it is zero if none is
	// known.
	Draining      bool
	DrainingSince time.Time
	// LeavingNoticeAt is when the server told one of the hosts that it is
	// leaving; it is zero if it has not.
	LeavingNoticeAt time.Time
	// ColdLeft is how much longer the cold start lasts, as of the registration.
	ColdLeft time.Duration
}

// ServerKey identifies an incarnation of a server.
type ServerKey struct {
	ID          string
	StartUnixMs int64
	Address     string
}

// Key returns the key of the server's incarnation.
func (s Server) Key() ServerKey { return ServerKey{s.ID, s.StartUnixMs, s.Address} }

// Slowness is what the hosts together know about a server that was slow to
// answer some calls.
type Slowness struct {
	// Slow is set if the server is slow to answer all calls. Since is the send
	// time of the first slow call in a row, or of the last fast call before it,
	// and Until that of the last slow call.
	Slow  bool
	Since time.Time
	Until time.Time
}

// RequestLimit is what an answer of a backend server says about how many
// requests the server takes.
type RequestLimit struct {
	State LimitState
	// Rate is the number of requests per second that the server takes from all
	// hosts together; it is 0 unless State is Limited.
	Rate float64
}

// LimitState tells whether a server limits the requests that it takes.
type LimitState int

// States of a server's request limit.
const (
	// LimitUnknown answers say nothing about a limit.
	LimitUnknown LimitState = iota
	Unlimited
	Limited
)

// String returns the limit for logs.
func (l RequestLimit) String() string {
	switch l.State {
	case Limited:
		return strconv.FormatFloat(l.Rate, 'g', -1, 64) + " a second"
	case Unlimited:
		return "none"
	case LimitUnknown:
	}
	return "unknown"
}

// Less reports whether the limit allows fewer requests than another one. A server
// whose limit is unknown may be unlimited.
func (l RequestLimit) Less(other RequestLimit) bool {
	return l.State == Limited && (other.State != Limited || l.Rate < other.Rate)
}

// LimitReport is a request limit that one of the hosts has heard.
type LimitReport struct {
	Limit RequestLimit
	// At is a time at which the limit was in force.
	At time.Time
}

// LimitedTo returns the limit of a server that names one.
func LimitedTo(rate float64) RequestLimit { return RequestLimit{Limited, rate} }

// NoLimit is what a server says that names no limit.
var NoLimit = RequestLimit{State: Unlimited}

// Topology is a host's view of the deployment. It is immutable.
type Topology struct {
	// Config is nil until a configuration is known.
	Config  *Config
	Servers []Server
	// Evacuated holds the data centres being evacuated, each with a time before
	// which the metadata store did not say so; it is zero if none is known.
	Evacuated map[string]time.Time
}

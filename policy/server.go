package policy

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/figmast/figmast/document"
)

// Server is one backend server with this host's observations of it. The
// exported fields never change; the others belong to the Router.
type Server struct {
	Service    string
	Leaf       string
	ID         string
	Address    string
	DataCentre string

	leaf *leaf
	hash uint64
	// dataCentreHash is the hash of the server's data centre.
	dataCentreHash uint64
	// Servers that are leaving, or whose data centre is out, get no new work.
	leaving       bool
	dataCentreOut bool
	removed       bool
	// local is set where the server is in this host's data centre.
	local bool

	allotment
	inFlight int
	latency  movingAverage
	health   health
	limiter  limiter
	warmUp   warmUp
}

func newServer(l *leaf, d document.Server) *Server {
	return &Server{
		Service: l.service.name, Leaf: l.name, ID: d.ID, Address: d.Address, DataCentre: d.DataCentre,
		leaf: l,
		hash: xxhash.Sum64String(d.ID + "\x00" + d.Address), dataCentreHash: xxhash.Sum64String(d.DataCentre),
	}
}

// matches reports whether the document's entry describes this server.
func (s *Server) matches(d document.Server) bool {
	return s.ID == d.ID && s.Address == d.Address && s.DataCentre == d.DataCentre
}

// active reports whether the server may get new work.
func (s *Server) active() bool { return !s.dataCentreOut && !s.leaving && !s.removed }

// movingAverage is an exponentially weighted moving average of latencies.
type movingAverage struct {
	mean time.Duration
	last time.Duration
}

// Divisors of the step towards a new sample. The average rises faster than it
// falls, so that a slow server is avoided early.
const (
	riseDivisor = 8
	fallDivisor = 16
	// clipFactor bounds a sample to a multiple of the mean, so that one straggler
	// does not hide the typical latency.
	clipFactor = 3
	// fadeTime is the time in which a mean without new samples moves halfway to
	// that of its peers.
	fadeTime = 10 * time.Second
)

// add records a sample.
func (a *movingAverage) add(at, sample time.Duration) {
	a.last = at
	if a.mean == 0 {
		a.mean = sample
		return
	}
	sample = min(sample, clipFactor*a.mean)
	if sample > a.mean {
		a.mean += (sample - a.mean) / riseDivisor
		return
	}
	a.mean -= (a.mean - sample) / fallDivisor
}

// estimate returns the mean, which moves towards that of the peers with age.
func (a *movingAverage) estimate(at, peers time.Duration) time.Duration {
	if a.mean == 0 {
		return peers
	}
	idle := at - a.last
	if idle <= time.Second {
		return a.mean
	}
	keep := float64(fadeTime) / float64(fadeTime+idle)
	return peers + time.Duration(keep*float64(a.mean-peers))
}

package policy

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/figmast/figmast/document"
)

// Server is one backend server with what this host has observed of it. The
// exported fields never change; the rest belongs to the Router.
type Server struct {
	Service    string
	Leaf       string
	ID         string
	Address    string
	DataCentre string

	leaf *leaf
	hash uint64
	// centre is the hash of the server's data centre.
	centre uint64
	// leaving and out servers get no new work.
	leaving bool
	out     bool
	removed bool
	// home is set where the server stands in this host's data centre.
	home bool

	allotment
	inFlight int
	latency  average
	health   health
	limiter  limiter
	warmth   warmth
}

func newServer(l *leaf, d document.Server) *Server {
	return &Server{
		Service: l.service.name, Leaf: l.name, ID: d.ID, Address: d.Address, DataCentre: d.DataCentre,
		leaf: l,
		hash: xxhash.Sum64String(d.ID + "\x00" + d.Address), centre: xxhash.Sum64String(d.DataCentre),
	}
}

// is reports whether the document's entry is this server.
func (s *Server) is(d document.Server) bool {
	return s.ID == d.ID && s.Address == d.Address && s.DataCentre == d.DataCentre
}

// active reports whether the server may get new work.
func (s *Server) active() bool { return !s.out && !s.leaving && !s.removed }

// average is an exponentially weighted mean of latencies.
type average struct {
	mean time.Duration
	last time.Duration
}

// Weights of a new sample, as divisors of the step towards it. Latency rises
// faster than it falls, so that a slow server is left early.
const (
	riseDivisor = 8
	fallDivisor = 16
	// clipFactor bounds one sample to a multiple of the mean, so that one
	// straggler does not hide what the server usually does.
	clipFactor = 3
	// forgetAfter is the time in which a mean without new samples moves half
	// way to its peers'.
	forgetAfter = 10 * time.Second
)

// add takes in a sample.
func (a *average) add(at, sample time.Duration) {
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

// estimate returns the mean, which fades to the peers' as it gets old.
func (a *average) estimate(at, peers time.Duration) time.Duration {
	if a.mean == 0 {
		return peers
	}
	idle := at - a.last
	if idle <= time.Second {
		return a.mean
	}
	keep := float64(forgetAfter) / float64(forgetAfter+idle)
	return peers + time.Duration(keep*float64(a.mean-peers))
}

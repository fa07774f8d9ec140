// Package document holds the document that drives one service: its types,
// its strict parser and its checks. It does no I/O.
package document

import (
	"time"

	figmast "github.com/figmast/figmast"
)

// Kind tells queries from commands.
type Kind string

// Kinds of operations.
const (
	Query   Kind = "query"
	Command Kind = "command"
)

// Service is one service's document. Parse fills in every default.
type Service struct {
	// Name of the service; unique in the fleet.
	Name string `yaml:"service"`
	// Version orders documents of a service; the highest accepted wins.
	Version uint64 `yaml:"version"`
	// Operations that the service answers.
	Operations []Operation `yaml:"operations"`
	// SlotsMean tells how Leaf.Slots reads; see SlotReading.
	SlotsMean SlotMeaning `yaml:"slots_mean"`
	// ConnectionsOf tells what Leaf.Connections limits; see ConnectionReading.
	ConnectionsOf ConnectionScope `yaml:"connections_of"`
	// Protocol spoken to backend servers.
	Protocol Protocol `yaml:"protocol"`
	// Leaves hold the data; each has one or more backend servers.
	Leaves []Leaf `yaml:"leaves"`
	// Snapshots from oldest to newest.
	Snapshots []Snapshot `yaml:"snapshots"`
	// DataCentresOut get no new work.
	DataCentresOut []string `yaml:"data_centres_out"`
	// ColdStart limits the work of backend servers that have just started.
	ColdStart ColdStart `yaml:"cold_start"`
	// Hedging limits the extra load of second attempts.
	Hedging Hedging `yaml:"hedging"`
	// Retries limits attempts after failures.
	Retries Retries `yaml:"retries"`
	// LeastCoverage is the least coverage, in 0 to 1, that counts as an answer.
	LeastCoverage float64 `yaml:"least_coverage"`
	// StopWork tells when a query stops before its deadline.
	StopWork EarlyStop `yaml:"stop_work"`

	// places are the leaves' places in Leaves, by name; nil in a document that
	// Parse did not make.
	places map[string]int
}

// Operation is one thing that a service answers.
type Operation struct {
	Name string `yaml:"name"`
	Kind Kind   `yaml:"kind"`
	// Urgency and Worth hold where the caller names none.
	Urgency figmast.Urgency `yaml:"urgency"`
	Worth   float64         `yaml:"worth"`
	// Deadline holds where the caller names none; MaxDeadline bounds it.
	Deadline    Duration `yaml:"deadline"`
	MaxDeadline Duration `yaml:"max_deadline"`
}

// SlotMeaning is what Leaf.Slots counts.
type SlotMeaning string

// Slot readings. Replicas: the places for backend servers of a leaf.
// Concurrency: the requests that one backend server works on at once.
const (
	SlotsAreReplicas    SlotMeaning = "replicas"
	SlotsAreConcurrency SlotMeaning = "concurrency"
)

// ConnectionScope is what Leaf.Connections limits.
type ConnectionScope string

// Connection readings: all servers of the leaf together, or each server.
const (
	ConnectionsOfLeaf   ConnectionScope = "leaf"
	ConnectionsOfServer ConnectionScope = "server"
)

// Protocol is spoken to backend servers.
type Protocol string

// Protocols. HTTP2 is HTTP/2 without TLS, with prior knowledge.
const (
	HTTP1 Protocol = "http1"
	HTTP2 Protocol = "http2"
)

// Leaf is one shard of a service's data.
type Leaf struct {
	Name        string   `yaml:"name"`
	Slots       int      `yaml:"slots"`
	Connections int      `yaml:"connections"`
	Servers     []Server `yaml:"servers"`
}

// Server is one backend server that holds a leaf.
type Server struct {
	ID string `yaml:"id"`
	// Address is an IP number and port.
	Address    string `yaml:"address"`
	DataCentre string `yaml:"data_centre"`
	// Leaving backend servers get no new work.
	Leaving bool `yaml:"leaving"`
}

// Snapshot is one version of the index and its division over leaves.
type Snapshot struct {
	ID string `yaml:"id"`
	// PartitionMap names the division of the data over leaves.
	PartitionMap string `yaml:"partition_map"`
	// Weights are what each leaf holds of the snapshot. A leaf without a
	// weight holds no part of it.
	Weights []LeafWeight `yaml:"weights"`
}

// LeafWeight is what one leaf holds of a snapshot.
type LeafWeight struct {
	Leaf   string `yaml:"leaf"`
	Weight uint64 `yaml:"weight"`
}

// ColdStart limits backend servers in cold start.
type ColdStart struct {
	// Allowance is how many requests a cold server bears at once from all
	// hosts together.
	Allowance int `yaml:"allowance"`
	// WarmAfter is how many successes at a full allowance double it.
	WarmAfter int `yaml:"warm_after"`
}

// Hedging limits second attempts.
type Hedging struct {
	// Quantile of a leaf's recent latency after which a query asks a second
	// server, in 0 to 1.
	Quantile float64 `yaml:"quantile"`
	// Budget is the extra load allowed, as a share of the leaf calls.
	Budget float64 `yaml:"budget"`
}

// Retries limits attempts after failures.
type Retries struct {
	// Budget is the share of leaf calls that may be retries.
	Budget float64 `yaml:"budget"`
	// Attempts is the most tries of one leaf call, the first included.
	Attempts int `yaml:"attempts"`
}

// EarlyStop tells when a query stops before its deadline.
type EarlyStop struct {
	// Coverage at which a query may answer once Patience has passed.
	Coverage float64 `yaml:"coverage"`
	// Patience is how long a query waits for more than Coverage.
	Patience Duration `yaml:"patience"`
}

// Duration is a time span written as in "250ms".
type Duration time.Duration

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// UnmarshalText parses a span such as "250ms".
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	*d = Duration(v)
	return err
}

// MarshalText writes the span as in "250ms".
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// Operation returns the operation of that name.
func (s *Service) Operation(name string) (Operation, bool) {
	for _, op := range s.Operations {
		if op.Name == name {
			return op, true
		}
	}
	return Operation{}, false
}

// Leaf returns the leaf of that name, or nil.
func (s *Service) Leaf(name string) *Leaf {
	if s.places != nil {
		i, ok := s.places[name]
		if !ok {
			return nil
		}
		return &s.Leaves[i]
	}
	for i := range s.Leaves {
		if s.Leaves[i].Name == name {
			return &s.Leaves[i]
		}
	}
	return nil
}

// IsDataCentreOut reports whether operators have taken the data centre out.
func (s *Service) IsDataCentreOut(dataCentre string) bool {
	for _, out := range s.DataCentresOut {
		if out == dataCentre {
			return true
		}
	}
	return false
}

// TotalWeight returns the weight of all leaves of the snapshot.
func (s *Snapshot) TotalWeight() uint64 {
	var sum uint64
	for _, w := range s.Weights {
		sum += w.Weight
	}
	return sum
}

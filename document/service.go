// Package document defines the document that configures a service. It provides
// the document's types, a strict parser and validation. It does no I/O.
package document

import (
	"time"

	figmast "github.com/figmast/figmast"
)

// Kind distinguishes queries from commands.
type Kind string

// Kinds of operations.
const (
	Query   Kind = "query"
	Command Kind = "command"
)

// Service is the document of a service. Parse sets the default of every field that
// the document omits.
type Service struct {
	// Name of the service; unique in the fleet.
	Name string `yaml:"service"`
	// Version orders the documents of a service. The accepted document with the
	// highest version is in force.
	Version uint64 `yaml:"version"`
	// Operations that the service answers.
	Operations []Operation `yaml:"operations"`
	// SlotsMean is what Leaf.Slots counts; see SlotMeaning.
	SlotsMean SlotMeaning `yaml:"slots_mean"`
	// ConnectionsOf is what Leaf.Connections limits; see ConnectionScope.
	ConnectionsOf ConnectionScope `yaml:"connections_of"`
	// Protocol of calls to backend servers.
	Protocol Protocol `yaml:"protocol"`
	// Leaves hold the data; each has one or more backend servers.
	Leaves []Leaf `yaml:"leaves"`
	// Snapshots from oldest to newest.
	Snapshots []Snapshot `yaml:"snapshots"`
	// DataCentresOut are data centres taken out of service. Their backend servers
	// get no new work.
	DataCentresOut []string `yaml:"data_centres_out"`
	// ColdStart limits the requests to backend servers in cold start.
	ColdStart ColdStart `yaml:"cold_start"`
	// Hedging limits the extra load of hedged calls.
	Hedging Hedging `yaml:"hedging"`
	// Retries limits attempts after a failed one.
	Retries Retries `yaml:"retries"`
	// LeastCoverage is the minimum coverage of an answer, between 0 and 1.
	LeastCoverage float64 `yaml:"least_coverage"`
	// StopWork says when a query stops before its deadline.
	StopWork EarlyStop `yaml:"stop_work"`

	// leafIndexes are the indexes in Leaves by leaf name. It is nil in a document
	// that was not created by Parse.
	leafIndexes map[string]int
}

// Operation is a type of request that a service supports.
type Operation struct {
	Name string `yaml:"name"`
	Kind Kind   `yaml:"kind"`
	// Urgency and Worth apply if the caller sets none.
	Urgency figmast.Urgency `yaml:"urgency"`
	Worth   float64         `yaml:"worth"`
	// Deadline applies if the caller sets none. MaxDeadline is the maximum that a
	// caller may set.
	Deadline    Duration `yaml:"deadline"`
	MaxDeadline Duration `yaml:"max_deadline"`
}

// SlotMeaning is what Leaf.Slots counts.
type SlotMeaning string

// Meanings of Leaf.Slots.
const (
	// With SlotsAreReplicas, Leaf.Slots is the maximum number of backend servers
	// of the leaf. With SlotsAreConcurrency, it is the number of requests that
	// one backend server processes concurrently.
	SlotsAreReplicas    SlotMeaning = "replicas"
	SlotsAreConcurrency SlotMeaning = "concurrency"
)

// ConnectionScope is what Leaf.Connections limits.
type ConnectionScope string

// Scopes of Leaf.Connections: all backend servers of the leaf together, or each
// backend server.
const (
	ConnectionsOfLeaf   ConnectionScope = "leaf"
	ConnectionsOfServer ConnectionScope = "server"
)

// Protocol is the protocol of calls to backend servers.
type Protocol string

// Protocols. HTTP2 is HTTP/2 without TLS and with prior knowledge.
const (
	HTTP1 Protocol = "http1"
	HTTP2 Protocol = "http2"
)

// Leaf is a shard of a service's data and its backend servers.
type Leaf struct {
	Name        string   `yaml:"name"`
	Slots       int      `yaml:"slots"`
	Connections int      `yaml:"connections"`
	Servers     []Server `yaml:"servers"`
}

// Server is a backend server that holds a leaf.
type Server struct {
	ID string `yaml:"id"`
	// Address is an IP address and port.
	Address    string `yaml:"address"`
	DataCentre string `yaml:"data_centre"`
	// Leaving backend servers get no new work.
	Leaving bool `yaml:"leaving"`
}

// Snapshot is a version of the index and its partition into leaves.
type Snapshot struct {
	ID string `yaml:"id"`
	// PartitionMap names the assignment of the data to leaves.
	PartitionMap string `yaml:"partition_map"`
	// Weights are the amounts of the snapshot's data that the leaves hold. A leaf
	// without a weight holds none of it.
	Weights []LeafWeight `yaml:"weights"`
}

// LeafWeight is the amount of a snapshot's data that a leaf holds.
type LeafWeight struct {
	Leaf   string `yaml:"leaf"`
	Weight uint64 `yaml:"weight"`
}

// ColdStart limits backend servers in cold start.
type ColdStart struct {
	// Allowance is the number of concurrent requests, from all hosts together,
	// that a server gets at the beginning of its cold start.
	Allowance int `yaml:"allowance"`
	// WarmAfter is the number of successes, with the allowance fully used, after
	// which the allowance doubles.
	WarmAfter int `yaml:"warm_after"`
}

// Hedging configures hedged calls, which query a second server of a leaf.
type Hedging struct {
	// Quantile, between 0 and 1, of the leaf's recent latency after which a query
	// calls a second server.
	Quantile float64 `yaml:"quantile"`
	// Budget is the share of leaf calls that may be added as hedges.
	Budget float64 `yaml:"budget"`
}

// Retries limits attempts after a failed one.
type Retries struct {
	// Budget is the share of leaf calls that may be retries.
	Budget float64 `yaml:"budget"`
	// Attempts is the maximum number of attempts of a leaf call, including the
	// first.
	Attempts int `yaml:"attempts"`
}

// EarlyStop says when a query stops before its deadline.
type EarlyStop struct {
	// Coverage is the coverage with which a query may answer once Patience has
	// passed.
	Coverage float64 `yaml:"coverage"`
	// Patience is how long a query waits for more coverage than Coverage.
	Patience Duration `yaml:"patience"`
}

// Duration is a time.Duration that is written as in "250ms".
type Duration time.Duration

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// UnmarshalText parses a duration such as "250ms".
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	*d = Duration(v)
	return err
}

// MarshalText formats the duration as in "250ms".
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// Operation returns the operation with the given name.
func (s *Service) Operation(name string) (Operation, bool) {
	for _, op := range s.Operations {
		if op.Name == name {
			return op, true
		}
	}
	return Operation{}, false
}

// Leaf returns the leaf with the given name, or nil if there is none.
func (s *Service) Leaf(name string) *Leaf {
	if s.leafIndexes != nil {
		i, ok := s.leafIndexes[name]
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

// IsDataCentreOut reports whether the data centre is taken out of service.
func (s *Service) IsDataCentreOut(dataCentre string) bool {
	for _, out := range s.DataCentresOut {
		if out == dataCentre {
			return true
		}
	}
	return false
}

// TotalWeight returns the sum of the weights of all leaves.
func (s *Snapshot) TotalWeight() uint64 {
	var sum uint64
	for _, w := range s.Weights {
		sum += w.Weight
	}
	return sum
}

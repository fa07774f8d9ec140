package document

import (
	"bytes"
	"fmt"
	"math"
	"net/netip"
	"strings"
	"time"

	"github.com/goccy/go-yaml"

	figmast "github.com/figmast/figmast"
)

// MaxBytes is the largest document that the platform holds.
const MaxBytes = 1 << 20

// Defaults of a document.
const (
	DefaultDeadline      = Duration(400 * time.Millisecond)
	DefaultMaxDeadline   = Duration(10 * time.Second)
	DefaultWorth         = 1.0
	DefaultLeastCoverage = 0.9
	DefaultHedgeQuantile = 0.95
	DefaultHedgeBudget   = 0.04
	DefaultRetryBudget   = 0.1
	DefaultAttempts      = 3
	DefaultAllowance     = 2
	DefaultWarmAfter     = 20
)

// Error lists every fault of a document.
type Error struct {
	// Faults name the place and the reason, one each.
	Faults []string
}

// Error joins the faults.
func (e *Error) Error() string {
	return "document refused: " + strings.Join(e.Faults, "; ")
}

func (e *Error) add(format string, args ...any) {
	e.Faults = append(e.Faults, fmt.Sprintf(format, args...))
}

// Parse reads a document in YAML (or JSON, which is YAML), strictly: unknown,
// missing and contradictory fields are refused. The error is an *Error.
func Parse(data []byte) (*Service, error) {
	if len(data) > MaxBytes {
		return nil, &Error{Faults: []string{fmt.Sprintf("document: %d bytes, at most %d", len(data), MaxBytes)}}
	}
	s := defaults()
	dec := yaml.NewDecoder(bytes.NewReader(data), yaml.Strict())
	if err := dec.Decode(s); err != nil {
		return nil, &Error{Faults: []string{"document: " + yaml.FormatError(err, false, true)}}
	}
	s.fill()
	var faults Error
	s.check(&faults)
	if len(faults.Faults) > 0 {
		return nil, &faults
	}
	return s, nil
}

func defaults() *Service {
	return &Service{
		SlotsMean:     SlotsAreReplicas,
		ConnectionsOf: ConnectionsOfLeaf,
		Protocol:      HTTP1,
		ColdStart:     ColdStart{Allowance: DefaultAllowance, WarmAfter: DefaultWarmAfter},
		Hedging:       Hedging{Quantile: DefaultHedgeQuantile, Budget: DefaultHedgeBudget},
		Retries:       Retries{Budget: DefaultRetryBudget, Attempts: DefaultAttempts},
		LeastCoverage: DefaultLeastCoverage,
		StopWork:      StopWork{Coverage: 1},
	}
}

// fill sets the defaults of list items.
func (s *Service) fill() {
	for i := range s.Operations {
		op := &s.Operations[i]
		if op.Urgency == "" {
			op.Urgency = figmast.Normal
		}
		if op.Worth == 0 {
			op.Worth = DefaultWorth
		}
		if op.MaxDeadline == 0 {
			op.MaxDeadline = max(DefaultMaxDeadline, op.Deadline)
		}
		if op.Deadline == 0 {
			op.Deadline = min(DefaultDeadline, op.MaxDeadline)
		}
	}
}

func (s *Service) check(f *Error) {
	if s.Name == "" {
		f.add("service: missing")
	}
	if s.Version == 0 {
		f.add("version: missing; at least 1")
	}
	s.checkOperations(f)
	s.checkModes(f)
	leaves := s.checkLeaves(f)
	s.checkSnapshots(f, leaves)
	s.checkLimits(f)
}

func (s *Service) checkOperations(f *Error) {
	if len(s.Operations) == 0 {
		f.add("operations: missing")
	}
	seen := make(map[string]bool)
	for i, op := range s.Operations {
		at := fmt.Sprintf("operations[%d]", i)
		if op.Name == "" {
			f.add("%s.name: missing", at)
		}
		if seen[op.Name] {
			f.add("%s.name: %q stands twice", at, op.Name)
		}
		seen[op.Name] = true
		if op.Kind != Query && op.Kind != Command {
			f.add("%s.kind: %q is neither query nor command", at, op.Kind)
		}
		switch op.Urgency {
		case figmast.Urgent, figmast.Normal, figmast.Bulk:
		default:
			f.add("%s.urgency: %q is none of urgent, normal, bulk", at, op.Urgency)
		}
		if !(op.Worth > 0) || math.IsInf(op.Worth, 0) {
			f.add("%s.worth: %v is not above 0", at, op.Worth)
		}
		if op.Deadline <= 0 || op.Deadline > op.MaxDeadline {
			f.add("%s.deadline: %v is not in 0 to max_deadline %v", at, op.Deadline.Std(), op.MaxDeadline.Std())
		}
	}
}

func (s *Service) checkModes(f *Error) {
	if s.SlotsMean != SlotsAreReplicas && s.SlotsMean != SlotsAreConcurrency {
		f.add("slots_mean: %q is neither replicas nor concurrency", s.SlotsMean)
	}
	if s.ConnectionsOf != ConnectionsOfLeaf && s.ConnectionsOf != ConnectionsOfServer {
		f.add("connections_of: %q is neither leaf nor server", s.ConnectionsOf)
	}
	if s.Protocol != HTTP1 && s.Protocol != HTTP2 {
		f.add("protocol: %q is neither http1 nor http2", s.Protocol)
	}
}

func (s *Service) checkLeaves(f *Error) map[string]bool {
	if len(s.Leaves) == 0 {
		f.add("leaves: missing")
	}
	leaves := make(map[string]bool)
	servers := make(map[string]bool)
	for i, l := range s.Leaves {
		at := fmt.Sprintf("leaves[%d]", i)
		if l.Name == "" {
			f.add("%s.name: missing", at)
		}
		if leaves[l.Name] {
			f.add("%s.name: %q stands twice", at, l.Name)
		}
		leaves[l.Name] = true
		if l.Slots < 1 {
			f.add("%s.slots: %d is below 1", at, l.Slots)
		}
		if l.Connections < 1 {
			f.add("%s.connections: %d is below 1", at, l.Connections)
		}
		if s.SlotsMean == SlotsAreReplicas && len(l.Servers) > l.Slots {
			f.add("%s.servers: %d servers in %d slots", at, len(l.Servers), l.Slots)
		}
		checkServers(f, at, l.Servers, servers)
	}
	return leaves
}

func checkServers(f *Error, at string, list []Server, seen map[string]bool) {
	for i, srv := range list {
		place := fmt.Sprintf("%s.servers[%d]", at, i)
		if srv.ID == "" {
			f.add("%s.id: missing", place)
		}
		if seen[srv.ID] {
			f.add("%s.id: %q stands twice", place, srv.ID)
		}
		seen[srv.ID] = true
		if _, err := netip.ParseAddrPort(srv.Address); err != nil {
			f.add("%s.address: %q is not an IP number and port", place, srv.Address)
		}
		if srv.DataCentre == "" {
			f.add("%s.data_centre: missing", place)
		}
	}
}

func (s *Service) checkSnapshots(f *Error, leaves map[string]bool) {
	if len(s.Snapshots) == 0 {
		f.add("snapshots: missing")
	}
	seen := make(map[string]bool)
	for i, snap := range s.Snapshots {
		at := fmt.Sprintf("snapshots[%d]", i)
		if snap.ID == "" {
			f.add("%s.id: missing", at)
		}
		if seen[snap.ID] {
			f.add("%s.id: %q stands twice", at, snap.ID)
		}
		seen[snap.ID] = true
		if snap.PartitionMap == "" {
			f.add("%s.partition_map: missing", at)
		}
		checkWeights(f, at, snap.Weights, leaves)
	}
}

func checkWeights(f *Error, at string, weights []LeafWeight, leaves map[string]bool) {
	var total uint64
	seen := make(map[string]bool)
	for i, w := range weights {
		place := fmt.Sprintf("%s.weights[%d]", at, i)
		if !leaves[w.Leaf] {
			f.add("%s.leaf: %q is no leaf of the service", place, w.Leaf)
		}
		if seen[w.Leaf] {
			f.add("%s.leaf: %q stands twice", place, w.Leaf)
		}
		seen[w.Leaf] = true
		if total+w.Weight < total {
			f.add("%s.weight: the sum is too large", place)
		}
		total += w.Weight
	}
	if total == 0 {
		f.add("%s.weights: the snapshot holds nothing", at)
	}
}

func (s *Service) checkLimits(f *Error) {
	share := func(place string, v float64) {
		if !(v >= 0 && v <= 1) {
			f.add("%s: %v is not in 0 to 1", place, v)
		}
	}
	share("least_coverage", s.LeastCoverage)
	share("stop_work.coverage", s.StopWork.Coverage)
	share("hedging.quantile", s.Hedging.Quantile)
	share("hedging.budget", s.Hedging.Budget)
	share("retries.budget", s.Retries.Budget)
	if s.StopWork.Coverage < s.LeastCoverage {
		f.add("stop_work.coverage: %v is below least_coverage %v", s.StopWork.Coverage, s.LeastCoverage)
	}
	if s.StopWork.Patience < 0 {
		f.add("stop_work.patience: %v is below 0", s.StopWork.Patience.Std())
	}
	if s.Retries.Attempts < 1 {
		f.add("retries.attempts: %d is below 1", s.Retries.Attempts)
	}
	if s.ColdStart.Allowance < 1 {
		f.add("cold_start.allowance: %d is below 1", s.ColdStart.Allowance)
	}
	if s.ColdStart.WarmAfter < 1 {
		f.add("cold_start.warm_after: %d is below 1", s.ColdStart.WarmAfter)
	}
}

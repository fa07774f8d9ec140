package document

import (
	"fmt"
	"net/netip"
	"strings"
	"time"

	figmast "github.com/figmast/figmast"
)

func (s *Service) check(f *Error) {
	checkName(f, "service", s.Name)
	if s.Version == 0 {
		f.add("version: missing; at least 1")
	}
	s.checkOperations(f)
	s.checkModes(f)
	leaves := s.checkLeaves(f)
	s.checkSnapshots(f, leaves)
	s.checkOut(f)
	s.checkLimits(f)
}

// Bounds of values.
const (
	maxNameLen  = 128
	maxDeadline = Duration(10 * time.Minute)
	maxWorth    = 1e9
	maxCount    = 1_000_000
)

// checkName refuses what cannot stand in headers, paths and metrics as it is.
func checkName(f *Error, place, name string) {
	switch {
	case name == "":
		f.add("%s: missing", place)
	case len(name) > maxNameLen:
		f.add("%s: longer than %d bytes", place, maxNameLen)
	case strings.IndexFunc(name, isOdd) >= 0:
		f.add("%s: %q holds other characters than letters, digits and ._:@+-", place, name)
	}
}

// isOdd reports whether r may not stand in a name.
func isOdd(r rune) bool {
	letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
	digit := r >= '0' && r <= '9'
	return !letter && !digit && !strings.ContainsRune("._:@+-", r)
}

// checkOut refuses a data centre that no server stands in: a mistyped name
// would leave the right one in service.
func (s *Service) checkOut(f *Error) {
	stands := make(map[string]bool)
	for _, l := range s.Leaves {
		for _, srv := range l.Servers {
			stands[srv.DataCentre] = true
		}
	}
	seen := make(map[string]bool)
	for i, dc := range s.DataCentresOut {
		if !stands[dc] {
			f.add("data_centres_out[%d]: no backend server of the service stands in %q", i, dc)
		}
		if seen[dc] {
			f.add("data_centres_out[%d]: %q stands twice", i, dc)
		}
		seen[dc] = true
	}
}

func (s *Service) checkOperations(f *Error) {
	if len(s.Operations) == 0 {
		f.add("operations: missing")
	}
	seen := make(map[string]bool)
	for i, op := range s.Operations {
		at := fmt.Sprintf("operations[%d]", i)
		checkName(f, at+".name", op.Name)
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
		if !(op.Worth > 0 && op.Worth <= maxWorth) {
			f.add("%s.worth: %v is not above 0 and up to %g", at, op.Worth, float64(maxWorth))
		}
		if op.MaxDeadline > maxDeadline {
			f.add("%s.max_deadline: %v is above %v", at, op.MaxDeadline.Std(), maxDeadline.Std())
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
	addresses := make(map[string]string)
	for i, l := range s.Leaves {
		at := fmt.Sprintf("leaves[%d]", i)
		checkName(f, at+".name", l.Name)
		if leaves[l.Name] {
			f.add("%s.name: %q stands twice", at, l.Name)
		}
		leaves[l.Name] = true
		checkCount(f, at+".slots", l.Slots)
		checkCount(f, at+".connections", l.Connections)
		if s.SlotsMean == SlotsAreReplicas && len(l.Servers) > l.Slots {
			f.add("%s.servers: %d servers in %d slots", at, len(l.Servers), l.Slots)
		}
		checkServers(f, at, l.Servers, servers, addresses)
	}
	return leaves
}

// checkServers refuses ids and addresses that stand twice in the document: a
// backend server holds one leaf.
func checkServers(f *Error, at string, list []Server, ids map[string]bool, addresses map[string]string) {
	for i, srv := range list {
		place := fmt.Sprintf("%s.servers[%d]", at, i)
		checkName(f, place+".id", srv.ID)
		if ids[srv.ID] {
			f.add("%s.id: %q stands twice; give each leaf a server of its own", place, srv.ID)
		}
		ids[srv.ID] = true
		a, err := netip.ParseAddrPort(srv.Address)
		if err != nil || a.Port() == 0 || a.Addr().IsUnspecified() {
			f.add("%s.address: %q is not an IP number and port", place, srv.Address)
		}
		if other, twice := addresses[a.String()]; twice && err == nil {
			f.add("%s.address: %s is the address of %q too", place, srv.Address, other)
		}
		addresses[a.String()] = srv.ID
		checkName(f, place+".data_centre", srv.DataCentre)
	}
}

func (s *Service) checkSnapshots(f *Error, leaves map[string]bool) {
	if len(s.Snapshots) == 0 {
		f.add("snapshots: missing")
	}
	seen := make(map[string]bool)
	for i, snap := range s.Snapshots {
		at := fmt.Sprintf("snapshots[%d]", i)
		checkName(f, at+".id", snap.ID)
		if seen[snap.ID] {
			f.add("%s.id: %q stands twice", at, snap.ID)
		}
		seen[snap.ID] = true
		checkName(f, at+".partition_map", snap.PartitionMap)
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
	if s.StopWork.Coverage < 1 && s.StopWork.Patience == 0 {
		f.add("stop_work.coverage: %v has no effect without stop_work.patience", s.StopWork.Coverage)
	}
	if s.Hedging.Quantile == 0 {
		f.add("hedging.quantile: 0 would ask a second server at once; to have no hedging, set hedging.budget to 0")
	}
	checkCount(f, "retries.attempts", s.Retries.Attempts)
	checkCount(f, "cold_start.allowance", s.ColdStart.Allowance)
	checkCount(f, "cold_start.warm_after", s.ColdStart.WarmAfter)
}

func checkCount(f *Error, place string, n int) {
	if n < 1 || n > maxCount {
		f.add("%s: %d is not in 1 to %d", place, n, maxCount)
	}
}

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
		f.add("version: missing; must be at least 1")
	}
	s.checkOperations(f)
	s.checkModes(f)
	leaves := s.checkLeaves(f)
	s.checkSnapshots(f, leaves)
	s.checkDataCentresOut(f)
	s.checkLimits(f)
}

// Limits on the values of fields.
const (
	maxNameLen  = 128
	maxDeadline = Duration(10 * time.Minute)
	maxWorth    = 1e9
	maxCount    = 1_000_000
)

// checkName checks that a name can be used unescaped in headers, paths and metrics.
func checkName(f *Error, path, name string) {
	switch {
	case name == "":
		f.add("%s: missing", path)
	case len(name) > maxNameLen:
		f.add("%s: longer than %d bytes", path, maxNameLen)
	case strings.IndexFunc(name, isInvalidInName) >= 0:
		f.add("%s: %q contains characters other than letters, digits and ._:@+-", path, name)
	}
}

// isInvalidInName reports whether r is not allowed in a name.
func isInvalidInName(r rune) bool {
	letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
	digit := r >= '0' && r <= '9'
	return !letter && !digit && !strings.ContainsRune("._:@+-", r)
}

// checkDataCentresOut rejects a data centre in which the service has no servers.
// A mistyped name would leave the intended data centre in service.
func (s *Service) checkDataCentresOut(f *Error) {
	hasServers := make(map[string]bool)
	for _, l := range s.Leaves {
		for _, srv := range l.Servers {
			hasServers[srv.DataCentre] = true
		}
	}
	seen := make(map[string]bool)
	for i, dc := range s.DataCentresOut {
		if !hasServers[dc] {
			f.add("data_centres_out[%d]: the service has no backend server in %q", i, dc)
		}
		if seen[dc] {
			f.add("data_centres_out[%d]: %q is a duplicate", i, dc)
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
		path := fmt.Sprintf("operations[%d]", i)
		checkName(f, path+".name", op.Name)
		if seen[op.Name] {
			f.add("%s.name: %q is a duplicate", path, op.Name)
		}
		seen[op.Name] = true
		if op.Kind != Query && op.Kind != Command {
			f.add("%s.kind: %q is neither query nor command", path, op.Kind)
		}
		switch op.Urgency {
		case figmast.Urgent, figmast.Normal, figmast.Bulk:
		default:
			f.add("%s.urgency: %q is not one of urgent, normal, bulk", path, op.Urgency)
		}
		if !(op.Worth > 0 && op.Worth <= maxWorth) {
			f.add("%s.worth: %v is not above 0 and at most %g", path, op.Worth, float64(maxWorth))
		}
		if op.MaxDeadline > maxDeadline {
			f.add("%s.max_deadline: %v is above %v", path, op.MaxDeadline.Std(), maxDeadline.Std())
		}
		if op.Deadline <= 0 || op.Deadline > op.MaxDeadline {
			f.add("%s.deadline: %v is not above 0 and at most max_deadline %v", path, op.Deadline.Std(), op.MaxDeadline.Std())
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
		path := fmt.Sprintf("leaves[%d]", i)
		checkName(f, path+".name", l.Name)
		if leaves[l.Name] {
			f.add("%s.name: %q is a duplicate", path, l.Name)
		}
		leaves[l.Name] = true
		checkCount(f, path+".slots", l.Slots)
		checkCount(f, path+".connections", l.Connections)
		if s.SlotsMean == SlotsAreReplicas && len(l.Servers) > l.Slots {
			f.add("%s.servers: %d servers for %d slots", path, len(l.Servers), l.Slots)
		}
		checkServers(f, path, l.Servers, servers, addresses)
	}
	return leaves
}

// checkServers checks the backend servers of a leaf. It rejects ids and addresses
// that the document contains twice, because a backend server holds one leaf only.
func checkServers(f *Error, parentPath string, list []Server, ids map[string]bool, addresses map[string]string) {
	for i, srv := range list {
		itemPath := fmt.Sprintf("%s.servers[%d]", parentPath, i)
		checkName(f, itemPath+".id", srv.ID)
		if ids[srv.ID] {
			f.add("%s.id: %q is a duplicate; a backend server holds one leaf only", itemPath, srv.ID)
		}
		ids[srv.ID] = true
		a, err := netip.ParseAddrPort(srv.Address)
		if err != nil || a.Port() == 0 || a.Addr().IsUnspecified() {
			f.add("%s.address: %q is not an IP address and port", itemPath, srv.Address)
		}
		if other, isDuplicate := addresses[a.String()]; isDuplicate && err == nil {
			f.add("%s.address: %s is also the address of %q", itemPath, srv.Address, other)
		}
		addresses[a.String()] = srv.ID
		checkName(f, itemPath+".data_centre", srv.DataCentre)
	}
}

func (s *Service) checkSnapshots(f *Error, leaves map[string]bool) {
	if len(s.Snapshots) == 0 {
		f.add("snapshots: missing")
	}
	seen := make(map[string]bool)
	for i, snap := range s.Snapshots {
		path := fmt.Sprintf("snapshots[%d]", i)
		checkName(f, path+".id", snap.ID)
		if seen[snap.ID] {
			f.add("%s.id: %q is a duplicate", path, snap.ID)
		}
		seen[snap.ID] = true
		checkName(f, path+".partition_map", snap.PartitionMap)
		checkWeights(f, path, snap.Weights, leaves)
	}
}

func checkWeights(f *Error, parentPath string, weights []LeafWeight, leaves map[string]bool) {
	var total uint64
	seen := make(map[string]bool)
	for i, w := range weights {
		itemPath := fmt.Sprintf("%s.weights[%d]", parentPath, i)
		if !leaves[w.Leaf] {
			f.add("%s.leaf: %q is not a leaf of the service", itemPath, w.Leaf)
		}
		if seen[w.Leaf] {
			f.add("%s.leaf: %q is a duplicate", itemPath, w.Leaf)
		}
		seen[w.Leaf] = true
		if total+w.Weight < total {
			f.add("%s.weight: the sum of the weights exceeds 64 bits", itemPath)
		}
		total += w.Weight
	}
	if total == 0 {
		f.add("%s.weights: the sum of the weights is 0", parentPath)
	}
}

func (s *Service) checkLimits(f *Error) {
	checkShare := func(path string, v float64) {
		if !(v >= 0 && v <= 1) {
			f.add("%s: %v is not between 0 and 1", path, v)
		}
	}
	checkShare("least_coverage", s.LeastCoverage)
	checkShare("stop_work.coverage", s.StopWork.Coverage)
	checkShare("hedging.quantile", s.Hedging.Quantile)
	checkShare("hedging.budget", s.Hedging.Budget)
	checkShare("retries.budget", s.Retries.Budget)
	if s.StopWork.Coverage < s.LeastCoverage {
		f.add("stop_work.coverage: %v is less than least_coverage %v", s.StopWork.Coverage, s.LeastCoverage)
	}
	if s.StopWork.Patience < 0 {
		f.add("stop_work.patience: %v is negative", s.StopWork.Patience.Std())
	}
	if s.StopWork.Coverage < 1 && s.StopWork.Patience == 0 {
		f.add("stop_work.coverage: %v has no effect without stop_work.patience", s.StopWork.Coverage)
	}
	if s.Hedging.Quantile == 0 {
		f.add("hedging.quantile: 0 would hedge every call at once; to disable hedging, set hedging.budget to 0")
	}
	checkCount(f, "retries.attempts", s.Retries.Attempts)
	checkCount(f, "cold_start.allowance", s.ColdStart.Allowance)
	checkCount(f, "cold_start.warm_after", s.ColdStart.WarmAfter)
}

func checkCount(f *Error, path string, n int) {
	if n < 1 || n > maxCount {
		f.add("%s: %d is not between 1 and %d", path, n, maxCount)
	}
}

// Package bench measures the decisions of the query tier over their whole
// path in virtual time: several hosts, each a query.Engine and a
// policy.Router as in the daemon, and small stand-ins for backend servers.
// The same seed gives the same table.
package bench

import (
	"fmt"
	"time"

	figmast "github.com/figmast/figmast"
	"github.com/figmast/figmast/document"
)

// Distances and sizes that all workloads share.
const (
	hostCount     = 9
	betweenZones  = time.Millisecond
	withinZone    = 100 * time.Microsecond
	toCaller      = 3 * time.Millisecond
	coldAllowance = 4
	warmAfter     = 20
)

// Workload is what one user of the query tier runs.
type Workload struct {
	Name        string
	DataCentres int
	Groups      []Group
}

// Group is a number of services of one shape.
type Group struct {
	Name        string
	Services    int
	Leaves      int
	Slots       int
	Connections int
	// ConnectTime is what a new connection costs.
	ConnectTime time.Duration
}

// PineHollow and Strapwell have the sizes of today; Wide is one service of
// 30 leaves, for the target on stragglers.
var (
	PineHollow = Workload{Name: "Pine Hollow", DataCentres: 3, Groups: []Group{
		{"route", 10, 3, 6, 50, 6 * time.Millisecond},
		{"portal", 15, 3, 6, 50, 6 * time.Millisecond},
		{"billing", 1, 35, 3, 110, time.Millisecond},
		{"scheduling", 1, 20, 3, 110, time.Millisecond},
	}}
	Strapwell = Workload{Name: "Strapwell", DataCentres: 4, Groups: []Group{
		{"counter", 10, 3, 3, 30, 6 * time.Millisecond},
		{"board", 15, 3, 3, 30, 6 * time.Millisecond},
		{"courier", 1, 20, 3, 40, time.Millisecond},
		{"invoicing", 1, 10, 3, 40, time.Millisecond},
	}}
	Wide = Workload{Name: "Wide", DataCentres: 3, Groups: []Group{
		{"wide", 1, 30, 3, 110, time.Millisecond},
	}}
)

// operation is one kind of query and its part of the arrivals.
type operation struct {
	document.Operation
	part float64
}

var operations = []operation{
	{op("urgent", figmast.Urgent, 3, 400*time.Millisecond), 0.3},
	{op("normal", figmast.Normal, 2, 800*time.Millisecond), 0.4},
	{op("bulk", figmast.Bulk, 1, 2*time.Second), 0.3},
}

func op(name string, u figmast.Urgency, worth float64, deadline time.Duration) document.Operation {
	return document.Operation{
		Name: name, Kind: document.Query, Urgency: u, Worth: worth,
		Deadline: document.Duration(deadline), MaxDeadline: document.Duration(2 * deadline),
	}
}

func zone(i int) string { return fmt.Sprintf("dc%d", i) }

// documents returns the first version of every service's document.
func (w Workload) documents() []*document.Service {
	var all []*document.Service
	for _, g := range w.Groups {
		for n := range g.Services {
			all = append(all, g.document(fmt.Sprintf("%s%d", g.Name, n), w.DataCentres))
		}
	}
	return all
}

func (g Group) document(name string, zones int) *document.Service {
	d := &document.Service{
		Name: name, Version: 1, SlotsMean: document.SlotsAreReplicas, ConnectionsOf: document.ConnectionsOfLeaf,
		Protocol:  document.HTTP1,
		ColdStart: document.ColdStart{Allowance: coldAllowance, WarmAfter: warmAfter},
		Hedging:   document.Hedging{Quantile: document.DefaultHedgeQuantile, Budget: document.DefaultHedgeBudget},
		Retries:   document.Retries{Budget: document.DefaultRetryBudget, Attempts: document.DefaultAttempts},
		StopWork:  document.EarlyStop{Coverage: 1}, LeastCoverage: document.DefaultLeastCoverage,
	}
	for _, o := range operations {
		d.Operations = append(d.Operations, o.Operation)
	}
	d.Operations = append(d.Operations, book)
	for l := range g.Leaves {
		leaf := document.Leaf{Name: fmt.Sprintf("%s-l%d", name, l), Slots: g.Slots, Connections: g.Connections}
		for s := range g.Slots {
			id := fmt.Sprintf("%s-s%d", leaf.Name, s)
			leaf.Servers = append(leaf.Servers, document.Server{ID: id, Address: id, DataCentre: zone((l + s) % zones)})
		}
		d.Leaves = append(d.Leaves, leaf)
	}
	d.Snapshots = []document.Snapshot{snapshot(d, "snap1", "map1", 1, 1)}
	return d
}

// snapshot divides the data over the leaves in turn by the two weights.
func snapshot(d *document.Service, id, partition string, even, odd uint64) document.Snapshot {
	s := document.Snapshot{ID: id, PartitionMap: partition}
	for i, l := range d.Leaves {
		weight := even
		if i%2 == 1 {
			weight = odd
		}
		s.Weights = append(s.Weights, document.LeafWeight{Leaf: l.Name, Weight: weight})
	}
	return s
}

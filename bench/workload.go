// Package bench simulates the query tier in virtual time and measures its
// routing: several hosts, each with the query.Engine and policy.Router of the
// daemon, and simulated backend servers. The same seed gives the same results.
package bench

import (
	"fmt"
	"time"

	figmast "github.com/figmast/figmast"
	"github.com/figmast/figmast/document"
)

// Latencies, sizes and cold-start parameters that all workloads share.
const (
	hostCount              = 9
	crossDataCentreLatency = time.Millisecond
	sameDataCentreLatency  = 100 * time.Microsecond
	callerLatency          = 3 * time.Millisecond
	coldAllowance          = 4
	warmAfter              = 20
)

// Workload describes the services of one user of the query tier.
type Workload struct {
	Name        string
	DataCentres int
	Groups      []Group
}

// Group is a number of services of the same size.
type Group struct {
	Name        string
	Services    int
	Leaves      int
	Slots       int
	Connections int
	// ConnectTime is how long it takes to open a connection.
	ConnectTime time.Duration
}

// PineHollow and Strapwell have the current sizes of these users. Wide is one
// service of 30 leaves, for the target on stragglers.
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

// operation is one kind of query and its share of the arrivals.
type operation struct {
	document.Operation
	share float64
}

var operations = []operation{
	{newOperation("urgent", figmast.Urgent, 3, 400*time.Millisecond), 0.3},
	{newOperation("normal", figmast.Normal, 2, 800*time.Millisecond), 0.4},
	{newOperation("bulk", figmast.Bulk, 1, 2*time.Second), 0.3},
}

func newOperation(name string, u figmast.Urgency, worth float64, deadline time.Duration) document.Operation {
	return document.Operation{
		Name: name, Kind: document.Query, Urgency: u, Worth: worth,
		Deadline: document.Duration(deadline), MaxDeadline: document.Duration(2 * deadline),
	}
}

func dataCentreName(i int) string { return fmt.Sprintf("dc%d", i) }

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

func (g Group) document(name string, dataCentres int) *document.Service {
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
	d.Operations = append(d.Operations, bookOperation)
	for l := range g.Leaves {
		leaf := document.Leaf{Name: fmt.Sprintf("%s-l%d", name, l), Slots: g.Slots, Connections: g.Connections}
		for s := range g.Slots {
			id := fmt.Sprintf("%s-s%d", leaf.Name, s)
			leaf.Servers = append(leaf.Servers, document.Server{ID: id, Address: id, DataCentre: dataCentreName((l + s) % dataCentres)})
		}
		d.Leaves = append(d.Leaves, leaf)
	}
	d.Snapshots = []document.Snapshot{newSnapshot(d, "snap1", "map1", 1, 1)}
	return d
}

// newSnapshot returns a snapshot that gives leaves at even and odd positions
// different weights.
func newSnapshot(d *document.Service, id, partition string, even, odd uint64) document.Snapshot {
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

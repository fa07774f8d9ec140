package bench

import (
	"time"

	"github.com/figmast/figmast/document"
	"github.com/figmast/figmast/policy"
	"github.com/figmast/figmast/query"
)

// Fault is something that goes wrong during a run.
type Fault struct {
	Name  string
	Begin func(*world)
}

// When faults begin and end.
const (
	faultFrom   = 2 * time.Second
	outUntil    = 6500 * time.Millisecond
	faultUntil  = 8 * time.Second
	outGrace    = 3 * time.Second // after it an out data centre gets no new work
	resendAfter = 300 * time.Millisecond
)

// Faults, each alone.
var (
	Stragglers          = Fault{"stragglers", func(w *world) { w.stragglers = true }}
	ReplicaLoss         = Fault{"replica loss", func(w *world) { w.at(faultFrom, func() { w.each(0, (*server).stop) }) }}
	UnreportedColdStart = Fault{"cold turn", func(w *world) {
		w.silent = true
		w.at(faultFrom, func() { w.each(1, (*server).turnCold) })
	}}
	FalseLoadReports = Fault{"lying load endpoint", func(w *world) {
		w.lying = true
		w.at(faultFrom, func() { w.each(1, (*server).turnCold) })
	}}
	ServersLeaving = Fault{"servers leaving", drain}
	DataCentreMove = Fault{"data centre move", move}
	Overload       = Fault{"overload", func(w *world) { w.load = 2 }}
	PlatformDown   = Fault{"platform down", func(w *world) {
		w.at(faultFrom, func() { w.platform = false })
		w.at(faultUntil, func() { w.platform = true })
	}}
	Partition = Fault{"partition of hosts", func(w *world) {
		w.at(faultFrom-time.Second, func() { w.cut(true) })
		w.at(faultUntil, func() { w.cut(false) })
	}}
	CrashQuery     = Fault{"crashing query", func(w *world) { w.at(faultFrom, w.crashQuery) }}
	SnapshotChange = Fault{"snapshot change", snapshotChange}
)

// FaultCases are the faults that the table lists: none, each alone, and pairs.
var FaultCases = [][]Fault{
	{}, {Stragglers}, {ReplicaLoss}, {UnreportedColdStart}, {FalseLoadReports}, {ServersLeaving}, {DataCentreMove}, {Overload},
	{PlatformDown}, {Partition}, {CrashQuery}, {SnapshotChange},
	{DataCentreMove, Stragglers}, {DataCentreMove, Partition}, {DataCentreMove, CrashQuery}, {UnreportedColdStart, Overload},
	{PlatformDown, ReplicaLoss}, {SnapshotChange, Stragglers}, {SnapshotChange, ReplicaLoss},
}

// oneIn is the part of the leaves that each strikes at slots above 0.
const oneIn = 5

// each strikes one server of every leaf, or of one leaf in five.
func (w *world) each(slot int, strike func(*server)) {
	leaves := 0
	for _, name := range w.names {
		for _, l := range w.docs[name].Leaves {
			leaves++
			if slot == 0 || leaves%oneIn == 0 {
				strike(w.servers[l.Servers[slot].ID])
			}
		}
	}
}

func drain(w *world) {
	w.at(faultFrom, func() {
		w.publish(func(d *document.Service) { d.Leaves = withLeaving(d.Leaves) })
		w.each(0, func(s *server) { s.out = w.now + outGrace })
	})
}

func withLeaving(leaves []document.Leaf) []document.Leaf {
	out := append([]document.Leaf(nil), leaves...)
	for i := range out {
		out[i].Servers = append([]document.Server(nil), out[i].Servers...)
		out[i].Servers[0].Leaving = true
	}
	return out
}

// move takes data centre 0 out, stops its servers, and brings it back cold.
func move(w *world) {
	w.at(faultFrom, func() {
		w.publish(func(d *document.Service) { d.DataCentresOut = []string{zone(0)} })
		w.inZone(func(s *server) { s.out = w.now + outGrace })
	})
	w.at(faultFrom+outGrace, func() { w.inZone((*server).stop) })
	w.at(outUntil, func() {
		w.inZone(func(s *server) { s.out = 0; s.start() })
		w.publish(func(d *document.Service) { d.DataCentresOut = nil })
	})
}

func (w *world) inZone(do func(*server)) {
	for _, s := range w.order {
		if s.zone == zone(0) {
			do(s)
		}
	}
}

// cut takes a third of the hosts off the platform and their peers, or back.
func (w *world) cut(off bool) {
	for _, h := range w.hosts[:hostCount/3] {
		h.cut = off
		h.learn()
	}
}

// crashQuery offers the query that crashes servers, again and again.
func (w *world) crashQuery() {
	if w.now >= faultUntil {
		return
	}
	w.seq++
	w.submit(&request{poison: true, Request: query.Request{
		ID: "poison", Service: w.names[0], Operation: "normal", Payload: poison,
		Worth: 1, Deadline: w.time().Add(resendAfter),
	}})
	w.after(resendAfter+2*toCaller, w.crashQuery)
}

// snapshotChange publishes a snapshot with another partition map while some
// servers have not loaded it, and takes the old one away later.
func snapshotChange(w *world) {
	const loading = 3 * time.Second
	w.at(faultFrom, func() {
		w.publish(func(d *document.Service) {
			s := snapshot(d, "snap2", "map2", 1, 3)
			w.snapshots[d.Name+"snap2"] = s
			d.Snapshots = append(d.Snapshots[:len(d.Snapshots):len(d.Snapshots)], s)
		})
	})
	for _, s := range w.order {
		ready := faultFrom - time.Second + time.Duration(w.rnd.Int64N(int64(loading)))
		w.at(ready, func() { s.load("snap2") })
		w.at(ready+loading, func() { delete(s.snapshots, "snap1") })
	}
	w.at(faultUntil, func() {
		w.publish(func(d *document.Service) { d.Snapshots = d.Snapshots[1:] })
	})
}

// tell hands a crash suspect to the other hosts.
func (w *world) tell(from *host, s policy.Suspicion) {
	for _, h := range w.hosts {
		if h != from && h.cut == from.cut {
			w.after(suspicionDelay, func() { h.router.LearnSuspicion(w.time(), s) })
		}
	}
}

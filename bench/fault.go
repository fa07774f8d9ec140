package bench

import (
	"time"

	"github.com/figmast/figmast/document"
	"github.com/figmast/figmast/policy"
	"github.com/figmast/figmast/query"
)

// Fault is a fault or change injected into a run.
type Fault struct {
	Name string
	// Begin schedules the fault; it is called before the run starts.
	Begin func(*world)
}

// Times at which faults begin and end.
const (
	faultStart     = 2 * time.Second
	dataCentreBack = 6500 * time.Millisecond
	faultEnd       = 8 * time.Second
	stopWorkBound  = 3 * time.Second // no new work may reach a data centre or server this long after it is taken out
	poisonInterval = 300 * time.Millisecond
)

// The single faults.
var (
	Stragglers          = Fault{"stragglers", func(w *world) { w.hasStragglers = true }}
	ReplicaLoss         = Fault{"replica loss", func(w *world) { w.at(faultStart, func() { w.forSlot(0, (*server).stop) }) }}
	UnreportedColdStart = Fault{"cold turn", func(w *world) {
		w.hidesCold = true
		w.at(faultStart, func() { w.forSlot(1, (*server).turnCold) })
	}}
	FalseLoadReports = Fault{"lying load endpoint", func(w *world) {
		w.misreportsCold = true
		w.at(faultStart, func() { w.forSlot(1, (*server).turnCold) })
	}}
	ServersLeaving = Fault{"servers leaving", publishLeaving}
	DataCentreMove = Fault{"data centre move", moveDataCentre}
	Overload       = Fault{"overload", func(w *world) { w.load = 2 }}
	PlatformDown   = Fault{"platform down", func(w *world) {
		w.at(faultStart, func() { w.platformUp = false })
		w.at(faultEnd, func() { w.platformUp = true })
	}}
	Partition = Fault{"partition of hosts", func(w *world) {
		w.at(faultStart-time.Second, func() { w.setPartitioned(true) })
		w.at(faultEnd, func() { w.setPartitioned(false) })
	}}
	CrashQuery     = Fault{"crashing query", func(w *world) { w.at(faultStart, w.sendCrashQueries) }}
	SnapshotChange = Fault{"snapshot change", changeSnapshot}
)

// FaultCases are the combinations in the table: no fault, single faults and pairs.
var FaultCases = [][]Fault{
	{}, {Stragglers}, {ReplicaLoss}, {UnreportedColdStart}, {FalseLoadReports}, {ServersLeaving}, {DataCentreMove}, {Overload},
	{PlatformDown}, {Partition}, {CrashQuery}, {SnapshotChange},
	{DataCentreMove, Stragglers}, {DataCentreMove, Partition}, {DataCentreMove, CrashQuery}, {UnreportedColdStart, Overload},
	{PlatformDown, ReplicaLoss}, {SnapshotChange, Stragglers}, {SnapshotChange, ReplicaLoss},
}

// affectedOneIn is how many leaves there are for each one that forSlot selects
// at slots above 0.
const affectedOneIn = 5

// forSlot applies a fault to one server of every leaf if the slot is 0, else to
// one server of one leaf in five.
func (w *world) forSlot(slot int, apply func(*server)) {
	leaves := 0
	for _, name := range w.serviceNames {
		for _, l := range w.docs[name].Leaves {
			leaves++
			if slot == 0 || leaves%affectedOneIn == 0 {
				apply(w.servers[l.Servers[slot].ID])
			}
		}
	}
}

func publishLeaving(w *world) {
	w.at(faultStart, func() {
		w.publish(func(d *document.Service) { d.Leaves = withFirstServerLeaving(d.Leaves) })
		w.forSlot(0, func(s *server) { s.noWorkFrom = w.now + stopWorkBound })
	})
}

func withFirstServerLeaving(leaves []document.Leaf) []document.Leaf {
	out := append([]document.Leaf(nil), leaves...)
	for i := range out {
		out[i].Servers = append([]document.Server(nil), out[i].Servers...)
		out[i].Servers[0].Leaving = true
	}
	return out
}

// moveDataCentre takes data centre 0 out, stops its servers and later starts them
// again cold.
func moveDataCentre(w *world) {
	w.at(faultStart, func() {
		w.publish(func(d *document.Service) { d.DataCentresOut = []string{dataCentreName(0)} })
		w.forDataCentre0(func(s *server) { s.noWorkFrom = w.now + stopWorkBound })
	})
	w.at(faultStart+stopWorkBound, func() { w.forDataCentre0((*server).stop) })
	w.at(dataCentreBack, func() {
		w.forDataCentre0(func(s *server) { s.noWorkFrom = 0; s.start() })
		w.publish(func(d *document.Service) { d.DataCentresOut = nil })
	})
}

func (w *world) forDataCentre0(do func(*server)) {
	for _, s := range w.serverList {
		if s.dataCentre == dataCentreName(0) {
			do(s)
		}
	}
}

// setPartitioned cuts a third of the hosts off from the platform and the other
// hosts, or reconnects them.
func (w *world) setPartitioned(partitioned bool) {
	for _, h := range w.hosts[:hostCount/3] {
		h.partitioned = partitioned
		h.loadDocuments()
	}
}

// sendCrashQueries keeps sending the query that crashes servers until the fault
// ends.
func (w *world) sendCrashQueries() {
	if w.now >= faultEnd {
		return
	}
	w.seq++
	w.submit(&request{poison: true, Request: query.Request{
		ID: "poison", Service: w.serviceNames[0], Operation: "normal", Payload: poisonPayload,
		Worth: 1, Deadline: w.time().Add(poisonInterval),
	}})
	w.after(poisonInterval+2*callerLatency, w.sendCrashQueries)
}

// changeSnapshot publishes a snapshot with another partition map before all
// servers have loaded it, and later removes the old snapshot.
func changeSnapshot(w *world) {
	const maxLoadTime = 3 * time.Second
	w.at(faultStart, func() {
		w.publish(func(d *document.Service) {
			s := newSnapshot(d, "snap2", "map2", 1, 3)
			w.snapshots[d.Name+"snap2"] = s
			d.Snapshots = append(d.Snapshots[:len(d.Snapshots):len(d.Snapshots)], s)
		})
	})
	for _, s := range w.serverList {
		loaded := faultStart - time.Second + time.Duration(w.rnd.Int64N(int64(maxLoadTime)))
		w.at(loaded, func() { s.loadSnapshot("snap2") })
		w.at(loaded+maxLoadTime, func() { delete(s.snapshots, "snap1") })
	}
	w.at(faultEnd, func() {
		w.publish(func(d *document.Service) { d.Snapshots = d.Snapshots[1:] })
	})
}

// shareSuspicion sends a crash suspicion to the hosts on the same side of the
// partition.
func (w *world) shareSuspicion(from *host, s policy.Suspicion) {
	for _, h := range w.hosts {
		if h != from && h.partitioned == from.partitioned {
			w.after(suspicionDelay, func() { h.router.AddSuspicion(w.time(), s) })
		}
	}
}

package bench

import (
	"bytes"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	figmast "github.com/figmast/figmast"
	"github.com/figmast/figmast/document"
	"github.com/figmast/figmast/query"
)

// Policy selects the algorithm that the hosts use to route queries.
type Policy string

// Policies: the query tier's own, and the baselines to compare it with.
const (
	Figmast       Policy = "figmast"
	RandomReplica Policy = "random"
	FixedHedge    Policy = "fixed hedge"
)

// Config describes one run.
type Config struct {
	Workload Workload
	Policy   Policy
	Faults   []Fault
	Seed     uint64
	// Load is the offered load as a share of the capacity of all backend servers.
	Load float64
	// Length is the measured virtual time, after the warm-up.
	Length time.Duration
}

// Name returns "workload/faults/policy".
func (c Config) Name() string {
	return c.Workload.Name + "/" + c.faultNames() + "/" + string(c.Policy)
}

func (c Config) faultNames() string {
	if len(c.Faults) == 0 {
		return "none"
	}
	var names []string
	for _, f := range c.Faults {
		names = append(names, f.Name)
	}
	return strings.Join(names, " + ")
}

// Result holds the figures of one run. Shares are between 0 and 1.
type Result struct {
	Workload, Fault string
	Policy          Policy
	// P50, P99 and P999 are quantiles of the latency of answered queries as
	// seen by callers, in milliseconds.
	P50, P99, P999 float64
	// Coverage is the mean coverage of answered queries.
	Coverage float64
	// Extra is the share of leaf calls beyond the first for each leaf, such as
	// hedges and retries, over the queries that sent any call.
	Extra float64
	// Worth and Urgent are the worth answered divided by the worth offered, for
	// all queries and for urgent ones.
	Worth, Urgent float64
	// Goodput is the rate of leaf results that reached an answer, divided by the
	// capacity of all backend servers.
	Goodput float64
	// Calls counts the query calls that reached backend servers. LateCalls
	// counts calls that reached a server more than 3 s after it was marked as
	// leaving or its data centre was taken out.
	Calls, LateCalls int
	// ColdExcess is the largest number of calls that a cold server held beyond
	// its allowance. Calls that it accepted before it turned cold do not count.
	ColdExcess int
	// Crashes counts the crashes of backend servers.
	Crashes int
	// Untrue counts incorrect outcomes: answers that mix snapshots, overstate
	// their coverage or arrive after the deadline, and refusals that report
	// not run although a backend server accepted the query or ran the command.
	Untrue int
	// Commands and CommandsAnswered count commands offered and answered;
	// Doubled counts repeated executions of the same command.
	Commands, CommandsAnswered, Doubled int
	// Reasons counts, by reason, the queries without an answer and the leaves
	// missing from answers.
	Reasons map[string]int

	offered, answered        [2]float64 // worth of all queries, worth of urgent ones
	latencies                []float64
	coverage                 float64
	neededCalls, usefulCalls int
	buckets                  []bucket
}

// bucket holds the figures of one time slice of bucketLength.
type bucket struct {
	offered, answered float64
	calls             int // calls that reached data centre 0
}

const bucketLength = 250 * time.Millisecond

// warmUp is the virtual time that passes before measuring starts.
const warmUp = time.Second

// request is one query of a caller and what happened to it.
type request struct {
	query.Request
	host          *host
	sentAt        time.Duration
	resent        bool
	reachedServer bool // a call for it reached a backend server
	accepted      bool // a backend server queued a call for it
	poison        bool
}

// Run simulates one run and returns its figures.
func Run(c Config) Result {
	w := newWorld(c)
	w.result.buckets = make([]bucket, int((warmUp+c.Length)/bucketLength)+1)
	for _, f := range c.Faults {
		f.Begin(w)
	}
	for _, name := range w.serviceNames {
		w.scheduleArrivals(name)
	}
	w.offerCommands()
	w.runUntil(warmUp + c.Length + drainTime)
	w.result.Workload, w.result.Policy, w.result.Fault = c.Workload.Name, c.Policy, c.faultNames()
	w.summarize()
	return *w.result
}

// distinctPayloads is the number of different query payloads that callers send.
const distinctPayloads = 1000

// drainTime is simulated after the last arrival so that open queries can end.
const drainTime = 3 * time.Second

// scheduleArrivals offers queries to the service as a Poisson process.
func (w *world) scheduleArrivals(service string) {
	if w.now >= warmUp+w.config.Length {
		return
	}
	slots := len(w.docs[service].Leaves[0].Servers)
	rate := w.load * workers * float64(slots) / serviceTime.Seconds()
	w.after(time.Duration(w.rnd.ExpFloat64()/rate*float64(time.Second)), func() {
		w.offerQuery(service, w.pickOperation())
		w.scheduleArrivals(service)
	})
}

func (w *world) pickOperation() document.Operation {
	x := w.rnd.Float64()
	for _, o := range operations {
		if x -= o.share; x < 0 {
			return o.Operation
		}
	}
	return operations[0].Operation
}

func (w *world) offerQuery(service string, o document.Operation) {
	w.seq++
	r := &request{sentAt: w.now, Request: query.Request{
		ID: fmt.Sprintf("r%d", w.seq), Service: service, Operation: o.Name, Payload: fmt.Appendf(nil, "%d", w.rnd.IntN(distinctPayloads)),
		Urgency: o.Urgency, Worth: o.Worth, Deadline: w.time().Add(o.Deadline.Std()),
	}}
	if w.now >= warmUp {
		w.result.offered[0] += o.Worth
		w.bucket(r.sentAt).offered += o.Worth
		if o.Urgency == figmast.Urgent {
			w.result.offered[1] += o.Worth
		}
	}
	w.submit(r)
}

// submit sends the query to a host picked by the load balancer.
func (w *world) submit(r *request) {
	r.host = w.pickHost()
	w.openQueries[r.ID] = r
	w.after(callerLatency, func() { r.host.startQuery(r) })
}

// pickHost returns a random host, preferring those that were ready at the load
// balancer's last check.
func (w *world) pickHost() *host {
	h := w.hosts[w.rnd.IntN(len(w.hosts))]
	for range 2 * len(w.hosts) {
		if h.ready {
			break
		}
		h = w.hosts[w.rnd.IntN(len(w.hosts))]
	}
	return h
}

func (w *world) bucket(at time.Duration) *bucket {
	return &w.result.buckets[min(int(at/bucketLength), len(w.result.buckets)-1)]
}

// recordArrival records a call that reached a backend server.
func (w *world) recordArrival(c *call) {
	if !c.send.Command {
		w.result.Calls++
	}
	if c.server.dataCentre == dataCentreName(0) {
		w.bucket(w.now).calls++
	}
	if r := w.openQueries[c.send.RequestID]; r != nil {
		r.reachedServer = true
	}
	if c.server.noWorkFrom > 0 && w.now >= c.server.noWorkFrom {
		w.result.LateCalls++
	}
}

// finishQuery records the outcome that the caller sees. A caller resends a query
// once if its host refused it because of a stale view.
func (w *world) finishQuery(r *request, f query.Finish) {
	delete(w.openQueries, r.ID)
	if f.Answer != nil {
		w.recordAnswer(r, f.Answer)
		return
	}
	if f.Problem.Outcome == figmast.NotRun && r.accepted {
		w.result.Untrue++
	}
	if r.reachedServer {
		w.result.neededCalls += len(w.docs[r.Service].Leaves)
	}
	w.result.Reasons[f.Problem.Step+": "+f.Problem.Detail]++
	if f.Problem.Detail == "stale_view" && !r.resent {
		r.resent = true
		w.submit(r)
	}
}

func (w *world) recordAnswer(r *request, ans *figmast.QueryAnswer) {
	leaves := len(w.docs[r.Service].Leaves)
	w.result.neededCalls += leaves
	if !w.isCorrect(r, ans) {
		w.result.Untrue++
	}
	if r.sentAt < warmUp || r.poison {
		return
	}
	res := w.result
	for _, m := range ans.Missing {
		res.Reasons["missing: "+m.Reason]++
	}
	res.usefulCalls += len(ans.Results)
	res.answered[0] += r.Worth
	w.bucket(r.sentAt).answered += r.Worth
	if r.Urgency == figmast.Urgent {
		res.answered[1] += r.Worth
	}
	res.coverage += ans.Coverage
	res.latencies = append(res.latencies, float64(w.now-r.sentAt)/float64(time.Millisecond))
}

// isCorrect reports whether an answer is in time, holds the results of one
// snapshot, each leaf once, and does not overstate its coverage.
func (w *world) isCorrect(r *request, ans *figmast.QueryAnswer) bool {
	if w.time().After(r.Deadline.Add(callerLatency)) {
		return false
	}
	seen := make(map[string]bool, len(ans.Results))
	for _, part := range ans.Results {
		if seen[part.Leaf] || !bytes.Equal(part.Result, leafAnswer(part.Leaf, ans.Snapshot)) {
			return false
		}
		seen[part.Leaf] = true
	}
	var total, got uint64
	for _, x := range w.snapshots[r.Service+ans.Snapshot].Weights {
		total += x.Weight
		if seen[x.Leaf] {
			got += x.Weight
		}
	}
	return total > 0 && ans.Coverage <= float64(got)/float64(total)
}

func (w *world) summarize() {
	r := w.result
	slices.Sort(r.latencies)
	r.P50, r.P99, r.P999 = quantile(r.latencies, 0.5), quantile(r.latencies, 0.99), quantile(r.latencies, 0.999)
	r.Coverage = r.coverage / float64(max(len(r.latencies), 1))
	r.Extra = float64(r.Calls)/float64(max(r.neededCalls, 1)) - 1
	r.Worth, r.Urgent = r.answered[0]/r.offered[0], r.answered[1]/r.offered[1]
	capacity := float64(len(w.serverList)*workers) / serviceTime.Seconds()
	r.Goodput = float64(r.usefulCalls) / capacity / w.config.Length.Seconds()
}

// quantile returns the q-quantile of the sorted list, or NaN if it is empty.
func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return math.NaN()
	}
	return sorted[int(q*float64(len(sorted)-1))]
}

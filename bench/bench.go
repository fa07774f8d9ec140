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

// Policy is what decides on the hosts.
type Policy string

// Policies: the query tier's own, and the baselines that it must beat.
const (
	Figmast       Policy = "figmast"
	RandomReplica Policy = "random"
	FixedHedge    Policy = "fixed hedge"
)

// Config is one run of the bench.
type Config struct {
	Workload Workload
	Policy   Policy
	Faults   []Fault
	Seed     uint64
	// Load is the work offered, as a share of all backend servers' capacity.
	Load float64
	// Length of the run in virtual time, after a warm-up.
	Length time.Duration
}

// Name names the run.
func (c Config) Name() string {
	return c.Workload.Name + "/" + c.fault() + "/" + string(c.Policy)
}

func (c Config) fault() string {
	if len(c.Faults) == 0 {
		return "none"
	}
	var names []string
	for _, f := range c.Faults {
		names = append(names, f.Name)
	}
	return strings.Join(names, " + ")
}

// Result is what one run measured. Shares are in 0 to 1.
type Result struct {
	Workload, Fault string
	Policy          Policy
	// Latency of answered queries as their callers see it, in milliseconds.
	P50, P99, P999 float64
	// Coverage is the mean over answered queries.
	Coverage float64
	// Extra is the leaf calls beyond one for each leaf of a query that sent any.
	Extra float64
	// Worth and Urgent are answered against offered, of all and of urgent queries.
	Worth, Urgent float64
	// Goodput is the leaf calls in answers against the capacity of all servers.
	Goodput float64
	// Calls that reached backend servers; LateCalls of them were new work for
	// a data centre out or a server leaving for 3 s.
	Calls, LateCalls int
	// ColdExcess is the most work that a cold server had above its allowance.
	ColdExcess int
	// Crashes of backend servers.
	Crashes int
	// Untrue counts answers of mixed snapshots or overstated coverage,
	// refusals that wrongly say not run, and answers after the deadline.
	Untrue int
	// Commands offered and answered, and Doubled runs of one command.
	Commands, CommandsAnswered, Doubled int
	// Reasons count the queries without an answer and the leaves missing from
	// answers.
	Reasons map[string]int

	offered, answered [2]float64 // all and urgent
	latencies         []float64
	coverage          float64
	needed, useful    int
	buckets           []bucket
}

// bucket is what happened in a short span of time.
type bucket struct {
	offered, answered float64
	calls             int // that reached data centre 0
}

const bucketLength = 250 * time.Millisecond

// warmUp is virtual time before anything is measured.
const warmUp = time.Second

// request is one query of a caller.
type request struct {
	query.Request
	host   *host
	sentAt time.Duration
	resent bool
	sent   bool // a call of it reached a backend server
	ran    bool // and was taken by it
	poison bool
}

// Run carries out one run.
func Run(c Config) Result {
	w := newWorld(c)
	w.result.buckets = make([]bucket, int((warmUp+c.Length)/bucketLength)+1)
	for _, f := range c.Faults {
		f.Begin(w)
	}
	for _, name := range w.names {
		w.arrivals(name)
	}
	w.orders()
	w.run(warmUp + c.Length + drainTime)
	w.result.Workload, w.result.Policy, w.result.Fault = c.Workload.Name, c.Policy, c.fault()
	w.summarize()
	return *w.result
}

// payloads is how many different queries callers send for one operation.
const payloads = 1000

// drainTime lets the last queries end.
const drainTime = 3 * time.Second

// arrivals offers the service's queries, in a Poisson process.
func (w *world) arrivals(service string) {
	if w.now >= warmUp+w.config.Length {
		return
	}
	slots := len(w.docs[service].Leaves[0].Servers)
	rate := w.load * workers * float64(slots) / serviceTime.Seconds()
	w.after(time.Duration(w.rnd.ExpFloat64()/rate*float64(time.Second)), func() {
		w.offer(service, w.operation())
		w.arrivals(service)
	})
}

func (w *world) operation() document.Operation {
	x := w.rnd.Float64()
	for _, o := range operations {
		if x -= o.part; x < 0 {
			return o.Operation
		}
	}
	return operations[0].Operation
}

func (w *world) offer(service string, o document.Operation) {
	w.seq++
	r := &request{sentAt: w.now, Request: query.Request{
		ID: fmt.Sprintf("r%d", w.seq), Service: service, Operation: o.Name, Payload: fmt.Appendf(nil, "%d", w.rnd.IntN(payloads)),
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

// submit sends the query to the host that the balancer picks.
func (w *world) submit(r *request) {
	r.host = w.balance()
	w.open[r.ID] = r
	w.after(toCaller, func() { r.host.start(r) })
}

// balance picks a host that was ready when the balancer last asked.
func (w *world) balance() *host {
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

// count records a call that reached a backend server.
func (w *world) count(c *call) {
	if !c.send.Command {
		w.result.Calls++
	}
	if c.server.zone == zone(0) {
		w.bucket(w.now).calls++
	}
	if r := w.open[c.send.RequestID]; r != nil {
		r.sent = true
	}
	if c.server.out > 0 && w.now >= c.server.out {
		w.result.LateCalls++
	}
}

// finished is what the caller sees.
func (w *world) finished(r *request, f query.Finish) {
	delete(w.open, r.ID)
	if f.Answer != nil {
		w.answered(r, f.Answer)
		return
	}
	if f.Problem.Outcome == figmast.NotRun && r.ran {
		w.result.Untrue++
	}
	if r.sent {
		w.result.needed += len(w.docs[r.Service].Leaves)
	}
	w.result.Reasons[f.Problem.Step+": "+f.Problem.Detail]++
	if f.Problem.Detail == "stale_view" && !r.resent {
		r.resent = true
		w.submit(r)
	}
}

func (w *world) answered(r *request, ans *figmast.QueryAnswer) {
	leaves := len(w.docs[r.Service].Leaves)
	w.result.needed += leaves
	if !w.true(r, ans) {
		w.result.Untrue++
	}
	if r.sentAt < warmUp || r.poison {
		return
	}
	res := w.result
	for _, m := range ans.Missing {
		res.Reasons["missing: "+m.Reason]++
	}
	res.useful += len(ans.Results)
	res.answered[0] += r.Worth
	w.bucket(r.sentAt).answered += r.Worth
	if r.Urgency == figmast.Urgent {
		res.answered[1] += r.Worth
	}
	res.coverage += ans.Coverage
	res.latencies = append(res.latencies, float64(w.now-r.sentAt)/float64(time.Millisecond))
}

// true checks an answer against what the backend servers gave.
func (w *world) true(r *request, ans *figmast.QueryAnswer) bool {
	if w.time().After(r.Deadline.Add(toCaller)) {
		return false
	}
	seen := make(map[string]bool, len(ans.Results))
	for _, part := range ans.Results {
		if seen[part.Leaf] || !bytes.Equal(part.Result, body(part.Leaf, ans.Snapshot)) {
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
	r.Extra = float64(r.Calls)/float64(max(r.needed, 1)) - 1
	r.Worth, r.Urgent = r.answered[0]/r.offered[0], r.answered[1]/r.offered[1]
	capacity := float64(len(w.order)*workers) / serviceTime.Seconds()
	r.Goodput = float64(r.useful) / capacity / w.config.Length.Seconds()
}

// quantile returns the value that the share q of the sorted list is not above.
func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return math.NaN()
	}
	return sorted[int(q*float64(len(sorted)-1))]
}

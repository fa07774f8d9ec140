package daemon

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"

	figmast "github.com/figmast/figmast"
	"github.com/figmast/figmast/decision"
	"github.com/figmast/figmast/document"
	"github.com/figmast/figmast/leafcall"
	"github.com/figmast/figmast/timeline"
	"github.com/figmast/figmast/traffic"
	"github.com/figmast/figmast/view"
)

// firstCallsKept is how many first leaf calls of one batch of decisions go
// into the time line; a wide query makes as many as the service has leaves.
const firstCallsKept = 4

// recorder turns what the Runner reports into metrics, events and logs.
type recorder struct {
	set    *metrics.Set
	events *timeline.Ring
	log    *log.Logger
	sample *sampler
	// view returns the view in force, or nil.
	view func() *view.View

	calls     [len(callStatuses)]*metrics.Counter
	coldCalls *metrics.Counter
	services  sync.Map // of string to *serviceMetrics
	decisions sync.Map // of decision.Kind to *metrics.Counter
}

// callStatuses names leafcall.Status for metrics and events.
var callStatuses = [...]string{
	leafcall.OK: "ok", leafcall.Shed: "shed", leafcall.SnapshotGone: "snapshot_gone",
	leafcall.Rejected: "rejected", leafcall.NotSent: "not_sent", leafcall.Broken: "broken",
	leafcall.Timeout: "timeout", leafcall.Cancelled: "cancelled", leafcall.Mismatch: "mismatch",
}

// serviceMetrics are what is measured for each service.
type serviceMetrics struct {
	calls *metrics.Histogram
	// mean is a moving mean of the calls' time in nanoseconds. A sample that
	// two calls write over each other does no harm.
	mean atomic.Int64
}

// meanWeight is the divisor of a new sample's step towards it.
const meanWeight = 64

func (m *serviceMetrics) add(took time.Duration) {
	mean := m.mean.Load()
	if mean == 0 {
		m.mean.Store(int64(took))
		return
	}
	m.mean.Store(mean + (int64(took)-mean)/meanWeight)
}

func newRecorder(set *metrics.Set, events *timeline.Ring, logger *log.Logger) *recorder {
	r := &recorder{set: set, events: events, log: logger, sample: newSampler(time.Now), coldCalls: set.NewCounter("figmast_leaf_calls_cold_total")}
	for i, name := range callStatuses {
		r.calls[i] = set.NewCounter(fmt.Sprintf(`figmast_leaf_calls_total{status=%q}`, name))
	}
	set.NewGauge("figmast_timeline_sampling", func() float64 { return float64(r.sample.oneIn()) })
	return r
}

// Started implements traffic.Recorder.
func (r *recorder) Started(s traffic.Start) {
	if !r.sample.keep(s.Request) {
		return
	}
	detail := s.Operation
	if s.Forwarded {
		detail += ", forwarded by a peer"
	}
	r.add(timeline.Event{Kind: timeline.RequestStarted, Service: s.Service, Request: s.Request, Detail: detail})
}

// Decided implements traffic.Recorder.
func (r *recorder) Decided(list []decision.Decision) {
	first := 0
	for i := range list {
		d := &list[i]
		r.decisionCounter(d.Kind).Inc()
		if d.Kind == decision.Sent {
			first++
			if first > firstCallsKept {
				continue
			}
		}
		if r.sample.keep(d.Request) {
			r.add(timeline.Event{
				Kind: timeline.Kind(d.Kind), Service: d.Service, Request: d.Request,
				Leaf: d.Leaf, Server: d.Server, Detail: d.Reason,
			})
		}
	}
	if first > firstCallsKept && r.sample.keep(list[0].Request) {
		r.add(timeline.Event{
			Kind: timeline.CallSent, Service: list[0].Service, Request: list[0].Request,
			Detail: fmt.Sprintf("%d more first calls", first-firstCallsKept),
		})
	}
}

func (r *recorder) decisionCounter(k decision.Kind) *metrics.Counter {
	if c, ok := r.decisions.Load(k); ok {
		return c.(*metrics.Counter)
	}
	c := r.set.GetOrCreateCounter(fmt.Sprintf(`figmast_decisions_total{kind=%q}`, string(k)))
	r.decisions.Store(k, c)
	return c
}

// CallEnded implements traffic.Recorder.
func (r *recorder) CallEnded(s leafcall.Send, res leafcall.Result, took time.Duration) {
	if res.Status < 0 || int(res.Status) >= len(callStatuses) {
		res.Status = leafcall.Broken // a peer of another release relayed it
	}
	r.calls[res.Status].Inc()
	m := r.service(s.Server.Service)
	m.calls.Update(took.Seconds())
	m.add(took)
	if res.Cold {
		r.coldCalls.Inc()
	}
	if res.Status == leafcall.OK && !res.Cold && !r.noteworthy(s.Server.Service, took) {
		return
	}
	if r.log.GetLevel() <= log.DebugLevel && res.Err != nil {
		r.log.Debug("leaf call failed", append(origin(res.Err), "request", s.RequestID, "status", callStatuses[res.Status])...)
	}
	if r.sample.keep(s.RequestID) {
		r.add(callEvent(s, res, took))
	}
}

// Which answered leaf calls go into the time line: all of a narrow service's,
// and of a wide one those that are slow against its mean.
const (
	narrowLeaves = 8
	slowFactor   = 3
)

func (r *recorder) noteworthy(service string, took time.Duration) bool {
	if v := r.view(); v != nil && v.Services[service] != nil && len(v.Services[service].Leaves) <= narrowLeaves {
		return true
	}
	return took > slowFactor*time.Duration(r.service(service).mean.Load())
}

func callEvent(s leafcall.Send, res leafcall.Result, took time.Duration) timeline.Event {
	detail := callStatuses[res.Status] + " after " + took.Round(10*time.Microsecond).String()
	if res.Cold {
		detail += ", server cold"
	}
	if res.Err != nil {
		detail += ": " + res.Err.Error()
	}
	kind := timeline.CallEnded
	if res.Status == leafcall.Cancelled {
		kind = timeline.CallCancelled
	}
	return timeline.Event{
		Kind: kind, Service: s.Server.Service, Request: s.RequestID,
		Leaf: s.Server.Leaf, Server: s.Server.ID, Peer: s.Via.ID, Detail: detail,
	}
}

func (r *recorder) service(name string) *serviceMetrics {
	if m, ok := r.services.Load(name); ok {
		return m.(*serviceMetrics)
	}
	m := &serviceMetrics{calls: r.set.GetOrCreateHistogram(fmt.Sprintf(`figmast_leaf_call_duration_seconds{service=%q}`, name))}
	r.services.Store(name, m)
	return m
}

// Ended implements traffic.Recorder.
func (r *recorder) Ended(e traffic.End) {
	outcome := outcomeOf(e)
	labels := fmt.Sprintf(`service=%q,kind=%q`, e.Service, string(e.Kind))
	r.set.GetOrCreateCounter(fmt.Sprintf(`figmast_requests_total{%s,outcome=%q}`, labels, outcome)).Inc()
	r.set.GetOrCreateHistogram(fmt.Sprintf(`figmast_request_duration_seconds{%s}`, labels)).Update(e.Took.Seconds())
	if e.Answered && e.Coverage > 0 && e.Coverage < 1 {
		r.set.GetOrCreateCounter(fmt.Sprintf(`figmast_partial_answers_total{service=%q}`, e.Service)).Inc()
	}
	if e.Problem != nil {
		r.refused(e)
	}
	if r.sample.keep(e.Request) || e.Problem != nil {
		r.add(timeline.Event{Kind: timeline.RequestEnded, Service: e.Service, Request: e.Request, Detail: endDetail(e, outcome)})
	}
}

func (r *recorder) refused(e traffic.End) {
	p := e.Problem
	r.set.GetOrCreateCounter(fmt.Sprintf(`figmast_refusals_total{service=%q,step=%q,title=%q}`, e.Service, p.Step, p.Title)).Inc()
	level := log.DebugLevel
	if p.Outcome == figmast.Unknown && e.Kind == document.Command {
		level = log.WarnLevel
	}
	r.log.Log(level, "request refused", "request", e.Request, "service", e.Service, "step", p.Step, "peer", p.Peer,
		"title", p.Title, "detail", p.Detail, "outcome", p.Outcome)
}

func (r *recorder) add(e timeline.Event) {
	if e.Request != "" {
		r.sample.count()
	}
	r.events.Add(e)
}

// callerGone is the outcome of a request whose caller went away.
const callerGone = "caller_gone"

func outcomeOf(e traffic.End) string {
	switch {
	case e.Answered:
		return "answered"
	case e.Problem == nil:
		return callerGone
	case e.Problem.Outcome == "":
		return string(figmast.Unknown)
	default:
		return string(e.Problem.Outcome)
	}
}

func endDetail(e traffic.End, outcome string) string {
	text := outcome + " after " + e.Took.Round(10*time.Microsecond).String()
	if e.Coverage > 0 {
		text += fmt.Sprintf(", coverage %.4f", e.Coverage)
	}
	if p := e.Problem; p != nil {
		text += fmt.Sprintf(": %d %s (%s, step %s)", p.Status, p.Title, p.Detail, p.Step)
	}
	return text
}

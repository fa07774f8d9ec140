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

// maxFirstCalls is how many first leaf calls of one batch of decisions are
// recorded in the timeline one by one. A query makes as many as the service has
// leaves; one event counts the rest.
const maxFirstCalls = 4

// recorder implements traffic.Recorder. It turns the Runner's reports into
// metrics, timeline events and log lines.
type recorder struct {
	metricSet *metrics.Set
	events    *timeline.Ring
	log       *log.Logger
	sampler   *sampler
	// view returns the view in force, or nil if there is none yet.
	view func() *view.View

	calls     [len(callStatuses)]*metrics.Counter
	coldCalls *metrics.Counter
	services  sync.Map // of string to *serviceMetrics
	decisions sync.Map // of decision.Kind to *metrics.Counter
}

// callStatuses are the names of leafcall.Status in metrics and events.
var callStatuses = [...]string{
	leafcall.OK: "ok", leafcall.Shed: "shed", leafcall.SnapshotGone: "snapshot_gone",
	leafcall.Rejected: "rejected", leafcall.NotSent: "not_sent", leafcall.Broken: "broken",
	leafcall.Timeout: "timeout", leafcall.Cancelled: "cancelled", leafcall.Mismatch: "mismatch",
}

// serviceMetrics holds the measurements of the leaf calls of one service.
type serviceMetrics struct {
	calls *metrics.Histogram
	// mean is an exponential moving average of the duration of calls, in
	// nanoseconds. Concurrent updates may lose a sample, which is harmless.
	mean atomic.Int64
}

// meanDivisor divides the difference between a new sample and the mean; the
// quotient is added to the mean.
const meanDivisor = 64

func (m *serviceMetrics) addSample(took time.Duration) {
	mean := m.mean.Load()
	if mean == 0 {
		m.mean.Store(int64(took))
		return
	}
	m.mean.Store(mean + (int64(took)-mean)/meanDivisor)
}

func newRecorder(metricSet *metrics.Set, events *timeline.Ring, logger *log.Logger) *recorder {
	r := &recorder{metricSet: metricSet, events: events, log: logger, sampler: newSampler(time.Now), coldCalls: metricSet.NewCounter("figmast_leaf_calls_cold_total")}
	for i, name := range callStatuses {
		r.calls[i] = metricSet.NewCounter(fmt.Sprintf(`figmast_leaf_calls_total{status=%q}`, name))
	}
	metricSet.NewGauge("figmast_timeline_sampling", func() float64 { return float64(r.sampler.samplingFactor()) })
	return r
}

// Started implements traffic.Recorder.
func (r *recorder) Started(s traffic.Start) {
	if !r.sampler.keep(s.Request) {
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
	firstCalls := 0
	for i := range list {
		d := &list[i]
		r.decisionCounter(d.Kind).Inc()
		if d.Kind == decision.Sent {
			firstCalls++
			if firstCalls > maxFirstCalls {
				continue
			}
		}
		if r.sampler.keep(d.Request) {
			r.add(timeline.Event{
				Kind: timeline.Kind(d.Kind), Service: d.Service, Request: d.Request,
				Leaf: d.Leaf, Server: d.Server, Detail: d.Reason,
			})
		}
	}
	if firstCalls > maxFirstCalls && r.sampler.keep(list[0].Request) {
		r.add(timeline.Event{
			Kind: timeline.CallSent, Service: list[0].Service, Request: list[0].Request,
			Detail: fmt.Sprintf("%d more first calls", firstCalls-maxFirstCalls),
		})
	}
}

func (r *recorder) decisionCounter(k decision.Kind) *metrics.Counter {
	if c, ok := r.decisions.Load(k); ok {
		return c.(*metrics.Counter)
	}
	c := r.metricSet.GetOrCreateCounter(fmt.Sprintf(`figmast_decisions_total{kind=%q}`, string(k)))
	r.decisions.Store(k, c)
	return c
}

// CallEnded implements traffic.Recorder.
func (r *recorder) CallEnded(s leafcall.Send, res leafcall.Result, took time.Duration) {
	if res.Status < 0 || int(res.Status) >= len(callStatuses) {
		res.Status = leafcall.Broken // an unknown status, relayed by a peer of another release
	}
	r.calls[res.Status].Inc()
	m := r.serviceMetrics(s.Server.Service)
	m.calls.Update(took.Seconds())
	m.addSample(took)
	if res.Cold {
		r.coldCalls.Inc()
	}
	if res.Status == leafcall.OK && !res.Cold && !r.isNoteworthy(s.Server.Service, took) {
		return
	}
	if r.log.GetLevel() <= log.DebugLevel && res.Err != nil {
		r.log.Debug("leaf call failed", append(errorFields(res.Err), "request", s.RequestID, "status", callStatuses[res.Status])...)
	}
	if r.sampler.keep(s.RequestID) {
		r.add(callEvent(s, res, took))
	}
}

// The timeline records every answered leaf call of a service with at most
// maxNarrowLeaves leaves. Of a service with more leaves it records only the calls
// that took longer than slowFactor times the mean.
const (
	maxNarrowLeaves = 8
	slowFactor      = 3
)

func (r *recorder) isNoteworthy(service string, took time.Duration) bool {
	if v := r.view(); v != nil && v.Services[service] != nil && len(v.Services[service].Leaves) <= maxNarrowLeaves {
		return true
	}
	return took > slowFactor*time.Duration(r.serviceMetrics(service).mean.Load())
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

func (r *recorder) serviceMetrics(name string) *serviceMetrics {
	if m, ok := r.services.Load(name); ok {
		return m.(*serviceMetrics)
	}
	m := &serviceMetrics{calls: r.metricSet.GetOrCreateHistogram(fmt.Sprintf(`figmast_leaf_call_duration_seconds{service=%q}`, name))}
	r.services.Store(name, m)
	return m
}

// Ended implements traffic.Recorder.
func (r *recorder) Ended(e traffic.End) {
	outcome := outcomeOf(e)
	labels := fmt.Sprintf(`service=%q,kind=%q`, e.Service, string(e.Kind))
	r.metricSet.GetOrCreateCounter(fmt.Sprintf(`figmast_requests_total{%s,outcome=%q}`, labels, outcome)).Inc()
	r.metricSet.GetOrCreateHistogram(fmt.Sprintf(`figmast_request_duration_seconds{%s}`, labels)).Update(e.Took.Seconds())
	if e.Answered && e.Coverage > 0 && e.Coverage < 1 {
		r.metricSet.GetOrCreateCounter(fmt.Sprintf(`figmast_partial_answers_total{service=%q}`, e.Service)).Inc()
	}
	if e.Problem != nil {
		r.recordProblem(e)
	}
	if r.sampler.keep(e.Request) || e.Problem != nil {
		r.add(timeline.Event{Kind: timeline.RequestEnded, Service: e.Service, Request: e.Request, Detail: endDetail(e, outcome)})
	}
}

func (r *recorder) recordProblem(e traffic.End) {
	p := e.Problem
	r.metricSet.GetOrCreateCounter(fmt.Sprintf(`figmast_refusals_total{service=%q,step=%q,title=%q}`, e.Service, p.Step, p.Title)).Inc()
	level := log.DebugLevel
	if p.Outcome == figmast.Unknown && e.Kind == document.Command {
		level = log.WarnLevel
	}
	r.log.Log(level, "request refused", "request", e.Request, "service", e.Service, "step", p.Step, "peer", p.Peer,
		"title", p.Title, "detail", p.Detail, "outcome", p.Outcome)
}

func (r *recorder) add(e timeline.Event) {
	if e.Request != "" {
		r.sampler.countEvent()
	}
	r.events.Add(e)
}

// callerGone is the outcome of a request whose caller has disconnected.
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

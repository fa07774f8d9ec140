package gateway

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/figmast/figmast/crash"
	"github.com/figmast/figmast/forward"
	"github.com/figmast/figmast/handover"
	"github.com/figmast/figmast/route"
)

// outcomeNames maps call outcomes to their metric labels.
var outcomeNames = map[forward.Outcome]string{
	forward.Answered: "answered", forward.NotRun: "not_run", forward.NotSent: "not_sent",
	forward.Broken: "broken", forward.TimedOut: "timed_out", forward.Cancelled: "given_up",
}

// hostMetrics holds the metrics of a host.
type hostMetrics struct {
	set           *metrics.Set
	calls         map[forward.Outcome]*metrics.Counter
	callDurations *metrics.Histogram
	// crashesFound counts the servers that this host found crashed by a
	// request. checksRefused and checksAccepted count the connection checks
	// after broken calls.
	crashesFound                  *metrics.Counter
	checksRefused, checksAccepted *metrics.Counter
	// lastResortCalls counts calls to leaving servers. leavingNotices and
	// backoffNotices count the responses that announce leaving or ask this host
	// to back off.
	lastResortCalls, leavingNotices, backoffNotices *metrics.Counter
	// limitNotices counts the responses that name a request limit, limitFaults
	// those with an invalid one.
	limitNotices, limitFaults *metrics.Counter
	// reach is the state of the host's reach. handovers counts the handovers by
	// their result, probesReached and probesFailed the probes of servers.
	reach                       atomic.Int64
	handovers                   map[handover.Result]*metrics.Counter
	probesReached, probesFailed *metrics.Counter
	// connectionsEvicted counts callers' connections that were closed to make room,
	// connectionsRefused those that were not taken. bodiesRefused counts requests
	// whose body there was no memory for.
	connectionsEvicted, connectionsRefused, bodiesRefused *metrics.Counter
}

func newHostMetrics() *hostMetrics {
	m := &hostMetrics{set: metrics.NewSet(), calls: make(map[forward.Outcome]*metrics.Counter), handovers: make(map[handover.Result]*metrics.Counter)}
	for o, name := range outcomeNames {
		m.calls[o] = m.set.NewCounter(fmt.Sprintf(`figmast_backend_calls_total{outcome=%q}`, name))
	}
	m.callDurations = m.set.NewHistogram("figmast_backend_call_duration_seconds")
	m.connectionsEvicted = m.set.NewCounter(`figmast_caller_connections_closed_total{reason="evicted"}`)
	m.connectionsRefused = m.set.NewCounter(`figmast_caller_connections_closed_total{reason="refused"}`)
	m.bodiesRefused = m.set.NewCounter("figmast_caller_bodies_refused_total")
	m.crashesFound = m.set.NewCounter("figmast_crashes_found_total")
	m.checksRefused = m.set.NewCounter(`figmast_server_checks_total{result="refuses"}`)
	m.checksAccepted = m.set.NewCounter(`figmast_server_checks_total{result="takes"}`)
	m.lastResortCalls = m.set.NewCounter("figmast_last_resort_calls_total")
	m.leavingNotices = m.set.NewCounter(`figmast_server_notices_total{notice="leaving"}`)
	m.backoffNotices = m.set.NewCounter(`figmast_server_notices_total{notice="backoff"}`)
	m.limitNotices = m.set.NewCounter(`figmast_server_notices_total{notice="limit"}`)
	m.limitFaults = m.set.NewCounter(`figmast_server_notices_total{notice="invalid_limit"}`)
	m.set.NewGauge("figmast_backend_reach", func() float64 { return float64(m.reach.Load()) })
	for _, result := range handover.Results() {
		m.handovers[result] = m.set.NewCounter(fmt.Sprintf(`figmast_handovers_total{result=%q}`, result))
	}
	m.probesReached = m.set.NewCounter(`figmast_reach_probes_total{result="reached"}`)
	m.probesFailed = m.set.NewCounter(`figmast_reach_probes_total{result="failed"}`)
	return m
}

func (m *hostMetrics) observeCall(s forward.Send, r forward.Reply, took time.Duration) {
	if s.LastResort {
		m.lastResortCalls.Inc()
	}
	if r.Leaving {
		m.leavingNotices.Inc()
	}
	if r.Backoff > 0 {
		m.backoffNotices.Inc()
	}
	if r.Limit.State == route.Limited {
		m.limitNotices.Inc()
	}
	if r.InvalidLimit != "" {
		m.limitFaults.Inc()
	}
	m.calls[r.Outcome].Inc()
	m.callDurations.Update(took.Seconds())
}

func (m *hostMetrics) countCrashes(list []crash.Report) {
	for _, p := range list {
		if !p.Answered {
			m.crashesFound.Inc()
		}
	}
}

func (m *hostMetrics) countCheck(refuses bool) {
	if refuses {
		m.checksRefused.Inc()
		return
	}
	m.checksAccepted.Inc()
}

func (m *hostMetrics) countHandover(r handover.Result) { m.handovers[r].Inc() }

func (m *hostMetrics) countProbe(err error) {
	if err != nil {
		m.probesFailed.Inc()
		return
	}
	m.probesReached.Inc()
}

func (m *hostMetrics) observeRequest(route string, status int, took time.Duration) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`figmast_requests_total{route=%q,status="%d"}`, route, status)).Inc()
	m.set.GetOrCreateHistogram(fmt.Sprintf(`figmast_request_duration_seconds{route=%q}`, route)).Update(took.Seconds())
}

// handler serves the metrics in the Prometheus text format.
func (m *hostMetrics) handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		m.set.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
}

// registerIntake registers the gauges of callers' connections.
func (m *hostMetrics) registerIntake(c *callerConns) {
	m.set.NewGauge("figmast_caller_connections", func() float64 {
		open, _, _ := c.counts()
		return float64(open)
	})
	m.set.NewGauge("figmast_caller_bytes_held", func() float64 {
		_, _, held := c.counts()
		return float64(held)
	})
}

package gateway

import (
	"fmt"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/figmast/figmast/crash"
	"github.com/figmast/figmast/forward"
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
}

func newHostMetrics() *hostMetrics {
	c := &hostMetrics{set: metrics.NewSet(), calls: make(map[forward.Outcome]*metrics.Counter)}
	for o, name := range outcomeNames {
		c.calls[o] = c.set.NewCounter(fmt.Sprintf(`figmast_backend_calls_total{outcome=%q}`, name))
	}
	c.callDurations = c.set.NewHistogram("figmast_backend_call_duration_seconds")
	c.crashesFound = c.set.NewCounter("figmast_crashes_found_total")
	c.checksRefused = c.set.NewCounter(`figmast_server_checks_total{result="refuses"}`)
	c.checksAccepted = c.set.NewCounter(`figmast_server_checks_total{result="takes"}`)
	c.lastResortCalls = c.set.NewCounter("figmast_last_resort_calls_total")
	c.leavingNotices = c.set.NewCounter(`figmast_server_notices_total{notice="leaving"}`)
	c.backoffNotices = c.set.NewCounter(`figmast_server_notices_total{notice="backoff"}`)
	return c
}

func (c *hostMetrics) observeCall(s forward.Send, r forward.Reply, took time.Duration) {
	if s.LastResort {
		c.lastResortCalls.Inc()
	}
	if r.Leaving {
		c.leavingNotices.Inc()
	}
	if r.Backoff > 0 {
		c.backoffNotices.Inc()
	}
	c.calls[r.Outcome].Inc()
	c.callDurations.Update(took.Seconds())
}

func (c *hostMetrics) countCrashes(list []crash.Report) {
	for _, p := range list {
		if !p.Answered {
			c.crashesFound.Inc()
		}
	}
}

func (c *hostMetrics) countCheck(refuses bool) {
	if refuses {
		c.checksRefused.Inc()
		return
	}
	c.checksAccepted.Inc()
}

func (c *hostMetrics) observeRequest(route string, status int, took time.Duration) {
	c.set.GetOrCreateCounter(fmt.Sprintf(`figmast_requests_total{route=%q,status="%d"}`, route, status)).Inc()
	c.set.GetOrCreateHistogram(fmt.Sprintf(`figmast_request_duration_seconds{route=%q}`, route)).Update(took.Seconds())
}

// handler serves the metrics in the Prometheus text format.
func (c *hostMetrics) handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		c.set.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
}

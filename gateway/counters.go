package gateway

import (
	"fmt"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/figmast/figmast/crash"
	"github.com/figmast/figmast/forward"
)

// outcomeNames are the names of call outcomes in metrics.
var outcomeNames = map[forward.Outcome]string{
	forward.Answered: "answered", forward.NotRun: "not_run", forward.NotSent: "not_sent",
	forward.Broken: "broken", forward.TimedOut: "timed_out", forward.Cancelled: "given_up",
}

// counters are a host's metrics.
type counters struct {
	set       *metrics.Set
	calls     map[forward.Outcome]*metrics.Counter
	callTimes *metrics.Histogram
	// crashes counts the servers that this host found crashed by a request;
	// refusing and taking count the servers looked at after a broken call.
	crashes          *metrics.Counter
	refusing, taking *metrics.Counter
	// lastResort counts calls to servers that leave, leaving and backoff the
	// answers that say so or ask this host to back off.
	lastResort, leaving, backoff *metrics.Counter
}

func newCounters() *counters {
	c := &counters{set: metrics.NewSet(), calls: make(map[forward.Outcome]*metrics.Counter)}
	for o, name := range outcomeNames {
		c.calls[o] = c.set.NewCounter(fmt.Sprintf(`figmast_backend_calls_total{outcome=%q}`, name))
	}
	c.callTimes = c.set.NewHistogram("figmast_backend_call_duration_seconds")
	c.crashes = c.set.NewCounter("figmast_crashes_found_total")
	c.refusing = c.set.NewCounter(`figmast_server_checks_total{result="refuses"}`)
	c.taking = c.set.NewCounter(`figmast_server_checks_total{result="takes"}`)
	c.lastResort = c.set.NewCounter("figmast_last_resort_calls_total")
	c.leaving = c.set.NewCounter(`figmast_server_notices_total{notice="leaving"}`)
	c.backoff = c.set.NewCounter(`figmast_server_notices_total{notice="backoff"}`)
	return c
}

func (c *counters) call(s forward.Send, r forward.Reply, took time.Duration) {
	if s.LastResort {
		c.lastResort.Inc()
	}
	if r.Leaving {
		c.leaving.Inc()
	}
	if r.Backoff > 0 {
		c.backoff.Inc()
	}
	c.calls[r.Outcome].Inc()
	c.callTimes.Update(took.Seconds())
}

func (c *counters) reports(list []crash.Report) {
	for _, p := range list {
		if !p.Answered {
			c.crashes.Inc()
		}
	}
}

func (c *counters) checked(refuses bool) {
	if refuses {
		c.refusing.Inc()
		return
	}
	c.taking.Inc()
}

func (c *counters) request(route string, status int, took time.Duration) {
	c.set.GetOrCreateCounter(fmt.Sprintf(`figmast_requests_total{route=%q,status="%d"}`, route, status)).Inc()
	c.set.GetOrCreateHistogram(fmt.Sprintf(`figmast_request_duration_seconds{route=%q}`, route)).Update(took.Seconds())
}

// handler serves the metrics as text.
func (c *counters) handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		c.set.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
}

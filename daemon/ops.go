package daemon

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/pprof"
	"sort"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gorilla/mux"

	figmast "github.com/figmast/figmast"
	"github.com/figmast/figmast/internal/clock"
	"github.com/figmast/figmast/peer"
	"github.com/figmast/figmast/timeline"
	"github.com/figmast/figmast/traffic"
	"github.com/figmast/figmast/view"
)

// Limits on requests to the operators' interface.
const (
	defaultEvents = 1000
	maxEvents     = 50_000
	maxFilterLen  = 256
)

// ops serves health checks, metrics and the operators' interface.
type ops struct {
	settings  Settings
	view      func() *view.View
	events    *timeline.Ring
	draining  *atomic.Bool
	metricSet *metrics.Set
	report    func() traffic.Report
	// peers returns the counters of traffic with other hosts.
	peers func() peer.Stats
	// runnerReady reports whether the Runner can serve requests.
	runnerReady func() bool
}

func (o *ops) handler() http.Handler {
	r := mux.NewRouter().SkipClean(true)
	get := func(path string, h http.HandlerFunc) { r.HandleFunc(path, h).Methods(http.MethodGet, http.MethodHead) }
	get("/healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	get("/readyz", o.readyz)
	get("/metrics", o.metrics)
	get("/v1/status", o.status)
	get("/v1/timeline", o.timeline)
	get("/v1/explain/{request:.+}", o.explain)
	get("/debug/pprof/profile", pprof.Profile)
	get("/debug/pprof/{profile}", pprof.Index)
	r.NotFoundHandler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		o.refuse(w, http.StatusNotFound, "no such path", "")
	})
	r.MethodNotAllowedHandler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Allow", "GET, HEAD")
		o.refuse(w, http.StatusMethodNotAllowed, "method not allowed", "")
	})
	return r
}

// registerGauges registers the gauges that are computed when metrics are scraped.
func (o *ops) registerGauges() {
	o.metricSet.NewGauge("figmast_ready", func() float64 { return boolValue(o.notReadyReason() == "") })
	o.metricSet.NewGauge("figmast_draining", func() float64 { return boolValue(o.draining.Load()) })
	o.metricSet.NewGauge("figmast_hosts", func() float64 { return fromView(o.view(), func(v *view.View) float64 { return float64(len(v.Hosts)) }) })
	o.metricSet.NewGauge("figmast_services", func() float64 {
		return fromView(o.view(), func(v *view.View) float64 { return float64(len(v.Services)) })
	})
	o.metricSet.NewGauge("figmast_view_age_seconds", func() float64 { return fromView(o.view(), func(v *view.View) float64 { return viewAge(v).Seconds() }) })
	o.metricSet.NewGauge("figmast_cold_servers", func() float64 { return float64(len(o.report().Cold)) })
	o.metricSet.NewGauge("figmast_queries_in_progress", func() float64 { return float64(o.report().Queries) })
	o.metricSet.NewGauge("figmast_commands_in_progress", func() float64 { return float64(o.report().Commands) })
	o.metricSet.NewGauge("figmast_leaf_calls_in_progress", func() float64 { return float64(o.report().Calls) })
	o.metricSet.NewGauge("figmast_peer_sent_bytes", func() float64 { return float64(o.peers().BytesSent) })
	o.metricSet.NewGauge("figmast_peer_received_bytes", func() float64 { return float64(o.peers().BytesReceived) })
	o.metricSet.NewGauge("figmast_peer_connections", func() float64 { return float64(o.peers().Connections) })
}

// fromView returns f(v), or 0 if there is no view yet.
func fromView(v *view.View, f func(*view.View) float64) float64 {
	if v == nil {
		return 0
	}
	return f(v)
}

func boolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// viewAge returns the time since the view was last confirmed, or 0 if it never was.
func viewAge(v *view.View) time.Duration {
	if v.ConfirmedAt.IsZero() {
		return 0
	}
	return clock.Now().Sub(v.ConfirmedAt)
}

// notReadyReason returns why the host is not ready for requests, or "" if it is.
func (o *ops) notReadyReason() string {
	v := o.view()
	switch {
	case o.draining.Load():
		return "draining"
	case v == nil:
		return "no configuration yet"
	case !v.Valid(clock.Now()):
		return "the configuration view is stale"
	case !o.runnerReady():
		return "other hosts have not yet made room for connections"
	}
	return ""
}

func (o *ops) readyz(w http.ResponseWriter, _ *http.Request) {
	if reason := o.notReadyReason(); reason != "" {
		http.Error(w, "not ready: "+reason, http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

func (o *ops) metrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	o.metricSet.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

func (o *ops) timeline(w http.ResponseWriter, r *http.Request) {
	f, field, err := parseFilter(r)
	if err != nil {
		o.refuse(w, http.StatusBadRequest, err.Error(), field)
		return
	}
	writeJSON(w, o.events.Select(f))
}

// parseFilter reads a filter from the query string. On an error it also returns
// the name of the invalid field.
func parseFilter(r *http.Request) (timeline.Filter, string, error) {
	q := r.URL.Query()
	f := timeline.Filter{Service: q.Get("service"), Request: q.Get("request"), Server: q.Get("server"), Limit: defaultEvents}
	for name := range q {
		if len(q.Get(name)) > maxFilterLen {
			return f, name, fmt.Errorf("%s: longer than %d bytes", name, maxFilterLen)
		}
		switch name {
		case "service", "request", "server", "since", "limit":
		default:
			return f, name, fmt.Errorf("%.64q: unknown; known are service, request, server, since, limit", name)
		}
	}
	if text := q.Get("limit"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > maxEvents {
			return f, "limit", fmt.Errorf("limit: not in 1 to %d", maxEvents)
		}
		f.Limit = n
	}
	if text := q.Get("since"); text != "" {
		s, err := timeline.ParseStamp(text)
		if err != nil {
			return f, "since", fmt.Errorf("since: %w", err)
		}
		f.Since = s
	}
	return f, "", nil
}

func (o *ops) explain(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, o.events.Select(timeline.Filter{Request: mux.Vars(r)["request"], Limit: maxEvents}))
}

func (o *ops) refuse(w http.ResponseWriter, status int, title, field string) {
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(figmast.Problem{
		Type: "about:blank", Title: title, Status: status, Field: field,
		Step: "operate", Peer: o.settings.Host, Outcome: figmast.NotRun,
	})
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

func sortedServices(v *view.View) []string {
	names := make([]string, 0, len(v.Services))
	for name := range v.Services {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

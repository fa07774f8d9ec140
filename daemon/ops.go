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

// Limits on what operators ask for.
const (
	defaultEvents = 1000
	maxEvents     = 50_000
	maxFilterLen  = 256
)

// ops serves health, metrics and operators.
type ops struct {
	settings Settings
	view     func() *view.View
	events   *timeline.Ring
	draining *atomic.Bool
	set      *metrics.Set
	report   func() traffic.Report
	// peers returns the traffic with other hosts so far.
	peers func() peer.Stats
	// settled reports whether the host can serve by now.
	settled func() bool
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

// gauges registers what is read when metrics are asked for.
func (o *ops) gauges() {
	o.set.NewGauge("figmast_ready", func() float64 { return oneIf(o.unready() == "") })
	o.set.NewGauge("figmast_draining", func() float64 { return oneIf(o.draining.Load()) })
	o.set.NewGauge("figmast_hosts", func() float64 { return ofView(o.view(), func(v *view.View) float64 { return float64(len(v.Hosts)) }) })
	o.set.NewGauge("figmast_services", func() float64 {
		return ofView(o.view(), func(v *view.View) float64 { return float64(len(v.Services)) })
	})
	o.set.NewGauge("figmast_view_age_seconds", func() float64 { return ofView(o.view(), func(v *view.View) float64 { return age(v).Seconds() }) })
	o.set.NewGauge("figmast_cold_servers", func() float64 { return float64(len(o.report().Cold)) })
	o.set.NewGauge("figmast_queries_in_progress", func() float64 { return float64(o.report().Queries) })
	o.set.NewGauge("figmast_commands_in_progress", func() float64 { return float64(o.report().Commands) })
	o.set.NewGauge("figmast_leaf_calls_in_progress", func() float64 { return float64(o.report().Calls) })
	o.set.NewGauge("figmast_peer_sent_bytes", func() float64 { return float64(o.peers().BytesSent) })
	o.set.NewGauge("figmast_peer_received_bytes", func() float64 { return float64(o.peers().BytesReceived) })
	o.set.NewGauge("figmast_peer_connections", func() float64 { return float64(o.peers().Connections) })
}

func ofView(v *view.View, f func(*view.View) float64) float64 {
	if v == nil {
		return 0
	}
	return f(v)
}

func oneIf(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// age returns how long ago the view was confirmed.
func age(v *view.View) time.Duration {
	if v.Confirmed.IsZero() {
		return 0
	}
	return clock.Now().Sub(v.Confirmed)
}

// unready returns why the host takes no requests, or "".
func (o *ops) unready() string {
	v := o.view()
	switch {
	case o.draining.Load():
		return "draining"
	case v == nil:
		return "no configuration yet"
	case !v.Valid(clock.Now()):
		return "the configuration view is stale"
	case !o.settled():
		return "other hosts have not yet made room for connections"
	}
	return ""
}

func (o *ops) readyz(w http.ResponseWriter, _ *http.Request) {
	if why := o.unready(); why != "" {
		http.Error(w, "not ready: "+why, http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

func (o *ops) metrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	o.set.WritePrometheus(w)
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

// parseFilter reads a filter from the query string, or names the field at
// fault.
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

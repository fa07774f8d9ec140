package daemon

import (
	"encoding/json"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gorilla/mux"

	"github.com/figmast/figmast/internal/clock"
	"github.com/figmast/figmast/timeline"
	"github.com/figmast/figmast/view"
)

// Status is what a host tells operators about itself.
type Status struct {
	Host       string          `json:"host"`
	DataCentre string          `json:"data_centre"`
	Ready      bool            `json:"ready"`
	Draining   bool            `json:"draining"`
	Hosts      []string        `json:"hosts"`
	Services   []ServiceStatus `json:"services"`
	// AgeMs is how long ago the view was confirmed, in milliseconds.
	AgeMs int64 `json:"age_ms"`
}

// ServiceStatus is the document in force for one service.
type ServiceStatus struct {
	Name           string   `json:"name"`
	Version        uint64   `json:"version"`
	Snapshot       string   `json:"snapshot"`
	DataCentresOut []string `json:"data_centres_out,omitempty"`
}

// ops serves health, metrics and operators.
type ops struct {
	settings Settings
	view     func() *view.View
	events   *timeline.Ring
	draining *atomic.Bool
}

func (o *ops) handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	r.HandleFunc("/readyz", o.readyz)
	r.HandleFunc("/metrics", func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) })
	r.HandleFunc("/v1/status", o.status)
	r.HandleFunc("/v1/timeline", o.timeline)
	return r
}

func (o *ops) ready() bool {
	return !o.draining.Load() && o.view().Valid(clock.Now())
}

func (o *ops) readyz(w http.ResponseWriter, _ *http.Request) {
	if !o.ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

func (o *ops) status(w http.ResponseWriter, _ *http.Request) {
	s := Status{Host: o.settings.Host, DataCentre: o.settings.DataCentre, Ready: o.ready(), Draining: o.draining.Load()}
	if v := o.view(); v != nil {
		fillStatus(&s, v)
	}
	writeJSON(w, s)
}

func fillStatus(s *Status, v *view.View) {
	s.AgeMs = clock.Now().Sub(v.Confirmed).Round(time.Millisecond).Milliseconds()
	for _, h := range v.Hosts {
		s.Hosts = append(s.Hosts, h.ID)
	}
	for name, doc := range v.Services {
		s.Services = append(s.Services, ServiceStatus{
			Name: name, Version: doc.Version, DataCentresOut: doc.DataCentresOut,
			Snapshot: doc.Snapshots[len(doc.Snapshots)-1].ID,
		})
	}
}

func (o *ops) timeline(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, o.events.Events())
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

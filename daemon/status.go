package daemon

import (
	"net/http"

	"github.com/figmast/figmast/document"
	"github.com/figmast/figmast/view"
)

// Status is a host's answer to an operator's status request.
type Status struct {
	Host       string `json:"host"`
	DataCentre string `json:"data_centre"`
	Ready      bool   `json:"ready"`
	// Unready is the reason why the host is not ready.
	Unready  string `json:"unready,omitempty"`
	Draining bool   `json:"draining"`
	// Hosts are the ids of the hosts that this host knows, including itself.
	Hosts []string `json:"hosts"`
	// Peers are the same hosts with their addresses and data centres.
	Peers    []HostStatus    `json:"peers"`
	Services []ServiceStatus `json:"services"`
	// Cold lists the backend servers that this host considers to be in cold start.
	Cold []ColdServer `json:"cold,omitempty"`
	// Queries and Commands are the numbers of requests in progress, and Calls is
	// the number of calls to backend servers in progress.
	Queries  int `json:"queries"`
	Commands int `json:"commands"`
	Calls    int `json:"calls"`
	// AgeMs is the time since the view was last confirmed, in milliseconds.
	AgeMs int64 `json:"age_ms"`
	// ValidMs is how long the host may still send work based on the view if the
	// view is not confirmed again, in milliseconds.
	ValidMs int64 `json:"valid_ms"`
}

// ColdServer is a backend server in cold start.
type ColdServer struct {
	Service    string `json:"service"`
	Leaf       string `json:"leaf"`
	Server     string `json:"server"`
	DataCentre string `json:"data_centre"`
	// Level is the number of concurrent calls, from all hosts together, that the
	// server is assumed to sustain.
	Level int `json:"level"`
	// ForMs is how long the server has been at this level, in milliseconds.
	ForMs int64 `json:"for_ms"`
}

// HostStatus describes a host as known to the host that answers.
type HostStatus struct {
	ID         string `json:"id"`
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	Leaving    bool   `json:"leaving,omitempty"`
}

// ServiceStatus summarizes the document in force for a service.
type ServiceStatus struct {
	Name           string   `json:"name"`
	Version        uint64   `json:"version"`
	Snapshot       string   `json:"snapshot"`
	DataCentresOut []string `json:"data_centres_out,omitempty"`
	// Leaving are the ids of backend servers that are leaving and get no new work.
	Leaving []string `json:"leaving,omitempty"`
	Leaves  int      `json:"leaves"`
	Servers int      `json:"servers"`
}

func (o *ops) status(w http.ResponseWriter, _ *http.Request) {
	reason := o.notReadyReason()
	r := o.report()
	s := Status{
		Host: o.settings.Host, DataCentre: o.settings.DataCentre, Draining: o.draining.Load(),
		Ready: reason == "", Unready: reason, Queries: r.Queries, Commands: r.Commands, Calls: r.Calls,
	}
	for _, c := range r.Cold {
		s.Cold = append(s.Cold, ColdServer{
			Service: c.Service, Leaf: c.Leaf, Server: c.ID, DataCentre: c.DataCentre, Level: c.Level, ForMs: c.For.Milliseconds(),
		})
	}
	if v := o.view(); v != nil {
		fillStatus(&s, v)
	}
	writeJSON(w, s)
}

func fillStatus(s *Status, v *view.View) {
	s.AgeMs = viewAge(v).Milliseconds()
	s.ValidMs = max(v.ValidUntil.Sub(v.Confirmed)-viewAge(v), 0).Milliseconds()
	for _, h := range v.Hosts {
		s.Hosts = append(s.Hosts, h.ID)
		s.Peers = append(s.Peers, HostStatus{ID: h.ID, Address: h.Address, DataCentre: h.DataCentre, Leaving: h.Leaving})
	}
	for _, name := range sortedServices(v) {
		s.Services = append(s.Services, serviceStatus(v.Services[name]))
	}
}

func serviceStatus(doc *document.Service) ServiceStatus {
	s := ServiceStatus{
		Name: doc.Name, Version: doc.Version, DataCentresOut: doc.DataCentresOut,
		Snapshot: doc.Snapshots[len(doc.Snapshots)-1].ID, Leaves: len(doc.Leaves),
	}
	for _, l := range doc.Leaves {
		s.Servers += len(l.Servers)
		for _, srv := range l.Servers {
			if srv.Leaving {
				s.Leaving = append(s.Leaving, srv.ID)
			}
		}
	}
	return s
}

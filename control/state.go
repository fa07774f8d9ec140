// Package control decides which configuration is in force on a host. State is
// owned by one goroutine: it gets the platform's news and the time, and
// gives back views. It does no I/O and reads no clock.
package control

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"sort"
	"strings"
	"time"

	"github.com/figmast/figmast/document"
	"github.com/figmast/figmast/platform"
	"github.com/figmast/figmast/view"
)

// MaxViewAge is how long work is dispatched on a view that nobody confirms.
const MaxViewAge = 3 * time.Second

// Options configure a State.
type Options struct {
	// Self is this host; it is listed in each view even while the platform's
	// host list lags.
	Self view.Host
}

// HostEntry is a host as the platform publishes it, in JSON.
type HostEntry struct {
	// Address is the IP number and port where peers reach the host.
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	Leaving    bool   `json:"leaving,omitempty"`
}

// Verdict is what became of one published value.
type Verdict struct {
	Key      string
	Revision int64
	// Err tells why the value was refused; nil when it is in force.
	Err error
}

// State is the control state of a host. It is not safe for concurrent use.
type State struct {
	opts      Options
	services  map[string]*accepted
	hosts     map[string]view.Host
	confirmed time.Time
}

// accepted is the document in force for one service.
type accepted struct {
	doc      *document.Service
	revision int64
}

// NewState returns a State that knows nothing but this host.
func NewState(opts Options) *State {
	return &State{
		opts:     opts,
		services: make(map[string]*accepted),
		hosts:    make(map[string]view.Host),
	}
}

// Confirm records that the platform held nothing newer at that time.
func (s *State) Confirm(at time.Time) {
	if at.After(s.confirmed) {
		s.confirmed = at
	}
}

// Apply takes one published change and tells what became of it.
func (s *State) Apply(e platform.Event) Verdict {
	key := string(e.Kv.Key)
	v := Verdict{Key: key, Revision: int64(e.Kv.ModRevision)}
	switch {
	case strings.HasPrefix(key, platform.PrefixServices):
		v.Err = s.applyService(strings.TrimPrefix(key, platform.PrefixServices), e)
	case strings.HasPrefix(key, platform.PrefixHosts):
		v.Err = s.applyHost(strings.TrimPrefix(key, platform.PrefixHosts), e)
	}
	return v
}

func (s *State) applyService(name string, e platform.Event) error {
	if e.Type == platform.EventDelete {
		delete(s.services, name)
		return nil
	}
	doc, err := document.Parse(e.Kv.Value)
	if err != nil {
		return err
	}
	if doc.Name != name {
		return fmt.Errorf("service: the document names %q but stands under %q", doc.Name, name)
	}
	old := s.services[name]
	if old != nil && doc.Version <= old.doc.Version {
		if doc.Version == old.doc.Version && int64(e.Kv.ModRevision) == old.revision {
			return nil
		}
		return fmt.Errorf("version: %d is not above %d, which is in force", doc.Version, old.doc.Version)
	}
	s.services[name] = &accepted{doc: doc, revision: int64(e.Kv.ModRevision)}
	return nil
}

func (s *State) applyHost(id string, e platform.Event) error {
	if e.Type == platform.EventDelete {
		delete(s.hosts, id)
		return nil
	}
	var h HostEntry
	if err := json.Unmarshal(e.Kv.Value, &h); err != nil {
		return fmt.Errorf("host %s: %w", id, err)
	}
	if _, err := netip.ParseAddrPort(h.Address); err != nil {
		return fmt.Errorf("host %s: address: %w", id, err)
	}
	s.hosts[id] = view.Host{ID: id, Address: h.Address, DataCentre: h.DataCentre, Leaving: h.Leaving}
	return nil
}

// View returns the picture now in force.
func (s *State) View() *view.View {
	v := &view.View{
		Self:       s.opts.Self,
		Services:   make(map[string]*document.Service, len(s.services)),
		Confirmed:  s.confirmed,
		ValidUntil: s.confirmed.Add(MaxViewAge),
	}
	for name, a := range s.services {
		v.Services[name] = a.doc
	}
	v.Hosts = append(v.Hosts, s.opts.Self)
	for id, h := range s.hosts {
		if id != s.opts.Self.ID {
			v.Hosts = append(v.Hosts, h)
		}
	}
	sort.Slice(v.Hosts, func(i, j int) bool { return v.Hosts[i].ID < v.Hosts[j].ID })
	return v
}

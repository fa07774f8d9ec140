package fake

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/figmast/figmast/backend"
)

// Behaviour defines how a fake backend server handles calls. With the zero
// value, it answers all calls immediately.
type Behaviour struct {
	// Latency is the delay before each answer.
	Latency time.Duration `json:"latency"`
	// Snapshots are the ids of the snapshots that the server holds; empty means
	// that it accepts any.
	Snapshots []string `json:"snapshots,omitempty"`
	// Shed refuses every call without running it.
	Shed bool `json:"shed,omitempty"`
	// Cold marks every answer as coming from a server in cold start.
	Cold bool `json:"cold,omitempty"`
	// BreakAfterRun closes the connection without an answer after the call has
	// run.
	BreakAfterRun bool `json:"break_after_run,omitempty"`
}

// Execution is one call that a backend server ran or is running.
type Execution struct {
	Attempt   string          `json:"attempt"`
	Service   string          `json:"service"`
	Leaf      string          `json:"leaf"`
	Operation string          `json:"operation"`
	Command   bool            `json:"command"`
	Payload   json.RawMessage `json:"payload"`
	Snapshot  string          `json:"snapshot,omitempty"`
	At        time.Time       `json:"at"`
	// Cold tells whether the server was in cold start, and InFlight how many
	// calls it had in flight, including this one.
	Cold     bool `json:"cold,omitempty"`
	InFlight int  `json:"at_once"`
}

// Result is the body of an answer of a fake backend server.
type Result struct {
	Leaf     string          `json:"leaf"`
	Server   string          `json:"server"`
	Snapshot string          `json:"snapshot"`
	Echo     json.RawMessage `json:"echo"`
}

// Backend is a fake of one backend server.
type Backend struct {
	id string

	mu          sync.Mutex
	behaviour   Behaviour
	executions  []Execution
	inFlight    int
	maxInFlight int
}

// Paths with which tests control and inspect a fake backend server.
const (
	PathBehaviour  = "/fake/behaviour"
	PathExecutions = "/fake/executions"
)

// NewBackend returns a backend server with the zero Behaviour.
func NewBackend(id string) *Backend { return &Backend{id: id} }

// SetBehaviour changes how calls are handled from now on.
func (b *Backend) SetBehaviour(behaviour Behaviour) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.behaviour = behaviour
}

// Executions returns the calls in the order in which they began to run, including
// those that are still running.
func (b *Backend) Executions() []Execution {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]Execution(nil), b.executions...)
}

// MaxInFlight returns the highest number of calls that were in flight at the
// same time.
func (b *Backend) MaxInFlight() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.maxInFlight
}

// ServeHTTP serves leaf calls, and the control paths for tests.
func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case backend.PathQuery, backend.PathCommand:
		b.serveCall(w, r)
	case PathBehaviour:
		serveJSON(w, r, func(n Behaviour) any { b.SetBehaviour(n); return n })
	case PathExecutions:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(b.Executions())
	default:
		http.NotFound(w, r)
	}
}

func (b *Backend) serveCall(w http.ResponseWriter, r *http.Request) {
	payload, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if len(payload) == 0 {
		payload = []byte("null")
	}
	behaviour, inFlight := b.begin()
	defer b.end()
	in, out := r.Header, w.Header()
	for _, name := range []string{backend.HeaderAttempt, backend.HeaderLeaf, backend.HeaderSnapshot} {
		out.Set(name, in.Get(name))
	}
	if behaviour.Cold {
		out.Set(backend.HeaderState, backend.StateCold)
	}
	switch {
	case behaviour.Shed:
		refuse(w, http.StatusServiceUnavailable)
		return
	case !holdsSnapshot(behaviour, in.Get(backend.HeaderSnapshot)):
		refuse(w, http.StatusConflict)
		return
	}
	b.record(r, payload, behaviour.Cold, inFlight)
	select {
	case <-time.After(behaviour.Latency):
	case <-r.Context().Done():
		return
	}
	if behaviour.BreakAfterRun {
		panic(http.ErrAbortHandler)
	}
	_ = json.NewEncoder(w).Encode(Result{
		Leaf: in.Get(backend.HeaderLeaf), Server: b.id, Snapshot: in.Get(backend.HeaderSnapshot), Echo: payload,
	})
}

func refuse(w http.ResponseWriter, status int) {
	w.Header().Set(backend.HeaderOutcome, "not_run")
	w.WriteHeader(status)
}

func holdsSnapshot(behaviour Behaviour, snapshot string) bool {
	if snapshot == "" || len(behaviour.Snapshots) == 0 {
		return true
	}
	for _, s := range behaviour.Snapshots {
		if s == snapshot {
			return true
		}
	}
	return false
}

// begin counts a call as in flight. It returns how to handle the call and the
// number of calls in flight.
func (b *Backend) begin() (Behaviour, int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inFlight++
	b.maxInFlight = max(b.maxInFlight, b.inFlight)
	return b.behaviour, b.inFlight
}

func (b *Backend) end() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inFlight--
}

func (b *Backend) record(r *http.Request, payload []byte, cold bool, inFlight int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.executions = append(b.executions, Execution{
		Attempt:   r.Header.Get(backend.HeaderAttempt),
		Service:   r.Header.Get(backend.HeaderService),
		Leaf:      r.Header.Get(backend.HeaderLeaf),
		Operation: r.Header.Get(backend.HeaderOperation),
		Command:   r.URL.Path == backend.PathCommand,
		Payload:   payload,
		Snapshot:  r.Header.Get(backend.HeaderSnapshot),
		At:        time.Now(),
		Cold:      cold,
		InFlight:  inFlight,
	})
}

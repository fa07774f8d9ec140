package fake

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/figmast/figmast/backend"
)

// Behaviour is how a stand-in backend server treats calls. The zero value
// answers everything at once.
type Behaviour struct {
	// Latency before each answer.
	Latency time.Duration `json:"latency"`
	// Snapshots held; empty means any.
	Snapshots []string `json:"snapshots,omitempty"`
	// Shed refuses every call without running it.
	Shed bool `json:"shed,omitempty"`
	// Cold marks every answer as one of a server in cold start.
	Cold bool `json:"cold,omitempty"`
	// BreakAfterRun closes the connection once the call has run.
	BreakAfterRun bool `json:"break_after_run,omitempty"`
}

// Execution is one call that a backend server ran.
type Execution struct {
	Attempt   string          `json:"attempt"`
	Service   string          `json:"service"`
	Leaf      string          `json:"leaf"`
	Operation string          `json:"operation"`
	Command   bool            `json:"command"`
	Payload   json.RawMessage `json:"payload"`
	Snapshot  string          `json:"snapshot,omitempty"`
	At        time.Time       `json:"at"`
	// Cold is set when the server was in cold start, and AtOnce is how many
	// calls it then had in progress, this one included.
	Cold     bool `json:"cold,omitempty"`
	InFlight int  `json:"at_once"`
}

// Result is what a stand-in backend server answers.
type Result struct {
	Leaf     string          `json:"leaf"`
	Server   string          `json:"server"`
	Snapshot string          `json:"snapshot"`
	Echo     json.RawMessage `json:"echo"`
}

// Backend is a stand-in for one backend server.
type Backend struct {
	id string

	mu         sync.Mutex
	behaviour  Behaviour
	executions []Execution
	running    int
	mostAtOnce int
}

// Paths by which tests steer and read a stand-in backend server.
const (
	PathBehaviour  = "/fake/behaviour"
	PathExecutions = "/fake/executions"
)

// NewBackend returns a backend server that answers everything at once.
func NewBackend(id string) *Backend { return &Backend{id: id} }

// SetBehaviour changes how calls are treated from now on.
func (b *Backend) SetBehaviour(behaviour Behaviour) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.behaviour = behaviour
}

// Executions returns what has run, in order.
func (b *Backend) Executions() []Execution {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]Execution(nil), b.executions...)
}

// MaxInFlight returns the most calls that were in progress at a time.
func (b *Backend) MaxInFlight() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.mostAtOnce
}

// ServeHTTP serves leaf calls and the paths for tests.
func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case backend.PathQuery, backend.PathCommand:
		b.call(w, r)
	case PathBehaviour:
		serve(w, r, func(n Behaviour) any { b.SetBehaviour(n); return n })
	case PathExecutions:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(b.Executions())
	default:
		http.NotFound(w, r)
	}
}

func (b *Backend) call(w http.ResponseWriter, r *http.Request) {
	payload, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if len(payload) == 0 {
		payload = []byte("null")
	}
	how, atOnce := b.begin()
	defer b.end()
	in, out := r.Header, w.Header()
	for _, name := range []string{backend.HeaderAttempt, backend.HeaderLeaf, backend.HeaderSnapshot} {
		out.Set(name, in.Get(name))
	}
	if how.Cold {
		out.Set(backend.HeaderState, backend.StateCold)
	}
	switch {
	case how.Shed:
		refuse(w, http.StatusServiceUnavailable)
		return
	case !holds(how, in.Get(backend.HeaderSnapshot)):
		refuse(w, http.StatusConflict)
		return
	}
	b.record(r, payload, how.Cold, atOnce)
	select {
	case <-time.After(how.Latency):
	case <-r.Context().Done():
		return
	}
	if how.BreakAfterRun {
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

func holds(how Behaviour, snapshot string) bool {
	if snapshot == "" || len(how.Snapshots) == 0 {
		return true
	}
	for _, s := range how.Snapshots {
		if s == snapshot {
			return true
		}
	}
	return false
}

// begin counts a call and returns how to treat it, and how many are running.
func (b *Backend) begin() (Behaviour, int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running++
	b.mostAtOnce = max(b.mostAtOnce, b.running)
	return b.behaviour, b.running
}

func (b *Backend) end() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running--
}

func (b *Backend) record(r *http.Request, payload []byte, cold bool, atOnce int) {
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
		InFlight:  atOnce,
	})
}

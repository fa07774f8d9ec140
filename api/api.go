// Package api is the HTTP interface to callers.
package api

import (
	"context"
	"fmt"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"
	"github.com/gorilla/mux"

	figmast "github.com/figmast/figmast"
	"github.com/figmast/figmast/command"
	"github.com/figmast/figmast/document"
	"github.com/figmast/figmast/query"
	"github.com/figmast/figmast/view"
)

// Runner serves decoded requests.
type Runner interface {
	Query(ctx context.Context, r query.Request) (*figmast.QueryAnswer, *figmast.Problem)
	Command(ctx context.Context, r command.Request) (*figmast.CommandAnswer, *figmast.Problem)
	Mint(service string) (command.Ticket, *figmast.Problem)
}

// Options configure the handler.
type Options struct {
	// Host is the id of this host.
	Host   string
	Runner Runner
	// View returns the view in force, or nil.
	View func() *view.View
	// Clock returns the host's time.
	Clock func() time.Time
	// Draining reports whether the host is leaving. It still answers, and
	// closes each connection with its answer.
	Draining func() bool
	// BodyTimeout is how long a caller may take to send a body; 0 means
	// DefaultBodyTimeout.
	BodyTimeout time.Duration
	// WriteTimeout is how long a caller may take to read an answer; 0 means
	// DefaultWriteTimeout.
	WriteTimeout time.Duration
	// Log gets what is wrong with the host itself.
	Log *log.Logger
	// Metrics gets the handler's metrics.
	Metrics *metrics.Set
}

type server struct{ Options }

// NewHandler returns the callers' interface.
func NewHandler(opts Options) http.Handler {
	if opts.BodyTimeout == 0 {
		opts.BodyTimeout = DefaultBodyTimeout
	}
	if opts.WriteTimeout == 0 {
		opts.WriteTimeout = DefaultWriteTimeout
	}
	s := &server{opts}
	r := mux.NewRouter().SkipClean(true)
	r.HandleFunc("/v1/services/{service}/query", s.query).Methods(http.MethodPost)
	r.HandleFunc("/v1/services/{service}/tickets", s.ticket).Methods(http.MethodPost)
	r.HandleFunc("/v1/services/{service}/command", s.command).Methods(http.MethodPost)
	r.NotFoundHandler = http.HandlerFunc(s.notFound)
	r.MethodNotAllowedHandler = http.HandlerFunc(s.notAllowed)
	return s.guard(r)
}

// guard bounds how long a caller may take to send a body, answers a request
// whose handling panics, and sends callers of a leaving host away with their
// answers.
func (s *server) guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := http.NewResponseController(w)
		_ = c.SetReadDeadline(time.Now().Add(s.BodyTimeout))
		_ = c.SetWriteDeadline(time.Time{})
		if s.Draining() {
			w.Header().Set("Connection", "close")
		}
		defer func() {
			if cause := recover(); cause != nil {
				s.panicked(w, r, cause)
			}
		}()
		next.ServeHTTP(w, r)
	})
}

func (s *server) panicked(w http.ResponseWriter, r *http.Request, cause any) {
	id, _ := requestID(r)
	s.Log.Error("request panicked", "step", "serve", "request", id, "path", r.URL.Path, "err", cause, "stack", string(debug.Stack()))
	s.Metrics.GetOrCreateCounter("figmast_panics_total").Inc()
	s.refuse(w, id, &figmast.Problem{
		Title: "internal error", Status: http.StatusInternalServerError, Step: "serve", Outcome: figmast.Unknown,
	})
}

// call is what every request shares.
type call struct {
	doc      *document.Service
	op       document.Operation
	deadline time.Time
}

func (s *server) query(w http.ResponseWriter, r *http.Request) {
	arrived := s.Clock()
	var body figmast.QueryRequest
	id, p := s.open(w, r, &body)
	if p == nil {
		p = checkValues(body.Urgency, body.Worth)
	}
	var c call
	if p == nil {
		c, p = s.prepare(r, arrived, body.Operation, document.Query)
	}
	if p != nil {
		s.refuse(w, id, p)
		return
	}
	ans, p := s.Runner.Query(r.Context(), query.Request{
		ID: id, Service: c.doc.Name, Operation: body.Operation, Payload: body.Payload,
		Urgency: orUrgency(body.Urgency, c.op), Worth: orWorth(body.Worth, c.op), Deadline: c.deadline,
	})
	s.finish(w, id, ans, ans != nil, p)
}

func (s *server) command(w http.ResponseWriter, r *http.Request) {
	arrived := s.Clock()
	var body figmast.CommandRequest
	id, p := s.open(w, r, &body)
	ticketless := p == nil && body.Ticket == ""
	if p == nil {
		p = checkCommand(body)
	}
	var c call
	if p == nil {
		c, p = s.prepare(r, arrived, body.Operation, document.Command)
	}
	if p != nil {
		s.refuse(w, id, unhandled(p, ticketless))
		return
	}
	ans, p := s.Runner.Command(r.Context(), command.Request{
		ID: id, Service: c.doc.Name, Operation: body.Operation, Payload: body.Payload,
		ShardKey: body.ShardKey, Ticket: body.Ticket,
		Urgency: orUrgency(body.Urgency, c.op), Worth: orWorth(body.Worth, c.op), Deadline: c.deadline,
	})
	s.finish(w, id, ans, ans != nil, p)
}

// ticket mints a ticket; a body is not needed and not read.
func (s *server) ticket(w http.ResponseWriter, r *http.Request) {
	id, p := requestID(r)
	name := mux.Vars(r)["service"]
	if p == nil {
		_, p = s.service(name)
	}
	if p != nil {
		s.refuse(w, id, p)
		return
	}
	t, p := s.Runner.Mint(name)
	if p != nil {
		s.refuse(w, id, p)
		return
	}
	left := time.Until(t.Expires())
	s.write(w, http.StatusOK, "application/json", figmast.TicketAnswer{
		Ticket: t.String(), Expires: t.Expires(), LifetimeMs: left.Milliseconds(),
	})
}

// unhandled makes a refusal of a command true of all sendings of its ticket:
// this host cannot know what became of the others, also where it could not
// read the ticket.
func unhandled(p *figmast.Problem, ticketless bool) *figmast.Problem {
	p.Unhandled = true
	if !ticketless {
		p.Outcome = figmast.Unknown
	}
	return p
}

// service returns the document in force, or why no request is taken.
func (s *server) service(name string) (*document.Service, *figmast.Problem) {
	v := s.View()
	if v == nil {
		return nil, unavailable("the host has no configuration yet", "admit")
	}
	doc := v.Services[name]
	if doc == nil {
		return nil, withStatus(invalid("service", "unknown: "+clip(name)), http.StatusNotFound)
	}
	return doc, nil
}

func (s *server) prepare(r *http.Request, arrived time.Time, operation string, kind document.Kind) (call, *figmast.Problem) {
	doc, p := s.service(mux.Vars(r)["service"])
	if p != nil {
		return call{}, p
	}
	op, ok := doc.Operation(operation)
	if !ok || op.Kind != kind {
		return call{}, invalid("operation", fmt.Sprintf("%q is no %s of the service", clip(operation), kind))
	}
	left, p := timeLeft(r, op)
	if p != nil {
		return call{}, p
	}
	return call{doc: doc, op: op, deadline: arrived.Add(left)}, nil
}

func orUrgency(u figmast.Urgency, op document.Operation) figmast.Urgency {
	if u == "" {
		return op.Urgency
	}
	return u
}

func orWorth(w float64, op document.Operation) float64 {
	if w == 0 {
		return op.Worth
	}
	return w
}

func (s *server) notFound(w http.ResponseWriter, r *http.Request) {
	id, _ := requestID(r)
	s.refuse(w, id, &figmast.Problem{Title: "no such path", Status: http.StatusNotFound, Step: "route", Outcome: figmast.NotRun})
}

func (s *server) notAllowed(w http.ResponseWriter, r *http.Request) {
	id, _ := requestID(r)
	w.Header().Set("Allow", http.MethodPost)
	s.refuse(w, id, &figmast.Problem{Title: "method not allowed", Status: http.StatusMethodNotAllowed, Step: "route", Outcome: figmast.NotRun})
}

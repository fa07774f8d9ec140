// Package api implements the HTTP interface for callers.
package api

import (
	"context"
	"fmt"
	"net/http"
	"runtime/debug"
	"sync/atomic"
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

// Runner executes decoded requests and mints tickets. Query and Command return
// neither an answer nor a problem if the caller has disconnected.
type Runner interface {
	Query(ctx context.Context, r query.Request) (*figmast.QueryAnswer, *figmast.Problem)
	Command(ctx context.Context, r command.Request) (*figmast.CommandAnswer, *figmast.Problem)
	Mint(service string) (command.Ticket, *figmast.Problem)
}

// Options configure the handler that NewHandler returns.
type Options struct {
	// Host is the id of this host.
	Host   string
	Runner Runner
	// View returns the view in force, or nil if there is none yet.
	View func() *view.View
	// Clock returns the host's time.
	Clock func() time.Time
	// Draining reports whether the host is draining. A draining host still
	// answers requests, but closes each connection after the answer.
	Draining func() bool
	// BodyTimeout limits the time in which a caller sends a body; 0 means
	// DefaultBodyTimeout.
	BodyTimeout time.Duration
	// BodyMemory limits the bytes of all bodies that are held; 0 means
	// DefaultBodyMemory.
	BodyMemory int64
	// WriteTimeout limits the time in which a caller reads an answer; 0 means
	// DefaultWriteTimeout.
	WriteTimeout time.Duration
	// Log receives internal errors of the host.
	Log *log.Logger
	// Metrics is the set that the handler's metrics are registered in.
	Metrics *metrics.Set
}

type server struct {
	Options
	// bodyBytes is how many bytes of bodies are held.
	bodyBytes atomic.Int64
}

// NewHandler returns the handler for requests of callers.
func NewHandler(opts Options) http.Handler {
	if opts.BodyTimeout == 0 {
		opts.BodyTimeout = DefaultBodyTimeout
	}
	if opts.WriteTimeout == 0 {
		opts.WriteTimeout = DefaultWriteTimeout
	}
	if opts.BodyMemory == 0 {
		opts.BodyMemory = DefaultBodyMemory
	}
	s := &server{Options: opts}
	opts.Metrics.NewGauge("figmast_body_bytes_held", func() float64 { return float64(s.bodyBytes.Load()) })
	r := mux.NewRouter().SkipClean(true)
	r.HandleFunc("/v1/services/{service}/query", s.query).Methods(http.MethodPost)
	r.HandleFunc("/v1/services/{service}/tickets", s.ticket).Methods(http.MethodPost)
	r.HandleFunc("/v1/services/{service}/command", s.command).Methods(http.MethodPost)
	r.NotFoundHandler = http.HandlerFunc(s.notFound)
	r.MethodNotAllowedHandler = http.HandlerFunc(s.notAllowed)
	return s.middleware(r)
}

// middleware sets the timeout for the request body, clears the write deadline that
// the previous answer on the connection has left, and answers requests whose
// handler panics. While the host is draining it has each connection closed after
// the answer, so that callers reconnect to other hosts.
func (s *server) middleware(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := http.NewResponseController(w)
		_ = c.SetReadDeadline(time.Now().Add(s.BodyTimeout))
		_ = c.SetWriteDeadline(time.Time{})
		if s.Draining() {
			w.Header().Set("Connection", "close")
		}
		defer func() {
			if cause := recover(); cause != nil {
				s.answerPanic(w, r, cause)
			}
		}()
		account := &bodyAccount{server: s}
		defer func() { account.Release(account.reserved) }()
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), accountKey{}, account)))
	})
}

func (s *server) answerPanic(w http.ResponseWriter, r *http.Request, cause any) {
	id, _ := requestID(r)
	s.Log.Error("request panicked", "step", "serve", "request", id, "path", r.URL.Path, "err", cause, "stack", string(debug.Stack()))
	s.Metrics.GetOrCreateCounter("figmast_panics_total").Inc()
	s.writeProblem(w, id, &figmast.Problem{
		Title: "internal error", Status: http.StatusInternalServerError, Step: "serve", Outcome: figmast.Unknown,
	})
}

// resolvedRequest is what queries and commands have in common after validation.
type resolvedRequest struct {
	doc      *document.Service
	op       document.Operation
	deadline time.Time
}

func (s *server) query(w http.ResponseWriter, r *http.Request) {
	arrived := s.Clock()
	var body figmast.QueryRequest
	id, p := s.readRequest(w, r, &body)
	if p == nil {
		p = checkValues(body.Urgency, body.Worth)
	}
	var resolved resolvedRequest
	if p == nil {
		resolved, p = s.resolve(r, arrived, body.Operation, document.Query)
	}
	if p != nil {
		s.writeProblem(w, id, p)
		return
	}
	ans, p := s.Runner.Query(r.Context(), query.Request{
		ID: id, Service: resolved.doc.Name, Operation: body.Operation, Payload: body.Payload,
		Urgency: urgencyOrDefault(body.Urgency, resolved.op), Worth: worthOrDefault(body.Worth, resolved.op), Deadline: resolved.deadline,
	})
	s.respond(w, id, ans, ans != nil, p)
}

func (s *server) command(w http.ResponseWriter, r *http.Request) {
	arrived := s.Clock()
	var body figmast.CommandRequest
	id, p := s.readRequest(w, r, &body)
	hasNoTicket := p == nil && body.Ticket == ""
	if p == nil {
		p = checkCommand(body)
	}
	var resolved resolvedRequest
	if p == nil {
		resolved, p = s.resolve(r, arrived, body.Operation, document.Command)
	}
	if p != nil {
		s.writeProblem(w, id, markUnhandled(p, hasNoTicket))
		return
	}
	ans, p := s.Runner.Command(r.Context(), command.Request{
		ID: id, Service: resolved.doc.Name, Operation: body.Operation, Payload: body.Payload,
		ShardKey: body.ShardKey, Ticket: body.Ticket,
		Urgency: urgencyOrDefault(body.Urgency, resolved.op), Worth: worthOrDefault(body.Worth, resolved.op), Deadline: resolved.deadline,
	})
	s.respond(w, id, ans, ans != nil, p)
}

// ticket mints a ticket. The request needs no body, and a body is not read.
func (s *server) ticket(w http.ResponseWriter, r *http.Request) {
	id, p := requestID(r)
	name := mux.Vars(r)["service"]
	if p == nil {
		_, p = s.service(name)
	}
	if p != nil {
		s.writeProblem(w, id, p)
		return
	}
	t, p := s.Runner.Mint(name)
	if p != nil {
		s.writeProblem(w, id, p)
		return
	}
	remaining := time.Until(t.Expires())
	s.writeJSON(w, http.StatusOK, "application/json", figmast.TicketAnswer{
		Ticket: t.String(), Expires: t.Expires(), LifetimeMs: remaining.Milliseconds(),
	})
}

// markUnhandled marks the problem of a command that this host has not passed on. The
// outcome in a problem covers all attempts with the same ticket, of which this
// host knows only one. So the outcome is Unknown, unless the body was decoded and
// has no ticket: a body that could not be decoded may have had one.
func markUnhandled(p *figmast.Problem, hasNoTicket bool) *figmast.Problem {
	p.Unhandled = true
	if !hasNoTicket {
		p.Outcome = figmast.Unknown
	}
	return p
}

// service returns the service's document in force, or the problem to answer.
func (s *server) service(name string) (*document.Service, *figmast.Problem) {
	v := s.View()
	if v == nil {
		return nil, unavailable("the host has no configuration yet", "admit")
	}
	doc := v.Services[name]
	if doc == nil {
		return nil, withStatus(badRequest("service", "unknown: "+truncate(name)), http.StatusNotFound)
	}
	return doc, nil
}

func (s *server) resolve(r *http.Request, arrived time.Time, operation string, kind document.Kind) (resolvedRequest, *figmast.Problem) {
	doc, p := s.service(mux.Vars(r)["service"])
	if p != nil {
		return resolvedRequest{}, p
	}
	op, ok := doc.Operation(operation)
	if !ok || op.Kind != kind {
		return resolvedRequest{}, badRequest("operation", fmt.Sprintf("%q is no %s of the service", truncate(operation), kind))
	}
	remaining, p := timeout(r, op)
	if p != nil {
		return resolvedRequest{}, p
	}
	return resolvedRequest{doc: doc, op: op, deadline: arrived.Add(remaining)}, nil
}

func urgencyOrDefault(u figmast.Urgency, op document.Operation) figmast.Urgency {
	if u == "" {
		return op.Urgency
	}
	return u
}

func worthOrDefault(w float64, op document.Operation) float64 {
	if w == 0 {
		return op.Worth
	}
	return w
}

func (s *server) notFound(w http.ResponseWriter, r *http.Request) {
	id, _ := requestID(r)
	s.writeProblem(w, id, &figmast.Problem{Title: "no such path", Status: http.StatusNotFound, Step: "route", Outcome: figmast.NotRun})
}

func (s *server) notAllowed(w http.ResponseWriter, r *http.Request) {
	id, _ := requestID(r)
	w.Header().Set("Allow", http.MethodPost)
	s.writeProblem(w, id, &figmast.Problem{Title: "method not allowed", Status: http.StatusMethodNotAllowed, Step: "route", Outcome: figmast.NotRun})
}

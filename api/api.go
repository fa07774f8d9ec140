// Package api is the HTTP interface to callers.
package api

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/gorilla/mux"

	figmast "github.com/figmast/figmast"
	"github.com/figmast/figmast/command"
	"github.com/figmast/figmast/document"
	"github.com/figmast/figmast/query"
	"github.com/figmast/figmast/view"
)

// Limits on what a caller may send.
const (
	MaxBodyBytes    = 1 << 20
	maxRequestIDLen = 128
	maxKeyLen       = 256
)

// Backend serves decoded requests.
type Backend interface {
	Query(ctx context.Context, r query.Request) (*figmast.QueryAnswer, *figmast.Problem)
	Command(ctx context.Context, r command.Request) (*figmast.CommandAnswer, *figmast.Problem)
	Mint(service string) (command.Ticket, *figmast.Problem)
}

// Options configure the handler.
type Options struct {
	// Host is the id of this host.
	Host    string
	Backend Backend
	// View returns the view in force, or nil.
	View func() *view.View
	// Clock returns the host's time.
	Clock func() time.Time
	// Draining reports whether the host takes no new requests.
	Draining func() bool
}

type server struct{ Options }

// NewHandler returns the callers' interface.
func NewHandler(opts Options) http.Handler {
	s := &server{opts}
	r := mux.NewRouter()
	r.HandleFunc("/v1/services/{service}/query", s.query).Methods(http.MethodPost)
	r.HandleFunc("/v1/services/{service}/tickets", s.ticket).Methods(http.MethodPost)
	r.HandleFunc("/v1/services/{service}/command", s.command).Methods(http.MethodPost)
	r.NotFoundHandler = http.HandlerFunc(s.notFound)
	r.MethodNotAllowedHandler = http.HandlerFunc(s.notAllowed)
	return r
}

// call is what every request shares.
type call struct {
	id       string
	doc      *document.Service
	op       document.Operation
	deadline time.Time
}

func (s *server) query(w http.ResponseWriter, r *http.Request) {
	var body figmast.QueryRequest
	id, p := s.open(w, r, &body)
	if p == nil {
		p = checkValues(body.Urgency, body.Worth)
	}
	var c call
	if p == nil {
		c, p = s.prepare(r, id, body.Operation, document.Query)
	}
	if p != nil {
		s.refuse(w, id, p)
		return
	}
	ans, p := s.Backend.Query(r.Context(), query.Request{
		ID: id, Service: c.doc.Name, Operation: body.Operation, Payload: body.Payload,
		Urgency: orUrgency(body.Urgency, c.op), Worth: orWorth(body.Worth, c.op), Deadline: c.deadline,
	})
	s.finish(w, id, ans, ans != nil, p)
}

func (s *server) command(w http.ResponseWriter, r *http.Request) {
	var body figmast.CommandRequest
	id, p := s.open(w, r, &body)
	if p == nil {
		p = checkCommand(body)
	}
	var c call
	if p == nil {
		c, p = s.prepare(r, id, body.Operation, document.Command)
	}
	if p != nil {
		s.refuse(w, id, unhandled(body, p))
		return
	}
	ans, p := s.Backend.Command(r.Context(), command.Request{
		ID: id, Service: c.doc.Name, Operation: body.Operation, Payload: body.Payload,
		ShardKey: body.ShardKey, Ticket: body.Ticket,
		Urgency: orUrgency(body.Urgency, c.op), Worth: orWorth(body.Worth, c.op), Deadline: c.deadline,
	})
	s.finish(w, id, ans, ans != nil, p)
}

func (s *server) ticket(w http.ResponseWriter, r *http.Request) {
	id := requestID(r)
	name := mux.Vars(r)["service"]
	if p := s.ready(name); p != nil {
		s.refuse(w, id, p)
		return
	}
	t, p := s.Backend.Mint(name)
	if p != nil {
		s.refuse(w, id, p)
		return
	}
	left := time.Until(t.Expires())
	s.write(w, http.StatusOK, "application/json", figmast.TicketAnswer{
		Ticket: t.String(), Expires: t.Expires(), LifetimeMs: left.Milliseconds(),
	})
}

// open reads the request id and the body.
func (s *server) open(w http.ResponseWriter, r *http.Request, body any) (string, *figmast.Problem) {
	id := requestID(r)
	if len(id) > maxRequestIDLen {
		return id[:maxRequestIDLen], invalid(figmast.HeaderRequestID, fmt.Sprintf("longer than %d bytes", maxRequestIDLen))
	}
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, MaxBodyBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(body); err != nil {
		return id, bodyProblem(err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return id, invalid("body", "more than one JSON value")
	}
	return id, nil
}

func bodyProblem(err error) *figmast.Problem {
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		p := invalid("body", fmt.Sprintf("larger than %d bytes", large.Limit))
		p.Status = http.StatusRequestEntityTooLarge
		return p
	}
	var wrong *json.UnmarshalTypeError
	if errors.As(err, &wrong) {
		return invalid(wrong.Field, "a "+wrong.Value+" where a "+wrong.Type.String()+" belongs")
	}
	return invalid("body", err.Error())
}

func requestID(r *http.Request) string {
	if id := r.Header.Get(figmast.HeaderRequestID); id != "" {
		return id
	}
	return uuid.NewString()
}

func checkValues(u figmast.Urgency, worth float64) *figmast.Problem {
	switch u {
	case "", figmast.Urgent, figmast.Normal, figmast.Bulk:
	default:
		return invalid("urgency", "none of urgent, normal, bulk")
	}
	if worth < 0 || math.IsNaN(worth) || math.IsInf(worth, 0) {
		return invalid("worth", "below 0")
	}
	return nil
}

func checkCommand(c figmast.CommandRequest) *figmast.Problem {
	switch {
	case c.ShardKey == "":
		return invalid("shard_key", "missing")
	case len(c.ShardKey) > maxKeyLen:
		return invalid("shard_key", fmt.Sprintf("longer than %d bytes", maxKeyLen))
	case c.Key != "":
		return invalid("key", "a key without a ticket cannot be run at most once; take a ticket")
	case c.Ticket == "":
		return invalid("ticket", "missing")
	}
	return checkValues(c.Urgency, c.Worth)
}

// unhandled makes a refusal of a command true of all sendings of its ticket:
// this host cannot know what became of the others.
func unhandled(c figmast.CommandRequest, p *figmast.Problem) *figmast.Problem {
	if c.Ticket != "" {
		p.Outcome = figmast.Unknown
		p.Unhandled = true
	}
	return p
}

// ready tells why no request for the service is taken, or nil.
func (s *server) ready(name string) *figmast.Problem {
	if s.Draining() {
		return unavailable("the host is leaving", "admit")
	}
	return s.known(name)
}

// known tells why the service is not known here, or nil.
func (s *server) known(name string) *figmast.Problem {
	v := s.View()
	switch {
	case v == nil:
		return unavailable("the host has no configuration yet", "admit")
	case v.Services[name] == nil:
		p := invalid("service", "unknown: "+name)
		p.Status = http.StatusNotFound
		return p
	}
	return nil
}

func (s *server) prepare(r *http.Request, id, operation string, kind document.Kind) (call, *figmast.Problem) {
	name := mux.Vars(r)["service"]
	if p := s.takes(name, kind); p != nil {
		return call{}, p
	}
	doc := s.View().Services[name]
	op, ok := doc.Operation(operation)
	if !ok || op.Kind != kind {
		return call{}, invalid("operation", fmt.Sprintf("%q is no %s of the service", operation, kind))
	}
	left, p := timeLeft(r, op)
	if p != nil {
		return call{}, p
	}
	return call{id: id, doc: doc, op: op, deadline: s.Clock().Add(left)}, nil
}

// takes tells why no request of that kind is taken, or nil. A leaving host
// still runs the commands that it gave tickets for, and tells their outcome.
func (s *server) takes(name string, kind document.Kind) *figmast.Problem {
	if kind == document.Command {
		return s.known(name)
	}
	return s.ready(name)
}

func timeLeft(r *http.Request, op document.Operation) (time.Duration, *figmast.Problem) {
	text := r.Header.Get(figmast.HeaderDeadline)
	if text == "" {
		return op.Deadline.Std(), nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms < 1 {
		return 0, invalid(figmast.HeaderDeadline, "not a number of milliseconds above 0")
	}
	limit := op.MaxDeadline.Std()
	if ms > limit.Milliseconds() {
		return 0, invalid(figmast.HeaderDeadline, fmt.Sprintf("above the operation's limit of %v", limit))
	}
	return time.Duration(ms) * time.Millisecond, nil
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
	s.refuse(w, requestID(r), &figmast.Problem{Title: "no such path", Status: http.StatusNotFound, Outcome: figmast.NotRun})
}

func (s *server) notAllowed(w http.ResponseWriter, r *http.Request) {
	s.refuse(w, requestID(r), &figmast.Problem{Title: "method not allowed", Status: http.StatusMethodNotAllowed, Outcome: figmast.NotRun})
}

// Package relay carries leaf calls through the peer that holds a backend
// server's connections. A fleet with more hosts than a leaf takes connections
// needs it; a smaller one calls directly.
package relay

import (
	"context"
	"errors"
	"time"

	"github.com/figmast/figmast/internal/fault"
	"github.com/figmast/figmast/leafcall"
	"github.com/figmast/figmast/policy"
	"github.com/figmast/figmast/view"
	"github.com/figmast/figmast/wire"
)

// DirectTransport makes leaf calls over this host's own connections.
type DirectTransport interface {
	Call(ctx context.Context, s leafcall.Send) leafcall.Result
	Apply(shares []policy.Share)
}

// Requester sends a message to a peer and returns its answer.
type Requester interface {
	Request(ctx context.Context, address string, m *wire.Message) (*wire.Message, error)
}

// Options configure a Carrier.
type Options struct {
	Direct DirectTransport
	Peers  Requester
	// Clock returns the host's time.
	Clock func() time.Time
	// View returns the view in force, or nil.
	View func() *view.View
	// Admission decide about calls that peers ask for.
	Admission Admission
}

// Admission keep calls for peers and a host's own within one limit.
type Admission interface {
	// BeginRelayed returns the backend server for a peer's call, or why this
	// host does not make it, and what to call with the result.
	BeginRelayed(service, leaf, server string) (*policy.Server, func(leafcall.Result), error)
}

// Relay makes leaf calls directly, or through the peer that they name. It
// is safe for concurrent use.
type Relay struct{ opts Options }

// New returns a Carrier.
func New(opts Options) *Relay { return &Relay{opts} }

// Apply sets the shares of connections in force.
func (c *Relay) Apply(shares []policy.Share) { c.opts.Direct.Apply(shares) }

// Call makes one leaf call.
func (c *Relay) Call(ctx context.Context, s leafcall.Send) leafcall.Result {
	if s.Via.ID == "" {
		return c.opts.Direct.Call(ctx, s)
	}
	now := c.opts.Clock()
	if s.Guard != nil && !s.Guard(now) {
		err := relayFault("guard", s, errors.New("the call is no longer allowed"))
		return leafcall.Result{Status: leafcall.NotSent, Blame: leafcall.BlameSelf, Err: err}
	}
	ctx, cancel := context.WithTimeout(ctx, s.Deadline.Sub(now))
	defer cancel()
	answer, err := c.opts.Peers.Request(ctx, s.Via.Address, &wire.Message{LeafCall: encode(s, now)})
	switch {
	case err != nil:
		return unanswered(ctx, s, err)
	case answer.LeafResult == nil:
		return unanswered(ctx, s, errors.New("the peer did not answer with a leaf result"))
	}
	return decode(s, answer.LeafResult)
}

func relayFault(step string, s leafcall.Send, err error) error {
	return fault.Wrap(fault.Peer, step, s.Via.ID, err)
}

// stepConnect is where a request to a peer fails before anything was sent.
const stepConnect = "connect"

func unanswered(ctx context.Context, s leafcall.Send, err error) leafcall.Result {
	r := leafcall.Result{Status: leafcall.Broken, Sent: true, Blame: leafcall.BlameHolder, Err: relayFault("relay", s, err)}
	step, _ := fault.Origin(err)
	switch {
	case step == stepConnect:
		r.Status = leafcall.NotSent
		r.Sent = false
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		r.Status = leafcall.Timeout
		r.Blame = leafcall.BlameServer
	case ctx.Err() != nil:
		r.Status = leafcall.Cancelled
		r.Blame = leafcall.BlameServer
	}
	return r
}

func encode(s leafcall.Send, now time.Time) *wire.LeafCall {
	return &wire.LeafCall{
		ID: uint64(s.ID), Service: s.Server.Service, Leaf: s.Server.Leaf, Server: s.Server.ID,
		RequestID: s.RequestID, Operation: s.Operation, Snapshot: s.Snapshot, Payload: s.Payload,
		Command: s.Command, LeftUs: s.Deadline.Sub(now).Microseconds(),
	}
}

func decode(s leafcall.Send, r *wire.LeafResult) leafcall.Result {
	out := leafcall.Result{
		Status: leafcall.Status(r.Status), Body: r.Body, Snapshot: r.Snapshot, Cold: r.Cold, Sent: r.Sent,
		RetryAfter: time.Duration(r.RetryAfterUs) * time.Microsecond,
	}
	if r.Self {
		out.Blame = leafcall.BlameSelf
	}
	if r.Error != "" {
		out.Err = relayFault("relayed", s, errors.New(r.Error))
	}
	return out
}

// mayCall reports whether the view in force still has the server take work; it
// may be a newer one than the server was chosen by.
func (c *Relay) mayCall(now time.Time, srv *policy.Server) bool {
	return c.opts.View().MayCall(now, srv.Service, srv.Leaf, srv.ID)
}

// Serve makes a leaf call that a peer asks for.
func (c *Relay) Serve(ctx context.Context, call *wire.LeafCall) *wire.Message {
	res := c.serve(ctx, call)
	out := &wire.LeafResult{
		Status: int(res.Status), Body: res.Body, Snapshot: res.Snapshot, Cold: res.Cold, Sent: res.Sent,
		RetryAfterUs: res.RetryAfter.Microseconds(), Self: res.Blame != leafcall.BlameServer,
	}
	if res.Err != nil {
		out.Error = res.Err.Error()
	}
	return &wire.Message{LeafResult: out}
}

func (c *Relay) serve(ctx context.Context, call *wire.LeafCall) leafcall.Result {
	srv, end, err := c.opts.Admission.BeginRelayed(call.Service, call.Leaf, call.Server)
	if err != nil {
		return leafcall.Result{Status: leafcall.NotSent, Blame: leafcall.BlameSelf, Err: fault.Wrap(fault.Peer, "serve", call.Server, err)}
	}
	deadline := c.opts.Clock().Add(time.Duration(call.LeftUs) * time.Microsecond)
	res := c.opts.Direct.Call(ctx, leafcall.Send{
		ID: leafcall.ID(call.ID), Server: srv, RequestID: call.RequestID, Operation: call.Operation,
		Snapshot: call.Snapshot, Payload: call.Payload, Command: call.Command, Deadline: deadline,
		Guard: func(now time.Time) bool { return c.mayCall(now, srv) && now.Before(deadline) },
	})
	end(res)
	return res
}

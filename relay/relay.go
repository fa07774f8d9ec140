// Package relay makes leaf calls through the peer that holds the connections to
// the backend server. It is needed in a fleet with more hosts than a leaf accepts
// connections; in a smaller one, hosts call directly.
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

// Options configure a Relay.
type Options struct {
	Direct DirectTransport
	Peers  Requester
	// Clock returns the host's time.
	Clock func() time.Time
	// View returns the current view, or nil.
	View func() *view.View
	// Admission decides whether this host makes the calls that peers request.
	Admission Admission
}

// Admission applies the limits of the host's own calls to calls for peers too.
type Admission interface {
	// BeginRelayed admits a peer's call. It returns the backend server and a
	// function to call with the result, or the reason for not making the call.
	BeginRelayed(service, leaf, server string) (*policy.Server, func(leafcall.Result), error)
}

// Relay makes leaf calls directly, or through the peer that holds the
// connections. It is safe for concurrent use.
type Relay struct{ opts Options }

// New returns a Relay.
func New(opts Options) *Relay { return &Relay{opts} }

// Apply sets this host's shares of connections.
func (r *Relay) Apply(shares []policy.Share) { r.opts.Direct.Apply(shares) }

// Call makes one leaf call.
func (r *Relay) Call(ctx context.Context, s leafcall.Send) leafcall.Result {
	if s.Via.ID == "" {
		return r.opts.Direct.Call(ctx, s)
	}
	now := r.opts.Clock()
	if s.Guard != nil && !s.Guard(now) {
		err := wrapError("guard", s, errors.New("the call is no longer allowed"))
		return leafcall.Result{Status: leafcall.NotSent, Blame: leafcall.BlameSelf, Err: err}
	}
	ctx, cancel := context.WithTimeout(ctx, s.Deadline.Sub(now))
	defer cancel()
	answer, err := r.opts.Peers.Request(ctx, s.Via.Address, &wire.Message{LeafCall: encodeCall(s, now)})
	switch {
	case err != nil:
		return requestFailed(ctx, s, err)
	case answer.LeafResult == nil:
		return requestFailed(ctx, s, errors.New("the peer did not answer with a leaf result"))
	}
	return decodeResult(s, answer.LeafResult)
}

func wrapError(step string, s leafcall.Send, err error) error {
	return fault.Wrap(fault.Peer, step, s.Via.ID, err)
}

// stepConnect is the step at which a request to a peer fails before anything is
// sent.
const stepConnect = "connect"

func requestFailed(ctx context.Context, s leafcall.Send, err error) leafcall.Result {
	r := leafcall.Result{Status: leafcall.Broken, Sent: true, Blame: leafcall.BlameHolder, Err: wrapError("relay", s, err)}
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

func encodeCall(s leafcall.Send, now time.Time) *wire.LeafCall {
	return &wire.LeafCall{
		ID: uint64(s.ID), Service: s.Server.Service, Leaf: s.Server.Leaf, Server: s.Server.ID,
		RequestID: s.RequestID, Operation: s.Operation, Snapshot: s.Snapshot, Payload: s.Payload,
		Command: s.Command, RemainingUs: s.Deadline.Sub(now).Microseconds(),
	}
}

func decodeResult(s leafcall.Send, r *wire.LeafResult) leafcall.Result {
	out := leafcall.Result{
		Status: leafcall.Status(r.Status), Body: r.Body, Snapshot: r.Snapshot, Cold: r.Cold, Sent: r.Sent,
		RetryAfter: time.Duration(r.RetryAfterUs) * time.Microsecond,
	}
	if r.LocalFailure {
		out.Blame = leafcall.BlameSelf
	}
	if r.Error != "" {
		out.Err = wrapError("relayed", s, errors.New(r.Error))
	}
	return out
}

// mayCall reports whether the current view still allows calls to the server. The
// view may be newer than the one by which the server was chosen.
func (r *Relay) mayCall(now time.Time, srv *policy.Server) bool {
	return r.opts.View().MayCall(now, srv.Service, srv.Leaf, srv.ID)
}

// Serve makes a leaf call on behalf of a peer.
func (r *Relay) Serve(ctx context.Context, call *wire.LeafCall) *wire.Message {
	res := r.serve(ctx, call)
	out := &wire.LeafResult{
		Status: int(res.Status), Body: res.Body, Snapshot: res.Snapshot, Cold: res.Cold, Sent: res.Sent,
		RetryAfterUs: res.RetryAfter.Microseconds(), LocalFailure: res.Blame != leafcall.BlameServer,
	}
	if res.Err != nil {
		out.Error = res.Err.Error()
	}
	return &wire.Message{LeafResult: out}
}

func (r *Relay) serve(ctx context.Context, call *wire.LeafCall) leafcall.Result {
	srv, done, err := r.opts.Admission.BeginRelayed(call.Service, call.Leaf, call.Server)
	if err != nil {
		return leafcall.Result{Status: leafcall.NotSent, Blame: leafcall.BlameSelf, Err: fault.Wrap(fault.Peer, "serve", call.Server, err)}
	}
	deadline := r.opts.Clock().Add(time.Duration(call.RemainingUs) * time.Microsecond)
	res := r.opts.Direct.Call(ctx, leafcall.Send{
		ID: leafcall.ID(call.ID), Server: srv, RequestID: call.RequestID, Operation: call.Operation,
		Snapshot: call.Snapshot, Payload: call.Payload, Command: call.Command, Deadline: deadline,
		Guard: func(now time.Time) bool { return r.mayCall(now, srv) && now.Before(deadline) },
	})
	done(res)
	return res
}

package traffic

import (
	"errors"
	"time"

	"github.com/figmast/figmast/leafcall"
	"github.com/figmast/figmast/policy"
)

// BeginRelayed decides whether this host makes a leaf call on behalf of a peer.
// It returns the backend server and a function to call with the result, or an
// error with the reason for the refusal.
func (r *Runner) BeginRelayed(service, leaf, server string) (*policy.Server, func(leafcall.Result), error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.opts.Clock()
	srv, reason := r.opts.Router.PickForPeer(now, service, leaf, server)
	if srv == nil {
		return nil, nil, errors.New(string(reason))
	}
	r.opts.Router.Begin(now, srv)
	end := func(res leafcall.Result) {
		r.mu.Lock()
		defer r.mu.Unlock()
		done := r.opts.Clock()
		r.opts.Router.Done(done, srv, policy.Observation{Result: res.Observed(), Latency: done.Sub(now), Cold: res.Cold})
	}
	return srv, end, nil
}

// IsReady reports whether this host is ready to serve. If so, its connection
// shares have been applied.
func (r *Runner) IsReady() bool {
	r.mu.Lock()
	isReady := r.opts.Router.IsReady(r.opts.Clock())
	r.mu.Unlock()
	if isReady {
		r.advanceShares()
	}
	return isReady
}

// advanceShares updates the connection shares, which grow or expire with time.
func (r *Runner) advanceShares() { r.apply(r.opts.Router.Advance) }

// apply calls change under the lock, to change the state of the Router. If change
// reports that the connection shares may have changed, apply passes them to the
// transport. Shares reach the transport in the order in which they were computed.
func (r *Runner) apply(change func(now time.Time) bool) {
	r.applyMu.Lock()
	defer r.applyMu.Unlock()
	if shares, changed := r.changedShares(change); changed {
		r.opts.Transport.Apply(shares)
	}
}

func (r *Runner) changedShares(change func(now time.Time) bool) (shares []policy.Share, changed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !change(r.opts.Clock()) {
		return nil, false
	}
	return r.opts.Router.Shares(), true
}

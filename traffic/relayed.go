package traffic

import (
	"errors"

	"github.com/figmast/figmast/leafcall"
	"github.com/figmast/figmast/policy"
)

// BeginRelayed decides whether this host makes a leaf call for a peer. It
// returns the backend server, or why not, and what to call with the result.
func (r *Runner) BeginRelayed(service, leaf, server string) (*policy.Server, func(leafcall.Result), error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.opts.Clock()
	srv, reason := r.opts.Router.Relay(now, service, leaf, server)
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

// Settled reports whether this host can serve by now; if so, its shares are in
// force.
func (r *Runner) Settled() bool {
	r.mu.Lock()
	settled := r.opts.Router.Settled(r.opts.Clock())
	r.mu.Unlock()
	if settled {
		r.advance()
	}
	return settled
}

// advance lets shares of connections grow, or lapse, with time.
func (r *Runner) advance() {
	r.mu.Lock()
	changed := r.opts.Router.Advance(r.opts.Clock())
	var shares []policy.Share
	if changed {
		shares = r.opts.Router.Shares()
	}
	r.mu.Unlock()
	if changed {
		r.opts.Carrier.Apply(shares)
	}
}

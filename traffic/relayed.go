package traffic

import (
	"errors"
	"time"

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

// IsReady reports whether this host can serve by now; if so, its shares are in
// force.
func (r *Runner) IsReady() bool {
	r.mu.Lock()
	settled := r.opts.Router.Settled(r.opts.Clock())
	r.mu.Unlock()
	if settled {
		r.advance()
	}
	return settled
}

// advance lets shares of connections grow, or lapse, with time.
func (r *Runner) advance() { r.apply(r.opts.Router.Advance) }

// apply changes what the policy goes by and, where that changed the shares of
// connections, puts them in force. Shares reach the carrier in the order in
// which they were worked out.
func (r *Runner) apply(change func(now time.Time) bool) {
	r.applying.Lock()
	defer r.applying.Unlock()
	if shares, changed := r.sharesAfter(change); changed {
		r.opts.Transport.Apply(shares)
	}
}

func (r *Runner) sharesAfter(change func(now time.Time) bool) (shares []policy.Share, changed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !change(r.opts.Clock()) {
		return nil, false
	}
	return r.opts.Router.Shares(), true
}

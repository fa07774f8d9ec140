package policy

import "time"

// PickForPeer returns the backend server for a call that this host makes for a
// peer without connections to it, or nil and the reason why it may not. This
// host's own view counts, not the peer's. Begin and Done follow as after Pick,
// so that calls for peers and its own calls share one limit.
func (r *Router) PickForPeer(now time.Time, service, leaf, id string) (*Server, Reason) {
	at := r.at(now)
	if !r.view.Valid(now) {
		return nil, StaleView
	}
	l := r.leaf(service, leaf)
	if l == nil {
		return nil, UnknownLeaf
	}
	for _, srv := range l.servers {
		if srv.ID == id {
			return r.checkForPeer(at, srv)
		}
	}
	return nil, NoServer
}

func (r *Router) checkForPeer(at time.Duration, srv *Server) (*Server, Reason) {
	switch {
	case !srv.active():
		return nil, AllOut
	case srv.share == 0:
		return nil, NoServer
	case srv.inFlight >= r.inFlightLimit(at, srv):
		return nil, srv.fullReason()
	}
	return srv, Picked
}

// Joined reports whether this host may hold connections yet: a new host waits
// until the others have made room for it. It is also false while the view is
// not valid.
func (r *Router) Joined(now time.Time) bool {
	return r.view.Valid(now) && r.fleet.joined(r.at(now))
}

// IsReady reports whether this host can serve requests: it may hold
// connections, or it has waited as long as a new host does and can call through
// peers. The latter lets a host serve that is not on the platform's host list,
// as while the platform is down.
func (r *Router) IsReady(now time.Time) bool {
	if r.Joined(now) {
		return true
	}
	at := r.at(now)
	return r.view.Valid(now) && at-r.fleet.startedAt >= r.fleet.joinWait() && r.fleet.hasHolders(at)
}

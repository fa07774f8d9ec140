package policy

import "time"

// PickForPeer decides whether this host makes a call to the backend server for a
// peer that holds no connections to it: nil and why where it may not. This
// host's own view counts, not the peer's. Begin and Done follow as after
// Pick, so that calls for peers and its own stay within one limit.
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
			return r.relay(at, srv)
		}
	}
	return nil, NoServer
}

func (r *Router) relay(at time.Duration, srv *Server) (*Server, Reason) {
	switch {
	case !srv.active():
		return nil, AllOut
	case srv.share == 0:
		return nil, NoServer
	case srv.inFlight >= r.bound(at, srv):
		return nil, srv.fullReason()
	}
	return srv, Picked
}

// Joined reports whether this host may hold connections by now: a newcomer
// waits until the others have made room. It is false as well while the view
// is not valid.
func (r *Router) Joined(now time.Time) bool {
	return r.view.Valid(now) && r.fleet.joined(r.at(now))
}

// CanServe reports whether this host can serve by now: it may hold connections,
// or it has waited as long as a newcomer does and can call through others. A
// host that the platform's list does not hold, as while the platform is down,
// serves that way.
func (r *Router) CanServe(now time.Time) bool {
	if r.Joined(now) {
		return true
	}
	at := r.at(now)
	return r.view.Valid(now) && at-r.fleet.began >= r.fleet.joinWait() && r.fleet.hasHolders(at)
}

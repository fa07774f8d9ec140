package policy

import "github.com/figmast/figmast/view"

// Renew replaces the view by one that differs only in its validity. The shares
// follow with the next Advance.
func (r *Router) Renew(v *view.View) {
	old := r.view
	r.view = v
	if old != nil && !old.Valid(r.start.Add(r.last)) {
		r.rejoinAfterLapse(old)
	}
}

// rejoinAfterLapse makes this host wait for its shares after a time without a
// valid view, unless it is known to have stayed on the host list.
func (r *Router) rejoinAfterLapse(old *view.View) {
	if old.ListedRevision != 0 && old.ListedRevision == r.view.ListedRevision {
		return
	}
	r.fleet.rejoin(r.last)
	r.sharesInForce = false
}

package policy

import "github.com/figmast/figmast/view"

// Renew puts a view in force that differs from the last one only in how long
// it may be acted on. Advance takes up what follows for the shares.
func (r *Router) Renew(v *view.View) {
	old := r.view
	r.view = v
	if old != nil && !old.Valid(r.start.Add(r.last)) {
		r.returned(old)
	}
}

// returned makes this host wait for its shares after a time without a valid
// view, unless it is known to have stayed on the host list.
func (r *Router) returned(old *view.View) {
	if old.ListedRevision != 0 && old.ListedRevision == r.view.ListedRevision {
		return
	}
	r.fleet.rejoin(r.last)
	r.sharing = false
}

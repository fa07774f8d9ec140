package traffic

import "github.com/figmast/figmast/view"

// RenewView puts a view in force that differs from the last one only in how
// long it may be acted on.
func (r *Runner) RenewView(v *view.View) {
	r.mu.Lock()
	r.opts.Router.Renew(v)
	r.view.Store(v)
	r.mu.Unlock()
	r.advance()
}

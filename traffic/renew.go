package traffic

import (
	"time"

	"github.com/figmast/figmast/view"
)

// RenewView puts a view in force that differs from the last one only in how
// long it may be acted on.
func (r *Runner) RenewView(v *view.View) {
	r.apply(func(now time.Time) bool {
		r.opts.Router.Renew(v)
		r.view.Store(v)
		return r.opts.Router.Advance(now)
	})
}

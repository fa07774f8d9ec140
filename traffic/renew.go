package traffic

import (
	"time"

	"github.com/figmast/figmast/view"
)

// RenewView makes v the current view. It must differ from the last view only in
// its validity period.
func (r *Runner) RenewView(v *view.View) {
	r.apply(func(now time.Time) bool {
		r.opts.Router.Renew(v)
		r.view.Store(v)
		return r.opts.Router.Advance(now)
	})
}

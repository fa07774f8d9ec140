package policy

import "github.com/figmast/figmast/view"

// Renew puts a view in force that differs from the last one only in how long
// it may be acted on.
func (r *Router) Renew(v *view.View) { r.view = v }

// Package fault annotates errors with the step that failed and the peer with
// which it failed.
package fault

import "github.com/joomcode/errorx"

var (
	namespace    = errorx.NewNamespace("figmast")
	stepProperty = errorx.RegisterPrintableProperty("step")
	peerProperty = errorx.RegisterPrintableProperty("peer")
)

// Types of errors, by the kind of peer.
var (
	Platform = namespace.NewType("platform")
	Peer     = namespace.NewType("peer")
	Backend  = namespace.NewType("backend")
)

// Wrap returns err with a type, a step and a peer.
func Wrap(t *errorx.Type, step, peer string, err error) error {
	return t.Wrap(err, "%s %s", step, peer).
		WithProperty(stepProperty, step).
		WithProperty(peerProperty, peer)
}

// Origin returns the step and the peer of an error from Wrap, or empty strings
// for any other error.
func Origin(err error) (step, peer string) {
	x := errorx.Cast(err)
	if x == nil {
		return "", ""
	}
	if v, ok := x.Property(stepProperty); ok {
		step, _ = v.(string)
	}
	if v, ok := x.Property(peerProperty); ok {
		peer, _ = v.(string)
	}
	return step, peer
}

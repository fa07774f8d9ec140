// Package fault makes errors that carry the step and the peer at which they
// arose.
package fault

import "github.com/joomcode/errorx"

var (
	namespace = errorx.NewNamespace("figmast")
	step      = errorx.RegisterPrintableProperty("step")
	peer      = errorx.RegisterPrintableProperty("peer")
)

// Types of faults, by the outside party that they arose with.
var (
	Platform = namespace.NewType("platform")
	Peer     = namespace.NewType("peer")
	Backend  = namespace.NewType("backend")
)

// Wrap returns err with its type, step and peer.
func Wrap(t *errorx.Type, atStep, atPeer string, err error) error {
	return t.Wrap(err, "%s %s", atStep, atPeer).
		WithProperty(step, atStep).
		WithProperty(peer, atPeer)
}

// Origin returns the step and the peer that err carries, or empty strings.
func Origin(err error) (atStep, atPeer string) {
	x := errorx.Cast(err)
	if x == nil {
		return "", ""
	}
	if v, ok := x.Property(step); ok {
		atStep, _ = v.(string)
	}
	if v, ok := x.Property(peer); ok {
		atPeer, _ = v.(string)
	}
	return atStep, atPeer
}

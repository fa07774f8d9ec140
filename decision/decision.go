// Package decision describes the decisions that the engines take on each
// request, so that they can be explained to operators. It does no I/O.
package decision

// Kind is the kind of a decision.
type Kind string

// Kinds of decisions.
const (
	Admitted  Kind = "admitted"
	Queued    Kind = "queued"
	Refused   Kind = "refused"
	Pinned    Kind = "pinned"
	Sent      Kind = "sent"
	Hedged    Kind = "hedged"
	NoHedge   Kind = "no_hedge"
	Retried   Kind = "retried"
	NoRetry   Kind = "no_retry"
	GaveUp    Kind = "gave_up"
	Claimed   Kind = "claimed"
	Joined    Kind = "joined"
	Forwarded Kind = "forwarded"
	Answered  Kind = "answered"
)

// Decision is a decision taken on a request.
type Decision struct {
	Request string
	Service string
	Kind    Kind
	// Leaf and Server are set if the decision concerns one.
	Leaf   string
	Server string
	// Reason is a short explanation.
	Reason string
}

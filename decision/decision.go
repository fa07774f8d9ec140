// Package decision holds what the engines report about each decision on a
// request, so that operators can have it explained. It does no I/O.
package decision

// Kind says what was decided.
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

// Decision is one decision on one request.
type Decision struct {
	Request string
	Service string
	Kind    Kind
	// Leaf and Server are set where the decision is about one.
	Leaf   string
	Server string
	// Reason tells why, in a few words.
	Reason string
}

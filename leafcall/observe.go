package leafcall

import "github.com/figmast/figmast/policy"

// Observed converts the result to what it tells the policy about the server.
func (r Result) Observed() policy.Result {
	if r.Blame != BlameServer {
		return policy.ResultInconclusive
	}
	switch r.Status {
	case OK, SnapshotGone, Rejected:
		return policy.ResultOK
	case Shed:
		return policy.ResultShed
	case NotSent:
		return policy.ResultNotSent
	case Timeout:
		return policy.ResultTimeout
	case Cancelled:
		return policy.ResultCancelled
	default:
		return policy.ResultBroken
	}
}

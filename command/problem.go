package command

import (
	"net/http"
	"time"

	figmast "github.com/figmast/figmast"
)

// resendDelay is how long a caller should wait before it resends the same ticket
// to get the outcome.
const resendDelay = 200 * time.Millisecond

// The outcome of a problem is that of the ticket's command, no matter how often
// and through which hosts the command was sent. Only the process that minted the
// ticket knows the outcome, and it reports NotRun only if it will never run the
// command later. Any other process reports Unknown, and sets Unhandled if it did
// not pass on this request to any other process.

func problem(status int, title, detail string, o figmast.Outcome) *figmast.Problem {
	return &figmast.Problem{
		Type: "about:blank", Title: title, Status: status, Detail: detail, Step: "command", Outcome: o,
	}
}

// invalidTicket may report NotRun on any host, because no host ever runs a
// request without a valid ticket.
func invalidTicket(req Request) *figmast.Problem {
	p := problem(http.StatusBadRequest, "not a ticket for this service", req.Service, figmast.NotRun)
	p.Field = "ticket"
	return p
}

// forgedTicket may report NotRun because it is only used by the process that the
// ticket names, and no other process accepts the ticket.
func forgedTicket() *figmast.Problem {
	p := problem(http.StatusForbidden, "this host did not mint the ticket", "", figmast.NotRun)
	p.Field = "ticket"
	return p
}

// contentMismatch reports the outcome of the refused request, not that of the
// command which has claimed the ticket: the request never runs, because the
// ticket permanently belongs to a command with different content.
func contentMismatch() *figmast.Problem {
	p := problem(http.StatusUnprocessableEntity, "the ticket belongs to another command",
		"operation, shard_key or payload differ from the first use of the ticket; this one has not run and will not", figmast.NotRun)
	p.Field = "ticket"
	return p
}

func minterGone(t Ticket) *figmast.Problem {
	p := problem(http.StatusConflict, "the process that minted the ticket is gone", "what ran is not known", figmast.Unknown)
	p.Peer = t.Host
	p.Unhandled = true
	return p
}

func minterNotListed(t Ticket) *figmast.Problem {
	p := problem(http.StatusConflict, "the host that minted the ticket is not listed", "it is gone, or not known here yet", figmast.Unknown)
	p.Peer = t.Host
	p.Unhandled = true
	p.RetryAfterMs = resendDelay.Milliseconds()
	return p
}

func ticketLapsed() *figmast.Problem {
	p := problem(http.StatusGone, "the ticket has expired", "its outcome, if it was used, is forgotten", figmast.Unknown)
	p.Field = "ticket"
	p.Unhandled = true
	return p
}

func minterUnreachable() *figmast.Problem {
	p := minterNoAnswer()
	p.Unhandled = true
	return p
}

func minterNoAnswer() *figmast.Problem {
	p := problem(http.StatusBadGateway, "the host that minted the ticket did not answer", "send the ticket again to learn the outcome", figmast.Unknown)
	p.RetryAfterMs = resendDelay.Milliseconds()
	return p
}

func deadlineExceeded() *figmast.Problem {
	p := problem(http.StatusGatewayTimeout, "the outcome is not known in time", "send the ticket again to learn it", figmast.Unknown)
	p.RetryAfterMs = resendDelay.Milliseconds()
	return p
}

func resultNotHeld(service string) *figmast.Problem {
	return problem(http.StatusGone, "the command ran, but its result is no longer held", service, figmast.Ran)
}

func unknownService(service string) *figmast.Problem {
	return problem(http.StatusNotFound, "unknown service", service, figmast.NotRun)
}

func unknownOperation(operation string) *figmast.Problem {
	p := problem(http.StatusBadRequest, "not a command of the service", operation, figmast.NotRun)
	p.Field = "operation"
	return p
}

func mayHaveRun(server string) *figmast.Problem {
	p := problem(http.StatusBadGateway, "the command may have run", "the backend server did not say", figmast.Unknown)
	p.Peer = server
	return p
}

// notRunProblem reports that the command has not run and never will with this
// ticket. wait is after how long a retry with a new ticket may succeed.
func notRunProblem(title, detail, server string, wait time.Duration) *figmast.Problem {
	p := problem(http.StatusServiceUnavailable, title, detail, figmast.NotRun)
	p.Peer = server
	p.RetryAfterMs = max(wait.Milliseconds(), 1)
	return p
}

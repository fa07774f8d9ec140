package command

import (
	"net/http"
	"time"

	figmast "github.com/figmast/figmast"
)

// comeBack is after how long a resend of the same ticket may tell more.
const comeBack = 200 * time.Millisecond

// The outcome of a problem speaks of the ticket's command, however often and
// through whichever hosts it was sent. Only the process that minted the
// ticket can tell it, and says NotRun only where it never runs the command
// later. Any other process says Unknown; with Unhandled where it passed this
// sending to nobody.

func problem(status int, title, detail string, o figmast.Outcome) *figmast.Problem {
	return &figmast.Problem{
		Type: "about:blank", Title: title, Status: status, Detail: detail, Step: "command", Outcome: o,
	}
}

// notATicket is true of every host: none runs this request, ever.
func notATicket(req Request) *figmast.Problem {
	p := problem(http.StatusBadRequest, "not a ticket for this service", req.Service, figmast.NotRun)
	p.Field = "ticket"
	return p
}

// forged is told by the process that the ticket names; no other takes it.
func forged() *figmast.Problem {
	p := problem(http.StatusForbidden, "this host did not mint the ticket", "", figmast.NotRun)
	p.Field = "ticket"
	return p
}

// otherContent is true of the request refused: its ticket belongs for good to
// a command of other content.
func otherContent() *figmast.Problem {
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

func notListed(t Ticket) *figmast.Problem {
	p := problem(http.StatusConflict, "the host that minted the ticket is not listed", "it is gone, or not known here yet", figmast.Unknown)
	p.Peer = t.Host
	p.Unhandled = true
	p.RetryAfterMs = comeBack.Milliseconds()
	return p
}

func lapsed() *figmast.Problem {
	p := problem(http.StatusGone, "the ticket has expired", "its outcome, if it was used, is forgotten", figmast.Unknown)
	p.Field = "ticket"
	p.Unhandled = true
	return p
}

func unreachable() *figmast.Problem {
	p := noAnswer()
	p.Unhandled = true
	return p
}

func noAnswer() *figmast.Problem {
	p := problem(http.StatusBadGateway, "the host that minted the ticket did not answer", "send the ticket again to learn the outcome", figmast.Unknown)
	p.RetryAfterMs = comeBack.Milliseconds()
	return p
}

func outOfTime() *figmast.Problem {
	p := problem(http.StatusGatewayTimeout, "the outcome is not known in time", "send the ticket again to learn it", figmast.Unknown)
	p.RetryAfterMs = comeBack.Milliseconds()
	return p
}

func resultForgotten(service string) *figmast.Problem {
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

// comeAgain tells of a command that has not run and will not under this
// ticket, and when a fresh ticket may serve better.
func comeAgain(title, detail, server string, wait time.Duration) *figmast.Problem {
	p := problem(http.StatusServiceUnavailable, title, detail, figmast.NotRun)
	p.Peer = server
	p.RetryAfterMs = max(wait.Milliseconds(), 1)
	return p
}

package figmast

import (
	"context"
	"time"
)

// Command runs a command at most once. It takes a ticket and sends the command to
// the host that minted it. It retries with the same ticket at other hosts until the
// outcome is known or ctx is done. It uses another ticket only if the command is
// known not to have run.
//
// The error is a *Problem. Its Outcome is NotRun if no backend server has run or
// will run the command, Ran if the command ran but its result is lost, and Unknown
// if neither can be determined. Ticket and Key of cmd must be empty.
func (c *Client) Command(ctx context.Context, service string, cmd CommandRequest) (*CommandAnswer, error) {
	ctx, cancel := c.withDeadline(ctx)
	defer cancel()
	if cmd.Ticket != "" || cmd.Key != "" {
		return nil, &Problem{Type: "about:blank", Title: "the client takes tickets itself", Field: "ticket", Outcome: NotRun}
	}
	for attempt := 0; ; attempt++ {
		t, p := c.tickets.get(ctx, service)
		if p != nil {
			return nil, p
		}
		cmd.Ticket = t.text
		ans, p := c.runTicket(ctx, service, cmd, t)
		if p == nil {
			return ans, nil
		}
		if p.Outcome != NotRun || !p.canRetry() {
			return nil, p
		}
		if !sleep(ctx, c.retryWait(p, attempt)) {
			return nil, p.withContextError(ctx, NotRun)
		}
	}
}

// runTicket sends a command with one ticket until its outcome is known or another
// attempt cannot help. It returns NotRun only if none of the attempts can have run
// the command.
func (c *Client) runTicket(ctx context.Context, service string, cmd CommandRequest, t unusedTicket) (*CommandAnswer, *Problem) {
	hosts := startingWith(t.host, c.hostsInOrder())
	mayBeHandled := false
	for attempt := 0; ; attempt++ {
		ans := new(CommandAnswer)
		p := c.call(ctx, hosts[attempt%len(hosts)], service, commandVerb, cmd, ans)
		if p == nil {
			return ans, nil
		}
		mayBeHandled = mayBeHandled || !p.Unhandled
		switch {
		case p.Outcome != Unknown:
			return nil, p
		case !mayBeHandled:
			c.tickets.discardHost(service, t.host)
			return nil, p.asNotRun()
		case !p.canRetry():
			return nil, p
		}
		if !sleep(ctx, c.retryWait(p, attempt)) {
			return nil, p.withContextError(ctx, Unknown)
		}
	}
}

// asNotRun returns the problem for a ticket that no host has accepted. Its command
// has not run and will not, because only this client has the ticket. Unless the
// request itself was invalid (a 4xx status other than 409 and 410), the problem
// allows a retry, which uses another ticket.
func (p *Problem) asNotRun() *Problem {
	out := *p
	out.Outcome = NotRun
	out.Unhandled = false
	if out.Status < 400 || out.Status >= 500 || out.Status == 409 || out.Status == 410 {
		out.RetryAfterMs = max(out.RetryAfterMs, defaultRetryWait.Milliseconds())
	}
	return &out
}

// startingWith returns the hosts with the given one moved to the front.
func startingWith(first string, hosts []string) []string {
	out := append(make([]string, 0, len(hosts)), first)
	for _, h := range hosts {
		if h != first {
			out = append(out, h)
		}
	}
	return out
}

// unusedTicket is a ticket with which no command has been sent yet.
type unusedTicket struct {
	text string
	// host is the address of the host that minted the ticket, as in
	// ClientOptions.Hosts.
	host string
	// validUntil is the expiry of the ticket on the client's clock.
	validUntil time.Time
}

func (t unusedTicket) isUsable(now time.Time) bool {
	return now.Add(ticketExpiryMargin).Before(t.validUntil)
}

package figmast

import (
	"context"
	"time"
)

// Command has a command run at most once. It takes a ticket, sends the
// command to the host that minted it, and sends it again through further
// hosts until its outcome is known or ctx ends. Only when a ticket's command
// is known not to have run is another ticket used.
//
// The error is a *Problem: NotRun if no backend server has run the command or
// will, Ran if it ran but its result is lost, Unknown if it cannot be told.
// Ticket and Key of cmd must be empty.
func (c *Client) Command(ctx context.Context, service string, cmd CommandRequest) (*CommandAnswer, error) {
	ctx, cancel := c.bounded(ctx)
	defer cancel()
	if cmd.Ticket != "" || cmd.Key != "" {
		return nil, &Problem{Type: "about:blank", Title: "the client takes tickets itself", Field: "ticket", Outcome: NotRun}
	}
	for try := 0; ; try++ {
		t, p := c.stash.get(ctx, service)
		if p != nil {
			return nil, p
		}
		cmd.Ticket = t.text
		ans, p := c.runTicket(ctx, service, cmd, t)
		if p == nil {
			return ans, nil
		}
		if p.Outcome != NotRun || !p.worthRepeating() {
			return nil, p
		}
		if !pauseFor(ctx, c.wait(p, try)) {
			return nil, p.ended(ctx, NotRun)
		}
	}
}

// runTicket sends one ticket's command until its outcome is known or further
// sending does not help. NotRun is told only if no sending can have led to a
// run.
func (c *Client) runTicket(ctx context.Context, service string, cmd CommandRequest, t heldTicket) (*CommandAnswer, *Problem) {
	hosts := from(t.host, c.rotation())
	handled := false
	for try := 0; ; try++ {
		ans := new(CommandAnswer)
		p := c.call(ctx, hosts[try%len(hosts)], service, commandVerb, cmd, ans)
		if p == nil {
			return ans, nil
		}
		handled = handled || !p.Unhandled
		switch {
		case p.Outcome != Unknown:
			return nil, p
		case !handled:
			c.stash.drop(service, t.host)
			return nil, p.untouched()
		case !p.worthRepeating():
			return nil, p
		}
		if !pauseFor(ctx, c.wait(p, try)) {
			return nil, p.ended(ctx, Unknown)
		}
	}
}

// untouched is what a ticket comes to that no host has taken: its command has
// not run, since nobody else sends it.
func (p *Problem) untouched() *Problem {
	out := *p
	out.Outcome = NotRun
	out.Unhandled = false
	if out.Status < 400 || out.Status >= 500 || out.Status == 409 || out.Status == 410 {
		out.RetryAfterMs = max(out.RetryAfterMs, pauseBetween.Milliseconds())
	}
	return &out
}

// from returns the hosts with the first one in front.
func from(first string, hosts []string) []string {
	out := append(make([]string, 0, len(hosts)), first)
	for _, h := range hosts {
		if h != first {
			out = append(out, h)
		}
	}
	return out
}

// heldTicket is a ticket that no command was sent with yet.
type heldTicket struct {
	text string
	// host that minted it, as the client knows it.
	host string
	// until when it may be used, on the client's own clock.
	until time.Time
}

func (t heldTicket) usable(now time.Time) bool { return now.Add(ticketMargin).Before(t.until) }

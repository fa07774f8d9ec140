package command

import (
	"net/http"
	"time"

	figmast "github.com/figmast/figmast"
)

// lapseLeeway is how long a ticket is still accepted after the expiry that the
// caller was told. It allows for messages in transit and clock drift.
const lapseLeeway = 5 * time.Second

// batchWindow is the resolution at which live tickets are counted: a lapsed
// ticket counts for at most that much longer.
const batchWindow = time.Second

// batch counts the tickets that lapse within one batchWindow.
type batch struct {
	first, last time.Time
	count       int
}

// ticketCounter counts the tickets that have not lapsed. All tickets have the
// same lifetime, so they lapse in the order of their serials.
type ticketCounter struct {
	serial  uint64
	live    int
	batches []batch
}

// dropLapsed removes the lapsed tickets from the count.
func (c *ticketCounter) dropLapsed(now time.Time) {
	for len(c.batches) > 0 && !now.Before(c.batches[0].last) {
		c.live -= c.batches[0].count
		c.batches = c.batches[1:]
	}
}

// issue counts one more ticket and returns its serial.
func (c *ticketCounter) issue(lapse time.Time) uint64 {
	c.serial++
	c.live++
	if n := len(c.batches); n > 0 && lapse.Sub(c.batches[n-1].first) < batchWindow {
		c.batches[n-1].last = lapse
		c.batches[n-1].count++
		return c.serial
	}
	c.batches = append(c.batches, batch{first: lapse, last: lapse, count: 1})
	return c.serial
}

// Mint returns a new ticket of this process, or a problem if none can be issued.
// wall is the wall clock time. It only serves to tell the caller when the ticket
// expires.
func (e *Engine) Mint(now, wall time.Time, service string) (Ticket, *figmast.Problem) {
	now = e.advanceClock(now)
	e.tickets.dropLapsed(now)
	if e.isClosed {
		return Ticket{}, e.ticketProblem("the host is leaving", resendDelay)
	}
	if e.tickets.live >= e.opts.MaxTickets {
		return Ticket{}, e.ticketProblem("too many tickets are out", e.tickets.batches[0].last.Sub(now))
	}
	lapse := now.Add(e.opts.Lifetime + lapseLeeway)
	t := Ticket{
		Host:             e.opts.Host,
		Incarnation:      e.opts.Incarnation,
		Service:          service,
		Serial:           e.tickets.issue(lapse),
		ExpiresUnixMilli: wall.Add(e.opts.Lifetime).UnixMilli(),
		LapseNano:        lapse.UnixNano(),
	}
	t.MAC = sign(e.opts.Key, t)
	return t, nil
}

func (e *Engine) ticketProblem(title string, wait time.Duration) *figmast.Problem {
	return &figmast.Problem{
		Type: "about:blank", Title: title, Status: http.StatusServiceUnavailable, Step: "ticket",
		Peer: e.opts.Host, Outcome: figmast.NotRun, RetryAfterMs: max(wait.Milliseconds(), 1),
	}
}

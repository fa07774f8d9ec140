package command

import (
	"net/http"
	"time"

	figmast "github.com/figmast/figmast"
)

// lapseLeeway is how much longer than the caller was told a ticket is
// honoured, for messages under way and clocks that drift.
const lapseLeeway = 5 * time.Second

// mintWindow is how finely live tickets are counted.
const mintWindow = time.Second

// batch is the tickets whose lapses lie within one mintWindow.
type batch struct {
	first, last time.Time
	count       int
}

// mint counts the tickets that may still be used. All live equally long, so
// that they lapse in the order of their serials.
type mint struct {
	serial  uint64
	live    int
	batches []batch
}

// lapsed forgets the tickets that have lapsed.
func (m *mint) lapsed(now time.Time) {
	for len(m.batches) > 0 && !now.Before(m.batches[0].last) {
		m.live -= m.batches[0].count
		m.batches = m.batches[1:]
	}
}

// issue counts one more ticket and returns its serial.
func (m *mint) issue(lapse time.Time) uint64 {
	m.serial++
	m.live++
	if n := len(m.batches); n > 0 && lapse.Sub(m.batches[n-1].first) < mintWindow {
		m.batches[n-1].last = lapse
		m.batches[n-1].count++
		return m.serial
	}
	m.batches = append(m.batches, batch{first: lapse, last: lapse, count: 1})
	return m.serial
}

// Mint returns a new ticket of this process, or why there is none. wall is
// the wall clock, for the caller only.
func (e *Engine) Mint(now, wall time.Time, service string) (Ticket, *figmast.Problem) {
	now = e.observe(now)
	e.mint.lapsed(now)
	if e.closed {
		return Ticket{}, e.noTicket("the host is leaving", comeBack)
	}
	if e.mint.live >= e.opts.MaxTickets {
		return Ticket{}, e.noTicket("too many tickets are out", e.mint.batches[0].last.Sub(now))
	}
	lapse := now.Add(e.opts.Lifetime + lapseLeeway)
	t := Ticket{
		Host:             e.opts.Host,
		Incarnation:      e.opts.Incarnation,
		Service:          service,
		Serial:           e.mint.issue(lapse),
		ExpiresUnixMilli: wall.Add(e.opts.Lifetime).UnixMilli(),
		LapseNano:        lapse.UnixNano(),
	}
	t.MAC = sign(e.opts.Key, t)
	return t, nil
}

func (e *Engine) noTicket(title string, wait time.Duration) *figmast.Problem {
	return &figmast.Problem{
		Type: "about:blank", Title: title, Status: http.StatusServiceUnavailable, Step: "ticket",
		Peer: e.opts.Host, Outcome: figmast.NotRun, RetryAfterMs: max(wait.Milliseconds(), 1),
	}
}

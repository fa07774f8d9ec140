package policy

import (
	"time"

	"github.com/figmast/figmast/route"
)

// SlowSpan is when calls were sent to a server that took long, and when the
// last was sent that did not. Zero times say that there was none.
type SlowSpan struct {
	Server   string
	From     time.Time
	To       time.Time
	LastFast time.Time
}

const (
	// slowCall is a latency, against what is usual, that is noted as slow.
	slowCall = 3
	// quickCall is one that shows that the server is not slow now: servers
	// differ in speed by less.
	quickCall = 1.5
	// toldSlowCost is what a server costs that the hosts together find slow.
	toldSlowCost = 6
	// maxSlow bounds the spans that are kept until they are taken.
	maxSlow = 64
)

// noteSpeed keeps a slow call for the other hosts: each of many hosts sends a
// server few calls, and would find out alone that it is slow.
func (b *Balancer) noteSpeed(c *Call, latency time.Duration) {
	t := c.Target
	if float64(latency) <= quickCall*float64(c.ExpectedLatency) && c.Sent.After(t.quickAt) {
		t.quickAt = c.Sent
	}
	if latency < slowCall*c.ExpectedLatency || latency < overdueLeast {
		return
	}
	span, ok := b.slow[t.ID]
	if !ok && len(b.slow) >= maxSlow {
		return
	}
	if !ok {
		span = SlowSpan{Server: t.ID, From: c.Sent, To: c.Sent}
	}
	if c.Sent.Before(span.From) {
		span.From = c.Sent
	}
	if c.Sent.After(span.To) {
		span.To = c.Sent
	}
	b.slow[t.ID] = span
}

// TakeSlowSpans returns what the other hosts lack of servers that may be slow: the
// slow calls noted since the last time, and quick calls after slow ones.
func (b *Balancer) TakeSlowSpans() []SlowSpan {
	var out []SlowSpan
	for id, span := range b.slow {
		if t := b.byID[id]; t != nil {
			span.LastFast = t.quickAt
		}
		out = append(out, span)
	}
	clear(b.slow)
	for id, told := range b.toldSlow {
		if t := b.byID[id]; t != nil && told.Until.After(told.Since) && t.quickAt.After(told.Since) {
			out = append(out, SlowSpan{Server: id, LastFast: t.quickAt})
		}
	}
	return out
}

// SetSlowServers takes in what the hosts together know of servers that may be slow.
func (b *Balancer) SetSlowServers(servers map[string]route.Slowness) { b.toldSlow = servers }

package policy

import (
	"time"

	"github.com/figmast/figmast/route"
)

// SlowSpan tells when the slow calls to a server were sent, and when the last
// fast one was. Zero times mean that there was none.
type SlowSpan struct {
	Server   string
	From     time.Time
	To       time.Time
	LastFast time.Time
}

const (
	// slowCallRatio is the ratio of latency to expected latency from which a call
	// is recorded as slow.
	slowCallRatio = 3
	// fastCallRatio is the ratio up to which a call shows that the server is not
	// slow now: servers differ in speed by less.
	fastCallRatio = 1.5
	// slowServerCost is the cost factor of a server that is slow by the reports of
	// all hosts.
	slowServerCost = 6
	// maxSlowSpans bounds the spans kept until TakeSlowSpans.
	maxSlowSpans = 64
)

// recordSpeed records a slow call for the other hosts. Each of many hosts sends
// few calls to a server and would be late to detect alone that it is slow.
func (b *Balancer) recordSpeed(c *Call, latency time.Duration) {
	t := c.Target
	if float64(latency) <= fastCallRatio*float64(c.ExpectedLatency) && c.Sent.After(t.lastFastAt) {
		t.lastFastAt = c.Sent
	}
	if latency < slowCallRatio*c.ExpectedLatency || latency < minOverdue {
		return
	}
	span, ok := b.slowSpans[t.ID]
	if !ok && len(b.slowSpans) >= maxSlowSpans {
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
	b.slowSpans[t.ID] = span
}

// TakeSlowSpans returns news for the other hosts about servers that may be
// slow: the slow calls recorded since the last call, and later calls that were
// fast.
func (b *Balancer) TakeSlowSpans() []SlowSpan {
	if b.reach.state == Silent || b.reach.state == Isolated {
		return nil // the calls may be slow because of this host's path
	}
	var out []SlowSpan
	for id, span := range b.slowSpans {
		if t := b.byID[id]; t != nil {
			span.LastFast = t.lastFastAt
		}
		out = append(out, span)
	}
	clear(b.slowSpans)
	for id, slowness := range b.slowServers {
		if t := b.byID[id]; t != nil && slowness.Until.After(slowness.Since) && t.lastFastAt.After(slowness.Since) {
			out = append(out, SlowSpan{Server: id, LastFast: t.lastFastAt})
		}
	}
	return out
}

// SetSlowServers sets what all hosts together know of servers that may be slow.
func (b *Balancer) SetSlowServers(servers map[string]route.Slowness) { b.slowServers = servers }

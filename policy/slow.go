package policy

import "time"

// SlowSpan is when calls were sent to a server that took long.
type SlowSpan struct {
	Server string
	From   time.Time
	To     time.Time
}

const (
	// slowCall is a latency, against what is usual, that is noted as slow.
	slowCall = 3
	// toldSlowCost is what a server costs that the hosts together find slow.
	toldSlowCost = 6
	// maxSlow bounds the spans that are kept until they are taken.
	maxSlow = 64
)

// noteSlow keeps a slow call for the other hosts: each of many hosts sends a
// server few calls, and would find out alone that it is slow.
func (b *Balancer) noteSlow(c *Call, latency time.Duration) {
	if latency < slowCall*c.Usual || latency < overdueLeast {
		return
	}
	id := c.Target.ID
	span, ok := b.slow[id]
	if !ok && len(b.slow) >= maxSlow {
		return
	}
	if !ok {
		span = SlowSpan{Server: id, From: c.Sent, To: c.Sent}
	}
	if c.Sent.Before(span.From) {
		span.From = c.Sent
	}
	if c.Sent.After(span.To) {
		span.To = c.Sent
	}
	b.slow[id] = span
}

// TakeSlow returns the slow calls noted since the last time.
func (b *Balancer) TakeSlow() []SlowSpan {
	if len(b.slow) == 0 {
		return nil
	}
	out := make([]SlowSpan, 0, len(b.slow))
	for _, s := range b.slow {
		out = append(out, s)
	}
	clear(b.slow)
	return out
}

// SetSlow takes in which servers the hosts together find slow.
func (b *Balancer) SetSlow(servers map[string]bool) { b.toldSlow = servers }

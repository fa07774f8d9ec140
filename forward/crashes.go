package forward

import "time"

const (
	// crashesToRefuse is how many different servers a request must have
	// crashed before it is refused.
	crashesToRefuse = 3
	// crashRetryAfter tells a caller of such a request to stay away.
	crashRetryAfter = 5 * time.Second
	// crashWithin is how soon after a broken call its server must be found
	// gone for the request to be blamed.
	crashWithin = 500 * time.Millisecond
	// maxBreaks bounds the broken calls remembered.
	maxBreaks = 256
)

// brokenCall is a call that broke off, for as long as its server may turn out
// to be gone.
type brokenCall struct {
	at          time.Time
	fingerprint uint64
	sent        time.Time
}

// crashes finds requests that backend servers do not survive.
type crashes struct {
	// broken are the calls that broke off, by server.
	broken map[string][]brokenCall
	size   int
	// counts is how many servers each request has crashed, over all hosts.
	counts map[uint64]int
}

func newCrashes() crashes {
	return crashes{broken: make(map[string][]brokenCall), counts: make(map[uint64]int)}
}

// SetCrashes takes in how many servers each request has crashed, over all
// hosts.
func (e *Engine) SetCrashes(counts map[uint64]int) { e.crashes.counts = counts }

func (c *crashes) count(fingerprint uint64) int { return c.counts[fingerprint] }

// observe blames the requests whose calls broke off right before their server
// could no longer be reached.
func (c *crashes) observe(e *Engine, now time.Time, x *call, reply Reply) {
	server := x.target.ID
	switch reply.Outcome {
	case Broken:
		if c.size >= maxBreaks {
			clear(c.broken)
			c.size = 0
		}
		c.broken[server] = append(c.broken[server], brokenCall{now, x.part.run.req.Fingerprint, x.record.Sent})
		c.size++
	case NotSent:
		for _, b := range c.broken[server] {
			if now.Sub(b.at) <= crashWithin {
				e.out.Crashed = append(e.out.Crashed, Crash{b.fingerprint, server})
			}
		}
		c.size -= len(c.broken[server])
		delete(c.broken, server)
	}
}

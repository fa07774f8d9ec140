package figmast

import (
	"context"
	"sync"
	"time"
)

// ticketCache keeps unused tickets, so that commands need not wait for one.
type ticketCache struct {
	client *Client
	ctx    context.Context
	cancel context.CancelFunc

	mu        sync.Mutex
	unused    map[string][]unusedTicket
	refilling map[string]bool
	closed    bool
	refills   sync.WaitGroup
}

func (c *ticketCache) init(client *Client) {
	c.client = client
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.unused = make(map[string][]unusedTicket)
	c.refilling = make(map[string]bool)
}

func (c *ticketCache) close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.cancel()
	c.refills.Wait()
}

// get returns an unused ticket and removes it from the cache, so that each ticket is
// returned only once. If the cache is empty, it fetches a ticket.
func (c *ticketCache) get(ctx context.Context, service string) (unusedTicket, *Problem) {
	t, ok := c.takeUnused(service)
	c.startRefill(service)
	if ok {
		return t, nil
	}
	return c.client.fetchTicket(ctx, service)
}

func (c *ticketCache) takeUnused(service string) (unusedTicket, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for len(c.unused[service]) > 0 {
		t := c.unused[service][0]
		c.unused[service] = c.unused[service][1:]
		if t.isUsable(now) {
			return t, true
		}
	}
	return unusedTicket{}, false
}

// discardHost discards the unused tickets of a host that does not accept them.
func (c *ticketCache) discardHost(service, host string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var kept []unusedTicket
	for _, t := range c.unused[service] {
		if t.host != host {
			kept = append(kept, t)
		}
	}
	c.unused[service] = kept
}

// startRefill fetches tickets in the background if there are fewer than
// TicketsAhead. Only one refill runs per service at a time.
func (c *ticketCache) startRefill(service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.refilling[service] || len(c.unused[service]) >= c.client.opts.TicketsAhead {
		return
	}
	c.refilling[service] = true
	c.refills.Add(1)
	go func() {
		defer c.refills.Done()
		c.refill(service)
	}()
}

func (c *ticketCache) refill(service string) {
	ctx, cancel := context.WithTimeout(c.ctx, c.client.opts.TryTimeout)
	defer cancel()
	for {
		t, p := c.client.fetchTicket(ctx, service)
		c.mu.Lock()
		if p == nil {
			c.unused[service] = append(c.unused[service], t)
		}
		done := p != nil || len(c.unused[service]) >= c.client.opts.TicketsAhead
		if done {
			c.refilling[service] = false
		}
		c.mu.Unlock()
		if done {
			return
		}
	}
}

// fetchTicket asks one host after another for a ticket. The outcome of its problems
// is NotRun, because no command has been sent.
func (c *Client) fetchTicket(ctx context.Context, service string) (unusedTicket, *Problem) {
	hosts := c.hostsInOrder()
	for attempt := 0; ; attempt++ {
		host := hosts[attempt%len(hosts)]
		asked := time.Now()
		var ans TicketAnswer
		p := c.call(ctx, host, service, ticketsVerb, struct{}{}, &ans)
		if p == nil {
			lifetime := time.Duration(ans.LifetimeMs) * time.Millisecond
			return unusedTicket{text: ans.Ticket, host: host, validUntil: asked.Add(lifetime)}, nil
		}
		p.Outcome, p.Unhandled = NotRun, false
		if !p.canRetry() {
			return unusedTicket{}, p
		}
		if !sleep(ctx, c.retryWait(p, attempt)) {
			return unusedTicket{}, p.withContextError(ctx, NotRun)
		}
	}
}

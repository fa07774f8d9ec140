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

func (s *ticketCache) init(c *Client) {
	s.client = c
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.unused = make(map[string][]unusedTicket)
	s.refilling = make(map[string]bool)
}

func (s *ticketCache) close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.cancel()
	s.refills.Wait()
}

// get returns an unused ticket and removes it from the cache, so that each ticket is
// returned only once. If the cache is empty, it fetches a ticket.
func (s *ticketCache) get(ctx context.Context, service string) (unusedTicket, *Problem) {
	t, ok := s.takeUnused(service)
	s.startRefill(service)
	if ok {
		return t, nil
	}
	return s.client.fetchTicket(ctx, service)
}

func (s *ticketCache) takeUnused(service string) (unusedTicket, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for len(s.unused[service]) > 0 {
		t := s.unused[service][0]
		s.unused[service] = s.unused[service][1:]
		if t.isUsable(now) {
			return t, true
		}
	}
	return unusedTicket{}, false
}

// discardHost discards the unused tickets of a host that does not accept them.
func (s *ticketCache) discardHost(service, host string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var kept []unusedTicket
	for _, t := range s.unused[service] {
		if t.host != host {
			kept = append(kept, t)
		}
	}
	s.unused[service] = kept
}

// startRefill fetches tickets in the background if there are fewer than
// TicketsAhead. Only one refill runs per service at a time.
func (s *ticketCache) startRefill(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.refilling[service] || len(s.unused[service]) >= s.client.opts.TicketsAhead {
		return
	}
	s.refilling[service] = true
	s.refills.Add(1)
	go func() {
		defer s.refills.Done()
		s.refill(service)
	}()
}

func (s *ticketCache) refill(service string) {
	ctx, cancel := context.WithTimeout(s.ctx, s.client.opts.TryTimeout)
	defer cancel()
	for {
		t, p := s.client.fetchTicket(ctx, service)
		s.mu.Lock()
		if p == nil {
			s.unused[service] = append(s.unused[service], t)
		}
		done := p != nil || len(s.unused[service]) >= s.client.opts.TicketsAhead
		if done {
			s.refilling[service] = false
		}
		s.mu.Unlock()
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

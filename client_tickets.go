package figmast

import (
	"context"
	"sync"
	"time"
)

// ticketStash keeps unused tickets, so that a command need not wait for one.
type ticketStash struct {
	client *Client
	ctx    context.Context
	cancel context.CancelFunc

	mu      sync.Mutex
	held    map[string][]heldTicket
	filling map[string]bool
	closed  bool
	working sync.WaitGroup
}

func (s *ticketStash) init(c *Client) {
	s.client = c
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.held = make(map[string][]heldTicket)
	s.filling = make(map[string]bool)
}

func (s *ticketStash) close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.cancel()
	s.working.Wait()
}

// get returns a ticket that was never sent; nobody else gets it.
func (s *ticketStash) get(ctx context.Context, service string) (heldTicket, *Problem) {
	t, ok := s.take(service)
	s.refill(service)
	if ok {
		return t, nil
	}
	return s.client.fetchTicket(ctx, service)
}

func (s *ticketStash) take(service string) (heldTicket, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for len(s.held[service]) > 0 {
		t := s.held[service][0]
		s.held[service] = s.held[service][1:]
		if t.usable(now) {
			return t, true
		}
	}
	return heldTicket{}, false
}

// drop forgets the unused tickets of a host that does not take them.
func (s *ticketStash) drop(service, host string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var kept []heldTicket
	for _, t := range s.held[service] {
		if t.host != host {
			kept = append(kept, t)
		}
	}
	s.held[service] = kept
}

// refill takes tickets ahead, one refill for a service at a time.
func (s *ticketStash) refill(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.filling[service] || len(s.held[service]) >= s.client.opts.TicketsAhead {
		return
	}
	s.filling[service] = true
	s.working.Add(1)
	go func() {
		defer s.working.Done()
		s.fill(service)
	}()
}

func (s *ticketStash) fill(service string) {
	ctx, cancel := context.WithTimeout(s.ctx, s.client.opts.TryTimeout)
	defer cancel()
	for {
		t, p := s.client.fetchTicket(ctx, service)
		s.mu.Lock()
		if p == nil {
			s.held[service] = append(s.held[service], t)
		}
		done := p != nil || len(s.held[service]) >= s.client.opts.TicketsAhead
		if done {
			s.filling[service] = false
		}
		s.mu.Unlock()
		if done {
			return
		}
	}
}

// fetchTicket asks one host after another for a ticket. Its problems are of
// outcome NotRun: no command was sent.
func (c *Client) fetchTicket(ctx context.Context, service string) (heldTicket, *Problem) {
	hosts := c.rotation()
	for try := 0; ; try++ {
		host := hosts[try%len(hosts)]
		asked := time.Now()
		var ans TicketAnswer
		p := c.call(ctx, host, service, ticketsVerb, struct{}{}, &ans)
		if p == nil {
			life := time.Duration(ans.LifetimeMs) * time.Millisecond
			return heldTicket{text: ans.Ticket, host: host, until: asked.Add(life)}, nil
		}
		p.Outcome, p.Unhandled = NotRun, false
		if !p.worthRepeating() {
			return heldTicket{}, p
		}
		if !pauseFor(ctx, c.wait(p, try)) {
			return heldTicket{}, p.ended(ctx, NotRun)
		}
	}
}

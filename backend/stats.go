package backend

// Connections returns how many connections to backend servers are open, and
// how many this host's shares allow.
func (p *Pool) Connections() (open, allowed int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.servers {
		c.mu.Lock()
		open += len(c.open)
		c.mu.Unlock()
		allowed += c.quota.share()
	}
	return open, allowed
}

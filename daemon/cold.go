package daemon

import (
	"sort"
	"sync"
	"time"
)

// Bounds on what is remembered of cold servers.
const (
	coldMemory     = 10 * time.Second
	maxColdServers = 4096
)

// ColdServer is a backend server that said it is in cold start.
type ColdServer struct {
	Service string `json:"service"`
	Server  string `json:"server"`
	// AgoMs is how long ago it said so, in milliseconds.
	AgoMs int64 `json:"ago_ms"`
}

// coldServers remembers which backend servers were in cold start of late.
type coldServers struct {
	mu   sync.Mutex
	seen map[coldKey]time.Time
}

type coldKey struct{ service, server string }

func (c *coldServers) saw(service, server string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.seen == nil {
		c.seen = make(map[coldKey]time.Time)
	}
	if len(c.seen) >= maxColdServers {
		c.forget(now)
	}
	if len(c.seen) < maxColdServers {
		c.seen[coldKey{service, server}] = now
	}
}

func (c *coldServers) forget(now time.Time) {
	for k, at := range c.seen {
		if now.Sub(at) > coldMemory {
			delete(c.seen, k)
		}
	}
}

// list returns the servers that were cold within coldMemory, by name.
func (c *coldServers) list(now time.Time) []ColdServer {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.forget(now)
	var out []ColdServer
	for k, at := range c.seen {
		out = append(out, ColdServer{Service: k.service, Server: k.server, AgoMs: now.Sub(at).Milliseconds()})
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].Service != out[j].Service {
			return out[i].Service < out[j].Service
		}
		return out[i].Server < out[j].Server
	})
	return out
}

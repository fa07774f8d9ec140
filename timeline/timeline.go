// Package timeline keeps a bounded record of what a host did and decided, in
// an order that holds over all hosts that exchange messages.
package timeline

import (
	"sync"
	"time"
)

// Kind says what an event is about. Decisions on requests have the kinds of
// package decision.
type Kind string

// Kinds of events.
const (
	ConfigAccepted Kind = "config_accepted"
	ConfigRefused  Kind = "config_refused"
	RequestStarted Kind = "request_started"
	RequestEnded   Kind = "request_ended"
	CallSent       Kind = "call_sent"
	CallEnded      Kind = "call_ended"
	CallCancelled  Kind = "call_cancelled"
	HostState      Kind = "host_state"
	PlatformState  Kind = "platform_state"
)

// Event is one entry of the record.
type Event struct {
	// Stamp orders events; see Stamp.Before.
	Stamp   Stamp  `json:"stamp"`
	Host    string `json:"host"`
	Kind    Kind   `json:"kind"`
	Service string `json:"service,omitempty"`
	Request string `json:"request,omitempty"`
	Leaf    string `json:"leaf,omitempty"`
	Server  string `json:"server,omitempty"`
	Peer    string `json:"peer,omitempty"`
	Detail  string `json:"detail,omitempty"`
}

// controlSize is how many events that belong to no request are kept.
const controlSize = 4096

// Ring is a host's record. Events of requests and all others are kept apart,
// so that traffic does not push out what happened to the host. It is safe for
// concurrent use.
type Ring struct {
	host string
	wall func() time.Time

	mu       sync.Mutex
	last     Stamp
	control  buffer
	requests buffer
}

// NewRing returns a record of the host that keeps the last size events of
// requests, and the last controlSize others.
func NewRing(host string, size int, wall func() time.Time) *Ring {
	return &Ring{
		host: host, wall: wall,
		control:  buffer{events: make([]Event, controlSize)},
		requests: buffer{events: make([]Event, size)},
	}
}

// Add stamps the event and keeps it, in place of the oldest when full.
func (r *Ring) Add(e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e.Host = r.host
	e.Stamp = r.stamp()
	if e.Request == "" {
		r.control.add(e)
		return
	}
	r.requests.add(e)
}

func (r *Ring) stamp() Stamp {
	wall := r.wall().UnixNano()
	if wall > r.last.Wall {
		r.last = Stamp{Wall: wall}
	} else {
		r.last.Counter++
	}
	return r.last
}

// Now returns a stamp for a message to a peer.
func (r *Ring) Now() Stamp {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stamp()
}

// Observe takes in the stamp of a peer's message, so that what follows is
// ordered after it.
func (r *Ring) Observe(s Stamp) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.last.Before(s) {
		r.last = s
	}
}

// Events returns all that is kept, oldest first.
func (r *Ring) Events() []Event { return r.Select(Filter{}) }

// Select returns the newest events that pass the filter, oldest first.
func (r *Ring) Select(f Filter) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	found := r.requests.newest(f)
	if f.Request == "" {
		found = append(found, r.control.newest(f)...)
	}
	Sort(found)
	if f.Limit > 0 && len(found) > f.Limit {
		found = found[len(found)-f.Limit:]
	}
	return found
}

// buffer keeps the last len(events) events.
type buffer struct {
	events []Event
	next   int
	used   int
}

func (b *buffer) add(e Event) {
	b.events[b.next] = e
	b.next = (b.next + 1) % len(b.events)
	b.used = min(b.used+1, len(b.events))
}

// newest returns what passes the filter, newest first.
func (b *buffer) newest(f Filter) []Event {
	var found []Event
	for i := range b.used {
		e := &b.events[(b.next-1-i+len(b.events))%len(b.events)]
		if f.Limit > 0 && len(found) == f.Limit || !f.Since.Before(e.Stamp) {
			break
		}
		if f.passes(e) {
			found = append(found, *e)
		}
	}
	return found
}

// Package timeline keeps a bounded in-memory record of what a host did and
// decided. Hybrid logical clocks order the events of hosts that exchange
// messages causally.
package timeline

import (
	"sync"
	"time"
)

// Kind is the type of an event. Events for decisions on requests have the
// kinds of package decision.
type Kind string

// Kinds of events other than decisions.
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
	// Stamp orders the event relative to others; see Stamp.Before.
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

// controlCapacity is how many events that belong to no request are kept.
const controlCapacity = 4096

// Ring is the record of one host. Events of requests and all others are kept
// in separate ring buffers, so that traffic does not evict the events about the
// host itself. It is safe for concurrent use.
type Ring struct {
	host      string
	wallClock func() time.Time

	mu            sync.Mutex
	last          Stamp
	controlEvents ringBuffer
	requestEvents ringBuffer
}

// NewRing returns a record of the host that keeps the last size events of
// requests, and the last controlCapacity others.
func NewRing(host string, size int, wall func() time.Time) *Ring {
	return &Ring{
		host: host, wallClock: wall,
		controlEvents: ringBuffer{events: make([]Event, controlCapacity)},
		requestEvents: ringBuffer{events: make([]Event, size)},
	}
}

// Add sets the host and the stamp of the event and stores it. When the buffer
// is full, it replaces the oldest event.
func (r *Ring) Add(e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e.Host = r.host
	e.Stamp = r.nextStamp()
	if e.Request == "" {
		r.controlEvents.add(e)
		return
	}
	r.requestEvents.add(e)
}

func (r *Ring) nextStamp() Stamp {
	wall := r.wallClock().UnixNano()
	if wall > r.last.Wall {
		r.last = Stamp{Wall: wall}
	} else {
		r.last.Counter++
	}
	return r.last
}

// Now returns a new stamp, to be sent with a message to a peer.
func (r *Ring) Now() Stamp {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.nextStamp()
}

// Observe advances the clock to the stamp of a peer's message, so that later
// events are ordered after it.
func (r *Ring) Observe(s Stamp) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.last.Before(s) {
		r.last = s
	}
}

// Events returns all stored events, oldest first.
func (r *Ring) Events() []Event { return r.Select(Filter{}) }

// Select returns the events that match the filter, oldest first. With a limit,
// it returns the newest of them.
func (r *Ring) Select(f Filter) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	found := r.requestEvents.newest(f)
	if f.Request == "" {
		found = append(found, r.controlEvents.newest(f)...)
	}
	Sort(found)
	if f.Limit > 0 && len(found) > f.Limit {
		found = found[len(found)-f.Limit:]
	}
	return found
}

// ringBuffer keeps the last len(events) events.
type ringBuffer struct {
	events []Event
	next   int
	count  int
}

func (b *ringBuffer) add(e Event) {
	b.events[b.next] = e
	b.next = (b.next + 1) % len(b.events)
	b.count = min(b.count+1, len(b.events))
}

// newest returns the events that match the filter, newest first.
func (b *ringBuffer) newest(f Filter) []Event {
	var found []Event
	for i := range b.count {
		e := &b.events[(b.next-1-i+len(b.events))%len(b.events)]
		if f.Limit > 0 && len(found) == f.Limit || !f.Since.Before(e.Stamp) {
			break
		}
		if f.matches(e) {
			found = append(found, *e)
		}
	}
	return found
}

// Package timeline keeps a bounded record of what a host did and decided, in
// an order that holds over all hosts that exchange messages.
package timeline

import (
	"sync"
	"time"
)

// Kind says what an event is about.
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
	Server  string `json:"server,omitempty"`
	Peer    string `json:"peer,omitempty"`
	Detail  string `json:"detail,omitempty"`
}

// Stamp is a hybrid logical clock: the wall clock in nanoseconds, and a
// counter that orders what the wall clock cannot.
type Stamp struct {
	Wall    int64  `json:"wall_ns" cbor:"1,keyasint"`
	Counter uint32 `json:"counter" cbor:"2,keyasint"`
}

// Before reports whether a is ordered before b.
func (a Stamp) Before(b Stamp) bool {
	if a.Wall != b.Wall {
		return a.Wall < b.Wall
	}
	return a.Counter < b.Counter
}

// Ring is a host's record. It is safe for concurrent use.
type Ring struct {
	host string
	wall func() time.Time

	mu     sync.Mutex
	last   Stamp
	events []Event
	next   int
	full   bool
}

// NewRing returns a record of the last size events of the host.
func NewRing(host string, size int, wall func() time.Time) *Ring {
	return &Ring{host: host, wall: wall, events: make([]Event, size)}
}

// Add stamps the event and keeps it, in place of the oldest when full.
func (r *Ring) Add(e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e.Host = r.host
	e.Stamp = r.stamp()
	r.events[r.next] = e
	r.next = (r.next + 1) % len(r.events)
	r.full = r.full || r.next == 0
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

// Events returns what is kept, oldest first.
func (r *Ring) Events() []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.full {
		return append([]Event(nil), r.events[:r.next]...)
	}
	return append(append([]Event(nil), r.events[r.next:]...), r.events[:r.next]...)
}

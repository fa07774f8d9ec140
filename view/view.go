// Package view holds the immutable picture of the fleet that control state
// publishes and traffic reads: hosts, documents and how long the picture may
// be acted on. It does no I/O.
package view

import (
	"time"

	"github.com/figmast/figmast/document"
)

// Host is one process of the query tier.
type Host struct {
	// ID is unique in the fleet; a replaced host has another one.
	ID string
	// Address is the IP number and port where peers reach the host.
	Address string
	// DataCentre the host stands in.
	DataCentre string
	// Leaving hosts finish their requests and take no new ones.
	Leaving bool
}

// View is one published picture. It and all it points to never change.
type View struct {
	// Self is the host that holds the view.
	Self Host
	// Unlisted is set while the platform's host list does not hold Self: the
	// other hosts do not know of it yet, or no longer.
	Unlisted bool
	// ListedRevision is the platform's revision of Self's entry in the host
	// list; it changes when the entry is taken off and put back. 0 where it is
	// not known.
	ListedRevision int64
	// Hosts are all known hosts, Self included, sorted by ID.
	Hosts []Host
	// Services are the documents in force, by service name.
	Services map[string]*document.Service
	// Confirmed is when the platform is known to have held this picture as
	// its newest, on the host's clock.
	Confirmed time.Time
	// ValidUntil bounds the time in which work may be dispatched on this
	// view. A process that slept past it must get a newer view first.
	ValidUntil time.Time
}

// Valid reports whether work may be dispatched on the view at that time.
func (v *View) Valid(now time.Time) bool {
	return v != nil && now.Before(v.ValidUntil)
}

// MayCall reports whether work may be sent to a backend server at that time:
// the view is valid and its document holds the server, neither leaving nor in
// a data centre that is out.
func (v *View) MayCall(now time.Time, service, leaf, server string) bool {
	if !v.Valid(now) || v.Services[service] == nil {
		return false
	}
	doc := v.Services[service]
	l := doc.Leaf(leaf)
	if l == nil {
		return false
	}
	for _, s := range l.Servers {
		if s.ID == server {
			return !s.Leaving && !doc.IsDataCentreOut(s.DataCentre)
		}
	}
	return false
}

// Host returns the host with that id.
func (v *View) Host(id string) (Host, bool) {
	for _, h := range v.Hosts {
		if h.ID == id {
			return h, true
		}
	}
	return Host{}, false
}

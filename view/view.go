// Package view defines the immutable view of the fleet that package control
// publishes and request handling reads: the hosts, the service documents and
// the time until which they may be used. It does no I/O.
package view

import (
	"time"

	"github.com/figmast/figmast/document"
)

// Host is one process of the query tier.
type Host struct {
	// ID is unique in the fleet; a replacement host gets another one.
	ID string
	// Address is the IP address and port at which peers reach the host.
	Address string
	// DataCentre is the data centre that the host runs in.
	DataCentre string
	// Leaving is set while the host drains: it finishes its requests and
	// accepts no new ones.
	Leaving bool
}

// View is one published view of the fleet. Neither it nor anything it points
// to changes after publication.
type View struct {
	// Self is the host that holds the view.
	Self Host
	// Unlisted is set while the platform's host list does not contain Self:
	// the other hosts do not know it yet, or no longer.
	Unlisted bool
	// ListedRevision is the platform revision of Self's entry in the host
	// list, or 0 if unknown. It changes when the entry is removed and added
	// again.
	ListedRevision int64
	// Hosts are all known hosts, including Self, sorted by ID.
	Hosts []Host
	// Services are the documents in force, by service name.
	Services map[string]*document.Service
	// ConfirmedAt is the latest time, on this host's clock, at which the
	// platform is known to have held nothing newer than this view.
	ConfirmedAt time.Time
	// ValidUntil is the time from which no work may be dispatched on this
	// view. A process that was paused past it must get a newer view first.
	ValidUntil time.Time
}

// Valid reports whether work may be dispatched on the view at time now. A nil
// view is not valid.
func (v *View) Valid(now time.Time) bool {
	return v != nil && now.Before(v.ValidUntil)
}

// MayCall reports whether work may be sent to a backend server at time now:
// the view is valid, and the service's document lists the server, neither as
// leaving nor in a data centre that is out of service.
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

// Host returns the host with the given ID, and whether the view contains it.
func (v *View) Host(id string) (Host, bool) {
	for _, h := range v.Hosts {
		if h.ID == id {
			return h, true
		}
	}
	return Host{}, false
}

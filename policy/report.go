package policy

import (
	"cmp"
	"slices"
	"time"
)

// ColdServer is a backend server that this host takes to be in cold start.
type ColdServer struct {
	Service    string
	Leaf       string
	ID         string
	DataCentre string
	// Level is how many calls at once it is taken to bear from the whole
	// fleet.
	Level int
	// For is how long it has been at that level.
	For time.Duration
}

// ColdServers returns the backend servers in cold start that may get work, by
// service and id.
func (r *Router) ColdServers(now time.Time) []ColdServer {
	at := r.at(now)
	var out []ColdServer
	for _, s := range r.services {
		for _, l := range s.leaves {
			for _, srv := range l.servers {
				if srv.warmth.state == cold && srv.active() {
					out = append(out, ColdServer{
						Service: srv.Service, Leaf: srv.Leaf, ID: srv.ID, DataCentre: srv.DataCentre,
						Level: srv.warmth.level, For: at - srv.warmth.since,
					})
				}
			}
		}
	}
	slices.SortFunc(out, func(a, b ColdServer) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.ID, b.ID))
	})
	return out
}

package policy

import (
	"cmp"
	"slices"
	"time"
)

// ColdServer is a backend server that this host considers to be in cold start.
type ColdServer struct {
	Service    string
	Leaf       string
	ID         string
	DataCentre string
	// Level is how many concurrent calls it is assumed to take from the whole
	// fleet.
	Level int
	// For is how long it has been at that level.
	For time.Duration
}

// ColdServers returns the active backend servers in cold start, ordered by
// service and ID.
func (r *Router) ColdServers(now time.Time) []ColdServer {
	at := r.at(now)
	var out []ColdServer
	for _, s := range r.services {
		for _, l := range s.leaves {
			for _, srv := range l.servers {
				if srv.warmUp.state == cold && srv.active() {
					out = append(out, ColdServer{
						Service: srv.Service, Leaf: srv.Leaf, ID: srv.ID, DataCentre: srv.DataCentre,
						Level: srv.warmUp.level, For: at - srv.warmUp.since,
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

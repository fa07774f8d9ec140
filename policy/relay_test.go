package policy

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/figmast/figmast/document"
)

func TestPickForPeerFollowsOwnViewAndLimits(t *testing.T) {
	is := is.New(t)
	doc := shape{servers: 2, connections: 2, centres: 2}.doc()
	all := routers(3, 1, Options{}, doc)
	relayed, refused := 0, 0
	for _, r := range all {
		for {
			srv, reason := r.PickForPeer(epoch, "svc", "leaf0", "s0-0")
			if srv == nil {
				is.True(reason == AllBusy || reason == NoServer)
				refused++
				break
			}
			r.Begin(epoch, srv)
			relayed++
		}
	}
	is.Equal(relayed, 2) // the server's connections
	is.Equal(refused, 3)

	holder := all[0]
	out := shape{servers: 2, connections: 2, centres: 2, edit: func(d *document.Service) { d.DataCentresOut = []string{"dc1"} }}.doc()
	holder.Apply(epoch, viewOf(holder.View().Self, holder.View().Hosts, out))
	_, reason := holder.PickForPeer(epoch, "svc", "leaf0", "s0-1")
	is.Equal(reason, AllOut)
	_, reason = holder.PickForPeer(epoch, "svc", "leaf0", "unknown")
	is.Equal(reason, NoServer)
	_, reason = holder.PickForPeer(epoch, "svc", "unknown", "s0-1")
	is.Equal(reason, UnknownLeaf)
	_, reason = holder.PickForPeer(epoch.Add(10000*time.Hour), "svc", "leaf0", "s0-1")
	is.Equal(reason, StaleView)
}

func TestInconclusiveResultsAreIgnored(t *testing.T) {
	is := is.New(t)
	r := routers(1, 1, Options{}, shape{servers: 1, connections: 2}.doc())[0]
	for range 10 {
		call(t, r, epoch, leaf0, Observation{Result: ResultInconclusive})
	}
	srv := r.server("svc", "leaf0", "s0-0")
	is.Equal(srv.health.currentPenalty(r.last), 0.0)
	is.Equal(srv.warmUp.state, unknown)
	is.Equal(srv.inFlight, 0)
}

func TestFailedHolderIsAvoided(t *testing.T) {
	is := is.New(t)
	all := routers(9, 1, Options{}, shape{servers: 1, connections: 3}.doc())
	without := slices.IndexFunc(all, func(r *Router) bool { return len(r.Shares()) == 0 })
	r := all[without]
	srv := r.server("svc", "leaf0", "s0-0")
	first := r.Holder(srv)
	r.HolderFailed(epoch, first.ID)
	for range 100 {
		is.True(r.Holder(srv).ID != first.ID)
	}
	for _, h := range r.View().Hosts {
		r.HolderFailed(epoch, h.ID)
	}
	is.True(r.Holder(srv).ID != "") // a holder that failed is better than none
	r.at(epoch.Add(avoidFor + time.Second))
	seen := make(map[string]bool)
	for range 100 {
		seen[r.Holder(srv).ID] = true
	}
	is.Equal(len(seen), 3)
}

func TestJoined(t *testing.T) {
	is := is.New(t)
	r := newTestRouter(1, Options{ShareLag: time.Second})
	is.True(!r.Joined(epoch))
	h := hostList(1, 1)
	r.Apply(epoch, viewOf(h[0], h, shape{servers: 1, connections: 2}.doc()))
	is.True(!r.Joined(epoch.Add(time.Second)))
	is.True(r.Joined(epoch.Add(2 * time.Second)))
}

// TestUnlistedHostServesThroughPeers: a host that is not on the platform's list
// never holds connections, but can serve after the wait of a new host.
func TestUnlistedHostServesThroughPeers(t *testing.T) {
	is := is.New(t)
	const lag = time.Second
	r := routers(3, 1, Options{ShareLag: lag}, shape{servers: 1, connections: 30}.doc())[0]
	v := *r.View()
	v.Unlisted = true
	v.ValidUntil = epoch.Add(time.Hour)
	unlisted := NewRouter(Options{Rand: r.opts.Rand, ShareLag: lag})
	unlisted.Apply(epoch, &v)
	is.True(!unlisted.IsReady(epoch.Add(lag)))
	is.True(unlisted.IsReady(epoch.Add(joinLags * lag)))
	is.True(!unlisted.Joined(epoch.Add(time.Minute)))
}

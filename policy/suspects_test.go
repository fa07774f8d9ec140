package policy

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const poison = 666

// breakOn lets a call of the request break off on a server.
func breakOn(r *Router, now time.Time, fingerprint uint64, leaf, id string) {
	srv := r.server("svc", leaf, id)
	r.Begin(now, srv)
	r.Done(now, srv, Observation{Result: ResultBroken, Fingerprint: fingerprint})
}

func refused(r *Router, now time.Time, p Pick) bool {
	_, reason := r.Pick(now, p)
	return reason == Suspect
}

func suspectPick(fingerprint uint64) Pick {
	return Pick{Service: "svc", Leaf: "leaf0", Fingerprint: fingerprint}
}

func TestARequestThatCrashesTwoServersIsRefusedEverywhere(t *testing.T) {
	is := is.New(t)
	all := routers(2, 1, Options{}, shape{servers: 3, connections: 50}.doc())
	a, b := all[0], all[1]
	now := epoch
	breakOn(a, now, poison, "leaf0", "s0-0")
	is.True(!refused(a, now, suspectPick(poison)))
	hedge := suspectPick(poison)
	hedge.Hedge = true
	is.True(refused(a, now, hedge)) // no second server at once
	breakOn(a, now, poison, "leaf0", "s0-0")
	is.True(!refused(a, now, suspectPick(poison))) // the same server twice
	breakOn(a, now, poison, "leaf0", "s0-1")
	is.True(refused(a, now, suspectPick(poison)))
	is.True(!refused(a, now, suspectPick(1)))

	is.Equal(len(a.NewSuspicions()), 0) // not before a network cut would show
	a.at(now.Add(tellAfter))
	told := a.NewSuspicions()
	is.Equal(len(told), 1)
	is.Equal(len(a.NewSuspicions()), 0)
	b.Learn(now, told[0])
	is.True(refused(b, now, suspectPick(poison)))
	is.True(!refused(b, now.Add(suspectFor+time.Second), suspectPick(poison)))
	is.True(!refused(a, now.Add(suspectFor+time.Second), suspectPick(poison)))
}

func TestWithoutSuspicionsARequestCrashesOnAndOn(t *testing.T) {
	is := is.New(t)
	crashes := func(off mechanisms) int {
		r := routers(1, 1, Options{without: off}, shape{servers: 6, connections: 50}.doc())[0]
		n := 0
		for i := range 20 {
			now := epoch.Add(time.Duration(i) * 10 * time.Second)
			srv, reason := r.Pick(now, suspectPick(poison))
			if reason != Picked {
				continue
			}
			n++
			r.Begin(now, srv)
			r.Done(now, srv, Observation{Result: ResultBroken, Fingerprint: poison})
		}
		return n
	}
	is.True(crashes(mechanisms{suspects: true}) == 20)
	is.True(crashes(mechanisms{}) <= 6)
}

func TestAnAnswerClearsARequest(t *testing.T) {
	is := is.New(t)
	r := routers(1, 1, Options{}, shape{servers: 3, connections: 50}.doc())[0]
	breakOn(r, epoch, 1, "leaf0", "s0-0")
	srv := r.server("svc", "leaf0", "s0-1")
	r.Begin(epoch, srv)
	r.Done(epoch, srv, Observation{Latency: time.Millisecond, Fingerprint: 1})
	breakOn(r, epoch, 1, "leaf0", "s0-2")
	is.True(!refused(r, epoch, suspectPick(1)))
}

// A data centre is cut off: many requests break off on many servers at once.
func TestANetworkCutIsNoCrashStorm(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		doc := shape{leaves: 10, servers: 3, connections: 50}.doc()
		r := routers(1, 1, Options{}, doc)[0]
		requests := rapid.IntRange(stormRequests, 40).Draw(t, "requests")
		now := epoch
		type call struct{ request, leaf int }
		var calls []call
		for q := range requests {
			for l := range doc.Leaves {
				calls = append(calls, call{q, l})
			}
		}
		for _, c := range rapid.Permutation(calls).Draw(t, "order") {
			now = now.Add(100 * time.Microsecond)
			breakOn(r, now, uint64(c.request+1), doc.Leaves[c.leaf].Name, doc.Leaves[c.leaf].Servers[0].ID)
		}
		for q := range requests {
			if refused(r, now, suspectPick(uint64(q+1))) {
				t.Fatalf("request %d is refused after a network cut", q)
			}
		}
		r.at(now.Add(time.Second))
		if n := len(r.NewSuspicions()); n > 0 {
			t.Fatalf("peers are told of %d requests", n)
		}
	})
}

// A wide request crashes a server of every leaf while others are in flight.
func TestAPoisonStandsOutAmongRequestsInFlight(t *testing.T) {
	is := is.New(t)
	doc := shape{leaves: 12, servers: 3, connections: 50}.doc()
	r := routers(1, 1, Options{}, doc)[0]
	for i, l := range doc.Leaves {
		id := l.Servers[0].ID
		breakOn(r, epoch, poison, l.Name, id)
		breakOn(r, epoch, uint64(1+i%4), l.Name, id)
	}
	is.True(refused(r, epoch, suspectPick(poison)))
	for i := range 4 {
		is.True(!refused(r, epoch, suspectPick(uint64(1+i))))
	}
}

func TestSuspectsAreBounded(t *testing.T) {
	is := is.New(t)
	r := routers(1, 1, Options{}, shape{servers: 3, connections: 50}.doc())[0]
	for i := range 3 * maxSuspects {
		breakOn(r, epoch.Add(time.Duration(i)*time.Millisecond), uint64(i+1), "leaf0", "s0-0")
	}
	is.Equal(len(r.suspects.byKey), maxSuspects)
	for i := range 3 * maxSuspects {
		r.Learn(epoch, Suspicion{Service: "svc", Fingerprint: uint64(1e6 + i), Until: epoch.Add(time.Hour)})
	}
	is.True(len(r.suspects.byKey) <= maxSuspects)
}

func TestBackoffTellsWhenToComeBack(t *testing.T) {
	is := is.New(t)
	r := routers(1, 1, Options{}, shape{servers: 1, connections: 10}.doc())[0]
	now := epoch
	for range 3000 { // 1000 answers a second
		now = now.Add(time.Millisecond)
		call(t, r, now, leaf0, Observation{})
	}
	for range 10 {
		srv, _ := r.Pick(now, leaf0)
		r.Begin(now, srv)
	}
	d := r.Backoff(now, "svc", AllBusy)
	is.True(d >= minBackoff && d <= 2*minBackoff) // ten calls drain in 10 ms
	for range 500 {
		r.Pick(now, leaf0)
	}
	d = r.Backoff(now, "svc", AllBusy)
	is.True(d >= 400*time.Millisecond && d <= time.Second) // 500 refused may all come back
	seen := make(map[time.Duration]bool)
	for range 100 {
		seen[r.Backoff(now, "svc", AllBusy)] = true
	}
	is.True(len(seen) > 50) // spread
	is.True(r.Backoff(now, "nowhere", NoSuchServer) > 0)
}

package policy

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const poison = 666

// breakOn lets a call of the request break off on a server after a while.
func breakOn(r *Router, now time.Time, fingerprint uint64, leaf, id string) {
	srv := r.server("svc", leaf, id)
	r.Begin(now, srv)
	const took = 10 * time.Millisecond
	r.Done(now.Add(took), srv, Observation{Result: ResultBroken, Fingerprint: fingerprint, Latency: took})
}

func refused(r *Router, now time.Time, p PickInfo) bool {
	_, reason := r.Pick(now, p)
	return reason == CrashSuspect
}

func suspectPick(fingerprint uint64) PickInfo {
	return PickInfo{Service: "svc", Leaf: "leaf0", Fingerprint: fingerprint}
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
	now = now.Add(time.Second)
	breakOn(a, now, poison, "leaf0", "s0-0")
	is.True(!refused(a, now, suspectPick(poison))) // the same server twice
	breakOn(a, now, poison, "leaf0", "s0-1")
	is.True(refused(a, now, suspectPick(poison)))
	is.True(!refused(a, now, suspectPick(1)))

	is.Equal(len(a.NewSuspicions()), 0) // not before a network cut would show
	a.at(now.Add(2 * tellAfter))
	told := a.NewSuspicions()
	is.Equal(len(told), 1)
	is.Equal(len(a.NewSuspicions()), 0)
	b.LearnSuspicion(now, told[0])
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

// After the first break one call at a time tries the request; its answer lets
// the others go.
func TestOneTrialAtATime(t *testing.T) {
	is := is.New(t)
	r := routers(1, 1, Options{}, shape{leaves: 2, servers: 3, connections: 50}.doc())[0]
	breakOn(r, epoch, 1, "leaf0", "s0-0")
	now := epoch.Add(20 * time.Millisecond)
	srv, reason := r.Pick(now, suspectPick(1))
	is.Equal(reason, Picked)
	r.Begin(now, srv)
	other := PickInfo{Service: "svc", Leaf: "leaf1", Fingerprint: 1}
	_, reason = r.Pick(now, other)
	is.Equal(reason, AllBusy)
	_, reason = r.Pick(now.Add(trialFor), other) // a trial without an end holds nothing up
	is.Equal(reason, Picked)
	now = now.Add(10 * time.Millisecond)
	r.Done(now, srv, Observation{Latency: 10 * time.Millisecond, Fingerprint: 1})
	_, reason = r.Pick(now, other)
	is.Equal(reason, Picked)
	is.Equal(len(r.suspects.byKey), 0)
}

// A server that crashes takes with it calls of requests that its leaf has
// answered before.
func TestARequestThatTheLeafHasAnsweredIsNoSuspect(t *testing.T) {
	is := is.New(t)
	r := routers(1, 1, Options{}, shape{servers: 3, connections: 50}.doc())[0]
	srv := r.server("svc", "leaf0", "s0-2")
	r.Begin(epoch, srv)
	r.Done(epoch, srv, Observation{Latency: time.Millisecond, Fingerprint: 1})
	breakOn(r, epoch, 1, "leaf0", "s0-0")
	breakOn(r, epoch.Add(time.Second), 1, "leaf0", "s0-1")
	is.True(!refused(r, epoch, suspectPick(1)))
}

// A data centre is cut off: calls of many requests to many servers, sent
// before, break off together and go well elsewhere.
func TestANetworkCutIsNoCrashStorm(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		doc := shape{leaves: 10, servers: 3, connections: 50}.doc()
		r := routers(1, 1, Options{}, doc)[0]
		requests := rapid.IntRange(1, 40).Draw(t, "requests")
		again := rapid.Bool().Draw(t, "again") // the second attempts break off too
		type lost struct{ request, leaf, server int }
		var calls []lost
		for q := range requests {
			for l := range doc.Leaves {
				calls = append(calls, lost{q, l, 0})
			}
		}
		now := epoch
		sent := now
		lose := func(server int) {
			for _, c := range rapid.Permutation(calls).Draw(t, "order") {
				now = now.Add(100 * time.Microsecond)
				srv := r.server("svc", doc.Leaves[c.leaf].Name, doc.Leaves[c.leaf].Servers[server].ID)
				r.Begin(sent, srv)
				r.Done(now, srv, Observation{Result: ResultBroken, Fingerprint: uint64(c.request + 1), Latency: now.Sub(sent)})
			}
		}
		lose(0)
		if again && requests >= 2*stormRequests {
			sent = now
			lose(1)
			requests = 0 // some may be refused while the storm lasts, but peers are not told
		}
		for q := range requests {
			if refused(r, now, suspectPick(uint64(q+1))) {
				t.Fatalf("request %d is refused after a network cut", q)
			}
		}
		r.at(now.Add(time.Second))
		if n := len(r.NewSuspicions()); n >= stormRequests {
			t.Fatalf("peers are told of %d requests", n)
		}
	})
}

// A wide request crashes a server of every leaf, and their second attempts
// too, while others are in flight.
func TestAPoisonIsFoundAmongRequestsInFlight(t *testing.T) {
	is := is.New(t)
	doc := shape{leaves: 12, servers: 3, connections: 50}.doc()
	r := routers(1, 1, Options{}, doc)[0]
	for i, l := range doc.Leaves {
		breakOn(r, epoch, poison, l.Name, l.Servers[0].ID)
		breakOn(r, epoch, uint64(1+i%4), l.Name, l.Servers[0].ID)
	}
	breakOn(r, epoch.Add(time.Second), poison, "leaf0", "s0-1")
	is.True(refused(r, epoch.Add(time.Second), suspectPick(poison)))
	for i := range 4 {
		is.True(!refused(r, epoch.Add(time.Second), suspectPick(uint64(1+i))))
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
		r.LearnSuspicion(epoch, Suspicion{Service: "svc", Fingerprint: uint64(1e6 + i), Until: epoch.Add(time.Hour)})
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
	is.True(r.Backoff(now, "nowhere", UnknownService) > 0)
}

// TestRefusedRequestIsNotForgottenWhileItComes plays a request that crashes a
// server whenever it is let in, once a second for a day. As on the users'
// platform, it may reach three more servers after it is first refused.
func TestRefusedRequestIsNotForgottenWhileItComes(t *testing.T) {
	is := is.New(t)
	r := routers(1, 1, Options{}, shape{servers: 3, connections: 50}.doc())[0]
	late, found := 0, false
	for i := range 24 * 60 * 60 {
		now := epoch.Add(time.Duration(i) * time.Second)
		srv, reason := r.Pick(now, suspectPick(poison))
		if reason != Picked {
			found = found || reason == CrashSuspect
			continue
		}
		if found {
			late++
		}
		r.Begin(now, srv)
		r.Done(now, srv, Observation{Result: ResultBroken, Fingerprint: poison})
	}
	is.True(found)
	is.True(late <= 3)
}

// TestBreaksOfOthersDoNotPushOutARefusedRequest plays a mass crash after a
// request was refused.
func TestBreaksOfOthersDoNotPushOutARefusedRequest(t *testing.T) {
	is := is.New(t)
	r := routers(1, 1, Options{}, shape{servers: 3, connections: 50}.doc())[0]
	breakOn(r, epoch, poison, "leaf0", "s0-0")
	breakOn(r, epoch.Add(time.Second), poison, "leaf0", "s0-1")
	is.True(refused(r, epoch.Add(2*time.Second), suspectPick(poison)))
	for f := range uint64(2 * maxSuspects) {
		breakOn(r, epoch.Add(3*time.Second), 10_000+f, "leaf0", "s0-2")
	}
	is.True(refused(r, epoch.Add(4*time.Second), suspectPick(poison)))
	is.True(len(r.suspects.byKey) <= maxSuspects)
}

package policy

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const crashingRequest = 666

// breakCall breaks a call of the request on a server after a while.
func breakCall(r *Router, now time.Time, fingerprint uint64, leaf, id string) {
	srv := r.server("svc", leaf, id)
	r.Begin(now, srv)
	const took = 10 * time.Millisecond
	r.Done(now.Add(took), srv, Observation{Result: ResultBroken, Fingerprint: fingerprint, Latency: took})
}

func isRefused(r *Router, now time.Time, p PickInfo) bool {
	_, reason := r.Pick(now, p)
	return reason == CrashSuspect
}

func pickOf(fingerprint uint64) PickInfo {
	return PickInfo{Service: "svc", Leaf: "leaf0", Fingerprint: fingerprint}
}

func TestRequestThatCrashesTwoServersIsRefused(t *testing.T) {
	is := is.New(t)
	all := routers(2, 1, Options{}, shape{servers: 3, connections: 50}.doc())
	a, b := all[0], all[1]
	now := epoch
	breakCall(a, now, crashingRequest, "leaf0", "s0-0")
	is.True(!isRefused(a, now, pickOf(crashingRequest)))
	hedge := pickOf(crashingRequest)
	hedge.Hedge = true
	is.True(isRefused(a, now, hedge)) // no second server at the same time
	now = now.Add(time.Second)
	breakCall(a, now, crashingRequest, "leaf0", "s0-0")
	is.True(!isRefused(a, now, pickOf(crashingRequest))) // the same server twice
	breakCall(a, now, crashingRequest, "leaf0", "s0-1")
	is.True(isRefused(a, now, pickOf(crashingRequest)))
	is.True(!isRefused(a, now, pickOf(1)))

	is.Equal(len(a.TakeSuspicions()), 0) // held back in case of a network partition
	a.at(now.Add(2 * announceDelay))
	suspicions := a.TakeSuspicions()
	is.Equal(len(suspicions), 1)
	is.Equal(len(a.TakeSuspicions()), 0)
	b.AddSuspicion(now, suspicions[0])
	is.True(isRefused(b, now, pickOf(crashingRequest)))
	is.True(!isRefused(b, now.Add(firstRefusal+time.Second), pickOf(crashingRequest)))
	is.True(!isRefused(a, now.Add(firstRefusal+time.Second), pickOf(crashingRequest)))
}

func TestRefusalsBoundCrashes(t *testing.T) {
	is := is.New(t)
	crashes := func(disabled mechanisms) int {
		r := routers(1, 1, Options{disabled: disabled}, shape{servers: 6, connections: 50}.doc())[0]
		n := 0
		for i := range 20 {
			now := epoch.Add(time.Duration(i) * 10 * time.Second)
			srv, reason := r.Pick(now, pickOf(crashingRequest))
			if reason != Picked {
				continue
			}
			n++
			r.Begin(now, srv)
			r.Done(now, srv, Observation{Result: ResultBroken, Fingerprint: crashingRequest})
		}
		return n
	}
	is.True(crashes(mechanisms{suspects: true}) == 20)
	is.True(crashes(mechanisms{}) <= 6)
}

// After the first break, the request is probed with one call at a time; an answer
// to the probe releases the others.
func TestSuspectIsProbedOneCallAtATime(t *testing.T) {
	is := is.New(t)
	r := routers(1, 1, Options{}, shape{leaves: 2, servers: 3, connections: 50}.doc())[0]
	breakCall(r, epoch, 1, "leaf0", "s0-0")
	now := epoch.Add(20 * time.Millisecond)
	srv, reason := r.Pick(now, pickOf(1))
	is.Equal(reason, Picked)
	r.Begin(now, srv)
	other := PickInfo{Service: "svc", Leaf: "leaf1", Fingerprint: 1}
	_, reason = r.Pick(now, other)
	is.Equal(reason, AllBusy)
	_, reason = r.Pick(now.Add(suspectProbeTimeout), other) // a probe that does not end blocks nothing for longer
	is.Equal(reason, Picked)
	now = now.Add(10 * time.Millisecond)
	r.Done(now, srv, Observation{Latency: 10 * time.Millisecond, Fingerprint: 1})
	_, reason = r.Pick(now, other)
	is.Equal(reason, Picked)
	is.Equal(len(r.suspects.byKey), 0)
}

// A server that crashes also breaks calls of requests that its leaf has
// answered before.
func TestAnsweredRequestIsNotSuspected(t *testing.T) {
	is := is.New(t)
	r := routers(1, 1, Options{}, shape{servers: 3, connections: 50}.doc())[0]
	srv := r.server("svc", "leaf0", "s0-2")
	r.Begin(epoch, srv)
	r.Done(epoch, srv, Observation{Latency: time.Millisecond, Fingerprint: 1})
	breakCall(r, epoch, 1, "leaf0", "s0-0")
	breakCall(r, epoch.Add(time.Second), 1, "leaf0", "s0-1")
	is.True(!isRefused(r, epoch, pickOf(1)))
}

// A data centre is cut off: calls of many requests to many servers, sent
// before, break together and succeed elsewhere.
func TestNetworkPartitionIsNotTakenForCrashes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		doc := shape{leaves: 10, servers: 3, connections: 50}.doc()
		r := routers(1, 1, Options{}, doc)[0]
		requests := rapid.IntRange(1, 40).Draw(t, "requests")
		breakRetries := rapid.Bool().Draw(t, "again") // the second attempts break too
		type brokenCall struct{ request, leaf, server int }
		var calls []brokenCall
		for q := range requests {
			for l := range doc.Leaves {
				calls = append(calls, brokenCall{q, l, 0})
			}
		}
		now := epoch
		sent := now
		breakAll := func(server int) {
			for _, c := range rapid.Permutation(calls).Draw(t, "order") {
				now = now.Add(100 * time.Microsecond)
				srv := r.server("svc", doc.Leaves[c.leaf].Name, doc.Leaves[c.leaf].Servers[server].ID)
				r.Begin(sent, srv)
				r.Done(now, srv, Observation{Result: ResultBroken, Fingerprint: uint64(c.request + 1), Latency: now.Sub(sent)})
			}
		}
		breakAll(0)
		if breakRetries && requests >= 2*burstRequests {
			sent = now
			breakAll(1)
			requests = 0 // some may be refused during the burst, but nothing is reported to peers
		}
		for q := range requests {
			if isRefused(r, now, pickOf(uint64(q+1))) {
				t.Fatalf("request %d is refused after a network partition", q)
			}
		}
		r.at(now.Add(time.Second))
		if n := len(r.TakeSuspicions()); n >= burstRequests {
			t.Fatalf("%d suspicions are announced to the peers", n)
		}
	})
}

// A wide request crashes a server of every leaf, and then one by its second
// attempt, while other requests are in flight.
func TestCrashingRequestIsFoundAmongOthersInFlight(t *testing.T) {
	is := is.New(t)
	doc := shape{leaves: 12, servers: 3, connections: 50}.doc()
	r := routers(1, 1, Options{}, doc)[0]
	for i, l := range doc.Leaves {
		breakCall(r, epoch, crashingRequest, l.Name, l.Servers[0].ID)
		breakCall(r, epoch, uint64(1+i%4), l.Name, l.Servers[0].ID)
	}
	breakCall(r, epoch.Add(time.Second), crashingRequest, "leaf0", "s0-1")
	is.True(isRefused(r, epoch.Add(time.Second), pickOf(crashingRequest)))
	for i := range 4 {
		is.True(!isRefused(r, epoch.Add(time.Second), pickOf(uint64(1+i))))
	}
}

func TestSuspectsAreBounded(t *testing.T) {
	is := is.New(t)
	r := routers(1, 1, Options{}, shape{servers: 3, connections: 50}.doc())[0]
	for i := range 3 * maxSuspects {
		breakCall(r, epoch.Add(time.Duration(i)*time.Millisecond), uint64(i+1), "leaf0", "s0-0")
	}
	is.Equal(len(r.suspects.byKey), maxSuspects)
	for i := range 3 * maxSuspects {
		r.AddSuspicion(epoch, Suspicion{Service: "svc", Fingerprint: uint64(1e6 + i), Until: epoch.Add(time.Hour)})
	}
	is.True(len(r.suspects.byKey) <= maxSuspects)
}

func TestBackoffFollowsDrainTime(t *testing.T) {
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
	is.True(d >= 400*time.Millisecond && d <= time.Second) // all 500 refused requests may be retried
	seen := make(map[time.Duration]bool)
	for range 100 {
		seen[r.Backoff(now, "svc", AllBusy)] = true
	}
	is.True(len(seen) > 50) // spread by jitter
	is.True(r.Backoff(now, "nowhere", UnknownService) > 0)
}

// TestRecurringRequestStaysRefused sends a request that crashes a server
// whenever it is let through, once a second for a day. After its first refusal
// it may reach three more servers, the limit on the users' platform.
func TestRecurringRequestStaysRefused(t *testing.T) {
	is := is.New(t)
	r := routers(1, 1, Options{}, shape{servers: 3, connections: 50}.doc())[0]
	late, wasRefused := 0, false
	for i := range 24 * 60 * 60 {
		now := epoch.Add(time.Duration(i) * time.Second)
		srv, reason := r.Pick(now, pickOf(crashingRequest))
		if reason != Picked {
			wasRefused = wasRefused || reason == CrashSuspect
			continue
		}
		if wasRefused {
			late++
		}
		r.Begin(now, srv)
		r.Done(now, srv, Observation{Result: ResultBroken, Fingerprint: crashingRequest})
	}
	is.True(wasRefused)
	is.True(late <= 3)
}

// TestRefusedRequestIsNotEvicted breaks the calls of many other requests after
// a request was refused.
func TestRefusedRequestIsNotEvicted(t *testing.T) {
	is := is.New(t)
	r := routers(1, 1, Options{}, shape{servers: 3, connections: 50}.doc())[0]
	breakCall(r, epoch, crashingRequest, "leaf0", "s0-0")
	breakCall(r, epoch.Add(time.Second), crashingRequest, "leaf0", "s0-1")
	is.True(isRefused(r, epoch.Add(2*time.Second), pickOf(crashingRequest)))
	for f := range uint64(2 * maxSuspects) {
		breakCall(r, epoch.Add(3*time.Second), 10_000+f, "leaf0", "s0-2")
	}
	is.True(isRefused(r, epoch.Add(4*time.Second), pickOf(crashingRequest)))
	is.True(len(r.suspects.byKey) <= maxSuspects)
}

package crash

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var epoch = time.Unix(1000, 0)

// observation is a report; at is in milliseconds after the epoch.
type observation struct {
	at       time.Duration
	service  string
	server   string
	answered bool
}

func addAll(r *Tracker, fingerprint uint64, list []observation) {
	for _, s := range list {
		p := Report{Fingerprint: fingerprint, Service: s.service, Server: s.server, Answered: s.answered}
		if s.answered {
			p.Serial = int64(s.at) + 1
		}
		r.Add(epoch.Add(s.at*time.Millisecond), p)
	}
}

func TestVerdicts(t *testing.T) {
	crashed := func(at time.Duration, service, server string) observation {
		return observation{at, service, server, false}
	}
	answered := func(at time.Duration, service string) observation { return observation{at, service, "", true} }
	for name, c := range map[string]struct {
		list    []observation
		crashed int
	}{
		"three servers of one service":           {[]observation{crashed(0, "s", "1"), crashed(1, "s", "2"), crashed(2, "s", "3")}, 3},
		"one server, reported three times":       {[]observation{crashed(0, "s", "1"), crashed(1, "s", "1"), crashed(2, "s", "1")}, 1},
		"one of each of three services":          {[]observation{crashed(0, "s", "1"), crashed(0, "t", "2"), crashed(0, "u", "3")}, 3},
		"the same, and a fourth answers":         {[]observation{crashed(0, "s", "1"), crashed(0, "t", "2"), crashed(0, "u", "3"), answered(1, "v")}, 1},
		"another had answered before":            {[]observation{crashed(0, "s", "1"), answered(1, "s"), answered(1, "v"), crashed(2, "s", "2"), crashed(2, "t", "3"), crashed(2, "u", "4")}, 3},
		"the service answers since":              {[]observation{crashed(0, "s", "1"), crashed(1, "s", "2"), crashed(2, "s", "3"), answered(3, "s")}, 0},
		"three of one service, another answers":  {[]observation{crashed(0, "s", "1"), crashed(1, "s", "2"), crashed(2, "s", "3"), answered(3, "t")}, 3},
		"answers, then crashes three servers":    {[]observation{crashed(0, "s", "0"), answered(1, "s"), crashed(2, "s", "1"), crashed(3, "s", "2"), crashed(4, "s", "3")}, 3},
		"an answer to a request without crashes": {[]observation{answered(0, "s")}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := NewTracker("10.0.0.1")
			addAll(r, 7, c.list)
			now := epoch.Add(10 * time.Millisecond)
			is.Equal(r.Verdicts(now)[7].Crashed, c.crashed)
			other := NewTracker("10.0.0.1") // a host that learns of them from the first one
			for _, p := range r.Reports(now, 0) {
				other.Add(now, p)
			}
			is.Equal(other.Verdicts(now), r.Verdicts(now))
		})
	}
}

// addCrashes reports n crashes for a request, one each second.
func addCrashes(r *Tracker, fingerprint uint64, from time.Duration, n int) {
	for i := range n {
		at := epoch.Add(from + time.Duration(i)*time.Second)
		r.Add(at, Report{Fingerprint: fingerprint, Service: "s", Server: strconv.Itoa(int(from) + i)})
	}
}

// TestRefusalGrowsWhileRequestKeepsCrashing sends a request all day that
// crashes a server whenever it is admitted. The users allow three calls after
// the third crash.
func TestRefusalGrowsWhileRequestKeepsCrashing(t *testing.T) {
	is := is.New(t)
	r := NewTracker("10.0.0.1")
	addCrashes(r, 7, 0, RefusalThreshold)
	admitted := 0
	for at := 3 * time.Second; at < 24*time.Hour; at += 5 * time.Second {
		v := r.Verdicts(epoch.Add(at))[7]
		if v.Refused() {
			continue
		}
		admitted++
		addCrashes(r, 7, at, 1)
	}
	is.True(admitted > 0) // a request is admitted again in case it no longer crashes servers
	is.True(admitted <= 3)
}

// TestRequestThatStoppedCrashingIsAdmitted covers servers that have been fixed:
// the request is admitted again, and an answer clears it.
func TestRequestThatStoppedCrashingIsAdmitted(t *testing.T) {
	is := is.New(t)
	r := NewTracker("10.0.0.1")
	addCrashes(r, 7, 0, RefusalThreshold)
	is.True(r.Verdicts(epoch.Add(initialRefusal))[7].Refused())
	after := epoch.Add(2*initialRefusal + RefusalThreshold*time.Second)
	is.True(!r.Verdicts(after)[7].Refused())
	r.Add(after, Report{Fingerprint: 7, Service: "s", Answered: true})
	is.Equal(len(r.Verdicts(after)), 0)
}

// TestRefusalsEndAtDifferentTimesPerHost guards against all hosts trying the
// request again before the first one's finding has spread.
func TestRefusalsEndAtDifferentTimesPerHost(t *testing.T) {
	is := is.New(t)
	first, last := time.Hour, time.Duration(0)
	for i := range 9 {
		r := NewTracker("10.0.0." + strconv.Itoa(i))
		addCrashes(r, 7, 0, RefusalThreshold)
		d := r.Verdicts(epoch)[7].RefusedFor
		first, last = min(first, d), max(last, d)
	}
	is.True(first >= initialRefusal)
	is.True(last-first > initialRefusal/2)
}

// TestFullTrackerKeepsTheCrashingRequest covers a mass crash that fills the
// tracker with bystanders just before the crashing request arrives: it must be
// tracked all the same.
func TestFullTrackerKeepsTheCrashingRequest(t *testing.T) {
	is := is.New(t)
	r := NewTracker("10.0.0.1")
	for f := range uint64(2 * maxRequests) {
		addCrashes(r, 1000+f, 0, 2)
	}
	addCrashes(r, 7, time.Second, RefusalThreshold)
	is.True(r.Verdicts(epoch.Add(4 * time.Second))[7].Refused())
	is.True(len(r.Reports(epoch.Add(4*time.Second), 0)) <= maxRequests*maxServers)
	for f := range uint64(2 * maxRequests) { // further ones do not evict it
		addCrashes(r, 5000+f, 2*time.Second, 2)
	}
	is.True(r.Verdicts(epoch.Add(4 * time.Second))[7].Refused())
}

// TestSameReportsInAnyOrderGiveSameVerdicts delivers the same reports to two
// hosts in different orders.
func TestSameReportsInAnyOrderGiveSameVerdicts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Report {
			return Report{
				Fingerprint: rapid.Uint64Range(1, 4).Draw(t, "request"),
				Service:     rapid.SampledFrom([]string{"s", "t"}).Draw(t, "service"),
				Server:      rapid.SampledFrom([]string{"1", "2", "3", "4", "5", "6"}).Draw(t, "server"),
				AgeMs:       1000 * rapid.Int64Range(0, 60).Draw(t, "age"),
			}
		}), 0, 30).Draw(t, "reports")
		seen := make(map[incarnation]bool)
		var list []Report
		for _, p := range all {
			l := incarnation{p.Service, p.Server, int64(p.Fingerprint)}
			if !seen[l] { // an incarnation ends only once
				list = append(list, p)
			}
			seen[l] = true
		}
		a, b := NewTracker("10.0.0.1"), NewTracker("10.0.0.1")
		for _, p := range list {
			a.Add(epoch, p)
		}
		for _, p := range rapid.Permutation(list).Draw(t, "order") {
			b.Add(epoch, p)
		}
		va, vb := a.Verdicts(epoch), b.Verdicts(epoch)
		for f := range va {
			if va[f].Refused() != vb[f].Refused() {
				t.Fatalf("request %d: %v and %v", f, va[f], vb[f])
			}
		}
	})
}

// TestReportsAreForwardedOnce lets hosts exchange reports of many requests that
// each crashed many servers. A report's age grows by its time in transit at
// each hop; it must not count as a new report for that, or the exchange never
// ends.
func TestReportsAreForwardedOnce(t *testing.T) {
	const (
		hosts       = 5
		transitTime = 300 * time.Millisecond // on a host that is short of CPU time
		requests    = 2 * maxRequests
		servers     = 3 * maxServers
		rounds      = 200
	)
	is := is.New(t)
	var all []*Tracker
	known := make(map[[2]int]uint64)
	for i := range hosts {
		all = append(all, NewTracker("10.0.0."+strconv.Itoa(i)))
	}
	now := epoch
	for f := range requests {
		for s := range servers {
			all[(f+s)%hosts].Add(now, Report{Fingerprint: uint64(f), Service: "s" + strconv.Itoa(s), Server: strconv.Itoa(s)})
		}
		all[f%hosts].Add(now, Report{Fingerprint: uint64(f), Service: "t", Answered: true, Serial: int64(f)})
	}
	sent, lastChange := 0, 0
	for round := range rounds {
		now = now.Add(10 * time.Millisecond)
		for i, from := range all {
			for j, to := range all {
				list := from.Reports(now, known[[2]int{i, j}])
				known[[2]int{i, j}] = from.Version()
				sent += len(list)
				for _, p := range list {
					if to.Add(now.Add(transitTime), p) {
						lastChange = round
					}
				}
			}
		}
	}
	is.True(lastChange < 2*hosts)                     // then nothing changes any more
	is.True(sent <= requests*(servers+1)*hosts*hosts) // each report passes each link at most once
}

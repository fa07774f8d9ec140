package crash

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var epoch = time.Unix(1000, 0)

// seen is a report as of so many milliseconds after the epoch.
type seen struct {
	at       time.Duration
	service  string
	server   string
	answered bool
}

func play(r *Tracker, fingerprint uint64, list []seen) {
	for _, s := range list {
		p := Report{Fingerprint: fingerprint, Service: s.service, Server: s.server, Answered: s.answered}
		if s.answered {
			p.Serial = int64(s.at) + 1
		}
		r.Add(epoch.Add(s.at*time.Millisecond), p)
	}
}

func TestVerdicts(t *testing.T) {
	ended := func(at time.Duration, service, server string) seen { return seen{at, service, server, false} }
	answered := func(at time.Duration, service string) seen { return seen{at, service, "", true} }
	for name, c := range map[string]struct {
		list    []seen
		crashed int
	}{
		"three servers of one service":           {[]seen{ended(0, "s", "1"), ended(1, "s", "2"), ended(2, "s", "3")}, 3},
		"one server, told three times":           {[]seen{ended(0, "s", "1"), ended(1, "s", "1"), ended(2, "s", "1")}, 1},
		"one of each of three services":          {[]seen{ended(0, "s", "1"), ended(0, "t", "2"), ended(0, "u", "3")}, 3},
		"the same, and a fourth answers":         {[]seen{ended(0, "s", "1"), ended(0, "t", "2"), ended(0, "u", "3"), answered(1, "v")}, 1},
		"another had answered before":            {[]seen{ended(0, "s", "1"), answered(1, "s"), answered(1, "v"), ended(2, "s", "2"), ended(2, "t", "3"), ended(2, "u", "4")}, 3},
		"the service answers since":              {[]seen{ended(0, "s", "1"), ended(1, "s", "2"), ended(2, "s", "3"), answered(3, "s")}, 0},
		"three of one service, another answers":  {[]seen{ended(0, "s", "1"), ended(1, "s", "2"), ended(2, "s", "3"), answered(3, "t")}, 3},
		"answers, then crashes three servers":    {[]seen{ended(0, "s", "0"), answered(1, "s"), ended(2, "s", "1"), ended(3, "s", "2"), ended(4, "s", "3")}, 3},
		"an answer to a request nothing is held": {[]seen{answered(0, "s")}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := NewTracker("10.0.0.1")
			play(r, 7, c.list)
			now := epoch.Add(10 * time.Millisecond)
			is.Equal(r.Verdicts(now)[7].Crashed, c.crashed)
			other := NewTracker("10.0.0.1") // as another host hears of it
			for _, p := range r.Reports(now, 0) {
				other.Add(now, p)
			}
			is.Equal(other.Verdicts(now), r.Verdicts(now))
		})
	}
}

// crashes reports servers that end under a request, one each second from then
// on.
func crashes(r *Tracker, fingerprint uint64, from time.Duration, n int) {
	for i := range n {
		at := epoch.Add(from + time.Duration(i)*time.Second)
		r.Add(at, Report{Fingerprint: fingerprint, Service: "s", Server: strconv.Itoa(int(from) + i)})
	}
}

// TestRequestThatGoesOnCrashingIsRefusedForLonger plays a request that comes
// all day and crashes a server whenever it is let in. The users' rule allows
// three calls after the third crash.
func TestRequestThatGoesOnCrashingIsRefusedForLonger(t *testing.T) {
	is := is.New(t)
	r := NewTracker("10.0.0.1")
	crashes(r, 7, 0, RefusalThreshold)
	late := 0
	for at := 3 * time.Second; at < 24*time.Hour; at += 5 * time.Second {
		v := r.Verdicts(epoch.Add(at))[7]
		if v.Refused() {
			continue
		}
		late++
		crashes(r, 7, at, 1)
	}
	is.True(late > 0) // a request that no longer crashes servers is let in
	is.True(late <= 3)
}

// TestRequestThatNoLongerCrashesIsLetIn plays servers that were mended.
func TestRequestThatNoLongerCrashesIsLetIn(t *testing.T) {
	is := is.New(t)
	r := NewTracker("10.0.0.1")
	crashes(r, 7, 0, RefusalThreshold)
	is.True(r.Verdicts(epoch.Add(firstRefusal))[7].Refused())
	after := epoch.Add(2*firstRefusal + RefusalThreshold*time.Second)
	is.True(!r.Verdicts(after)[7].Refused())
	r.Add(after, Report{Fingerprint: 7, Service: "s", Answered: true})
	is.Equal(len(r.Verdicts(after)), 0)
}

// TestHostsLetARequestInOneAfterTheOther keeps all of them from trying it
// before the first one's finding has spread.
func TestHostsLetARequestInOneAfterTheOther(t *testing.T) {
	is := is.New(t)
	first, last := time.Hour, time.Duration(0)
	for i := range 9 {
		r := NewTracker("10.0.0." + strconv.Itoa(i))
		crashes(r, 7, 0, RefusalThreshold)
		d := r.Verdicts(epoch)[7].RefusedFor
		first, last = min(first, d), max(last, d)
	}
	is.True(first >= firstRefusal)
	is.True(last-first > firstRefusal/2)
}

// TestRecordsFullOfOthersTakeTheRequestAtFault plays a mass crash: many
// requests each with a server that ended under them, just before the one at
// fault comes.
func TestRecordsFullOfOthersTakeTheRequestAtFault(t *testing.T) {
	is := is.New(t)
	r := NewTracker("10.0.0.1")
	for f := range uint64(2 * maxRequests) {
		crashes(r, 1000+f, 0, 2)
	}
	crashes(r, 7, time.Second, RefusalThreshold)
	is.True(r.Verdicts(epoch.Add(4 * time.Second))[7].Refused())
	is.True(len(r.Reports(epoch.Add(4*time.Second), 0)) <= maxRequests*maxServers)
	for f := range uint64(2 * maxRequests) { // and more of them do not push it out
		crashes(r, 5000+f, 2*time.Second, 2)
	}
	is.True(r.Verdicts(epoch.Add(4 * time.Second))[7].Refused())
}

// TestHostsThatHaveHeardTheSameAgree has reports reach two hosts in any order.
func TestHostsThatHaveHeardTheSameAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Report {
			return Report{
				Fingerprint: rapid.Uint64Range(1, 4).Draw(t, "request"),
				Service:     rapid.SampledFrom([]string{"s", "t"}).Draw(t, "service"),
				Server:      rapid.SampledFrom([]string{"1", "2", "3", "4", "5", "6"}).Draw(t, "server"),
				AgeMs:       1000 * rapid.Int64Range(0, 60).Draw(t, "age"),
			}
		}), 0, 30).Draw(t, "reports")
		seen := make(map[lifetime]bool)
		var list []Report
		for _, p := range all {
			l := lifetime{p.Service, p.Server, int64(p.Fingerprint)}
			if !seen[l] { // a lifetime ends once
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

// TestReportsGoRoundOnce plays hosts that tell each other of a request that
// ended many servers at once, and of many such requests. A report ages by its
// time on the way each time, and must not count as another one for that.
func TestReportsGoRoundOnce(t *testing.T) {
	const (
		hosts    = 5
		way      = 300 * time.Millisecond // on a host that is short of processor time
		requests = 2 * maxRequests
		servers  = 3 * maxServers
		rounds   = 200
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
	told, last := 0, 0
	for round := range rounds {
		now = now.Add(10 * time.Millisecond)
		for i, from := range all {
			for j, to := range all {
				list := from.Reports(now, known[[2]int{i, j}])
				known[[2]int{i, j}] = from.Version()
				told += len(list)
				for _, p := range list {
					if to.Add(now.Add(way), p) {
						last = round
					}
				}
			}
		}
	}
	is.True(last < 2*hosts)                           // then all is quiet
	is.True(told <= requests*(servers+1)*hosts*hosts) // each report over each link once at most
}

package handover

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

func newPeers() *Peers {
	p := NewPeers(Options{
		Address: "10.0.0.1", DataCentre: "a", Regions: map[string]string{"a": "r", "b": "r", "c": "q"}, Rand: rand.New(rand.NewPCG(1, 2)),
	})
	p.SetHosts([]Host{{"10.0.0.1", "a"}, {"10.0.0.2", "a"}, {"10.0.0.3", "b"}, {"10.0.0.4", "c"}})
	return p
}

func TestNearHostIsChosenFirst(t *testing.T) {
	is := is.New(t)
	p, now := newPeers(), time.Unix(1000, 0)
	var tried []string
	for _, want := range []string{"10.0.0.2", "10.0.0.3", "10.0.0.4"} {
		address, ok := p.Choose(now, tried, nil)
		is.True(ok)
		is.Equal(address, want)
		tried = append(tried, address)
	}
	_, ok := p.Choose(now, tried, nil)
	is.True(!ok) // never this host itself
}

func TestHostOutsideTheRegionsIsNotChosen(t *testing.T) {
	is := is.New(t)
	p, now := newPeers(), time.Unix(1000, 0)
	address, ok := p.Choose(now, nil, []string{"q"})
	is.True(ok)
	is.Equal(address, "10.0.0.4")
	_, ok = p.Choose(now, nil, []string{"none"})
	is.True(!ok)
}

// TestRequestsAreSpreadOverHosts: a host with many requests of this one is
// chosen less often, also if it is near.
func TestRequestsAreSpreadOverHosts(t *testing.T) {
	is := is.New(t)
	p, now := newPeers(), time.Unix(1000, 0)
	counts := make(map[string]int)
	for range 30 {
		address, _ := p.Choose(now, nil, nil)
		p.Begin(address)
		counts[address]++
	}
	is.True(counts["10.0.0.2"] > counts["10.0.0.3"])
	is.True(counts["10.0.0.3"] > counts["10.0.0.4"])
	is.True(counts["10.0.0.4"] > 0)
}

func TestHostIsAvoidedAfterEachResult(t *testing.T) {
	for result, d := range avoidFor {
		t.Run(result.String(), func(t *testing.T) {
			is := is.New(t)
			p, now := newPeers(), time.Unix(1000, 0)
			p.Begin("10.0.0.2")
			p.End("10.0.0.2")
			p.Record(now, "10.0.0.2", result)
			address, _ := p.Choose(now.Add(d-time.Millisecond), nil, nil)
			is.True(address != "10.0.0.2")
			address, _ = p.Choose(now.Add(d), nil, nil)
			is.Equal(address, "10.0.0.2")
		})
	}
}

// TestHostThatServesIsPreferred: other hosts may be isolated too.
func TestHostThatServesIsPreferred(t *testing.T) {
	is := is.New(t)
	p, now := newPeers(), time.Unix(1000, 0)
	p.Record(now, "10.0.0.3", Final)
	address, _ := p.Choose(now, nil, nil)
	is.Equal(address, "10.0.0.3")
	address, _ = p.Choose(now.Add(servedMemory+time.Millisecond), nil, nil)
	is.Equal(address, "10.0.0.2")
}

func TestKnowledgeOfHostsIsKept(t *testing.T) {
	is := is.New(t)
	p, now := newPeers(), time.Unix(1000, 0)
	p.Record(now, "10.0.0.2", Isolated)
	p.SetHosts([]Host{{"10.0.0.2", "a"}, {"10.0.0.3", "b"}})
	address, _ := p.Choose(now, nil, nil)
	is.Equal(address, "10.0.0.3")
	is.Equal(p.Len(), 2)
}

func TestResultsHaveNames(t *testing.T) {
	is := is.New(t)
	for _, r := range Results() {
		parsed, ok := ParseResult(r.String())
		is.True(ok)
		is.Equal(parsed, r)
	}
	_, ok := ParseResult("other")
	is.True(!ok)
}

package timeline

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
)

// fixedClock returns a wall clock that stands still.
func fixedClock(at int64) func() time.Time {
	return func() time.Time { return time.Unix(0, at) }
}

func details(events []Event) string {
	var s string
	for _, e := range events {
		s += e.Detail
	}
	return s
}

func TestTrafficDoesNotPushOutControlEvents(t *testing.T) {
	is := is.New(t)
	r := NewRing("a", 4, fixedClock(1))
	r.Add(Event{Kind: ConfigAccepted, Detail: "c"})
	for i := range 9 {
		r.Add(Event{Kind: RequestEnded, Request: "q", Detail: strconv.Itoa(i)})
	}
	is.Equal(details(r.Events()), "c5678") // the newest request events, and the configuration event
}

func TestSelect(t *testing.T) {
	r := NewRing("a", 16, fixedClock(1))
	r.Add(Event{Detail: "a", Service: "s1"})
	r.Add(Event{Detail: "b", Service: "s1", Request: "q1", Server: "x"})
	r.Add(Event{Detail: "c", Service: "s2", Request: "q2", Server: "y"})
	r.Add(Event{Detail: "d", Service: "s1", Request: "q1", Server: "y"})
	since := r.Events()[1].Stamp
	for _, c := range []struct {
		name   string
		filter Filter
		want   string
	}{
		{"all", Filter{}, "abcd"},
		{"service", Filter{Service: "s1"}, "abd"},
		{"request", Filter{Request: "q1"}, "bd"},
		{"server", Filter{Server: "y"}, "cd"},
		{"since", Filter{Since: since}, "cd"},
		{"limit keeps the newest", Filter{Limit: 2}, "cd"},
		{"nothing", Filter{Request: "q3"}, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(details(r.Select(c.filter)), c.want)
		})
	}
}

// TestOrderHoldsOverHosts checks that events on both sides of a message
// exchange stay in causal order although the answering host's wall clock is
// behind.
func TestOrderHoldsOverHosts(t *testing.T) {
	is := is.New(t)
	ahead, behind := NewRing("a", 4, fixedClock(1000)), NewRing("b", 4, fixedClock(10))
	ahead.Add(Event{Detail: "1"})
	behind.Observe(ahead.Now())
	behind.Add(Event{Detail: "2"})
	ahead.Observe(behind.Now())
	ahead.Add(Event{Detail: "3"})
	is.Equal(details(Merge(behind.Events(), ahead.Events())), "123")
}

func TestStampText(t *testing.T) {
	is := is.New(t)
	s := Stamp{Wall: 1764817200123456789, Counter: 7}
	got, err := ParseStamp(s.String())
	is.NoErr(err)
	is.Equal(got, s)
	for _, bad := range []string{"", "x", "1.x", "-1", "1.99999999999"} {
		_, err := ParseStamp(bad)
		is.True(err != nil)
	}
}

func BenchmarkAdd(b *testing.B) {
	r := NewRing("a", 1<<17, time.Now)
	e := Event{Kind: RequestEnded, Service: "s", Request: "q", Detail: "answered"}
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			r.Add(e)
		}
	})
}

func BenchmarkSelectRequest(b *testing.B) {
	r := NewRing("a", 1<<17, time.Now)
	for i := range 1 << 17 {
		r.Add(Event{Request: strconv.Itoa(i / 14)})
	}
	for b.Loop() {
		r.Select(Filter{Request: "7"})
	}
}

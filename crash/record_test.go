package crash

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var epoch = time.Unix(1000, 0)

// seen is a report as of so many milliseconds after the epoch.
type seen struct {
	at       time.Duration
	service  string
	server   string
	answered bool
}

func play(r *Record, fingerprint uint64, list []seen) {
	for _, s := range list {
		r.Take(epoch.Add(s.at*time.Millisecond), Report{Fingerprint: fingerprint, Service: s.service, Server: s.server, Answered: s.answered})
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
			r := NewRecord()
			play(r, 7, c.list)
			now := epoch.Add(10 * time.Millisecond)
			is.Equal(r.Verdicts(now)[7].Crashed, c.crashed)
			other := NewRecord() // as another host hears of it
			for _, p := range r.Reports(now) {
				other.Take(now, p)
			}
			is.Equal(other.Verdicts(now), r.Verdicts(now))
		})
	}
}

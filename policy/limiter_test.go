package policy

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/figmast/figmast/document"
)

// At twice the capacity over multiplexed connections, the limit keeps queues
// short and servers from shedding; goodput stays.
func TestLimitsHoldUnderOverload(t *testing.T) {
	is := is.New(t)
	run := func(off mechanisms, rate float64) *sim {
		doc := shape{leaves: 3, servers: 6, connections: 50, centres: 3, edit: func(d *document.Service) { d.Protocol = document.HTTP2 }}.doc()
		s := newSim(1, 9, 3, Options{without: off}, doc, 5*time.Millisecond)
		s.run(rate, time.Second)
		s.reset()
		s.run(rate, 2*time.Second)
		return s
	}
	const capacity = 18 * 8 * 200 // leaf calls a second: servers, workers, calls of each
	limited, unlimited := run(mechanisms{}, 2*capacity/3), run(mechanisms{limiter: true}, 2*capacity/3)
	t.Logf("limited: %v\nunlimited: %v", limited, unlimited)
	is.True(limited.answered >= 2*capacity*9/10)
	is.True(limited.quantile(.99)*4 < unlimited.quantile(.99)*3)
	is.True(limited.sent-limited.answered < limited.answered/20) // work that servers refuse

	// Stragglers alone must not look like load.
	s := newSim(1, 9, 3, Options{}, shape{leaves: 30, servers: 3, connections: 30, centres: 3}.doc(), 5*time.Millisecond)
	for _, m := range s.servers {
		m.strag = .01
	}
	s.run(2000, 2*time.Second)
	t.Log(s)
	is.True(s.coverage() >= 0.999)
}

// A server that hangs holds up nothing but what hedges cannot pay for.
func TestAHungServerIsLeft(t *testing.T) {
	is := is.New(t)
	s := newSim(1, 9, 3, Options{}, shape{leaves: 30, servers: 3, connections: 60, centres: 3}.doc(), 5*time.Millisecond)
	s.run(300, 2*time.Second)
	s.reset()
	for _, id := range []string{"s0-0", "s1-1", "s2-2"} {
		s.servers[id].slowBy = 1000
	}
	s.run(300, 4*time.Second)
	t.Log(s)
	is.True(s.coverage() >= 0.999)
	is.True(s.quantile(.99) < 40*time.Millisecond)
	is.True(s.quantile(.999) < 200*time.Millisecond)
}

func TestALostReplicaCostsNoCoverage(t *testing.T) {
	is := is.New(t)
	s := newSim(1, 9, 3, Options{}, shape{leaves: 30, servers: 3, connections: 30, centres: 3}.doc(), 5*time.Millisecond)
	s.run(300, time.Second)
	s.reset()
	for _, l := range s.doc.Leaves {
		s.servers[l.Servers[0].ID].down = true
	}
	s.run(300, 4*time.Second)
	t.Log(s)
	is.True(s.coverage() >= 0.999)
}

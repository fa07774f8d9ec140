package policy

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/figmast/figmast/document"
)

// At twice the capacity over multiplexed connections, the limit keeps queues
// short and servers from shedding, without loss of goodput.
func TestLimitsHoldUnderOverload(t *testing.T) {
	is := is.New(t)
	run := func(disabled mechanisms, rate float64) *sim {
		doc := shape{leaves: 3, servers: 6, connections: 50, centres: 3, edit: func(d *document.Service) { d.Protocol = document.HTTP2 }}.doc()
		s := newSim(1, 9, 3, Options{disabled: disabled}, doc, 5*time.Millisecond)
		s.run(rate, time.Second)
		s.reset()
		s.run(rate, 2*time.Second)
		return s
	}
	const capacity = 18 * 8 * 200 // leaf calls a second: servers, workers, calls of each worker
	limited, unlimited := run(mechanisms{}, 2*capacity/3), run(mechanisms{limiter: true}, 2*capacity/3)
	t.Logf("limited: %v\nunlimited: %v", limited, unlimited)
	is.True(limited.answered >= 2*capacity*9/10)
	is.True(limited.quantile(.99)*4 < unlimited.quantile(.99)*3)
	is.True(limited.sent-limited.answered < limited.answered/20) // calls that servers refuse

	// Stragglers alone must not be taken for load.
	s := newSim(1, 9, 3, Options{}, shape{leaves: 30, servers: 3, connections: 30, centres: 3}.doc(), 5*time.Millisecond)
	for _, m := range s.servers {
		m.stragglerOdds = .01
	}
	s.run(2000, 2*time.Second)
	t.Log(s)
	is.True(s.coverage() >= 0.999)
}

// A hung server delays only the calls for which the hedge budget does not
// suffice.
func TestHungServerIsAvoided(t *testing.T) {
	is := is.New(t)
	s := newSim(1, 9, 3, Options{}, shape{leaves: 30, servers: 3, connections: 60, centres: 3}.doc(), 5*time.Millisecond)
	s.run(300, 2*time.Second)
	s.reset()
	for _, id := range []string{"s0-0", "s1-1", "s2-2"} {
		s.servers[id].slowdown = 1000
	}
	s.run(300, 4*time.Second)
	t.Log(s)
	is.True(s.coverage() >= 0.999)
	is.True(s.quantile(.99) < 40*time.Millisecond)
	is.True(s.quantile(.999) < 200*time.Millisecond)
}

func TestDownReplicaCostsNoCoverage(t *testing.T) {
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

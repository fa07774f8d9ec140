package query

import "time"

// quantum is how many leaf calls a service gets for each of its turns.
const quantum = 64

// turn is a service's place in the round.
type turn struct {
	in      bool
	deficit int
}

// turns gives services that wait for the host's bound on leaf calls their
// turns, by deficit round robin: each gets as many leaf calls as any other,
// however wide its queries are.
type turns struct{ round []*service }

func (t *turns) waiting() int { return len(t.round) }

func (t *turns) join(s *service) {
	if !s.turn.in {
		s.turn = turn{in: true}
		t.round = append(t.round, s)
	}
}

// serve starts queries of the services in turn while the host has room. A
// turn that ends for want of room goes on with what is left of it.
func (t *turns) serve(now time.Time, e *Engine) {
	for len(t.round) > 0 && e.room() {
		s := t.round[0]
		if s.turn.deficit <= 0 {
			s.turn.deficit += quantum
		}
		for s.turn.deficit > 0 && s.ready() && e.room() {
			s.turn.deficit -= s.startFirst(now)
		}
		if s.turn.deficit > 0 && s.ready() {
			return
		}
		t.round = append(t.round[:0], t.round[1:]...)
		if !s.ready() {
			s.turn = turn{}
			continue
		}
		t.round = append(t.round, s)
	}
}

package query

import "time"

// quantum is how many leaf calls are added to a service's deficit counter when
// the service is first in turn and the counter is used up.
const quantum = 64

// schedulingState is a service's state in the deficitRoundRobin scheduler.
type schedulingState struct {
	isActive bool
	deficit  int
}

// deficitRoundRobin schedules the services that are held back by the host's
// limit on leaf calls. Over time each gets as many leaf calls as any other, no
// matter how many leaves its queries need.
type deficitRoundRobin struct{ active []*service }

func (d *deficitRoundRobin) activeCount() int { return len(d.active) }

func (d *deficitRoundRobin) activate(s *service) {
	if !s.scheduling.isActive {
		s.scheduling = schedulingState{isActive: true}
		d.active = append(d.active, s)
	}
}

// startQueries starts queries of the active services while the host has
// capacity. A service that is interrupted because the host reached its limit
// stays first and keeps its remaining deficit.
func (d *deficitRoundRobin) startQueries(now time.Time, e *Engine) {
	for len(d.active) > 0 && e.hasCallCapacity() {
		s := d.active[0]
		if s.scheduling.deficit <= 0 {
			s.scheduling.deficit += quantum
		}
		for s.scheduling.deficit > 0 && s.hasStartable() && e.hasCallCapacity() {
			s.scheduling.deficit -= s.startNext(now)
		}
		if s.scheduling.deficit > 0 && s.hasStartable() {
			return
		}
		d.active = append(d.active[:0], d.active[1:]...)
		if !s.hasStartable() {
			s.scheduling = schedulingState{}
			continue
		}
		d.active = append(d.active, s)
	}
}

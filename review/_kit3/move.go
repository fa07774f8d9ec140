package main

import (
	"fmt"
	"net/http"
	"time"

	"github.com/figmast/figmast/route"
)

// Times after the acknowledgement of a configuration that moves a route: when the
// leaves of the old service report that they are draining, and when they exit.
const (
	drainAfter = 8 * time.Second
	exitAfter  = drainAfter + drainTime + time.Second
	drainTime  = 3 * time.Second // drain_ms
	// judgeSlack is allowed for the clocks of this program.
	judgeSlack = 200 * time.Millisecond
)

// move is a configuration that moves the route of the clients' requests from the
// service desk-old to desk-new.
type move struct {
	hosts []*host
	// acked is when it was acknowledged. All hosts are in touch from from on.
	acked, from time.Time
	oldLeaves   []*leaf
	publish     func(route.Server)
	remove      func(id string)
}

// judge sends requests to all hosts until a time after the acknowledgement. It judges
// those that were sent later than config_apply_ms after it, by hosts in touch.
func (m move) judge(w *world, until time.Duration) (broken []string) {
	from := m.acked.Add(configApply)
	if m.from.After(from) {
		from = m.from
	}
	from = from.Add(judgeSlack)
	judged, stale, unserved, late := 0, 0, 0, 0
	drained, exited := false, false
	var drainAcked time.Time
	for time.Since(m.acked) < until {
		if !drained && time.Since(m.acked) > drainAfter {
			drained = true
			for _, l := range m.oldLeaves {
				l.entry.Draining = true
				m.publish(l.entry)
				w.note("the store acknowledges that %s of desk-old is draining", l.entry.ID)
			}
			drainAcked = time.Now()
		}
		if !exited && time.Since(m.acked) > exitAfter {
			exited = true
			for _, l := range m.oldLeaves {
				l.stop()
				m.remove(l.entry.ID)
				w.note("%s of desk-old has left", l.entry.ID)
			}
		}
		for i, h := range m.hosts {
			x := w.newClient(h.callers())
			isJudged := time.Now().After(from)
			isLate := drained && isJudged && time.Since(drainAcked) > drainTime+judgeSlack
			r := x.do("GET", requestHost, fmt.Sprintf("/desk/ticket-%d", i), nil, nil, 3*time.Second)
			x.close()
			service := "no service"
			if r.status == http.StatusOK {
				service = r.header.Get(serviceHeader)
			}
			w.note("request %s to %s, %.1f s after the acknowledgement, judged %v: %v, run by %s", r.id, h.Name, time.Since(m.acked).Seconds(), isJudged, r, service)
			if !isJudged {
				continue
			}
			judged++
			switch service {
			case "desk-old":
				stale++
				if isLate {
					late++
				}
			case "no service":
				unserved++
			}
		}
		time.Sleep(300 * time.Millisecond)
	}
	w.note("%d judged requests: %d run by the old service, %d not served; %d reached a leaf later than drain_ms after it was acknowledged as draining", judged, stale, unserved, late)
	if judged == 0 {
		panic(notRun{"no request was judged"})
	}
	if stale > 0 {
		broken = append(broken, fmt.Sprintf("CONFIG: %d of %d requests sent later than config_apply_ms after the acknowledgement were run by the old service", stale, judged))
	}
	if late > 0 {
		broken = append(broken, fmt.Sprintf("DRAIN: %d requests reached a leaf later than drain_ms after it was acknowledged as draining", late))
	}
	return broken
}

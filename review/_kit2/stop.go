package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/figmast/figmast/route"
)

const (
	// longestWorkMs is the longest work of billing-lookup, 1,300 ms, at the slowest
	// server, 1.3.
	longestWorkMs = 1690
	typicalWorkMs = 220
	// Times after the stop signal: when the client uses its kept connection again.
	lateRequest = 4200 * time.Millisecond
	// changeLead is how long before the stop signal the configuration changes.
	changeLead = 600 * time.Millisecond
)

// playStop changes the idle timeout of the limits and stops a host soon after. One
// client has opened a connection just before and not used it yet; another one keeps
// a connection open, idle for some seconds.
func playStop(r *recorder, trouble bool) (bool, error) {
	f, err := newFleet(r)
	if err != nil {
		return false, err
	}
	defer f.stop()
	f.limits.HeaderTimeout = 10 * time.Second
	if err := f.startBilling(billingRoute(), 3); err != nil {
		return false, err
	}
	g := f.gateways[0]
	for i := range 30 {
		id := fmt.Sprintf("typical-%d", i)
		if a := send(g.front, "GET", fmt.Sprintf("/w/%d/%s", typicalWorkMs, id), id, 15*time.Second, nil); a.status != http.StatusOK {
			return false, fmt.Errorf("request %s before the disruption: %v", id, a)
		}
	}
	unused, err := net.DialTimeout("tcp", g.front, time.Second)
	if err != nil {
		return false, err
	}
	defer unused.Close()
	r.add("a client opens a connection to %s", g.name)
	time.Sleep(50 * time.Millisecond)
	f.limits.IdleTimeout = 20 * time.Second
	f.putConfig(14, []route.Route{billingRoute()}, []string{billing})
	time.Sleep(changeLead - 250*time.Millisecond)
	kept, err := net.DialTimeout("tcp", g.front, time.Second)
	if err != nil {
		return false, err
	}
	defer kept.Close()
	keptReader := bufio.NewReader(kept)
	if a, err := ask(r, kept, keptReader, "kept-1", 20); err != nil || a.status != http.StatusOK {
		return false, fmt.Errorf("request kept-1: %v, %w", a, err)
	}
	time.Sleep(200 * time.Millisecond)
	stopped := time.Now()
	if trouble {
		g.signal(syscall.SIGTERM)
		r.add("SIGTERM to %s", g.name)
	}
	time.Sleep(time.Until(stopped.Add(lateRequest)))
	a, err := ask(r, kept, keptReader, "kept-2", longestWorkMs)
	if err != nil {
		r.add("kept-2 could not be sent: %v", err)
		return false, nil
	}
	<-time.After(500 * time.Millisecond)
	runs := f.runs.of("kept-2")
	for _, x := range runs {
		r.add("kept-2 ran at %s: %s after %.3f s", x.server, x.result, x.ended.Sub(x.began).Seconds())
	}
	return errors.Is(a.err, errNothing) && len(runs) > 0, nil
}

// ask sends a request on an open connection and returns the answer.
func ask(r *recorder, c net.Conn, br *bufio.Reader, id string, workMs int) (answer, error) {
	r.add("client sends %s", id)
	if _, err := c.Write(requestBytes("GET", fmt.Sprintf("/w/%d/%s", workMs, id), id, 15*time.Second, nil)); err != nil {
		return answer{}, err
	}
	a := readAnswer(c, br, 16*time.Second)
	r.add("client got for %s: %v", id, a)
	return a, nil
}

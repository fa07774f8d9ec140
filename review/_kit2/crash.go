package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	crashPath = "/w/30/report-7"
	// downTime is how long a crashed server is away.
	downTime = 2 * time.Second
	// The request comes again crashRepeats times, every crashPause.
	crashRepeats = 10
	crashPause   = 6 * time.Second
	// clientRetries is how often a client tries again by itself, at other hosts.
	clientRetries = 1
	// allowedRetries is what the rule allows from contact_ms after the third crash on.
	allowedRetries = 3
)

// playCrash sends a request that crashes each server that begins to run it, again
// every few seconds, at one host after the other. Without the disruption the request
// is an ordinary one.
func playCrash(r *recorder, trouble bool) (bool, error) {
	rt := billingRoute()
	rt.MaxAttempts = 3
	f, err := startBilling(r, rt, 3)
	if f != nil {
		defer f.stop()
	}
	if err != nil {
		return false, err
	}
	if trouble {
		f.setCrashPath(crashPath)
	}
	for i := range crashRepeats {
		for try := range 1 + clientRetries {
			g := f.gateways[(i+try)%len(f.gateways)]
			id := fmt.Sprintf("report-%d-%d", i, try)
			r.add("client sends %s to %s", id, g.name)
			a := send(g.front, "GET", crashPath, id, 15*time.Second, nil)
			r.add("client got for %s at %s: %v", id, g.name, a)
			if a.status == http.StatusOK {
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(crashPause)
	}
	crashes, late := f.countCrashes()
	r.add("%d servers crashed; %d arrivals later than %v after the third crash, %d are allowed", crashes, late, contact, allowedRetries)
	return late > allowedRetries, nil
}

// countCrashes returns how many servers the request has crashed, and how many
// servers it has reached later than contact_ms after the third crash.
func (f *fleet) countCrashes() (crashes, late int) {
	var third time.Time
	for _, x := range f.runs.all() {
		if x.path != crashPath {
			continue
		}
		if crashes >= 3 && x.began.After(third.Add(contact)) {
			late++
		}
		if x.result == resultCrash {
			if crashes++; crashes == 3 {
				third = x.ended
			}
		}
	}
	return crashes, late
}

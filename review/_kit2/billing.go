package main

import (
	"fmt"
	"net/http"
	"time"

	"github.com/figmast/figmast/route"
)

// billing is a service with the figures of billing-desk on the users' sheet.
const (
	billing = "billing-desk"
	slots   = 6
)

var zones = []string{"atlanta-yard", "birmingham-yard", "baton-rouge-yard"}

func billingRoute() route.Route {
	return route.Route{
		Name: "billing-lookup", Host: requestHost, Prefix: "/w/", Service: billing, Idempotent: true,
		Timeout: 15 * time.Second, Objective: 800 * time.Millisecond, MaxAttempts: 2, Priority: 2,
	}
}

// startBilling returns a fleet with servers and hosts; see fleet.startBilling.
func startBilling(r *recorder, rt route.Route, servers int) (*fleet, error) {
	f, err := newFleet(r)
	if err != nil {
		return nil, err
	}
	return f, f.startBilling(rt, servers)
}

// startBilling starts servers of the service, spread over the zones, and a host in
// each zone, and waits until the hosts are in touch.
func (f *fleet) startBilling(rt route.Route, servers int) error {
	for i := range servers {
		if _, err := f.addServer(billing, zones[i%len(zones)], slots); err != nil {
			return err
		}
	}
	f.putConfig(11, []route.Route{rt}, []string{billing})
	if err := f.addGateways(len(zones)); err != nil {
		return err
	}
	for _, g := range f.gateways {
		for i := range 4 {
			id := fmt.Sprintf("first-%s-%d", g.name, i)
			if a := send(g.front, "GET", "/w/20/"+id, id, 15*time.Second, nil); a.status != http.StatusOK {
				return fmt.Errorf("request %s before the disruption: %v", id, a)
			}
		}
	}
	time.Sleep(contact + time.Second)
	return nil
}

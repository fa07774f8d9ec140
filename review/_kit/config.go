package main

import (
	"time"

	"github.com/figmast/figmast/route"
)

// Names used by all cases.
const (
	requestHost = "review.example"
	plainPrefix = "/plain/"
	oncePrefix  = "/once/"
)

// plainRoute returns a route to one service.
func plainRoute(name, prefix, service string, idempotent bool, timeout, objective time.Duration) route.Route {
	return route.Route{
		Name: name, Host: requestHost, Prefix: prefix, Idempotent: idempotent, Timeout: timeout, Objective: objective,
		MaxAttempts: 2, Priority: 2, Service: service,
	}
}

func defaultLimits() route.Limits {
	return route.Limits{HeaderBytes: 16 << 10, BodyBytes: 256 << 10, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
}

func service(name string) route.Service {
	return route.Service{Name: name, MaxConnections: 110, ColdFor: 3 * time.Second}
}

// configOf returns the first configuration with the routes.
func configOf(routes ...route.Route) *route.Config {
	c := &route.Config{Version: 7, Routes: routes, Services: make(map[string]route.Service), Limits: defaultLimits()}
	for _, r := range routes {
		for _, s := range append(r.Gather, r.Service) {
			if s != "" {
				c.Services[s] = service(s)
			}
		}
	}
	return c
}

// Package daemon wires a host together: control state, traffic, listeners
// and their start and stop. cmd/figmastd is a thin main around it.
package daemon

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/figmast/figmast/peer"
)

// Settings of a host, from flags and environment.
type Settings struct {
	Host         string        `arg:"--host,env:FIGMAST_HOST" help:"id of this host in the platform's host list"`
	DataCentre   string        `arg:"--data-centre,env:FIGMAST_DATA_CENTRE" help:"data centre this host stands in"`
	CallerListen string        `arg:"--caller-listen,env:FIGMAST_CALLER_LISTEN" default:"127.0.0.1:8080" help:"IP number and TCP port for callers"`
	OpsListen    string        `arg:"--ops-listen,env:FIGMAST_OPS_LISTEN" default:"127.0.0.1:8081" help:"IP number and TCP port for health, metrics and operators"`
	PeerListen   string        `arg:"--peer-listen,env:FIGMAST_PEER_LISTEN" default:"127.0.0.1:8082" help:"IP number and UDP port for other hosts"`
	Platform     string        `arg:"--platform,env:FIGMAST_PLATFORM" help:"IP number and port of the platform"`
	Peers        []string      `arg:"--peers,env:FIGMAST_PEERS" help:"IP numbers and UDP ports of some other hosts, asked while the platform cannot be read at the start"`
	Certificate  string        `arg:"--certificate,env:FIGMAST_CERTIFICATE" help:"PEM text or file of this host's certificate"`
	Key          string        `arg:"--key,env:FIGMAST_KEY" help:"PEM text or file of this host's key"`
	Authorities  string        `arg:"--authorities,env:FIGMAST_AUTHORITIES" help:"PEM text or file of the authorities that peers' certificates must have"`
	ShareLag     time.Duration `arg:"--share-lag,env:FIGMAST_SHARE_LAG" default:"3s" help:"how long hosts may differ on the list of hosts; connections are taken over after twice that"`
	DrainWait    time.Duration `arg:"--drain-wait,env:FIGMAST_DRAIN_WAIT" default:"5s" help:"how long to stay open while the balancer takes this host out"`
	DrainLimit   time.Duration `arg:"--drain-limit,env:FIGMAST_DRAIN_LIMIT" default:"30s" help:"how long running requests may take to finish"`
	TicketLife   time.Duration `arg:"--ticket-lifetime,env:FIGMAST_TICKET_LIFETIME" default:"10m" help:"how long a ticket may be used"`
	LogLevel     string        `arg:"--log-level,env:FIGMAST_LOG_LEVEL" default:"info" help:"debug, info, warn or error"`
}

// Version is printed by --version.
func (Settings) Version() string { return "figmastd 0.1.0" }

// Description is printed by --help.
func (Settings) Description() string {
	return "figmastd is one host of the figmast query tier. Every flag can be set in the environment."
}

// Check returns every fault of the settings, joined, or nil.
func (s Settings) Check() error {
	var c settingsCheck
	c.name("--host", s.Host)
	c.name("--data-centre", s.DataCentre)
	c.address("--caller-listen", s.CallerListen)
	c.address("--ops-listen", s.OpsListen)
	c.address("--peer-listen", s.PeerListen)
	c.address("--platform", s.Platform)
	c.reachable("--peer-listen", s.PeerListen)
	if s.OpsListen == s.CallerListen && s.OpsListen != "" {
		c.add("--ops-listen: the same as --caller-listen")
	}
	for _, p := range s.Peers {
		c.address("--peers", p)
	}
	if s.ShareLag < 0 {
		c.add("--share-lag: %v is below 0", s.ShareLag)
	}
	if s.DrainWait < 0 {
		c.add("--drain-wait: %v is below 0", s.DrainWait)
	}
	c.positive("--drain-limit", s.DrainLimit)
	c.positive("--ticket-lifetime", s.TicketLife)
	if _, err := parseLevel(s.LogLevel); err != nil {
		c.faults = append(c.faults, err)
	}
	if _, err := s.credentials().Load(); err != nil {
		c.faults = append(c.faults, err)
	}
	return errors.Join(c.faults...)
}

// settingsCheck collects faults.
type settingsCheck struct{ faults []error }

func (c *settingsCheck) add(format string, args ...any) {
	c.faults = append(c.faults, fmt.Errorf(format, args...))
}

// name refuses what cannot stand in headers and metrics.
func (c *settingsCheck) name(flag, v string) {
	if v == "" {
		c.add("%s: missing", flag)
		return
	}
	for _, r := range v {
		if r <= ' ' || r > '~' || r == '"' || r == '\\' {
			c.add("%s: %q is not printable ASCII without spaces and quotes", flag, v)
			return
		}
	}
}

func (c *settingsCheck) address(flag, v string) {
	if _, err := netip.ParseAddrPort(v); err != nil {
		c.add("%s: %q is not an IP number and port", flag, v)
	}
}

// reachable refuses an address that peers cannot be told.
func (c *settingsCheck) reachable(flag, v string) {
	a, err := netip.ParseAddrPort(v)
	if err == nil && (a.Addr().IsUnspecified() || a.Port() == 0) {
		c.add("%s: peers need the IP number and port themselves, not %s", flag, v)
	}
}

func (c *settingsCheck) positive(flag string, d time.Duration) {
	if d <= 0 {
		c.add("%s: %v is not above 0", flag, d)
	}
}

func (s Settings) credentials() peer.CredentialSource {
	return peer.CredentialSource{Certificate: s.Certificate, Key: s.Key, Authorities: s.Authorities}
}

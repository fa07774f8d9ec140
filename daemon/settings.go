// Package daemon assembles a host from control state, traffic and listeners, and
// starts and stops it. The program is cmd/figmastd.
package daemon

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/figmast/figmast/peer"
)

// Settings are the settings of a host, from flags and the environment.
type Settings struct {
	Host           string        `arg:"--host,env:FIGMAST_HOST" help:"id of this host in the platform's host list"`
	DataCentre     string        `arg:"--data-centre,env:FIGMAST_DATA_CENTRE" help:"data centre this host stands in"`
	CallerListen   string        `arg:"--caller-listen,env:FIGMAST_CALLER_LISTEN" default:"127.0.0.1:8080" help:"IP number and TCP port for callers"`
	OpsListen      string        `arg:"--ops-listen,env:FIGMAST_OPS_LISTEN" default:"127.0.0.1:8081" help:"IP number and TCP port for health, metrics and operators"`
	PeerListen     string        `arg:"--peer-listen,env:FIGMAST_PEER_LISTEN" default:"127.0.0.1:8082" help:"IP number and UDP port for other hosts"`
	Platform       string        `arg:"--platform,env:FIGMAST_PLATFORM" help:"IP number and port of the platform"`
	Peers          []string      `arg:"--peers,env:FIGMAST_PEERS" help:"IP numbers and UDP ports of some other hosts, asked while the platform cannot be read at the start"`
	Certificate    string        `arg:"--certificate,env:FIGMAST_CERTIFICATE" help:"PEM text or file of this host's certificate"`
	Key            string        `arg:"--key,env:FIGMAST_KEY" help:"PEM text or file of this host's key"`
	Authorities    string        `arg:"--authorities,env:FIGMAST_AUTHORITIES" help:"PEM text or file of the authorities that peers' certificates must have"`
	ShareLag       time.Duration `arg:"--share-lag,env:FIGMAST_SHARE_LAG" default:"3s" help:"how long hosts may differ on the list of hosts; connections are taken over after twice that"`
	DrainWait      time.Duration `arg:"--drain-wait,env:FIGMAST_DRAIN_WAIT" default:"5s" help:"how long to stay open while the balancer takes this host out"`
	DrainLimit     time.Duration `arg:"--drain-limit,env:FIGMAST_DRAIN_LIMIT" default:"30s" help:"how long running requests may take to finish"`
	BodyMemoryMB   int64         `arg:"--body-memory-mb,env:FIGMAST_BODY_MEMORY_MB" default:"64" help:"megabytes that the bodies of all requests may take"`
	TicketLifetime time.Duration `arg:"--ticket-lifetime,env:FIGMAST_TICKET_LIFETIME" default:"10m" help:"how long a ticket may be used"`
	LogLevel       string        `arg:"--log-level,env:FIGMAST_LOG_LEVEL" default:"info" help:"debug, info, warn or error"`
}

// Version is printed by --version.
func (Settings) Version() string { return "figmastd 0.1.0" }

// Description is printed by --help.
func (Settings) Description() string {
	return "figmastd is one host of the figmast query tier. Every flag can be set in the environment."
}

// Check returns all errors in the settings, joined, or nil if there are none.
func (s Settings) Check() error {
	var c settingsChecker
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
		c.add("--share-lag: %v is negative", s.ShareLag)
	}
	if s.DrainWait < 0 {
		c.add("--drain-wait: %v is negative", s.DrainWait)
	}
	c.positive("--drain-limit", s.DrainLimit)
	if s.BodyMemoryMB <= 0 {
		c.add("--body-memory-mb: %d is not above 0", s.BodyMemoryMB)
	}
	c.positive("--ticket-lifetime", s.TicketLifetime)
	if _, err := parseLevel(s.LogLevel); err != nil {
		c.errs = append(c.errs, err)
	}
	if _, err := s.credentials().Load(); err != nil {
		c.errs = append(c.errs, err)
	}
	return errors.Join(c.errs...)
}

// settingsChecker collects the errors that Check finds.
type settingsChecker struct{ errs []error }

func (c *settingsChecker) add(format string, args ...any) {
	c.errs = append(c.errs, fmt.Errorf(format, args...))
}

// name checks that v can be used unescaped in headers and metrics.
func (c *settingsChecker) name(flag, v string) {
	if v == "" {
		c.add("%s: missing", flag)
		return
	}
	for _, r := range v {
		if r <= ' ' || r > '~' || r == '"' || r == '\\' {
			c.add("%s: %q must be printable ASCII without spaces, quotes and backslashes", flag, v)
			return
		}
	}
}

func (c *settingsChecker) address(flag, v string) {
	if _, err := netip.ParseAddrPort(v); err != nil {
		c.add("%s: %q is not an IP address and port", flag, v)
	}
}

// reachable checks that the address can be announced to peers as it is: it must
// name a specific IP address and a port.
func (c *settingsChecker) reachable(flag, v string) {
	a, err := netip.ParseAddrPort(v)
	if err == nil && (a.Addr().IsUnspecified() || a.Port() == 0) {
		c.add("%s: peers need a specific IP address and port, not %s", flag, v)
	}
}

func (c *settingsChecker) positive(flag string, d time.Duration) {
	if d <= 0 {
		c.add("%s: %v is not positive", flag, d)
	}
}

func (s Settings) credentials() peer.CredentialSource {
	return peer.CredentialSource{Certificate: s.Certificate, Key: s.Key, Authorities: s.Authorities}
}

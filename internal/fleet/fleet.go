// Package fleet runs a small fleet in one process, over real sockets on
// loopback: a fake platform, fake backend servers, and hosts.
package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"go.uber.org/fx"

	"github.com/figmast/figmast/configstore"
	"github.com/figmast/figmast/control"
	"github.com/figmast/figmast/daemon"
	"github.com/figmast/figmast/internal/certs"
	"github.com/figmast/figmast/internal/fake"
	"github.com/figmast/figmast/internal/sample"
)

// loopback is the address on which everything listens.
const loopback = "127.0.0.1"

// Options configure a Fleet.
type Options struct {
	// Shape describes the one service of the fleet.
	Shape sample.Shape
	// Hosts is the number of hosts, which are spread over the data centres.
	Hosts int
	// Logs receives the logs of the hosts.
	Logs io.Writer
	// Settings, if set, may change the settings of each host before it starts.
	Settings func(*daemon.Settings)
}

// Host is one running host.
type Host struct {
	daemon.Settings
	app *fx.App
}

// Fleet is a running fleet.
type Fleet struct {
	opts     Options
	Platform *fake.Platform
	// Backends holds the fake backend servers by id.
	Backends         map[string]*fake.Backend
	Hosts            []*Host
	backendAddresses map[string]string
	servers          []*http.Server
	authority        *certs.Authority
	platformAddress  string
}

// Start starts the platform, the backend servers and the hosts, and publishes
// the host list but no document. On an error, it stops what it has started.
func Start(ctx context.Context, opts Options) (*Fleet, error) {
	f := &Fleet{
		opts: opts, Platform: fake.NewPlatform(),
		Backends: make(map[string]*fake.Backend), backendAddresses: make(map[string]string),
	}
	if err := f.start(ctx); err != nil {
		return nil, errors.Join(err, f.Stop(ctx))
	}
	return f, nil
}

func (f *Fleet) start(ctx context.Context) error {
	var err error
	if f.platformAddress, err = f.serve(f.Platform); err != nil {
		return err
	}
	if err := f.startBackends(); err != nil {
		return err
	}
	if f.authority, err = certs.NewAuthority(); err != nil {
		return err
	}
	for i := range f.opts.Hosts {
		if err := f.startHost(ctx, i); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) startBackends() error {
	s := f.opts.Shape
	for leaf := range s.Leaves {
		for slot := range s.Slots {
			id := s.ServerID(leaf, slot)
			b := fake.NewBackend(id)
			address, err := f.serve(b)
			if err != nil {
				return err
			}
			f.Backends[id] = b
			f.backendAddresses[id] = address
		}
	}
	return nil
}

// serve starts an HTTP server on a free port and returns its address.
func (f *Fleet) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", loopback+":0")
	if err != nil {
		return "", err
	}
	p := new(http.Protocols)
	p.SetHTTP1(true)
	p.SetUnencryptedHTTP2(true)
	s := &http.Server{Handler: h, Protocols: p}
	f.servers = append(f.servers, s)
	go func() { _ = s.Serve(l) }()
	return l.Addr().String(), nil
}

func (f *Fleet) startHost(ctx context.Context, i int) error {
	s, err := f.settings(i)
	if err != nil {
		return err
	}
	entry, err := json.Marshal(control.HostEntry{Address: s.PeerListen, DataCentre: s.DataCentre})
	if err != nil {
		return err
	}
	f.Platform.Put(configstore.PrefixHosts+s.Host, entry)
	h := &Host{Settings: s, app: daemon.New(s, f.opts.Logs)}
	if err := h.app.Start(ctx); err != nil {
		return fmt.Errorf("%s: %w", s.Host, err)
	}
	f.Hosts = append(f.Hosts, h)
	return nil
}

func (f *Fleet) settings(i int) (daemon.Settings, error) {
	id := fmt.Sprintf("host-%d", i+1)
	pair, err := f.authority.IssueHost(id, loopback)
	if err != nil {
		return daemon.Settings{}, err
	}
	s := daemon.Settings{
		Host: id, DataCentre: f.opts.Shape.DataCentres[i%len(f.opts.Shape.DataCentres)],
		Platform: f.platformAddress, Certificate: pair.CertPEM, Key: pair.KeyPEM, Authorities: f.authority.PEM,
		DrainWait: 50 * time.Millisecond, DrainLimit: 10 * time.Second, BodyMemoryMB: 64, TicketLifetime: 10 * time.Minute, LogLevel: "info",
	}
	for _, address := range []*string{&s.CallerListen, &s.OpsListen, &s.PeerListen} {
		if *address, err = FreeAddress(loopback); err != nil {
			return s, err
		}
	}
	if f.opts.Settings != nil {
		f.opts.Settings(&s)
	}
	return s, s.Check()
}

// Range of ports that FreeAddress chooses from, and how many it tries. The range
// is below the default ephemeral ports of Linux (from 32768), so that no outgoing
// connection takes a port before the caller listens on it.
const (
	minPort         = 10_240
	portCount       = 32_768 - minPort
	maxPortAttempts = 100
)

// portCounter selects the next port. It starts at a random offset, so that
// concurrent processes are unlikely to choose the same ports.
var portCounter atomic.Int64

func init() { portCounter.Store(rand.Int64N(portCount)) }

// FreeAddress returns the IP address with a TCP port on which nothing listens.
// It does not return the same port twice until the whole range has been used.
func FreeAddress(ip string) (string, error) {
	var failed error
	for range maxPortAttempts {
		address := net.JoinHostPort(ip, strconv.FormatInt(minPort+portCounter.Add(1)%portCount, 10))
		l, err := net.Listen("tcp", address)
		if err == nil {
			return address, l.Close()
		}
		failed = err
	}
	return "", failed
}

// Publish publishes a document of the service.
func (f *Fleet) Publish(p sample.DocumentParams) {
	doc := f.opts.Shape.Document(p, func(leaf, slot int) string { return f.backendAddresses[f.opts.Shape.ServerID(leaf, slot)] })
	f.Platform.Put(configstore.PrefixServices+f.opts.Shape.Service, doc)
}

// Executions returns the calls that the backend servers of a data centre have
// run; an empty name means all data centres.
func (f *Fleet) Executions(dataCentre string) []fake.Execution {
	var out []fake.Execution
	s := f.opts.Shape
	for leaf := range s.Leaves {
		for slot := range s.Slots {
			if dataCentre == "" || s.DataCentre(leaf, slot) == dataCentre {
				out = append(out, f.Backends[s.ServerID(leaf, slot)].Executions()...)
			}
		}
	}
	return out
}

// Stop drains and stops the host.
func (h *Host) Stop(ctx context.Context) error { return h.app.Stop(ctx) }

// Stop drains and stops the hosts, then stops the platform and the backend
// servers.
func (f *Fleet) Stop(ctx context.Context) error {
	failed := make(chan error, len(f.Hosts))
	for _, h := range f.Hosts {
		go func() { failed <- h.Stop(ctx) }()
	}
	var err error
	for range f.Hosts {
		err = errors.Join(err, <-failed)
	}
	for _, s := range f.servers {
		err = errors.Join(err, s.Close())
	}
	return err
}

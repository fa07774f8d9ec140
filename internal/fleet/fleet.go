// Package fleet runs a small fleet in one process, over real sockets on
// loopback: the stand-in platform, stand-in backend servers and hosts.
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

// loopback is where everything listens.
const loopback = "127.0.0.1"

// Options configure a Fleet.
type Options struct {
	// Shape of the one service.
	Shape sample.Shape
	// Hosts is how many hosts run, spread over the data centres.
	Hosts int
	// Logs gets the hosts' logs.
	Logs io.Writer
	// Settings may change the settings of each host.
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
	// Backends are the stand-in backend servers, by id.
	Backends  map[string]*fake.Backend
	Hosts     []*Host
	addresses map[string]string
	servers   []*http.Server
	authority *certs.Authority
	platform  string
}

// Start starts everything and publishes the host list, but no document. On
// an error nothing is left running.
func Start(ctx context.Context, opts Options) (*Fleet, error) {
	f := &Fleet{
		opts: opts, Platform: fake.NewPlatform(),
		Backends: make(map[string]*fake.Backend), addresses: make(map[string]string),
	}
	if err := f.start(ctx); err != nil {
		return nil, errors.Join(err, f.Stop(ctx))
	}
	return f, nil
}

func (f *Fleet) start(ctx context.Context) error {
	var err error
	if f.platform, err = f.serve(f.Platform); err != nil {
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
			f.addresses[id] = address
		}
	}
	return nil
}

// serve runs an HTTP server and returns its address.
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
		Platform: f.platform, Certificate: pair.CertPEM, Key: pair.KeyPEM, Authorities: f.authority.PEM,
		DrainWait: 50 * time.Millisecond, DrainLimit: 10 * time.Second, TicketLifetime: 10 * time.Minute, LogLevel: "info",
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

// Ports that FreeAddress chooses from: the system gives none of them to
// outgoing connections, which could take one before it is listened on.
const (
	firstPort = 10_240
	portCount = 32_768 - firstPort
	portTries = 100
)

// lastPort counts the ports handed out, from a place of its own for each
// process.
var lastPort atomic.Int64

func init() { lastPort.Store(rand.Int64N(portCount)) }

// FreeAddress returns that IP number with a port that nothing listens on; a
// process gets none twice.
func FreeAddress(ip string) (string, error) {
	var failed error
	for range portTries {
		address := net.JoinHostPort(ip, strconv.FormatInt(firstPort+lastPort.Add(1)%portCount, 10))
		l, err := net.Listen("tcp", address)
		if err == nil {
			return address, l.Close()
		}
		failed = err
	}
	return "", failed
}

// Publish publishes the service's document.
func (f *Fleet) Publish(p sample.DocumentParams) {
	doc := f.opts.Shape.Document(p, func(leaf, slot int) string { return f.addresses[f.opts.Shape.ServerID(leaf, slot)] })
	f.Platform.Put(configstore.PrefixServices+f.opts.Shape.Service, doc)
}

// Executions returns what the backend servers of a data centre have run; an
// empty name means all.
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

// Stop stops everything, the hosts first.
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

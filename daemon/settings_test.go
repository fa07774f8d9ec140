package daemon

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"
	"go.uber.org/fx"

	"github.com/figmast/figmast/internal/certs"
)

func validSettings(t *testing.T) Settings {
	t.Helper()
	is := is.New(t)
	a, err := certs.NewAuthority()
	is.NoErr(err)
	pair, err := a.IssueHost("h", "127.0.0.1")
	is.NoErr(err)
	return Settings{
		Host: "h", DataCentre: "dc", CallerListen: "127.0.0.1:1", OpsListen: "127.0.0.1:2", PeerListen: "127.0.0.1:3",
		Platform: "127.0.0.1:4", Certificate: pair.CertPEM, Key: pair.KeyPEM, Authorities: a.PEM,
		DrainWait: time.Second, DrainLimit: time.Second, BodyMemoryMB: 64, TicketLifetime: time.Minute, LogLevel: "info",
	}
}

func TestSettings(t *testing.T) {
	is := is.New(t)
	is.NoErr(validSettings(t).Check())
	for _, c := range []struct {
		name   string
		change func(*Settings)
		fault  string
	}{
		{"no host", func(s *Settings) { s.Host = "" }, "--host: missing"},
		{"host with a space", func(s *Settings) { s.Host = "a b" }, "--host:"},
		{"no data centre", func(s *Settings) { s.DataCentre = "" }, "--data-centre: missing"},
		{"address by name", func(s *Settings) { s.CallerListen = "localhost:80" }, "--caller-listen:"},
		{"no platform", func(s *Settings) { s.Platform = "" }, "--platform:"},
		{"peers cannot reach it", func(s *Settings) { s.PeerListen = "0.0.0.0:3" }, "--peer-listen: peers need"},
		{"port 0 for peers", func(s *Settings) { s.PeerListen = "127.0.0.1:0" }, "--peer-listen: peers need"},
		{"same address twice", func(s *Settings) { s.OpsListen = s.CallerListen }, "--ops-listen: the same as --caller-listen"},
		{"drain wait", func(s *Settings) { s.DrainWait = -1 }, "--drain-wait:"},
		{"body memory", func(s *Settings) { s.BodyMemoryMB = 0 }, "--body-memory-mb:"},
		{"drain limit", func(s *Settings) { s.DrainLimit = 0 }, "--drain-limit:"},
		{"ticket lifetime", func(s *Settings) { s.TicketLifetime = 0 }, "--ticket-lifetime:"},
		{"log level", func(s *Settings) { s.LogLevel = "loud" }, "--log-level:"},
		{"no certificate", func(s *Settings) { s.Certificate = "" }, "certificate: missing"},
		{"missing file", func(s *Settings) { s.Key = "/no/such/file" }, "key:"},
		{"no authorities", func(s *Settings) { s.Authorities = s.Key }, "authorities:"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := validSettings(t)
			c.change(&s)
			err := s.Check()
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), c.fault))
		})
	}
}

func TestEverySettingsFaultIsListed(t *testing.T) {
	is := is.New(t)
	err := Settings{}.Check()
	is.True(err != nil)
	for _, flag := range []string{
		"--host", "--data-centre", "--caller-listen", "--ops-listen", "--peer-listen", "--platform",
		"--drain-limit", "--body-memory-mb", "--ticket-lifetime", "--log-level", "certificate", "key", "authorities",
	} {
		if !strings.Contains(err.Error(), flag) {
			t.Errorf("%s is missing in\n%v", flag, err)
		}
	}
}

// TestSamplerKeepsWholeRequests checks that a host samples requests above
// eventsPerSecond, always decides the same for one request, and records all
// requests again once the rate has fallen.
func TestSamplerKeepsWholeRequests(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	s := newSampler(func() time.Time { return now })
	second := func(events int) {
		for range events {
			now = now.Add(time.Second / time.Duration(events))
			s.countEvent()
		}
	}
	second(eventsPerSecond / 2)
	is.Equal(s.samplingFactor(), 1)
	for range 3 {
		second(eventsPerSecond * 2)
	}
	is.True(s.samplingFactor() > 1)
	kept := 0
	for _, id := range []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l", "m", "n", "o", "p"} {
		if s.keep(id) {
			kept++
		}
		is.Equal(s.keep(id), s.keep(id))
	}
	is.True(kept < 16)
	for range 20 {
		second(10)
	}
	is.Equal(s.samplingFactor(), 1)
}

// fakeShutdowner records the options of a requested shutdown.
type fakeShutdowner struct{ options []fx.ShutdownOption }

func (s *fakeShutdowner) Shutdown(options ...fx.ShutdownOption) error {
	s.options = options
	return nil
}

func TestFailedListenerShutsDownHost(t *testing.T) {
	is := is.New(t)
	h, err := newHost(validSettings(t), log.New(io.Discard))
	is.NoErr(err)
	defer h.pool.Close()
	shutdowner := &fakeShutdowner{}
	h.shutdown = shutdowner
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(l.Close())
	h.serve(h.callers, l)
	is.Equal(len(shutdowner.options), 1) // the exit code
}

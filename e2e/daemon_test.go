package e2e

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/figmast/figmast/configstore"
	"github.com/figmast/figmast/internal/certs"
)

// exitCode waits for the process to exit and returns its exit code.
func (p *process) exitCode(t *testing.T) int {
	t.Helper()
	done := make(chan error, 1)
	go func() { done <- p.cmd.Wait() }()
	select {
	case err := <-done:
		var exit *exec.ExitError
		if err != nil && !errors.As(err, &exit) {
			t.Fatal(err)
		}
		return p.cmd.ProcessState.ExitCode()
	case <-time.After(waitTimeout):
		t.Fatal("the process did not exit")
		return 0
	}
}

// startOneHost starts one host, which serves the sample service.
func startOneHost(t *testing.T, extra ...string) (*fleet, *host, []string) {
	t.Helper()
	f := newFleet(t)
	servers := startBackends(t, 4)
	f.publish(configstore.PrefixServices+"route-search", routeSearchDocument(1, "monday", servers))
	h := f.addHost("127.0.0.2", "dc-0", extra...)
	f.waitReady()
	waitFor(t, "the document", func() bool { return sendQuery(h) == nil })
	return f, h, servers
}

// sendQuery sends one query over a kept-alive connection.
func sendQuery(h *host) error {
	resp, err := http.Post("http://"+h.callers+"/v1/services/route-search/query", "application/json", strings.NewReader(`{"operation":"route-sheet"}`))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return errors.New(resp.Status)
	}
	return nil
}

// TestTermUnderLoadCutsNoRequest acts as a load balancer that keeps sending
// requests to a host for a while after it has become unready. Every request must
// be answered.
func TestTermUnderLoadCutsNoRequest(t *testing.T) {
	is := is.New(t)
	_, h, servers := startOneHost(t, "--drain-wait", "1s")
	for _, s := range servers {
		var answer any
		post(t, "http://"+backendAddress(s)+"/fake/behaviour", map[string]any{"latency": 20 * time.Millisecond}, &answer)
	}
	var answered atomic.Int64
	var balancerMoved atomic.Bool
	var working sync.WaitGroup
	for range 8 {
		working.Add(1)
		go func() {
			defer working.Done()
			for !balancerMoved.Load() {
				if err := sendQuery(h); err != nil {
					t.Errorf("request failed: %v", err)
				}
				answered.Add(1)
			}
		}()
	}
	waitFor(t, "load", func() bool { return answered.Load() > 50 })
	is.NoErr(h.cmd.Process.Signal(syscall.SIGTERM))
	waitFor(t, "the host to be not ready", func() bool { return !h.ready() })
	before := answered.Load()
	time.Sleep(200 * time.Millisecond) // the balancer reacts with a delay
	balancerMoved.Store(true)
	working.Wait()
	is.True(answered.Load() > before) // it answered during the drain
	is.Equal(h.exitCode(t), 0)
	for line := range strings.Lines(h.log.String()) {
		is.True(json.Valid([]byte(line)))
	}
}

func TestSecondSignalEndsAtOnce(t *testing.T) {
	is := is.New(t)
	_, h, _ := startOneHost(t, "--drain-wait", "60s")
	is.NoErr(h.cmd.Process.Signal(syscall.SIGTERM))
	waitFor(t, "the host to be not ready", func() bool { return !h.ready() })
	is.NoErr(h.cmd.Process.Signal(syscall.SIGTERM))
	is.Equal(h.exitCode(t), 1)
	is.True(strings.Contains(h.log.String(), "second signal"))
}

// daemonArgs returns valid arguments and environment for figmastd.
func daemonArgs(t *testing.T, callers string) (args, env []string) {
	t.Helper()
	is := is.New(t)
	authority, err := certs.NewAuthority()
	is.NoErr(err)
	pair, err := authority.IssueHost("h", "127.0.0.1")
	is.NoErr(err)
	env = []string{"FIGMAST_CERTIFICATE=" + pair.CertPEM, "FIGMAST_KEY=" + pair.KeyPEM, "FIGMAST_AUTHORITIES=" + authority.PEM}
	args = []string{
		"--host", "h", "--data-centre", "dc", "--platform", "127.0.0.1:1", "--caller-listen", callers,
		"--ops-listen", freeAddress(t, "127.0.0.1"), "--peer-listen", freeAddress(t, "127.0.0.1"),
	}
	return args, env
}

func TestFailedStartExitsWithOne(t *testing.T) {
	is := is.New(t)
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer taken.Close()
	args, env := daemonArgs(t, taken.Addr().String())
	p := start(t, env, "figmastd", args...)
	is.Equal(p.exitCode(t), 1)
	is.True(strings.Contains(p.log.String(), `"msg":"host not started"`))
	is.True(strings.Contains(p.log.String(), "address already in use"))
}

func TestWrongUseExitsWithTwo(t *testing.T) {
	for _, c := range []struct {
		name, program string
		args          []string
		faults        []string
	}{
		{"no settings", "figmastd", nil, []string{"--host", "--data-centre", "--platform", "certificate", "key", "authorities"}},
		{"invalid durations", "figmastd", []string{"--drain-wait", "soon", "--drain-limit=5"}, []string{"--drain-wait", "--drain-limit", "--host"}},
		{"unknown flag", "figmastd", []string{"--hots", "x"}, []string{"--hots"}},
		{"no command", "figmast", nil, []string{"a command is needed"}},
		{"no host", "figmast", []string{"status"}, []string{"FIGMAST_OPS"}},
		{"unknown command", "figmast", []string{"tri"}, []string{"tri"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			cmd := exec.Command(filepath.Join(binaries, c.program), c.args...)
			var out bytes.Buffer
			cmd.Stderr, cmd.Stdout = &out, &out
			cmd.Env = []string{"PATH=" + os.Getenv("PATH")}
			var exit *exec.ExitError
			is.True(errors.As(cmd.Run(), &exit))
			is.Equal(exit.ExitCode(), 2)
			for _, f := range c.faults {
				if !strings.Contains(out.String(), f) {
					t.Errorf("%q is missing in\n%s", f, out.String())
				}
			}
		})
	}
}

func TestHelpNamesEverySetting(t *testing.T) {
	is := is.New(t)
	out, err := exec.Command(filepath.Join(binaries, "figmastd"), "--help").Output()
	is.NoErr(err)
	for _, name := range []string{
		"HOST", "DATA_CENTRE", "CALLER_LISTEN", "OPS_LISTEN", "PEER_LISTEN", "PLATFORM", "CERTIFICATE", "KEY",
		"AUTHORITIES", "DRAIN_WAIT", "DRAIN_LIMIT", "TICKET_LIFETIME", "LOG_LEVEL",
	} {
		if !strings.Contains(string(out), "FIGMAST_"+name) {
			t.Errorf("FIGMAST_%s is missing", name)
		}
	}
}

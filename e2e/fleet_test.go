// Package e2e tests figmast as real processes over real sockets.
package e2e

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/figmast/figmast/configstore"
	"github.com/figmast/figmast/control"
	"github.com/figmast/figmast/internal/certs"
	"github.com/figmast/figmast/internal/fake"
	localfleet "github.com/figmast/figmast/internal/fleet"
)

// waitTimeout bounds every wait for a process or a condition.
const waitTimeout = 20 * time.Second

// raceEnvironment is the environment variable that, when set, makes the tests
// build the programs with the race detector.
const raceEnvironment = "FIGMAST_RACE"

// binaries is the directory into which the programs are built.
var binaries string

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "figmast-e2e")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binaries = dir
	args := []string{"build", "-o", dir}
	if os.Getenv(raceEnvironment) != "" {
		args = append(args, "-race")
	}
	build := exec.Command("go", append(args, "../cmd/...")...)
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%s%v\n", out, err)
		return 1
	}
	return m.Run()
}

// process is one running program.
type process struct {
	cmd *exec.Cmd
	log bytes.Buffer
}

func start(t testing.TB, env []string, name string, args ...string) *process {
	t.Helper()
	p := &process{cmd: exec.Command(filepath.Join(binaries, name), args...)}
	p.cmd.Env = append(os.Environ(), env...)
	p.cmd.Stderr = &p.log
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		_ = p.cmd.Wait()
		if strings.Contains(p.log.String(), "DATA RACE") {
			t.Error("the race detector reported a data race")
		}
		if t.Failed() {
			t.Logf("%s %v\n%s", name, args, p.log.String())
		}
	})
	return p
}

// host is one figmastd process.
type host struct {
	*process
	id      string
	callers string
	ops     string
	peers   string
}

// subnets counts the loopback subnets handed out, so that parallel tests do not
// take each other's ports.
var subnets atomic.Int64

// subnet returns the first three octets, with a trailing dot, of unused loopback
// addresses.
func subnet() string { return fmt.Sprintf("127.1.%d.", subnets.Add(1)) }

// fleet is a fake platform and the hosts that use it, each a process of its own.
type fleet struct {
	t         testing.TB
	subnet    string
	authority *certs.Authority
	platform  string
	hosts     []*host
}

// freeAddress returns an unused IP:PORT on loopback; see localfleet.FreeAddress.
func freeAddress(t testing.TB, ip string) string {
	t.Helper()
	address, err := localfleet.FreeAddress(ip)
	if err != nil {
		t.Fatal(err)
	}
	return address
}

func newFleet(t testing.TB) *fleet {
	t.Helper()
	is := is.New(t)
	authority, err := certs.NewAuthority()
	is.NoErr(err)
	net := subnet()
	f := &fleet{t: t, subnet: net, authority: authority, platform: freeAddress(t, net+"1")}
	start(t, nil, "figmast-fake", "platform", "--listen", f.platform)
	waitFor(t, "the platform", func() bool { return canDial(f.platform) })
	return f
}

func canDial(address string) bool {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return false
	}
	_ = c.Close()
	return true
}

// addHost starts a host on its own loopback address and publishes its entry at the
// platform.
func (f *fleet) addHost(ip, dataCentre string, extra ...string) *host {
	f.t.Helper()
	h := &host{id: "host-" + ip, callers: freeAddress(f.t, ip), ops: freeAddress(f.t, ip), peers: freeAddress(f.t, ip)}
	pair, err := f.authority.IssueHost(h.id, ip)
	if err != nil {
		f.t.Fatal(err)
	}
	env := []string{"FIGMAST_CERTIFICATE=" + pair.CertPEM, "FIGMAST_KEY=" + pair.KeyPEM, "FIGMAST_AUTHORITIES=" + f.authority.PEM}
	args := []string{
		"--host", h.id, "--data-centre", dataCentre, "--platform", f.platform,
		"--caller-listen", h.callers, "--ops-listen", h.ops, "--peer-listen", h.peers, "--drain-wait", "100ms", "--share-lag", "100ms",
	}
	h.process = start(f.t, env, "figmastd", append(args, extra...)...)
	entry, err := json.Marshal(control.HostEntry{Address: h.peers, DataCentre: dataCentre})
	if err != nil {
		f.t.Fatal(err)
	}
	f.publish(configstore.PrefixHosts+h.id, entry)
	f.hosts = append(f.hosts, h)
	return h
}

// publish stores a value at the platform, as an operator would.
func (f *fleet) publish(key string, value []byte) {
	f.t.Helper()
	var answer configstore.RangeResponse
	post(f.t, "http://"+f.platform+fake.PathPut, fake.PutRequest{Key: []byte(key), Value: value}, &answer)
}

// setMode changes how the fake platform behaves and returns its state.
func (f *fleet) setMode(m fake.Mode) fake.State {
	f.t.Helper()
	var s fake.State
	post(f.t, "http://"+f.platform+fake.PathMode, m, &s)
	return s
}

func (f *fleet) waitReady() {
	f.t.Helper()
	for _, h := range f.hosts {
		waitFor(f.t, h.id+" to be ready", h.ready)
	}
}

// probe is the HTTP client for readiness checks, as a load balancer makes them.
var probe = &http.Client{Timeout: probeTimeout, Transport: &http.Transport{DisableKeepAlives: true}}

// probeTimeout is after how long a silent host counts as not ready.
const probeTimeout = 200 * time.Millisecond

// ready reports whether the host's readiness check succeeds.
func (h *host) ready() bool {
	resp, err := probe.Get("http://" + h.ops + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// waitFor polls until the condition holds.
func waitFor(t testing.TB, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatalf("timed out waiting for %s", what)
}

// post sends a JSON body, decodes the JSON answer and returns the status code.
func post(t testing.TB, url string, body, answer any) int {
	t.Helper()
	b, err := json.Marshal(body)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.Post(url, "application/json", bytes.NewReader(b))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(text, answer); err != nil {
		t.Fatalf("%s: %v", text, err)
	}
	return resp.StatusCode
}

// backendAddress returns the address part of ID=IP:PORT.
func backendAddress(spec string) string {
	_, address, _ := strings.Cut(spec, "=")
	return address
}

// executions returns the executions that backend servers recorded.
func executions(t testing.TB, servers ...string) []fake.Execution {
	t.Helper()
	var all []fake.Execution
	for _, s := range servers {
		resp, err := http.Get("http://" + backendAddress(s) + fake.PathExecutions)
		if err != nil {
			t.Fatal(err)
		}
		var list []fake.Execution
		err = json.NewDecoder(resp.Body).Decode(&list)
		_ = resp.Body.Close()
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, list...)
	}
	return all
}

package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/figmast/figmast/platform"
	"github.com/figmast/figmast/platform/standin"
	"github.com/figmast/figmast/route"
)

// Figures of a small deployment, as the users' pages give them.
const (
	graceS        = 6
	configApplyMs = 3000
	heartbeatMs   = 1200
	contactMs     = 4000
	contact       = contactMs * time.Millisecond
	requestHost   = "hufi27.example"

	// settingsVariable holds the name of the variable that tells a host where its
	// settings are.
	settingsVariable = "REVIEW_SETTINGS_VARIABLE"
)

// headers holds the names of the users' headers.
var headers = platform.Headers()

// gateway is one process of the program under test.
type gateway struct {
	name, dir    string
	front, ready string
	cmd          *exec.Cmd
	exited       chan struct{}
	log          *os.File
}

// fleet holds the store, the backend servers and the hosts of one case.
type fleet struct {
	record   *recorder
	dir      string
	store    *standin.Store
	storeAt  string
	gateways []*gateway
	limits   route.Limits
	mu       sync.Mutex
	servers  []*server
	runs     *runLog
	closers  []func()
	ports    [6]int
	base     string
}

// newFleet starts the store.
func newFleet(r *recorder) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{
		record: r, dir: dir, store: standin.NewStore(), runs: &runLog{record: r},
		limits: route.Limits{HeaderBytes: 16384, BodyBytes: 1 << 18, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f.storeAt = l.Addr().String()
	s := &http.Server{Handler: f.store, ReadHeaderTimeout: time.Second}
	go func() { _ = s.Serve(l) }()
	f.closers = append(f.closers, func() { _ = s.Close() })
	return f, f.findPorts()
}

// findPorts finds six ports that are free on three loopback addresses.
func (f *fleet) findPorts() error {
	for range 100 {
		f.base = fmt.Sprintf("127.%d.%d.", 10+rand.IntN(200), rand.IntN(250))
		first := 21000 + rand.IntN(8000)
		free := true
		for host := 1; host <= 3; host++ {
			for i := range f.ports {
				f.ports[i] = first + i
				l, err := net.Listen("tcp", f.base+strconv.Itoa(host)+":"+strconv.Itoa(first+i))
				if err != nil {
					free = false
					continue
				}
				_ = l.Close()
			}
		}
		if free {
			return nil
		}
	}
	return fmt.Errorf("no free ports")
}

func hostPort(address string, port int) string { return address + ":" + strconv.Itoa(port) }

// addServer starts a backend server and publishes its entry.
func (f *fleet) addServer(service, zone string, slots int) (*server, error) {
	return f.startServer(service, zone, "127.0.0.1:0", slots)
}

func (f *fleet) startServer(service, zone, address string, slots int) (*server, error) {
	s, err := startServer(fmt.Sprintf("i-%08x", rand.Uint32()), service, zone, address, slots, f.runs)
	if err != nil {
		return nil, err
	}
	s.onCrash = f.restartCrashed
	f.mu.Lock()
	f.servers = append(f.servers, s)
	f.mu.Unlock()
	f.store.PutServer(s.entry)
	f.record.add("server %s of %s is registered at %s", s.entry.ID, service, s.entry.Address)
	return s, nil
}

// restartCrashed starts a crashed server again at its address, under a new ID. The
// entry of the old one lapses after three heartbeats of silence.
func (f *fleet) restartCrashed(s *server) {
	sinceHeartbeat := time.Duration(rand.Int64N(int64(heartbeatMs * time.Millisecond)))
	time.AfterFunc(3*heartbeatMs*time.Millisecond-sinceHeartbeat, func() {
		f.store.RemoveServer(s.entry.ID)
		f.record.add("the entry of server %s has lapsed", s.entry.ID)
	})
	time.Sleep(downTime)
	x, err := f.startServer(s.entry.Service, s.entry.DataCentre, s.entry.Address, s.entry.Slots)
	if err != nil {
		f.record.add("server %s is not back: %v", s.entry.ID, err)
		return
	}
	x.crashPath.Store(s.crashPath.Load())
}

// setCrashPath sets the path of the request that crashes servers.
func (f *fleet) setCrashPath(path string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.servers {
		s.crashPath.Store(path)
	}
}

// putConfig publishes a configuration.
func (f *fleet) putConfig(version int64, routes []route.Route, services []string) {
	c := &route.Config{
		Version: version, Routes: routes, Services: make(map[string]route.Service),
		Limits: f.limits,
	}
	for _, s := range services {
		c.Services[s] = route.Service{Name: s, MaxConnections: 110}
	}
	f.store.PutConfig(c)
	f.record.add("configuration %d is acknowledged", version)
}

// addGateways starts n hosts, each in a zone of its own.
func (f *fleet) addGateways(n int) error {
	var seeds []string
	for i := range n {
		seeds = append(seeds, f.base+strconv.Itoa(i+1))
	}
	for i := range n {
		g := &gateway{name: "front-" + zones[i] + "-1", dir: f.dir, front: hostPort(seeds[i], f.ports[0]), ready: hostPort(seeds[i], f.ports[1])}
		h := standin.Host{
			Name: g.name, Address: seeds[i], DataCentre: zones[i], Seeds: seeds, Store: f.storeAt,
			CallerPort: f.ports[0], ReadyPort: f.ports[1], ControlPort: f.ports[2], FirstInternalPort: f.ports[3], LastInternalPort: f.ports[5],
			Grace: graceS * time.Second, ApplyWithin: configApplyMs * time.Millisecond,
		}
		b, err := completeSettings(h.Settings())
		if err != nil {
			return err
		}
		if err := os.WriteFile(g.settingsPath(), b, 0o600); err != nil {
			return err
		}
		f.gateways = append(f.gateways, g)
	}
	for _, g := range f.gateways {
		if err := g.start(); err != nil {
			return err
		}
	}
	for _, g := range f.gateways {
		if err := g.waitReady(10 * time.Second); err != nil {
			return err
		}
		f.record.add("%s is ready", g.name)
	}
	return nil
}

// completeSettings adds what the stand-in's settings leave out: all data centres, and
// the figures of the deployment that the cases are like.
func completeSettings(b []byte) ([]byte, error) {
	var s map[string]any
	if err := json.Unmarshal(b, &s); err != nil {
		return nil, err
	}
	regions := make(map[string]string)
	for _, zone := range zones {
		regions[zone] = "gulf-south"
	}
	s["zones"], s["region"] = regions, "gulf-south"
	bounds := s["bounds"].(map[string]any)
	for name, value := range map[string]int{"contact_ms": contactMs, "evacuate_ms": 5000, "retry_slack": 58, "loss_slack_ms": 200, "recover_s": 12} {
		bounds[name] = value
	}
	return json.Marshal(s)
}

func (g *gateway) settingsPath() string { return filepath.Join(g.dir, g.name+".json") }

// start runs the command of the deploy file.
func (g *gateway) start() error {
	if g.log == nil {
		var err error
		if g.log, err = os.Create(filepath.Join(g.dir, g.name+".log")); err != nil {
			return err
		}
	}
	cmd := exec.Command("target/figmast-gateway")
	cmd.Env = []string{os.Getenv(settingsVariable) + "=" + g.settingsPath(), "PATH=" + os.Getenv("PATH"), "HOME=" + g.dir, "LANG=C"}
	cmd.Stdout, cmd.Stderr = g.log, g.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	g.cmd, g.exited = cmd, make(chan struct{})
	go func(exited chan struct{}) { _ = cmd.Wait(); close(exited) }(g.exited)
	return nil
}

func (g *gateway) signal(s syscall.Signal) { _ = g.cmd.Process.Signal(s) }

// isReady asks the readiness address as the platform does.
func (g *gateway) isReady() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := c.Get("http://" + g.ready + "/ready")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

func (g *gateway) waitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if g.isReady() {
			return nil
		}
	}
	return fmt.Errorf("%s did not become ready", g.name)
}

// stop ends everything that the fleet has started. The hosts' logs are kept in
// REVIEW_LOGS if it is set.
func (f *fleet) stop() {
	for _, g := range f.gateways {
		g.signal(syscall.SIGCONT)
		g.signal(syscall.SIGKILL)
	}
	for _, g := range f.gateways {
		<-g.exited
		_ = g.log.Close()
	}
	for _, c := range f.closers {
		c()
	}
	f.mu.Lock()
	for _, s := range f.servers {
		s.close()
	}
	f.mu.Unlock()
	if keep := os.Getenv("REVIEW_LOGS"); keep != "" {
		for _, g := range f.gateways {
			b, _ := os.ReadFile(filepath.Join(f.dir, g.name+".log"))
			_ = os.WriteFile(filepath.Join(keep, g.name+".log"), b, 0o600)
		}
	}
	_ = os.RemoveAll(f.dir)
}

// recorder writes record.txt.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	return &recorder{file: f, began: time.Now()}, err
}

func (r *recorder) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

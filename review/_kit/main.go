// Command kit holds the stand-ins that the cases of this review share: the
// platform's store, backend servers, clients, and the processes under test. Each
// case is a subcommand, which a run.sh starts.
//
// The exit status is 1 if the rule of the case was broken, 0 if it held, and 2 if
// the case could not run.
package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/figmast/figmast/platform"
	"github.com/figmast/figmast/platform/standin"
)

// Exit statuses.
const (
	exitHeld   = 0
	exitBroken = 1
	exitCannot = 2
)

// cases are the subcommands; each returns how the rule was broken.
var cases = map[string]func(*bed) (broken []string, err error){
	"second-copy-of-a-rejection": secondCopyOfARejection,
	"entry-of-another-writer":    entryOfAnotherWriter,
	"store-turns-readers-away":   storeTurnsReadersAway,
	"limits-of-kept-connections": limitsOfKeptConnections,
	"asked-to-stay-away":         askedToStayAway,
	"request-that-crashes":       requestThatCrashesServers,
	"store-moves":                storeMoves,
	"readers-cut-server-leaves":  readersCutWhileServerLeaves,
}

var headers = platform.Headers()

func main() {
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: kit CASE")
		os.Exit(exitCannot)
	}
	os.Exit(run(cases[os.Args[1]]))
}

func run(play func(*bed) ([]string, error)) int {
	b, err := newBed()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannot
	}
	defer b.close()
	go b.closeOnSignal()
	broken, err := play(b)
	if err != nil {
		b.record("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitCannot
	}
	for _, s := range broken {
		b.record("BROKEN: %s", s)
		fmt.Println("BROKEN:", s)
	}
	if len(broken) > 0 {
		return exitBroken
	}
	b.record("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}

// bed is the test bed of one case.
type bed struct {
	// trouble is false if the case is to run without its disruption.
	trouble bool
	dir     string
	started time.Time
	store   *standin.Store
	// rewriter is what the hosts see of the store.
	rewriter *rewriter
	address  string
	hosts    []*host
	closers  []func()

	mu  sync.Mutex
	out io.WriteCloser
}

// Ports of the hosts, the same at each address.
const (
	callerPort, readyPort, controlPort, firstPort, lastPort = 18480, 18481, 18482, 18490, 18505
	grace                                                   = 6 * time.Second
	applyWithin                                             = 3 * time.Second
)

func newBed() (*bed, error) {
	path := os.Getenv("REVIEW_RECORD")
	if path == "" {
		return nil, errors.New("REVIEW_RECORD names no file")
	}
	out, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	b := &bed{trouble: os.Getenv("TROUBLE") != "0", dir: dir, started: time.Now(), store: standin.NewStore(), out: out}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b.address = l.Addr().String()
	b.rewriter = &rewriter{store: b.store}
	b.serveStore(l)
	b.record("disruption: %v", b.trouble)
	return b, nil
}

// record writes a line to the record of the case.
func (b *bed) record(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	fmt.Fprintf(b.out, "%8.3f  %s\n", time.Since(b.started).Seconds(), fmt.Sprintf(format, args...))
}

// closeOnSignal ends the processes under test if this one is told to end.
func (b *bed) closeOnSignal() {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	<-stop
	b.close()
	os.Exit(exitCannot)
}

func (b *bed) close() {
	for _, h := range b.hosts {
		h.end()
	}
	for _, f := range b.closers {
		f()
	}
	_ = b.out.Close()
	if os.Getenv("REVIEW_KEEP") == "" {
		_ = os.RemoveAll(b.dir)
	} else {
		fmt.Println("logs:", b.dir)
	}
}

// host is one process under test.
type host struct {
	standin.Host
	bed    *bed
	cmd    *exec.Cmd
	exited chan struct{}
	log    *os.File
}

// freeNet returns the third octet of n loopback addresses whose ports are free.
func freeNet(n int) (int, error) {
	const first, count = 100, 150
	for i := range count {
		octet := first + (os.Getpid()+i)%count
		if isFree(octet, n) {
			return octet, nil
		}
	}
	return 0, errors.New("no free ports")
}

func isFree(octet, n int) bool {
	for i := range n {
		for port := callerPort; port <= lastPort; port++ {
			l, err := net.Listen("tcp", fmt.Sprintf("127.0.%d.%d:%d", octet, i+1, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// addHosts adds n hosts of a data centre each.
func (b *bed) addHosts(n int) error {
	octet, err := freeNet(n)
	if err != nil {
		return err
	}
	var seeds []string
	for i := range n {
		seeds = append(seeds, fmt.Sprintf("127.0.%d.%d", octet, i+1))
	}
	for i := range n {
		b.hosts = append(b.hosts, &host{bed: b, Host: standin.Host{
			Name: fmt.Sprintf("front-%d", i+1), Address: seeds[i], DataCentre: fmt.Sprintf("zone-%d", i+1), Seeds: seeds[:min(n, 3)], Store: b.address,
			CallerPort: callerPort, ReadyPort: readyPort, ControlPort: controlPort, FirstInternalPort: firstPort, LastInternalPort: lastPort,
			Grace: grace, ApplyWithin: applyWithin,
		}})
	}
	return nil
}

func (h *host) settingsPath() string { return filepath.Join(h.bed.dir, h.Name+".json") }

// signal sends a signal to the process.
func (h *host) signal(s syscall.Signal) {
	h.bed.record("%s: %v", h.Name, s)
	_ = h.cmd.Process.Signal(s) // the process may have ended
}

// start starts the process with the command of the deploy file.
func (h *host) start() error {
	path := h.settingsPath()
	if err := os.WriteFile(path, h.Settings(), 0o600); err != nil {
		return err
	}
	if h.log == nil {
		f, err := os.Create(filepath.Join(h.bed.dir, h.Name+".log"))
		if err != nil {
			return err
		}
		h.log = f
	}
	cmd := exec.Command("target/figmast-gateway")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", os.Getenv("REVIEW_SETTINGS_VARIABLE") + "=" + path}
	cmd.Stdout, cmd.Stderr = h.log, h.log
	if err := cmd.Start(); err != nil {
		return err
	}
	h.cmd, h.exited = cmd, make(chan struct{})
	h.bed.record("%s: started at %s", h.Name, h.Address)
	go func(exited chan struct{}) {
		err := cmd.Wait()
		h.bed.record("%s: process ended: %v", h.Name, err)
		close(exited)
	}(h.exited)
	return nil
}

// end ends the process if it runs.
func (h *host) end() {
	if h.cmd == nil {
		return
	}
	_ = h.cmd.Process.Signal(syscall.SIGCONT)
	_ = h.cmd.Process.Kill()
	<-h.exited
	_ = h.log.Close()
}

// startAll starts all hosts and waits until they are ready.
func (b *bed) startAll() error {
	for _, h := range b.hosts {
		if err := h.start(); err != nil {
			return err
		}
	}
	for _, h := range b.hosts {
		if err := h.waitReady(20 * time.Second); err != nil {
			return err
		}
	}
	time.Sleep(time.Second)
	return nil
}

func (h *host) waitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if h.isReady() {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %v", h.Name, limit)
}

func (h *host) callerAddress() string { return fmt.Sprintf("%s:%d", h.Address, callerPort) }

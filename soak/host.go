package soak

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/figmast/figmast/platform/standin"
)

// disturbance is a time span in which a fault affected a host.
type disturbance struct {
	from, to time.Time
	planned  bool // SIGTERM or SIGHUP only
	// stopped is set if the process did not run for a while.
	stopped bool
}

// host is one process of the program under test, and its restarts.
type host struct {
	standin.Host
	program         string
	dir             string
	storeLink       *link
	mu              sync.Mutex
	cmd             *exec.Cmd
	exited          chan struct{}
	startedAt       time.Time
	disturbances    []disturbance
	unexpectedExits int
	exitExpected    bool
	logFile         *os.File
}

const (
	callersPort, readyPort, controlPort, firstPort, lastPort = 18080, 18081, 18082, 18090, 18092
	// stopGrace is how long a host may take to stop.
	stopGrace = 4 * time.Second
	// applyBound is the time within which changes of the configuration and of
	// servers must be applied.
	applyBound = 3 * time.Second
)

func (h *host) start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	path := filepath.Join(h.dir, h.Name+".json")
	if err := os.WriteFile(path, h.Settings(), 0o600); err != nil {
		return err
	}
	if h.logFile == nil {
		f, err := os.Create(filepath.Join(h.dir, h.Name+".log"))
		if err != nil {
			return err
		}
		h.logFile = f
	}
	cmd := exec.Command(h.program, "--settings", path)
	cmd.Stdout, cmd.Stderr = h.logFile, h.logFile
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	h.cmd, h.exited, h.exitExpected, h.startedAt = cmd, exited, false, time.Now()
	go func() {
		_ = cmd.Wait()
		h.mu.Lock()
		if !h.exitExpected {
			h.unexpectedExits++
		}
		h.mu.Unlock()
		close(exited)
	}()
	return nil
}

// signal sends a signal to the host's process.
func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s == syscall.SIGTERM || s == syscall.SIGKILL {
		h.exitExpected = true
	}
	_ = h.cmd.Process.Signal(s) // the process may just have ended
}

// reload sends SIGHUP, but not in the first second of a process: it ends one that
// does not run its own code yet, and the users excuse that for a second.
func (h *host) reload() {
	h.mu.Lock()
	wait := time.Until(h.startedAt.Add(time.Second))
	h.mu.Unlock()
	time.Sleep(wait)
	h.recordDisturbance(0, true)
	h.signal(syscall.SIGHUP)
}

func (h *host) recordDisturbance(d time.Duration, planned bool) {
	h.addDisturbance(d, planned, false)
}

// recordStop records that the process does not run for a while.
func (h *host) recordStop(d time.Duration, planned bool) { h.addDisturbance(d, planned, true) }

func (h *host) addDisturbance(d time.Duration, planned, stopped bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	h.disturbances = append(h.disturbances, disturbance{now, now.Add(d), planned, stopped})
}

// lastStopEnd returns when the process last began to run again before a time.
func (h *host) lastStopEnd(before time.Time) (end time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range h.disturbances {
		if s.stopped && s.from.Before(before) && s.to.After(end) {
			end = s.to
		}
	}
	return end
}

// isUndisturbed reports whether no fault affected the host between two times.
// Planned disturbances are ignored if allowPlanned is set.
func (h *host) isUndisturbed(from, to time.Time, allowPlanned bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range h.disturbances {
		if s.from.Before(to) && s.to.After(from) && !(allowPlanned && s.planned) {
			return false
		}
	}
	return true
}

// pause suspends the process for a while.
func (h *host) pause(d time.Duration) {
	h.recordStop(d, false)
	h.signal(syscall.SIGSTOP)
	time.Sleep(d)
	h.signal(syscall.SIGCONT)
}

// killAndRestart kills the process and starts it again after the down time.
func (h *host) killAndRestart(down time.Duration) error {
	h.recordStop(down+time.Second, false)
	h.signal(syscall.SIGKILL)
	<-h.exited
	time.Sleep(down)
	return h.start()
}

// restart shuts the process down gracefully and starts it again. A process that
// takes longer than stopGrace is killed.
func (h *host) restart() error {
	h.recordStop(stopGrace+2*time.Second, true)
	h.signal(syscall.SIGTERM)
	select {
	case <-h.exited:
	case <-time.After(stopGrace):
		h.recordDisturbance(time.Second, false)
		h.signal(syscall.SIGKILL)
		<-h.exited
	}
	return h.start()
}

func (h *host) stop() {
	h.signal(syscall.SIGCONT)
	h.signal(syscall.SIGTERM)
	select {
	case <-h.exited:
	case <-time.After(stopGrace + 2*time.Second):
		h.signal(syscall.SIGKILL)
		<-h.exited
	}
	_ = h.logFile.Close()
	h.storeLink.close()
}

package soak

import (
	"fmt"
	"os"
	"sync"
	"time"
)

const (
	// stallCheckInterval is how often the run reads the clock. minStall is the
	// shortest delay that is recorded; shorter ones do not matter, because the time
	// bounds of the promises are seconds.
	stallCheckInterval = 50 * time.Millisecond
	minStall           = 300 * time.Millisecond
)

// eventLog is a file with the injected faults and the stalls of the run itself, with
// their times, for tracing the cause of a violation.
type eventLog struct {
	file  *os.File
	done  chan struct{}
	ended sync.WaitGroup

	mu          sync.Mutex
	stalledTime time.Duration
}

func newEventLog(path string) (*eventLog, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	n := &eventLog{file: f, done: make(chan struct{})}
	n.ended.Add(1)
	go n.watchStalls()
	return n, nil
}

// add writes a line that begins with the time.
func (n *eventLog) add(format string, args ...any) {
	line := time.Now().UTC().Format("15:04:05.000 ") + fmt.Sprintf(format, args...) + "\n"
	if _, err := n.file.WriteString(line); err != nil {
		fmt.Fprintln(os.Stderr, "event not logged:", err)
	}
}

// watchStalls records when a tick arrives late by at least minStall, because the
// run itself was not scheduled.
func (n *eventLog) watchStalls() {
	defer n.ended.Done()
	ticker := time.NewTicker(stallCheckInterval)
	defer ticker.Stop()
	for last := time.Now(); ; {
		select {
		case <-n.done:
			return
		case <-ticker.C:
		}
		now := time.Now()
		if d := now.Sub(last) - stallCheckInterval; d >= minStall {
			n.add("the run stalled for %v", d)
			n.mu.Lock()
			n.stalledTime += d
			n.mu.Unlock()
		}
		last = now
	}
}

// stalled returns the total time of the recorded stalls.
func (n *eventLog) stalled() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.stalledTime
}

func (n *eventLog) close() {
	close(n.done)
	n.ended.Wait()
	_ = n.file.Close() // every line was written unbuffered
}

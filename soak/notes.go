package soak

import (
	"fmt"
	"os"
	"sync"
	"time"
)

const (
	// stallCheckInterval is how often a run looks at the clock, stallLeast the least
	// delay that is noted: bounds of the promises are seconds.
	stallCheckInterval = 50 * time.Millisecond
	minStall           = 300 * time.Millisecond
)

// eventLog is the file that tells what was done to the hosts and when, and when
// the run itself did not get to run: what a finding is traced by.
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

// add writes a line with the time in front.
func (n *eventLog) add(format string, args ...any) {
	line := time.Now().UTC().Format("15:04:05.000 ") + fmt.Sprintf(format, args...) + "\n"
	if _, err := n.file.WriteString(line); err != nil {
		fmt.Fprintln(os.Stderr, "note not written:", err)
	}
}

// watchStalls notes when the clock has moved on by far more than a tick.
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

// stalled returns for how long the run did not get to run, in sum.
func (n *eventLog) stalled() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.stalledTime
}

func (n *eventLog) close() {
	close(n.done)
	n.ended.Wait()
	_ = n.file.Close() // lines were written one by one
}

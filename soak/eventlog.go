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
func (l *eventLog) add(format string, args ...any) {
	line := time.Now().UTC().Format("15:04:05.000 ") + fmt.Sprintf(format, args...) + "\n"
	if _, err := l.file.WriteString(line); err != nil {
		fmt.Fprintln(os.Stderr, "event not logged:", err)
	}
}

// watchStalls records when a tick arrives late by at least minStall, because the
// run itself was not scheduled.
func (l *eventLog) watchStalls() {
	defer l.ended.Done()
	ticker := time.NewTicker(stallCheckInterval)
	defer ticker.Stop()
	for last := time.Now(); ; {
		select {
		case <-l.done:
			return
		case <-ticker.C:
		}
		now := time.Now()
		if d := now.Sub(last) - stallCheckInterval; d >= minStall {
			l.add("the run stalled for %v", d)
			l.mu.Lock()
			l.stalledTime += d
			l.mu.Unlock()
		}
		last = now
	}
}

// stalled returns the total time of the recorded stalls.
func (l *eventLog) stalled() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stalledTime
}

func (l *eventLog) close() {
	close(l.done)
	l.ended.Wait()
	_ = l.file.Close() // every line was written unbuffered
}

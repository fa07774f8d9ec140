package soak

import (
	"fmt"
	"os"
	"sync"
	"time"
)

const (
	// stallTick is how often a run looks at the clock, stallLeast the least
	// delay that is noted: bounds of the promises are seconds.
	stallTick  = 50 * time.Millisecond
	stallLeast = 300 * time.Millisecond
)

// notes is the file that tells what was done to the hosts and when, and when
// the run itself did not get to run: what a finding is traced by.
type notes struct {
	file  *os.File
	done  chan struct{}
	ended sync.WaitGroup

	mu  sync.Mutex
	sum time.Duration
}

func newNotes(path string) (*notes, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	n := &notes{file: f, done: make(chan struct{})}
	n.ended.Add(1)
	go n.watch()
	return n, nil
}

// add writes a line with the time in front.
func (n *notes) add(format string, args ...any) {
	line := time.Now().UTC().Format("15:04:05.000 ") + fmt.Sprintf(format, args...) + "\n"
	if _, err := n.file.WriteString(line); err != nil {
		fmt.Fprintln(os.Stderr, "note not written:", err)
	}
}

// watch notes when the clock has moved on by far more than a tick.
func (n *notes) watch() {
	defer n.ended.Done()
	ticker := time.NewTicker(stallTick)
	defer ticker.Stop()
	for last := time.Now(); ; {
		select {
		case <-n.done:
			return
		case <-ticker.C:
		}
		now := time.Now()
		if d := now.Sub(last) - stallTick; d >= stallLeast {
			n.add("the run stalled for %v", d)
			n.mu.Lock()
			n.sum += d
			n.mu.Unlock()
		}
		last = now
	}
}

// stalled returns for how long the run did not get to run, in sum.
func (n *notes) stalled() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.sum
}

func (n *notes) close() {
	close(n.done)
	n.ended.Wait()
	_ = n.file.Close() // lines were written one by one
}

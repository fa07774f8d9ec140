package gateway

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
)

const (
	// logQueue is how many lines may wait for a slow reader of the log.
	logQueue = 1024
	// logRate and logBurst bound the lines about requests, in lines a second.
	logRate  = 60
	logBurst = 120
)

// NewLogger returns a logger of JSON lines that never blocks: lines that do
// not fit the queue are counted and left out.
func NewLogger(w io.Writer, host string) (*log.Logger, *LineQueue) {
	q := &LineQueue{lines: make(chan []byte, logQueue), done: make(chan struct{})}
	go q.write(w)
	l := log.NewWithOptions(q, log.Options{
		Formatter: log.JSONFormatter, ReportTimestamp: true, TimeFormat: "2006-01-02T15:04:05.000Z07:00",
	})
	return l.With("host", host), q
}

// LineQueue hands lines to a writer without blocking.
type LineQueue struct {
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Int64
}

// Write implements io.Writer.
func (q *LineQueue) Write(b []byte) (int, error) {
	line := append([]byte(nil), b...)
	select {
	case q.lines <- line:
	default:
		q.dropped.Add(1)
	}
	return len(b), nil
}

// Dropped returns how many lines were left out.
func (q *LineQueue) Dropped() int64 { return q.dropped.Load() }

// Close writes what waits and ends the queue. No line may be written after.
func (q *LineQueue) Close() {
	close(q.lines)
	<-q.done
}

func (q *LineQueue) write(w io.Writer) {
	defer close(q.done)
	for line := range q.lines {
		if _, err := w.Write(line); err != nil {
			q.dropped.Add(1)
		}
	}
}

// limiter admits so many lines a second; those left out are counted.
type limiter struct {
	tokens  float64
	at      time.Time
	skipped int64
}

// admit reports whether a line may be written, and how many were not since the
// last one.
func (l *limiter) admit(now time.Time) (skipped int64, ok bool) {
	if l.at.IsZero() {
		l.tokens, l.at = logBurst, now
	}
	l.tokens = min(l.tokens+now.Sub(l.at).Seconds()*logRate, logBurst)
	l.at = now
	if l.tokens < 1 {
		l.skipped++
		return 0, false
	}
	l.tokens--
	skipped, l.skipped = l.skipped, 0
	return skipped, true
}

package gateway

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
)

const (
	// logQueueLength is how many lines are buffered for a slow log reader.
	logQueueLength = 1024
	// logRate and logBurst limit the lines about requests: lines per second,
	// and lines at once.
	logRate  = 60
	logBurst = 120
	// flushTimeout bounds the wait for the last lines to be written.
	flushTimeout = 200 * time.Millisecond
)

// NewLogger returns a logger of JSON lines that never blocks: lines that do
// not fit the queue are dropped and counted.
func NewLogger(w io.Writer, host string) (*log.Logger, *LineQueue) {
	q := &LineQueue{lines: make(chan []byte, logQueueLength), closing: make(chan struct{}), done: make(chan struct{})}
	go q.write(w)
	l := log.NewWithOptions(q, log.Options{
		Formatter: log.JSONFormatter, ReportTimestamp: true, TimeFormat: "2006-01-02T15:04:05.000Z07:00",
	})
	return l.With("host", host), q
}

// LineQueue passes lines to a writer without blocking.
type LineQueue struct {
	lines   chan []byte
	closing chan struct{}
	done    chan struct{}
	dropped atomic.Int64
}

// Write implements io.Writer.
func (q *LineQueue) Write(b []byte) (int, error) {
	line := append([]byte(nil), b...)
	select {
	case <-q.closing:
		q.dropped.Add(1)
		return len(b), nil
	default:
	}
	select {
	case q.lines <- line:
	default:
		q.dropped.Add(1)
	}
	return len(b), nil
}

// Dropped returns how many lines were dropped, as the queue was full or writing
// them failed.
func (q *LineQueue) Dropped() int64 { return q.dropped.Load() }

// Close writes the queued lines and stops the queue; later lines are dropped. It
// gives up when the reader does not take them in time.
func (q *LineQueue) Close() {
	close(q.closing)
	select {
	case <-q.done:
	case <-time.After(flushTimeout):
	}
}

func (q *LineQueue) write(w io.Writer) {
	defer close(q.done)
	write := func(line []byte) {
		if _, err := w.Write(line); err != nil {
			q.dropped.Add(1)
		}
	}
	for {
		select {
		case line := <-q.lines:
			write(line)
			continue
		case <-q.closing:
		}
		for {
			select {
			case line := <-q.lines:
				write(line)
			default:
				return
			}
		}
	}
}

// lineLimiter is a token bucket for log lines that counts the skipped ones.
type lineLimiter struct {
	tokens     float64
	lastRefill time.Time
	skipped    int64
}

// admit reports whether a line may be written, and how many were skipped since
// the last one.
func (l *lineLimiter) admit(now time.Time) (skipped int64, ok bool) {
	if l.lastRefill.IsZero() {
		l.tokens, l.lastRefill = logBurst, now
	}
	l.tokens = min(l.tokens+now.Sub(l.lastRefill).Seconds()*logRate, logBurst)
	l.lastRefill = now
	if l.tokens < 1 {
		l.skipped++
		return 0, false
	}
	l.tokens--
	skipped, l.skipped = l.skipped, 0
	return skipped, true
}

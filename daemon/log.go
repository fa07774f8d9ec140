package daemon

import (
	"fmt"
	"io"

	"github.com/charmbracelet/log"

	"github.com/figmast/figmast/internal/fault"
)

func parseLevel(s string) (log.Level, error) {
	level, err := log.ParseLevel(s)
	if err != nil || level > log.ErrorLevel {
		return 0, fmt.Errorf("--log-level: %q is none of debug, info, warn, error", s)
	}
	return level, nil
}

// NewLogger returns the logger of a host: JSON lines to w.
func NewLogger(w io.Writer, s Settings) *log.Logger {
	level, err := parseLevel(s.LogLevel)
	if err != nil {
		level = log.InfoLevel
	}
	return log.NewWithOptions(w, log.Options{
		Level: level, Formatter: log.JSONFormatter, ReportTimestamp: true,
		TimeFormat: "2006-01-02T15:04:05.000Z07:00",
	}).With("host", s.Host)
}

// origin returns an error as log fields, with its step and peer.
func origin(err error) []any {
	fields := []any{"err", err}
	step, peer := fault.Origin(err)
	if step != "" {
		fields = append(fields, "step", step)
	}
	if peer != "" {
		fields = append(fields, "peer", peer)
	}
	return fields
}

// LogFailure logs an error with the step and the peer that it carries.
func LogFailure(l *log.Logger, msg string, err error) { l.Error(msg, origin(err)...) }

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
		return 0, fmt.Errorf("--log-level: %q is not one of debug, info, warn, error", s)
	}
	return level, nil
}

// NewLogger returns the logger of a host, which writes JSON lines to w. An
// invalid level counts as info; Settings.Check reports it.
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

// errorFields returns the log fields of an error: the error itself, and the step
// and peer at which it occurred, if known.
func errorFields(err error) []any {
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

// LogFailure logs an error together with the step and peer at which it occurred.
func LogFailure(l *log.Logger, msg string, err error) { l.Error(msg, errorFields(err)...) }

// Command figmastd runs one host of the figmast query tier.
package main

import (
	"context"
	"errors"
	"fmt"
	stdlog "log"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"
	"github.com/charmbracelet/log"

	"github.com/figmast/figmast/daemon"
)

// Exit codes.
const (
	exitFailed   = 1
	exitSettings = 2
)

func main() {
	var s daemon.Settings
	line, faults := takeBadDurations(os.Args[1:])
	os.Args = append(os.Args[:1], line...)
	p := arg.MustParse(&s)
	if err := errors.Join(append(faults, s.Check())...); err != nil {
		fmt.Fprintln(os.Stderr, err)
		p.WriteUsage(os.Stderr)
		os.Exit(exitSettings)
	}
	os.Exit(run(s))
}

func run(s daemon.Settings) int {
	logger := daemon.NewLogger(os.Stderr, s)
	captureStandardLog(logger)
	app := daemon.New(s, os.Stderr)
	ended := app.Wait()
	if err := app.Start(context.Background()); err != nil {
		daemon.LogFailure(logger, "host not started", err)
		return exitFailed
	}
	first := <-ended
	// The signals are taken before the host says that it is not ready: an
	// operator may send the second one at once.
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go exitOnSignal(logger, signals)
	ctx, cancel := context.WithTimeout(context.Background(), app.StopTimeout())
	defer cancel()
	if err := app.Stop(ctx); err != nil {
		return exitFailed
	}
	return first.ExitCode
}

// exitOnSignal ends the process without a drain, for an operator's second
// signal.
func exitOnSignal(l *log.Logger, signals <-chan os.Signal) {
	sig := <-signals
	l.Error("stopped at once by a second signal", "signal", sig)
	os.Exit(exitFailed)
}

// captureStandardLog makes JSON lines of what libraries log.
func captureStandardLog(l *log.Logger) {
	w := l.StandardLog(log.StandardLogOptions{ForceLevel: log.WarnLevel}).Writer()
	stdlog.SetFlags(0)
	stdlog.SetOutput(w)
}

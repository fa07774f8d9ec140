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
	line, errs := extractInvalidDurations(os.Args[1:])
	os.Args = append(os.Args[:1], line...)
	p := arg.MustParse(&s)
	if err := errors.Join(append(errs, s.Check())...); err != nil {
		fmt.Fprintln(os.Stderr, err)
		p.WriteUsage(os.Stderr)
		os.Exit(exitSettings)
	}
	os.Exit(run(s))
}

func run(s daemon.Settings) int {
	logger := daemon.NewLogger(os.Stderr, s)
	redirectStandardLog(logger)
	app := daemon.New(s, os.Stderr)
	done := app.Wait()
	if err := app.Start(context.Background()); err != nil {
		daemon.LogFailure(logger, "host not started", err)
		return exitFailed
	}
	stopSignal := <-done
	// Register the handler before the host reports that it is not ready,
	// because an operator may send the second signal right after that.
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go exitOnSignal(logger, signals)
	ctx, cancel := context.WithTimeout(context.Background(), app.StopTimeout())
	defer cancel()
	if err := app.Stop(ctx); err != nil {
		return exitFailed
	}
	return stopSignal.ExitCode
}

// exitOnSignal waits for a signal and exits without draining. It handles an
// operator's second signal during a graceful shutdown.
func exitOnSignal(l *log.Logger, signals <-chan os.Signal) {
	sig := <-signals
	l.Error("stopped at once by a second signal", "signal", sig)
	os.Exit(exitFailed)
}

// redirectStandardLog writes what libraries log through the standard logger as
// JSON lines, at level warn.
func redirectStandardLog(l *log.Logger) {
	w := l.StandardLog(log.StandardLogOptions{ForceLevel: log.WarnLevel}).Writer()
	stdlog.SetFlags(0)
	stdlog.SetOutput(w)
}

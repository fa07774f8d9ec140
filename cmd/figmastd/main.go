// Command figmastd runs one host of the figmast query tier.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"

	"github.com/figmast/figmast/daemon"
)

// Exit codes.
const (
	exitFailed   = 1
	exitSettings = 2
)

func main() {
	var s daemon.Settings
	p := arg.MustParse(&s)
	if err := s.Check(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		p.WriteUsage(os.Stderr)
		os.Exit(exitSettings)
	}
	os.Exit(run(s))
}

func run(s daemon.Settings) int {
	app := daemon.New(s, os.Stderr)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	if err := app.Start(context.Background()); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	<-signals
	go func() {
		<-signals
		os.Exit(exitFailed)
	}()
	ctx, cancel := context.WithTimeout(context.Background(), app.StopTimeout())
	defer cancel()
	if err := app.Stop(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	return 0
}

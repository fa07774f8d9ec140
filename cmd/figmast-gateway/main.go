// Command figmast-gateway runs one host of the figmast query tier on the
// users' platform, with its settings file, configuration store and headers.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"

	"github.com/figmast/figmast/gateway"
	"github.com/figmast/figmast/platform"
)

// Exit codes.
const (
	exitFailed   = 1
	exitSettings = 2
)

type options struct {
	Settings string `arg:"--settings" help:"path of the settings file; if not given, the path from the platform's environment"`
	Check    bool   `arg:"--check" help:"check the settings file and exit"`
}

// Description implements arg.Described.
func (options) Description() string {
	return "figmast-gateway runs one host of the figmast query tier on the users' platform."
}

func main() {
	signal.Ignore(syscall.SIGHUP) // until the host can reload its settings; it would end the process
	var o options
	arg.MustParse(&o)
	s, err := settings(&o)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitSettings)
	}
	if o.Check {
		fmt.Println("the settings are valid")
		return
	}
	os.Exit(run(s, o.Settings))
}

func settings(o *options) (gateway.Settings, error) {
	if o.Settings == "" {
		path, err := platform.SettingsPath()
		if err != nil {
			return gateway.Settings{}, err
		}
		o.Settings = path
	}
	return platform.ReadSettings(o.Settings)
}

func run(s gateway.Settings, path string) int {
	logger, lineWriter := gateway.NewLogger(os.Stdout, s.Host)
	defer lineWriter.Close()
	app := gateway.New(s, gateway.Platform{
		Headers: platform.Headers(), Decoder: platform.Decoder{}, Store: platform.NewStore(s.Store),
		Reload: func() (gateway.Settings, error) { return platform.ReadSettings(path) },
	}, logger, lineWriter)
	done := app.Wait()
	if err := app.Start(context.Background()); err != nil {
		logger.Error("host not started", "err", err)
		return exitFailed
	}
	stopSignal := <-done
	ctx, cancel := context.WithTimeout(context.Background(), s.Grace)
	defer cancel()
	if err := app.Stop(ctx); err != nil {
		logger.Error("host not stopped cleanly", "err", err)
		return exitFailed
	}
	return stopSignal.ExitCode
}

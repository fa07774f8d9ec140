// Command figmast is the operators' command of the figmast query tier.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"
)

// Exit codes. exitUsage is also the code with which go-arg exits if the command line
// is invalid.
const (
	exitFailed = 1
	exitUsage  = 2
)

// errFailed makes the process exit with exitFailed without printing an error,
// because the subcommand has already printed one.
var errFailed = errors.New("failed")

type args struct {
	Check    *checkArgs    `arg:"subcommand:check" help:"validate documents as a host would and list every error"`
	Status   *statusArgs   `arg:"subcommand:status" help:"show hosts and the documents in force"`
	Explain  *explainArgs  `arg:"subcommand:explain" help:"show each decision on a request, from all hosts"`
	Timeline *timelineArgs `arg:"subcommand:timeline" help:"show the events of all hosts in order"`
	Query    *queryArgs    `arg:"subcommand:query" help:"send a query"`
	Command  *commandArgs  `arg:"subcommand:command" help:"run a command at most once"`
	Load     *loadArgs     `arg:"subcommand:load" help:"send requests at a fixed rate and measure the answers"`
	Plot     *plotArgs     `arg:"subcommand:plot" help:"plot worth over time from reports of simulated days"`
	Try      *tryArgs      `arg:"subcommand:try" help:"run a small fleet in this process and show what it does"`

	JSON bool `arg:"--json" help:"print JSON"`
}

// Version is printed by --version.
func (args) Version() string { return "figmast 0.1.0" }

// Description is printed by --help.
func (args) Description() string {
	return "figmast is the operators' command of the figmast query tier."
}

// Epilogue is printed by --help.
func (args) Epilogue() string {
	return "Exit codes: 0 done, 1 failed or refused, 2 invalid usage."
}

// command is implemented by the arguments of each subcommand.
type command interface {
	run(ctx context.Context, out *printer) error
}

// checker is implemented by subcommands that validate their flags.
type checker interface {
	check() error
}

func (a args) command() command {
	switch {
	case a.Check != nil:
		return a.Check
	case a.Status != nil:
		return a.Status
	case a.Explain != nil:
		return a.Explain
	case a.Timeline != nil:
		return a.Timeline
	case a.Query != nil:
		return a.Query
	case a.Command != nil:
		return a.Command
	case a.Load != nil:
		return a.Load
	case a.Plot != nil:
		return a.Plot
	case a.Try != nil:
		return a.Try
	}
	return nil
}

func main() {
	var a args
	p := arg.MustParse(&a)
	c := a.command()
	if c == nil {
		p.Fail("a command is needed; see --help")
	}
	if c, ok := c.(checker); ok {
		if err := c.check(); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(exitUsage)
		}
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	err := c.run(ctx, &printer{w: os.Stdout, json: a.JSON})
	if err == nil {
		return
	}
	if !errors.Is(err, errFailed) {
		fmt.Fprintln(os.Stderr, "figmast:", err)
	}
	os.Exit(exitFailed)
}

// Command figmast-bench measures the decisions of the query tier in virtual
// time and writes the results.
package main

import (
	"fmt"
	"os"
	"strings"

	"github.com/alexflint/go-arg"

	"github.com/figmast/figmast/bench"
)

type settings struct {
	Seed  uint64 `arg:"--seed" default:"1" help:"seed of all randomness"`
	Only  string `arg:"--only" help:"run only cases whose workload, fault or policy holds this text, as in 'wide/stragglers/figmast'"`
	Table string `arg:"--table" help:"file for the table in Markdown; standard output if empty"`
	JSON  string `arg:"--json" help:"file for the results in JSON"`
	Plot  string `arg:"--plot" help:"file for the plot of a data centre's leaving and return, .svg or .png"`
}

func main() {
	var s settings
	arg.MustParse(&s)
	if err := run(s); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(s settings) error {
	results := bench.RunAll(choose(bench.Suite(s.Seed), s.Only))
	if err := write(s.Table, func(f *os.File) error { return bench.WriteTable(f, results) }); err != nil {
		return err
	}
	if s.JSON != "" {
		if err := write(s.JSON, func(f *os.File) error { return bench.WriteJSON(f, results) }); err != nil {
			return err
		}
	}
	if s.Plot == "" {
		return nil
	}
	return bench.Plot(s.Plot, moves(results))
}

func choose(all []bench.Config, only string) []bench.Config {
	var some []bench.Config
	for _, c := range all {
		if strings.Contains(strings.ToLower(c.Name()), strings.ToLower(only)) {
			some = append(some, c)
		}
	}
	return some
}

// moves returns the runs of one workload in which a data centre moves.
func moves(all []bench.Result) []bench.Result {
	var some []bench.Result
	for _, r := range all {
		if r.Fault == bench.DataCentreMove.Name && r.Workload == bench.Strapwell.Name {
			some = append(some, r)
		}
	}
	return some
}

func write(name string, do func(*os.File) error) error {
	if name == "" {
		return do(os.Stdout)
	}
	f, err := os.Create(name)
	if err != nil {
		return err
	}
	if err := do(f); err != nil {
		return err
	}
	return f.Close()
}

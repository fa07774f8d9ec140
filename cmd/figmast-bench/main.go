// Command figmast-bench simulates the query tier in virtual time under
// workloads and faults, and writes the measured results.
package main

import (
	"fmt"
	"os"
	"strings"

	"github.com/alexflint/go-arg"

	"github.com/figmast/figmast/bench"
)

type settings struct {
	Seed  uint64 `arg:"--seed" default:"1" help:"seed of the random number generators"`
	Only  string `arg:"--only" help:"run only cases whose name (workload/fault/policy, as in 'wide/stragglers/figmast') contains this text"`
	Table string `arg:"--table" help:"file for the table in Markdown; standard output if empty"`
	JSON  string `arg:"--json" help:"file for the results in JSON"`
	Plot  string `arg:"--plot" help:"file for the plot of a data centre being taken out and put back, .svg or .png"`
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
	results := bench.RunAll(filterConfigs(bench.Suite(s.Seed), s.Only))
	if err := writeTo(s.Table, func(f *os.File) error { return bench.WriteTable(f, results) }); err != nil {
		return err
	}
	if s.JSON != "" {
		if err := writeTo(s.JSON, func(f *os.File) error { return bench.WriteJSON(f, results) }); err != nil {
			return err
		}
	}
	if s.Plot == "" {
		return nil
	}
	return bench.Plot(s.Plot, moveResults(results))
}

func filterConfigs(all []bench.Config, only string) []bench.Config {
	var selected []bench.Config
	for _, c := range all {
		if strings.Contains(strings.ToLower(c.Name()), strings.ToLower(only)) {
			selected = append(selected, c)
		}
	}
	return selected
}

// moveResults returns the results of the Strapwell workload in which a data
// centre is taken out and put back.
func moveResults(all []bench.Result) []bench.Result {
	var selected []bench.Result
	for _, r := range all {
		if r.Fault == bench.DataCentreMove.Name && r.Workload == bench.Strapwell.Name {
			selected = append(selected, r)
		}
	}
	return selected
}

func writeTo(name string, do func(*os.File) error) error {
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

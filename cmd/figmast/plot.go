package main

import (
	"context"
	"errors"
	"path/filepath"
	"strings"

	"github.com/figmast/figmast/report"
)

// plotArgs holds the arguments of the plot subcommand, which draws reports of
// simulated days.
type plotArgs struct {
	Out     string   `arg:"--out" default:"." help:"directory for the plots, which are named after the reports"`
	Reports []string `arg:"positional,required" placeholder:"REPORT" help:"report of a simulated day (JSON)"`
}

func (a *plotArgs) run(_ context.Context, out *printer) error {
	var failed error
	for _, path := range a.Reports {
		r, err := report.Read(path)
		if err != nil {
			failed = errors.Join(failed, err)
			continue
		}
		name := strings.TrimSuffix(filepath.Base(path), filepath.Ext(path))
		file := filepath.Join(a.Out, name+".svg")
		if err := report.Plot(r, name, file); err != nil {
			failed = errors.Join(failed, err)
			continue
		}
		out.printf("%s", file)
	}
	return failed
}

package main

import (
	"context"
	"errors"
	"path/filepath"
	"strings"

	"github.com/figmast/figmast/report"
)

// plotArgs draws reports of played days.
type plotArgs struct {
	Out     string   `arg:"--out" default:"." help:"folder for the plots, which are named as the reports"`
	Reports []string `arg:"positional,required" placeholder:"REPORT" help:"report of a played day (JSON)"`
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

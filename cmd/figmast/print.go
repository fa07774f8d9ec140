package main

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
)

// printer writes results for people, or as JSON.
type printer struct {
	w    io.Writer
	json bool
}

// value prints v as JSON.
func (p *printer) value(v any) error {
	enc := json.NewEncoder(p.w)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// line prints v as one line of JSON.
func (p *printer) line(v any) error { return json.NewEncoder(p.w).Encode(v) }

// printf prints a line for people.
func (p *printer) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(p.w, format+"\n", args...)
}

// table prints rows of cells in aligned columns.
func (p *printer) table(head string, rows []string) {
	t := tabwriter.NewWriter(p.w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, head)
	for _, r := range rows {
		_, _ = fmt.Fprintln(t, r)
	}
	_ = t.Flush()
}

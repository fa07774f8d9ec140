package main

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
)

// printer writes results as text or, if json is set, as JSON.
type printer struct {
	w    io.Writer
	json bool
}

// printJSON prints v as indented JSON.
func (p *printer) printJSON(v any) error {
	enc := json.NewEncoder(p.w)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// printJSONLine prints v as JSON on one line.
func (p *printer) printJSONLine(v any) error { return json.NewEncoder(p.w).Encode(v) }

// printf prints one line of text.
func (p *printer) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(p.w, format+"\n", args...)
}

// printTable prints rows of tab-separated cells in aligned columns.
func (p *printer) printTable(head string, rows []string) {
	t := tabwriter.NewWriter(p.w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, head)
	for _, r := range rows {
		_, _ = fmt.Fprintln(t, r)
	}
	_ = t.Flush()
}

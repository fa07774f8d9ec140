package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/figmast/figmast/document"
)

// checkArgs holds the arguments of the check subcommand, which validates
// documents as a host would.
type checkArgs struct {
	Files []string `arg:"positional,required" placeholder:"FILE" help:"documents to check; - reads standard input"`
}

// checkResult is the result for one document.
type checkResult struct {
	File    string   `json:"file"`
	Service string   `json:"service,omitempty"`
	Version uint64   `json:"version,omitempty"`
	Leaves  int      `json:"leaves,omitempty"`
	Faults  []string `json:"faults,omitempty"`
}

func (a *checkArgs) run(_ context.Context, out *printer) error {
	var results []checkResult
	var failed error
	for _, f := range a.Files {
		v := checkFile(f)
		if len(v.Faults) > 0 {
			failed = errFailed
		}
		results = append(results, v)
	}
	if out.json {
		return errors.Join(out.printJSON(results), failed)
	}
	for _, v := range results {
		printCheckResult(out, v)
	}
	return failed
}

func checkFile(file string) checkResult {
	v := checkResult{File: file}
	data, err := readDocument(file)
	if err != nil {
		v.Faults = []string{err.Error()}
		return v
	}
	doc, err := document.Parse(data)
	var parseErr *document.Error
	switch {
	case errors.As(err, &parseErr):
		v.Faults = parseErr.Faults
	case err != nil:
		v.Faults = []string{err.Error()}
	default:
		v.Service, v.Version, v.Leaves = doc.Name, doc.Version, len(doc.Leaves)
	}
	return v
}

// readDocument reads up to one byte more than a document may have, so that
// Parse rejects a document that is too large.
func readDocument(file string) ([]byte, error) {
	in := os.Stdin
	if file != "-" {
		f, err := os.Open(file)
		if err != nil {
			return nil, err
		}
		defer f.Close()
		in = f
	}
	return io.ReadAll(io.LimitReader(in, document.MaxBytes+1))
}

func printCheckResult(out *printer, v checkResult) {
	if len(v.Faults) == 0 {
		out.printf("%s: ok: service %s, version %d, %d leaves", v.File, v.Service, v.Version, v.Leaves)
		return
	}
	for _, f := range v.Faults {
		out.printf("%s: %s", v.File, f)
	}
	out.printf("%s: invalid, %s", v.File, plural(len(v.Faults), "fault"))
}

func plural(n int, word string) string {
	if n == 1 {
		return "1 " + word
	}
	return fmt.Sprintf("%d %ss", n, word)
}

package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/figmast/figmast/document"
)

// checkArgs checks documents as a host would.
type checkArgs struct {
	Files []string `arg:"positional,required" placeholder:"FILE" help:"documents; - reads standard input"`
}

// verdict on one document.
type verdict struct {
	File    string   `json:"file"`
	Service string   `json:"service,omitempty"`
	Version uint64   `json:"version,omitempty"`
	Leaves  int      `json:"leaves,omitempty"`
	Faults  []string `json:"faults,omitempty"`
}

func (a *checkArgs) run(_ context.Context, out *printer) error {
	var list []verdict
	var failed error
	for _, f := range a.Files {
		v := checkFile(f)
		if len(v.Faults) > 0 {
			failed = errFailed
		}
		list = append(list, v)
	}
	if out.json {
		return errors.Join(out.value(list), failed)
	}
	for _, v := range list {
		printVerdict(out, v)
	}
	return failed
}

func checkFile(file string) verdict {
	v := verdict{File: file}
	data, err := readDocument(file)
	if err != nil {
		v.Faults = []string{err.Error()}
		return v
	}
	doc, err := document.Parse(data)
	var refused *document.Error
	switch {
	case errors.As(err, &refused):
		v.Faults = refused.Faults
	case err != nil:
		v.Faults = []string{err.Error()}
	default:
		v.Service, v.Version, v.Leaves = doc.Name, doc.Version, len(doc.Leaves)
	}
	return v
}

// readDocument reads a little more than a document may hold, so that Parse
// refuses it for its size.
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

func printVerdict(out *printer, v verdict) {
	if len(v.Faults) == 0 {
		out.printf("%s: ok: service %s, version %d, %d leaves", v.File, v.Service, v.Version, v.Leaves)
		return
	}
	for _, f := range v.Faults {
		out.printf("%s: %s", v.File, f)
	}
	out.printf("%s: refused, %s", v.File, plural(len(v.Faults), "fault"))
}

func plural(n int, word string) string {
	if n == 1 {
		return "1 " + word
	}
	return fmt.Sprintf("%d %ss", n, word)
}

package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"sort"
	"strings"
)

// maxLogLine bounds one line of a log.
const maxLogLine = 1 << 20

// contextLines is how many of a host's latest other lines are shown before a
// request's own.
const contextLines = 8

// logLine is one line of a gateway's log, with the fields that explain uses;
// the others are kept as text.
type logLine struct {
	Time      string `json:"time"`
	Host      string `json:"host"`
	Message   string `json:"msg"`
	Request   string `json:"request"`
	Route     string `json:"route"`
	Status    int    `json:"status"`
	TookMs    int64  `json:"took_ms"`
	Config    int64  `json:"config"`
	ViewAgeMs int64  `json:"view_age_ms"`
	Missing   int    `json:"missing"`
	Reason    string `json:"reason"`
	Decisions string `json:"decisions"`
	Server    string `json:"server"`
	Content   string `json:"content"`

	rest string
}

// explained is what logs tell of one request at one host.
type explained struct {
	Line logLine `json:"line"`
	// Before are the latest lines of the host on what it believed, and those
	// on servers that the request's decisions name, or on its content.
	Before []string `json:"before"`
}

// explainLogs finds a request in logs of gateways.
func explainLogs(names []string, request string, out *printer) error {
	var found []explained
	for _, name := range names {
		in := io.ReadCloser(os.Stdin)
		if name != "-" {
			f, err := os.Open(name)
			if err != nil {
				return err
			}
			in = f
		}
		list, err := findRequest(in, request)
		if err := errors.Join(err, in.Close()); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		found = append(found, list...)
	}
	if len(found) == 0 {
		return fmt.Errorf("%s: not in the logs; under load some lines are left out, which the next line counts", request)
	}
	sort.SliceStable(found, func(i, j int) bool { return found[i].Line.Time < found[j].Line.Time })
	if out.json {
		return out.value(found)
	}
	for _, x := range found {
		printExplained(out, x)
	}
	return nil
}

// findRequest reads one log. Lines that are no JSON objects are passed over:
// runtimes write some.
func findRequest(in io.Reader, request string) ([]explained, error) {
	var found []explained
	var beliefs []logLine
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, maxLogLine)
	for lines.Scan() {
		start := bytes.IndexByte(lines.Bytes(), '{')
		if start < 0 {
			continue
		}
		l := logLine{rest: string(lines.Bytes()[start:])}
		if json.Unmarshal([]byte(l.rest), &l) != nil {
			continue
		}
		switch l.Request {
		case "":
			beliefs = append(beliefs, l)
		case request:
			found = append(found, explained{Line: l, Before: before(beliefs, l)})
		}
	}
	return found, lines.Err()
}

// before picks what explains a request of the lines that came ahead of it.
func before(beliefs []logLine, l logLine) []string {
	var out []string
	others := 0
	for i := len(beliefs) - 1; i >= 0; i-- {
		b := beliefs[i]
		if b.Host != l.Host {
			continue
		}
		named := b.Server != "" && strings.Contains(l.Decisions, b.Server) || b.Content != "" && b.Content == l.Content
		if named || b.Server == "" && others < contextLines {
			out = append(out, b.rest)
			if !named {
				others++
			}
		}
	}
	for i, j := 0, len(out)-1; i < j; i, j = i+1, j-1 {
		out[i], out[j] = out[j], out[i]
	}
	return out
}

func printExplained(out *printer, x explained) {
	l := x.Line
	out.printf("%s  request %s at %s: status %d after %d ms", l.Time, l.Request, l.Host, l.Status, l.TookMs)
	out.printf("  route %s of configuration %d, known to be the newest %d ms before", l.Route, l.Config, l.ViewAgeMs)
	if l.Reason != "" {
		out.printf("  reason: %s", l.Reason)
	}
	if l.Missing > 0 {
		out.printf("  %d parts are not in the answer", l.Missing)
	}
	for _, d := range strings.Split(l.Decisions, "; ") {
		if d != "" {
			out.printf("  - %s", d)
		}
	}
	if len(x.Before) > 0 {
		out.printf("  what the host had learned before:")
		for _, b := range x.Before {
			out.printf("    %s", b)
		}
	}
}

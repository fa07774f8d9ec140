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

// maxLogLine is the maximum length of a log line, in bytes.
const maxLogLine = 1 << 20

// maxContextLines is how many preceding log lines of the same host are shown
// with a request, apart from those related to it.
const maxContextLines = 8

// logLine is one line of a gateway's log. It has the fields that the explain
// subcommand uses.
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

	// raw is the JSON text of the line.
	raw string
}

// logMatch is the log line of a request at one host, with its context.
type logMatch struct {
	Line logLine `json:"line"`
	// Before are earlier lines of the same host, oldest first: the latest
	// general ones, and all on servers that the request's decisions name or on
	// the request's content.
	Before []string `json:"before"`
}

// explainLogs finds a request in gateway logs and prints what they say of it.
func explainLogs(names []string, request string, out *printer) error {
	var found []logMatch
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
		return fmt.Errorf("%s: not found in the logs; under load a gateway drops log lines and counts them in the next line", request)
	}
	sort.SliceStable(found, func(i, j int) bool { return found[i].Line.Time < found[j].Line.Time })
	if out.json {
		return out.printJSON(found)
	}
	for _, x := range found {
		printLogMatch(out, x)
	}
	return nil
}

// findRequest reads one log. Lines without a JSON object, such as those of
// the language runtime, are skipped.
func findRequest(in io.Reader, request string) ([]logMatch, error) {
	var found []logMatch
	var hostLines []logLine
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, maxLogLine)
	for lines.Scan() {
		start := bytes.IndexByte(lines.Bytes(), '{')
		if start < 0 {
			continue
		}
		l := logLine{raw: string(lines.Bytes()[start:])}
		if json.Unmarshal([]byte(l.raw), &l) != nil {
			continue
		}
		switch l.Request {
		case "":
			hostLines = append(hostLines, l)
		case request:
			found = append(found, logMatch{Line: l, Before: contextLines(hostLines, l)})
		}
	}
	return found, lines.Err()
}

// contextLines selects, from the lines that belong to no request, those of the same
// host that help to explain a request.
func contextLines(hostLines []logLine, l logLine) []string {
	var out []string
	unrelated := 0
	for i := len(hostLines) - 1; i >= 0; i-- {
		b := hostLines[i]
		if b.Host != l.Host {
			continue
		}
		isRelated := b.Server != "" && strings.Contains(l.Decisions, b.Server) || b.Content != "" && b.Content == l.Content
		if isRelated || b.Server == "" && unrelated < maxContextLines {
			out = append(out, b.raw)
			if !isRelated {
				unrelated++
			}
		}
	}
	for i, j := 0, len(out)-1; i < j; i, j = i+1, j-1 {
		out[i], out[j] = out[j], out[i]
	}
	return out
}

func printLogMatch(out *printer, x logMatch) {
	l := x.Line
	out.printf("%s  request %s at %s: status %d after %d ms", l.Time, l.Request, l.Host, l.Status, l.TookMs)
	out.printf("  route %s of configuration %d, last confirmed as current %d ms before", l.Route, l.Config, l.ViewAgeMs)
	if l.Reason != "" {
		out.printf("  reason: %s", l.Reason)
	}
	if l.Missing > 0 {
		out.printf("  %d parts are missing from the answer", l.Missing)
	}
	for _, d := range strings.Split(l.Decisions, "; ") {
		if d != "" {
			out.printf("  - %s", d)
		}
	}
	if len(x.Before) > 0 {
		out.printf("  earlier log lines of the host:")
		for _, b := range x.Before {
			out.printf("    %s", b)
		}
	}
}

// Package report reads the reports of played days and draws what was earned
// over time.
package report

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strconv"
)

// Report is what is read of a played day.
type Report struct {
	Windows []Window
	Events  []Event
}

// Window is a part of the day.
type Window struct {
	// From is when it begins, in seconds from the start of traffic.
	From float64
	// Requests were owed an answer in it; Late, Refused and Failed are how
	// many of them were answered late, refused or failed.
	Requests, Late, Refused, Failed int
	// Worth is the part that was earned of what was owed, from 0 to 1.
	Worth float64
}

// Event is a change or a fault, From and To in seconds from the start of
// traffic.
type Event struct {
	From, To float64
	Name     string
}

// document is a report as it is written.
type document struct {
	Windows []struct {
		Name    string  `json:"name"`
		N       int     `json:"n"`
		Late    int     `json:"late"`
		Refused int     `json:"refused"`
		Failed  int     `json:"failed"`
		Worth   float64 `json:"worth"`
	} `json:"windows"`
	Events []struct {
		At   float64 `json:"at_s"`
		To   float64 `json:"to_s"`
		Kind string  `json:"kind"`
	} `json:"events"`
}

// Read reads a report from a file. It is an error if it has no windows, or one
// whose name is not the second that it begins at.
func Read(path string) (*Report, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	r, err := decode(b)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return r, nil
}

func decode(b []byte) (*Report, error) {
	var d document
	if err := json.Unmarshal(b, &d); err != nil {
		return nil, err
	}
	if len(d.Windows) == 0 {
		return nil, errors.New("the report has no windows")
	}
	r := new(Report)
	for _, w := range d.Windows {
		from, err := strconv.ParseFloat(w.Name, 64)
		if err != nil {
			return nil, fmt.Errorf("window %q: %w", w.Name, err)
		}
		r.Windows = append(r.Windows, Window{
			From: from, Requests: w.N, Late: w.Late, Refused: w.Refused, Failed: w.Failed, Worth: w.Worth,
		})
	}
	for _, e := range d.Events {
		r.Events = append(r.Events, Event{From: e.At, To: max(e.At, e.To), Name: e.Kind})
	}
	return r, nil
}

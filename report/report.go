// Package report reads reports of simulated days of traffic and plots the worth
// over time.
package report

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strconv"
)

// Report is the report of one simulated day.
type Report struct {
	Windows []Window
	Events  []Event
}

// Window holds the figures of one time window.
type Window struct {
	// From is the start of the window, in seconds from the start of traffic.
	From float64
	// Requests is the number of requests that were due an answer in the window;
	// Late, Refused and Failed are how many of them were answered late, were
	// refused or failed.
	Requests, Late, Refused, Failed int
	// Worth is the worth of the answers as a fraction of the worth that was due,
	// from 0 to 1.
	Worth float64
}

// Event is a change or a fault during the day. From and To are in seconds from
// the start of traffic.
type Event struct {
	From, To float64
	Name     string
}

// reportFile is the JSON format of a report.
type reportFile struct {
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

// Read reads a report from a file. It fails if the report has no windows, or if
// the name of a window is not its start in seconds.
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
	var d reportFile
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

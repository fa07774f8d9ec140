package main

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/figmast/figmast/daemon"
)

// statusArgs shows hosts and the documents that they have in force.
type statusArgs struct {
	opsArgs
}

// hostReply is the status of one host in JSON.
type hostReply struct {
	Ops    string         `json:"ops"`
	Error  string         `json:"error,omitempty"`
	Status *daemon.Status `json:"status,omitempty"`
}

func (a *statusArgs) run(ctx context.Context, out *printer) error {
	replies := askAll[daemon.Status](ctx, a.Ops, "/v1/status")
	var failed error
	for _, r := range replies {
		if r.err != nil {
			failed = errFailed
		}
	}
	if out.json {
		return errors.Join(out.value(hostReplies(replies)), failed)
	}
	printHosts(out, replies)
	printServices(out, replies)
	printCold(out, replies)
	printUnasked(out, replies)
	return failed
}

// printUnasked names hosts that others know and that were not asked.
func printUnasked(out *printer, replies []reply[daemon.Status]) {
	known := make(map[string]bool)
	for _, r := range replies {
		for _, id := range r.value.Hosts {
			known[id] = true
		}
	}
	for _, r := range replies {
		delete(known, r.value.Host)
	}
	if len(known) > 0 {
		out.printf("\nknown to these hosts, but not asked: %s", strings.Join(slices.Sorted(maps.Keys(known)), ", "))
	}
}

func hostReplies(replies []reply[daemon.Status]) []hostReply {
	var list []hostReply
	for _, r := range replies {
		h := hostReply{Ops: r.address}
		if r.err != nil {
			h.Error = r.err.Error()
		} else {
			h.Status = &r.value
		}
		list = append(list, h)
	}
	return list
}

func printHosts(out *printer, replies []reply[daemon.Status]) {
	var rows []string
	for _, r := range replies {
		s := r.value
		if r.err != nil {
			rows = append(rows, fmt.Sprintf("?\t?\t%s\tno answer: %v\t\t\t", r.address, r.err))
			continue
		}
		state := "ready"
		if !s.Ready {
			state = "not ready: " + s.Unready
		}
		rows = append(rows, fmt.Sprintf("%s\t%s\t%s\t%s\t%d ms\t%d\t%d", s.Host, s.DataCentre, r.address, state, s.AgeMs, len(s.Hosts), s.Queries+s.Commands))
	}
	out.table("HOST\tDATA CENTRE\tOPS\tSTATE\tVIEW AGE\tHOSTS KNOWN\tRUNNING", rows)
}

// printServices prints one row for each document in force; hosts that differ
// get rows of their own.
func printServices(out *printer, replies []reply[daemon.Status]) {
	rows := byHosts(replies, func(s daemon.Status) (rows []string) {
		for _, v := range s.Services {
			rows = append(rows, fmt.Sprintf("%s\t%d\t%s\t%d\t%d\t%s\t%s", v.Name, v.Version, v.Snapshot, v.Leaves, v.Servers,
				orDash(v.DataCentresOut), orDash(v.Leaving)))
		}
		return rows
	})
	printRows(out, "SERVICE\tVERSION\tSNAPSHOT\tLEAVES\tSERVERS\tOUT\tLEAVING\tIN FORCE ON", rows)
}

// printCold prints each cold server once, with the hosts that take it for
// cold.
func printCold(out *printer, replies []reply[daemon.Status]) {
	rows := byHosts(replies, func(s daemon.Status) (rows []string) {
		for _, c := range s.Cold {
			rows = append(rows, fmt.Sprintf("%s\t%s\t%s\t%s\t%d", c.Service, c.Leaf, c.Server, c.DataCentre, c.Level))
		}
		return rows
	})
	printRows(out, "COLD SERVICE\tLEAF\tSERVER\tDATA CENTRE\tBEARS\tSEEN BY", rows)
}

// byHosts returns each row that hosts tell once, with the hosts that do.
func byHosts(replies []reply[daemon.Status], rowsOf func(daemon.Status) []string) []string {
	var rows []string
	hosts := make(map[string][]string)
	for _, r := range replies {
		for _, row := range rowsOf(r.value) {
			if hosts[row] == nil {
				rows = append(rows, row)
			}
			hosts[row] = append(hosts[row], r.value.Host)
		}
	}
	for i, row := range rows {
		rows[i] = row + "\t" + strings.Join(hosts[row], ",")
	}
	return rows
}

// printRows prints a table after an empty line, or nothing.
func printRows(out *printer, header string, rows []string) {
	if len(rows) > 0 {
		out.printf("")
		out.table(header, rows)
	}
}

func orDash(list []string) string {
	if len(list) == 0 {
		return "-"
	}
	return strings.Join(list, ",")
}

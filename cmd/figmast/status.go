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

// statusArgs holds the flags of the status subcommand, which shows hosts and
// the documents that they have in force.
type statusArgs struct {
	opsArgs
}

// hostReply is the JSON output for one host.
type hostReply struct {
	Ops    string         `json:"ops"`
	Error  string         `json:"error,omitempty"`
	Status *daemon.Status `json:"status,omitempty"`
}

func (a *statusArgs) run(ctx context.Context, out *printer) error {
	replies := getAll[daemon.Status](ctx, a.Ops, "/v1/status")
	var failed error
	for _, r := range replies {
		if r.err != nil {
			failed = errFailed
		}
	}
	if out.json {
		return errors.Join(out.printJSON(hostReplies(replies)), failed)
	}
	printHosts(out, replies)
	printServices(out, replies)
	printColdServers(out, replies)
	printOtherHosts(out, replies)
	return failed
}

// printOtherHosts lists the hosts that the replies mention but that did not
// reply themselves.
func printOtherHosts(out *printer, replies []reply[daemon.Status]) {
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
	var statuses []hostReply
	for _, r := range replies {
		h := hostReply{Ops: r.address}
		if r.err != nil {
			h.Error = r.err.Error()
		} else {
			h.Status = &r.value
		}
		statuses = append(statuses, h)
	}
	return statuses
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
	out.printTable("HOST\tDATA CENTRE\tOPS\tSTATE\tVIEW AGE\tHOSTS KNOWN\tRUNNING", rows)
}

// printServices prints one row for each distinct state of a service, with the
// hosts on which it is in force.
func printServices(out *printer, replies []reply[daemon.Status]) {
	rows := groupByHosts(replies, func(s daemon.Status) (rows []string) {
		for _, v := range s.Services {
			rows = append(rows, fmt.Sprintf("%s\t%d\t%s\t%d\t%d\t%s\t%s", v.Name, v.Version, v.Snapshot, v.Leaves, v.Servers,
				joinOrDash(v.DataCentresOut), joinOrDash(v.Leaving)))
		}
		return rows
	})
	printRows(out, "SERVICE\tVERSION\tSNAPSHOT\tLEAVES\tSERVERS\tOUT\tLEAVING\tIN FORCE ON", rows)
}

// printColdServers prints each cold server with the hosts that consider it
// cold.
func printColdServers(out *printer, replies []reply[daemon.Status]) {
	rows := groupByHosts(replies, func(s daemon.Status) (rows []string) {
		for _, c := range s.Cold {
			rows = append(rows, fmt.Sprintf("%s\t%s\t%s\t%s\t%d", c.Service, c.Leaf, c.Server, c.DataCentre, c.Level))
		}
		return rows
	})
	printRows(out, "COLD SERVICE\tLEAF\tSERVER\tDATA CENTRE\tCONCURRENCY\tSEEN BY", rows)
}

// groupByHosts returns each distinct row of the replies once, followed by the
// hosts that reported it.
func groupByHosts(replies []reply[daemon.Status], rowsOf func(daemon.Status) []string) []string {
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

// printRows prints a table after an empty line, or nothing without rows.
func printRows(out *printer, header string, rows []string) {
	if len(rows) > 0 {
		out.printf("")
		out.printTable(header, rows)
	}
}

func joinOrDash(list []string) string {
	if len(list) == 0 {
		return "-"
	}
	return strings.Join(list, ",")
}

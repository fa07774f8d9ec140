package e2e

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	figmast "github.com/figmast/figmast"
	"github.com/figmast/figmast/configstore"
)

// routeSearchDocument returns the document of the sample service, with two leaves of
// two servers each.
func routeSearchDocument(version int, snapshot string, servers []string) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "service: route-search\nversion: %d\n", version)
	b.WriteString("operations:\n- {name: route-sheet, kind: query, deadline: 5s}\n- {name: book, kind: command, deadline: 5s}\n")
	b.WriteString("leaves:\n")
	for leaf := range 2 {
		fmt.Fprintf(&b, "- name: leaf-%d\n  slots: 2\n  connections: 40\n  servers:\n", leaf)
		for i := range 2 {
			id, address, _ := strings.Cut(servers[leaf*2+i], "=")
			fmt.Fprintf(&b, "  - {id: %s, address: %q, data_centre: dc-%d}\n", id, address, i)
		}
	}
	fmt.Fprintf(&b, "snapshots:\n- id: %s\n  partition_map: map-1\n  weights:\n  - {leaf: leaf-0, weight: 60}\n  - {leaf: leaf-1, weight: 40}\n", snapshot)
	return []byte(b.String())
}

func startBackends(t testing.TB, n int) []string {
	t.Helper()
	var servers []string
	ip := subnet() + "1"
	for i := range n {
		servers = append(servers, fmt.Sprintf("s%d=%s", i, freeAddress(t, ip)))
	}
	start(t, nil, "figmast-fake", append([]string{"backend"}, servers...)...)
	for _, s := range servers {
		waitFor(t, s, func() bool { return canDial(backendAddress(s)) })
	}
	return servers
}

func TestWholePath(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	servers := startBackends(t, 4)
	f.publish(configstore.PrefixServices+"route-search", routeSearchDocument(1, "monday", servers))
	f.addHost("127.0.0.2", "dc-0")
	f.addHost("127.0.0.3", "dc-1")
	f.waitReady()

	t.Run("query", func(t *testing.T) {
		is := is.New(t)
		for _, h := range f.hosts {
			var ans figmast.QueryAnswer
			status := post(t, "http://"+h.callers+"/v1/services/route-search/query", figmast.QueryRequest{Operation: "route-sheet"}, &ans)
			is.Equal(status, http.StatusOK)
			is.Equal(ans.Snapshot, "monday")
			is.Equal(ans.Coverage, 1.0)
			is.Equal(len(ans.Results), 2)
		}
	})
	t.Run("command through either host runs once", func(t *testing.T) {
		is := is.New(t)
		var ticket figmast.TicketAnswer
		is.Equal(post(t, "http://"+f.hosts[0].callers+"/v1/services/route-search/tickets", struct{}{}, &ticket), http.StatusOK)
		book := figmast.CommandRequest{Operation: "book", ShardKey: "strap-7", Ticket: ticket.Ticket, Payload: json.RawMessage(`{"strap":7}`)}
		waitFor(t, "hosts to know each other", func() bool { return knowsHost(f.hosts[1], f.hosts[0].id) })
		for _, h := range []*host{f.hosts[1], f.hosts[0], f.hosts[1]} {
			var ans figmast.CommandAnswer
			is.Equal(post(t, "http://"+h.callers+"/v1/services/route-search/command", book, &ans), http.StatusOK)
			is.Equal(ans.Outcome, figmast.Ran)
		}
		is.Equal(countCommands(t, servers), 1)
	})
	t.Run("a changed document takes effect on both hosts", func(t *testing.T) {
		f.publish(configstore.PrefixServices+"route-search", routeSearchDocument(2, "tuesday", servers))
		for _, h := range f.hosts {
			waitFor(t, "the new snapshot", func() bool {
				var ans figmast.QueryAnswer
				post(t, "http://"+h.callers+"/v1/services/route-search/query", figmast.QueryRequest{Operation: "route-sheet"}, &ans)
				return ans.Snapshot == "tuesday" && ans.DocumentVersion == 2
			})
		}
	})
	is.True(!t.Failed())
}

func knowsHost(h *host, id string) bool {
	resp, err := http.Get("http://" + h.ops + "/v1/status")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	var s struct{ Hosts []string }
	if json.NewDecoder(resp.Body).Decode(&s) != nil {
		return false
	}
	for _, known := range s.Hosts {
		if known == id {
			return true
		}
	}
	return false
}

func countCommands(t *testing.T, servers []string) int {
	t.Helper()
	n := 0
	for _, e := range executions(t, servers...) {
		if e.Command {
			n++
		}
	}
	return n
}

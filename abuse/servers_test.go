package abuse

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/figmast/figmast/platform"
	"github.com/figmast/figmast/platform/standin"
	"github.com/figmast/figmast/route"
)

// endlessPath begins the paths of requests that are answered without end, in one of
// the forms of endless.
const endlessPath = "/endless/"

var endless = map[string]struct{ prefix, repeated string }{
	"line":    {"HTTP/1.1 200 OK\r\nX-A: ", strings.Repeat("a", 4096)},
	"headers": {"HTTP/1.1 200 OK\r\n", "X-A: " + strings.Repeat("a", 4096) + "\r\n"},
	"interim": {"", "HTTP/1.1 103 Early Hints\r\nX-A: " + strings.Repeat("a", 4096) + "\r\n\r\n"},
	"body":    {"HTTP/1.1 200 OK\r\n\r\n", strings.Repeat("b", 4096)},
	"chunks":  {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1000\r\n" + strings.Repeat("b", 4096) + "\r\n"},
	"tiny":    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", strings.Repeat("1\r\nb\r\n", 512)},
	"length":  {"HTTP/1.1 200 OK\r\nContent-Length: 1099511627776\r\n\r\n", strings.Repeat("b", 4096)},
	"trailer": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-A: " + strings.Repeat("a", 4096) + "\r\n"},
	"others":  {"", "HTTP/1.1 200 OK\r\n" + platform.Headers().RequestID + ": other\r\nContent-Length: 4096\r\n\r\n" + strings.Repeat("b", 4096)},
}

// writeEndless writes until the host closes the connection.
func writeEndless(w http.ResponseWriter, form struct{ prefix, repeated string }) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err) // HTTP/1.1 connections can be taken over
	}
	defer c.Close()
	_, err = io.WriteString(c, form.prefix)
	for err == nil {
		_, err = io.WriteString(c, form.repeated)
	}
}

// TestEndlessAnswersAreBounded guards against a process that runs out of memory
// because of answers without end, and ends with the requests of all its clients.
func TestEndlessAnswersAreBounded(t *testing.T) {
	for name := range endless {
		t.Run(name, func(t *testing.T) {
			p := startProcess(t)
			leave := p.crowd("Content-Length: 0\r\n", func(c net.Conn, head string) {
				target := fmt.Sprintf("POST %s%s ", endlessPath, name)
				_, rest, _ := strings.Cut(head, " HTTP/1.1")
				write(c, []byte(target+"HTTP/1.1"+rest))
			})
			time.Sleep(2 * time.Second) // the answers arrive
			leave()
			p.check("after the crowd")
		})
	}
}

// TestOddEntriesAreSurvived guards against a process that ends, or no longer follows
// changes, because of one odd entry among those of the servers.
func TestOddEntriesAreSurvived(t *testing.T) {
	p := startProcess(t)
	own := p.serveBackend()
	for name, value := range standin.OddServerEntries(own) {
		p.store.PutServerEntry("odd-"+strings.ReplaceAll(name, " ", "-"), []byte(value))
		p.store.PutServerEntry("returns", []byte(value))
		p.store.PutEntry("else/"+name, []byte(value))
		p.waitUntilServed()
	}
	// The server whose entry was overwritten registers again, as the only one of a
	// service that is configured now.
	p.store.PutServer(route.Server{ID: "returns", Service: "later", DataCentre: "a", Slots: 8, StartUnixMs: 1_760_000_000_001, Address: own})
	c := *p.config
	c.Version = 2
	c.Services = map[string]route.Service{"s": c.Services["s"], "later": {Name: "later", MaxConnections: 100}}
	later := c.Routes[0]
	later.Name, later.Prefix, later.Service = "later", "/later/", "later"
	c.Routes = append([]route.Route{later}, c.Routes...)
	p.store.PutConfig(&c)
	is := is.New(t)
	for end := time.Now().Add(answerTimeout); ; time.Sleep(50 * time.Millisecond) {
		status, err := p.requestPath("GET", "/later/x", 0)
		if err == nil && status == http.StatusOK {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("the host does not follow the change: status %d, %v", status, err)
		}
	}
	p.check("after odd entries")
	is.True(!strings.Contains(p.log.String(), "panic"))
}

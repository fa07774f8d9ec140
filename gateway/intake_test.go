package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/figmast/figmast/route"
)

// TestUnfinishedBodyEndsAtDeadline guards against a connection that stays open for
// ever because its request's body does not end.
func TestUnfinishedBodyEndsAtDeadline(t *testing.T) {
	b := newBackend(t)
	g := newTestGateway(t, b)
	for name, tt := range map[string]struct {
		request string
		status  int
	}{
		"with a length": {"POST /p/1" + get + "Content-Length: 10\r\n\r\nhalf", http.StatusRequestTimeout},
		"in chunks":     {"POST /p/2" + get + "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", http.StatusRequestTimeout},
		"no route":      {"POST /else/" + get + "Content-Length: 10\r\n\r\nhalf", http.StatusNotFound},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c, err := net.Dial("tcp", g.address)
			is.NoErr(err)
			defer c.Close()
			is.NoErr(c.SetDeadline(time.Now().Add(10 * time.Second)))
			_, err = io.WriteString(c, tt.request)
			is.NoErr(err)
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			is.NoErr(err)
			is.Equal(resp.StatusCode, tt.status)
			is.True(resp.Close)
			_, err = io.Copy(io.Discard, c)
			is.NoErr(err) // the host has closed the connection
		})
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	is.New(t).Equal(len(b.heads), 0)
}

// TestBodyWithoutMemoryIsRefusedAsNotRun: a body beyond the bound of all bodies is
// refused, small ones and requests without a body are served beside it, and the
// memory is free again afterwards.
func TestBodyWithoutMemoryIsRefusedAsNotRun(t *testing.T) {
	const size = 8 << 10
	is := is.New(t)
	b := newBackend(t)
	g := newTestHost(t, b, Settings{Address: "127.0.0.1", DataCentre: "a", MemoryBytes: bufferDivisor * (size + 2<<10)})
	g.runner.topology.Load().Config.Limits.BodyBytes = size
	body := strings.Repeat("b", size)
	busy, err := net.Dial("tcp", g.address)
	is.NoErr(err)
	_, err = fmt.Fprintf(busy, "POST /p/takes/1%sContent-Length: %d\r\n\r\n%s", get, size, body)
	is.NoErr(err)
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
		if _, _, held := g.conns.counts(); held >= size {
			break
		}
		is.True(time.Now().Before(end))
	}
	resp, _ := g.send(t, fmt.Sprintf("POST /p/2%sContent-Length: %d\r\n\r\n%s", get, size, body))
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	is.True(resp.Header.Get("Retry-After") != "")
	resp, _ = g.send(t, "POST /p/3"+get+"Content-Length: 5\r\n\r\nsmall")
	is.Equal(resp.StatusCode, http.StatusOK)
	resp, _ = g.send(t, "GET /p/4"+get+"\r\n")
	is.Equal(resp.StatusCode, http.StatusOK)
	_, err = http.ReadResponse(bufio.NewReader(busy), nil)
	is.NoErr(err)
	resp, _ = g.send(t, fmt.Sprintf("POST /p/5%sContent-Length: %d\r\n\r\n%s", get, size, body))
	is.Equal(resp.StatusCode, http.StatusOK)
	b.mu.Lock()
	defer b.mu.Unlock()
	is.True(!strings.Contains(strings.Join(b.heads, ""), "/p/2 ")) // not run
}

// TestUnfinishedConnectionsGiveWay: beside a crowd of connections without a complete
// request, further callers are served, and no request of a closed one is passed on.
func TestUnfinishedConnectionsGiveWay(t *testing.T) {
	is := is.New(t)
	b := newBackend(t)
	g := newTestHost(t, b, Settings{Address: "127.0.0.1", DataCentre: "a", MaxSockets: minCallerConnections})
	g.runner.topology.Load().Config.Routes[0].Timeout = 10 * time.Second
	g.callers.setLimits(route.Limits{HeaderBytes: 4096, HeaderTimeout: 10 * time.Second, IdleTimeout: time.Minute})
	var crowd []net.Conn
	for i := range 3 * minCallerConnections {
		c, err := net.Dial("tcp", g.address)
		is.NoErr(err)
		defer c.Close()
		crowd = append(crowd, c)
		_, _ = fmt.Fprintf(c, "POST /p/crowd%d HTTP/1.1\r\nHost: h.example\r\nX-Id: c\r\nContent-Length: 5\r\n\r\nhalf", i) // it may be closed already
	}
	for i := range 5 {
		resp, _ := g.send(t, fmt.Sprintf("GET /p/ordinary%d%s\r\n", i, get))
		is.Equal(resp.StatusCode, http.StatusOK)
	}
	open, most, _ := g.conns.counts()
	is.True(open <= minCallerConnections && most <= minCallerConnections)
	is.True(g.metrics.connectionsEvicted.Get() >= 2*minCallerConnections)
	for _, c := range crowd {
		_, _ = io.WriteString(c, "s") // the host has closed most of them
	}
	time.Sleep(100 * time.Millisecond)
	b.mu.Lock()
	defer b.mu.Unlock()
	is.True(len(b.heads) <= 5+minCallerConnections)
}

// TestIntakeOptions: the bounds follow from the host's memory and sockets.
func TestIntakeOptions(t *testing.T) {
	for _, tt := range []struct {
		memoryMB    int64
		sockets     int
		files       int
		connections int
		bytes       int64
	}{
		{284, 3900, 1 << 20, 2272, 284 << 20 / 8},
		{184, 3900, 1 << 20, 1472, 184 << 20 / 8},
		{284, 3900, 1000, 702, 284 << 20 / 8},
		{0, 0, 1000, 702, defaultIntakeBytes},
		{284, 10, 1000, minCallerConnections, 284 << 20 / 8},
	} {
		o := intakeOptions(Settings{MemoryBytes: tt.memoryMB << 20, MaxSockets: tt.sockets}, tt.files)
		is := is.New(t)
		is.Equal(o.MaxConnections, tt.connections)
		is.Equal(o.MaxBytes, tt.bytes)
	}
}

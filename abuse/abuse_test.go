package abuse

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/figmast/figmast/gateway"
	"github.com/figmast/figmast/platform"
	"github.com/figmast/figmast/platform/standin"
	"github.com/figmast/figmast/route"
)

const (
	// memoryMB and maxFiles are the bounds of the process under test.
	memoryMB = 96
	maxFiles = 400
	// crowdSize is the number of clients in a crowd; their bodies together are
	// larger than the memory, their connections more than the files.
	crowdSize = 600
	bodyBytes = 256 << 10
	// crowdAnswerBytes is the size of the answers to a crowd's requests.
	crowdAnswerBytes = 1 << 20
	hostName         = "h.example"
	// answerTimeout bounds the wait for an answer to an ordinary request.
	answerTimeout = 20 * time.Second
	// settleTime is how long the process has to read what a crowd has sent.
	settleTime = 500 * time.Millisecond
)

var program string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "abuse")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(dir, "figmast-gateway")
	if out, err := exec.Command("go", "build", "-o", program, "../cmd/figmast-gateway").CombinedOutput(); err != nil {
		panic(fmt.Sprintf("%v\n%s", err, out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// process is a host under test with its metadata store and a backend server.
type process struct {
	t       *testing.T
	cmd     *exec.Cmd
	exited  chan struct{}
	address string
	headers gateway.Headers
	log     *bytes.Buffer
	store   *standin.Store
	config  *route.Config
}

func startProcess(t *testing.T) *process {
	t.Helper()
	is := is.New(t)
	p := &process{t: t, exited: make(chan struct{}), headers: platform.Headers(), log: &bytes.Buffer{}}
	p.store = standin.NewStore()
	p.config = &route.Config{
		Version: 1, Services: map[string]route.Service{"s": {Name: "s", MaxConnections: 100}},
		Routes: []route.Route{{
			Name: "r", Host: hostName, Prefix: "/", Service: "s", Idempotent: true, MaxAttempts: 2, Timeout: 15 * time.Second, Objective: time.Second,
		}},
		Limits: route.Limits{HeaderBytes: 16 << 10, BodyBytes: bodyBytes, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
	}
	p.store.PutConfig(p.config)
	for i := range 3 {
		v := route.Server{ID: fmt.Sprintf("i-%d", i), Service: "s", DataCentre: "a", Slots: 8, StartUnixMs: time.Now().UnixMilli(), Address: p.serveBackend()}
		p.store.PutServer(v)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	server := &http.Server{Handler: p.store, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(l) }() // it returns when the test closes the server
	t.Cleanup(func() { _ = server.Close() })

	ports := freePorts(t, 3)
	p.address = net.JoinHostPort("127.0.0.1", strconv.Itoa(ports[0]))
	h := standin.Host{
		Name: "h", Address: "127.0.0.1", DataCentre: "a", Store: l.Addr().String(), CallerPort: ports[0], ReadyPort: ports[1], ControlPort: ports[2],
		FirstInternalPort: 18190, LastInternalPort: 18192, Grace: 4 * time.Second, ApplyWithin: 3 * time.Second, MemoryMB: memoryMB, MaxFiles: maxFiles,
	}
	path := filepath.Join(t.TempDir(), "settings.json")
	is.NoErr(os.WriteFile(path, h.Settings(), 0o600))
	p.cmd = exec.Command(program, "--settings", path)
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	is.NoErr(p.cmd.Start())
	go func() { _ = p.cmd.Wait(); close(p.exited) }()
	t.Cleanup(func() {
		_ = p.cmd.Process.Signal(syscall.SIGKILL)
		<-p.exited
	})
	p.waitUntilServed()
	return p
}

// freePorts returns ports on which nothing listens.
func freePorts(t *testing.T, n int) []int {
	t.Helper()
	var ports []int
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		is.New(t).NoErr(err)
		defer l.Close()
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return ports
}

// serveBackend starts a backend server, which answers each request with 1,000 bytes,
// with as many as the path ends in, or without end, and returns its address.
func (p *process) serveBackend() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(p.t).NoErr(err)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if name, ok := strings.CutPrefix(r.URL.Path, endlessPath); ok {
			writeEndless(w, endless[name])
			return
		}
		size := 1000
		if n, err := strconv.Atoi(r.URL.Path[strings.LastIndex(r.URL.Path, "/")+1:]); err == nil {
			size = n
		}
		w.Header().Set(p.headers.RequestID, r.Header.Get(p.headers.RequestID))
		w.Header().Set(p.headers.Signature, "sealed")
		w.Header().Set("Content-Length", strconv.Itoa(size))
		_, _ = w.Write(make([]byte, size))
	})}
	go func() { _ = server.Serve(l) }() // it returns when the test closes the server
	p.t.Cleanup(func() { _ = server.Close() })
	return l.Addr().String()
}

// waitUntilServed waits until an ordinary request is answered.
func (p *process) waitUntilServed() {
	p.t.Helper()
	for end := time.Now().Add(answerTimeout); ; time.Sleep(50 * time.Millisecond) {
		if status, err := p.request("GET", 0); err == nil && status == http.StatusOK {
			return
		}
		if time.Now().After(end) {
			p.t.Fatalf("the host does not serve:\n%s", p.log)
		}
	}
}

// request sends an ordinary request and returns the status of its complete answer.
func (p *process) request(method string, body int) (int, error) {
	return p.requestPath(method, "/ordinary", body)
}

func (p *process) requestPath(method, path string, body int) (int, error) {
	c, err := net.DialTimeout("tcp", p.address, answerTimeout)
	if err != nil {
		return 0, err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(answerTimeout))
	if _, err := fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: o\r\n%s: 15000\r\nContent-Length: %d\r\n\r\n%s",
		method, path, hostName, p.headers.RequestID, p.headers.DeadlineMs, body, strings.Repeat("b", body)); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// peakBytes returns the process's highest resident memory.
func (p *process) peakBytes() int64 {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	is.New(p.t).NoErr(err)
	for line := range strings.Lines(string(b)) {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, err := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			is.New(p.t).NoErr(err)
			return kb << 10
		}
	}
	p.t.Fatal("no peak of the memory")
	return 0
}

func (p *process) openFiles() int {
	list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	is.New(p.t).NoErr(err)
	return len(list)
}

// check fails the test unless the process lives, has stayed within its bounds and
// answers ordinary requests without a body and with a small one. One with the largest
// body may be refused beside a crowd.
// The first answer shows that the process has accepted all earlier connections.
func (p *process) check(when string) {
	p.t.Helper()
	files := 0
	for _, body := range []int{0, 500, bodyBytes} {
		if status, err := p.request("POST", body); (err != nil || status != http.StatusOK) && body < bodyBytes {
			p.t.Errorf("%s: an ordinary request with a body of %d bytes got status %d, %v", when, body, status, err)
		}
		files = max(files, p.openFiles())
	}
	select {
	case <-p.exited:
		p.t.Fatalf("%s: the process has ended:\n%s", when, p.log)
	case <-time.After(settleTime):
	}
	files = max(files, p.openFiles())
	peak := p.peakBytes()
	p.t.Logf("%s: %d MB at the peak, %d open files", when, peak>>20, files)
	if peak > memoryMB<<20 {
		p.t.Errorf("%s: the process has held %d MB of %d", when, peak>>20, memoryMB)
	}
	if files > maxFiles {
		p.t.Errorf("%s: the process has %d open files of %d", when, files, maxFiles)
	}
}

// client is one client of a crowd. It writes on its connection until it is done or
// the connection is closed, and leaves the connection open.
type client func(c net.Conn, head string)

// head returns the head of a request with the given further lines.
func (p *process) head(i int, lines string) string {
	return fmt.Sprintf("POST /crowd/%d HTTP/1.1\r\nHost: %s\r\n%s: c%d\r\n%s: 15000\r\n%s\r\n", crowdAnswerBytes, hostName, p.headers.RequestID, i, p.headers.DeadlineMs, lines)
}

// crowd runs the clients at once and returns when all have written what they can.
// Their connections stay open until the returned function closes them.
func (p *process) crowd(lines string, run client) (leave func()) {
	conns := make([]net.Conn, crowdSize)
	var clients sync.WaitGroup
	for i := range conns {
		clients.Go(func() {
			c, err := net.DialTimeout("tcp", p.address, answerTimeout)
			if err != nil {
				return // the host does not take the connection
			}
			conns[i] = c
			_ = c.SetWriteDeadline(time.Now().Add(answerTimeout))
			run(c, p.head(i, lines))
		})
	}
	clients.Wait()
	return func() {
		for _, c := range conns {
			if c != nil {
				_ = c.Close()
			}
		}
	}
}

func write(c net.Conn, b []byte) bool {
	_, err := c.Write(b)
	return err == nil // false once the host has closed the connection
}

// TestCrowdIsBounded guards against a process that runs out of memory or files
// because of many clients that are each within the limits of one request.
func TestCrowdIsBounded(t *testing.T) {
	withLength := fmt.Sprintf("Content-Length: %d\r\n", bodyBytes)
	const chunked = "Transfer-Encoding: chunked\r\n"
	body := bytes.Repeat([]byte("b"), bodyBytes)
	for _, tt := range []struct {
		name  string
		lines string
		run   client
	}{
		{"bodies all but their last byte", withLength, func(c net.Conn, head string) {
			write(c, append([]byte(head), body[1:]...))
		}},
		{"bodies in pieces", withLength, func(c net.Conn, head string) {
			write(c, []byte(head))
			for rest := body[1:]; len(rest) > 0; time.Sleep(20 * time.Millisecond) {
				n := min(len(rest), 8<<10)
				if !write(c, rest[:n]) {
					return
				}
				rest = rest[n:]
			}
		}},
		{"complete bodies", withLength, func(c net.Conn, head string) {
			write(c, append([]byte(head), body...))
		}},
		{"large chunks", chunked, func(c net.Conn, head string) {
			write(c, []byte(head))
			chunk := append([]byte("ffff\r\n"), append(body[:0xffff:0xffff], "\r\n"...)...)
			for range 4 {
				if !write(c, chunk) {
					return
				}
			}
		}},
		{"chunks of one byte", chunked, func(c net.Conn, head string) {
			write(c, append([]byte(head), bytes.Repeat([]byte("1\r\nb\r\n"), bodyBytes-1)...))
		}},
		{"small bodies", "Content-Length: 2048\r\n", func(c net.Conn, head string) {
			write(c, append([]byte(head), body[:2047]...))
		}},
		{"heads without an end", "", func(c net.Conn, head string) {
			write(c, []byte(strings.TrimSuffix(head, "\r\n")+"X-A: "+strings.Repeat("a", 12<<10)))
		}},
		{"unused connections", "", func(net.Conn, string) {}},
		{"answers that are not read", "Content-Length: 0\r\n", func(c net.Conn, head string) {
			_ = c.(*net.TCPConn).SetReadBuffer(4 << 10)
			write(c, []byte(head))
		}},
		{"pipelined requests whose answers are not read", "Content-Length: 0\r\n", func(c net.Conn, head string) {
			_ = c.(*net.TCPConn).SetReadBuffer(4 << 10)
			write(c, []byte(strings.Repeat(head, 100)))
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			p := startProcess(t)
			leave := p.crowd(tt.lines, tt.run)
			p.check("beside the crowd")
			leave()
			p.check("after the crowd")
			if status, err := p.request("POST", bodyBytes); err != nil || status != http.StatusOK {
				t.Errorf("after the crowd: a request with the largest body got status %d, %v", status, err)
			}
		})
	}
}

// TestLastLinesAreLogged guards against an exit before the lines on the stop are
// written.
func TestLastLinesAreLogged(t *testing.T) {
	for range 5 {
		p := startProcess(t)
		is.New(t).NoErr(p.cmd.Process.Signal(syscall.SIGTERM))
		<-p.exited
		if !strings.Contains(p.log.String(), `"msg":"host stopped"`) {
			t.Error("the log does not say that the host has stopped")
		}
	}
}

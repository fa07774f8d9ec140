// Command figmast-fake runs the fakes of the external systems as separate
// processes: the platform, and backend servers.
package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/alexflint/go-arg"

	"github.com/figmast/figmast/internal/fake"
)

type platformArgs struct {
	Listen string `arg:"required" help:"IP number and port to listen on"`
}

type backendArgs struct {
	Servers []string `arg:"positional,required" help:"backend servers, each as ID=IP:PORT"`
}

type args struct {
	Platform *platformArgs `arg:"subcommand:platform" help:"run a fake configuration service with the host list"`
	Backend  *backendArgs  `arg:"subcommand:backend" help:"run fake backend servers"`
}

func main() {
	var a args
	p := arg.MustParse(&a)
	var err error
	switch {
	case a.Platform != nil:
		err = serve(a.Platform.Listen, fake.NewPlatform())
	case a.Backend != nil:
		err = serveBackends(a.Backend.Servers)
	default:
		p.Fail("platform or backend is needed")
	}
	fmt.Fprintln(os.Stderr, err)
	os.Exit(1)
}

func serveBackends(servers []string) error {
	failed := make(chan error, len(servers))
	for _, s := range servers {
		id, address, ok := strings.Cut(s, "=")
		if !ok {
			return fmt.Errorf("%q is not ID=IP:PORT", s)
		}
		go func() { failed <- serve(address, fake.NewBackend(id)) }()
	}
	return <-failed
}

func serve(address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	p := new(http.Protocols)
	p.SetHTTP1(true)
	p.SetUnencryptedHTTP2(true)
	s := &http.Server{Handler: h, Protocols: p, ReadHeaderTimeout: 5 * time.Second}
	return s.Serve(l)
}

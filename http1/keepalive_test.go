package http1

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"
)

// TestShortSilenceBreaksNoCall guards against a connection being given up because
// its path was silent for less than three keep-alive probes: TCP_USER_TIMEOUT also
// decides when the probes give up, whatever their count.
func TestShortSilenceBreaksNoCall(t *testing.T) {
	const minProbes = 3
	is := is.New(t)
	endpoint := serve(t, func(_ int, c *net.TCPConn) { _ = c.Close() })
	c, err := newPool().dial(context.Background(), endpoint)
	is.NoErr(err)
	defer c.Close()
	option := func(name int) (value int) {
		raw, err := c.SyscallConn()
		is.NoErr(err)
		is.NoErr(raw.Control(func(fd uintptr) { value, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, name) }))
		is.NoErr(err)
		return value
	}
	idle := time.Duration(option(unix.TCP_KEEPIDLE)) * time.Second
	interval := time.Duration(option(unix.TCP_KEEPINTVL)) * time.Second
	is.True(option(unix.TCP_KEEPCNT) >= minProbes)
	is.True(time.Duration(option(unix.TCP_USER_TIMEOUT))*time.Millisecond >= idle+minProbes*interval)
}

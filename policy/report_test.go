package policy

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestColdServersAreReported(t *testing.T) {
	is := is.New(t)
	doc := shape{servers: 3, connections: 200, centres: 3}.doc()
	doc.DataCentresOut = []string{"dc2"}
	r := routers(1, 3, Options{}, doc)[0]
	for _, id := range []string{"s0-1", "s0-2"} {
		srv := r.server("svc", "leaf0", id)
		srv.warmUp.markCold(r.last, srv)
	}
	got := r.ColdServers(epoch.Add(time.Second))
	is.Equal(len(got), 1) // a server whose data centre is out is not reported
	is.Equal(got[0].ID, "s0-1")
	is.Equal(got[0].Level, doc.ColdStart.Allowance)
	is.True(got[0].For > 0)
}

package soak

import (
	"context"
	"os/exec"
	"path/filepath"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
)

// seeds are run by TestSeeds: a first one, and every seed that ever failed, with
// the cause.
var seeds = []uint64{
	1,
	402,  // a host that shut down exited while a request waited for a silent server
	9703, // servers got up to twice the requests that they had named as their limit; see docs/incidents/limit.md
	9811, // the check counted rejections that a fault of the link had kept from the host
	2022, // two calls reached a service that the configuration no longer named; cause unknown
}

// crashSeeds are run with a request that crashes servers, on many hosts and with
// little other load.
var crashSeeds = []uint64{
	7012, // a request that had crashed three servers reached 72 more; see docs/incidents/budget.md
}

// firstThirdOctet is the third octet of the host addresses in the first run; each
// further run uses the next one.
const firstThirdOctet = 200

func TestSeeds(t *testing.T) {
	dir := t.TempDir()
	program := filepath.Join(dir, "figmast-gateway")
	out, err := exec.Command("go", "build", "-o", program, "../cmd/figmast-gateway").CombinedOutput()
	if err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	var runs []Options
	for _, seed := range seeds {
		runs = append(runs, Options{Seed: seed, Duration: 8 * time.Second, Hosts: 4, Clients: 8})
	}
	for _, seed := range crashSeeds {
		runs = append(runs, Options{Seed: seed, Duration: 25 * time.Second, Hosts: 9, Clients: 1, ServersPerService: 12, CrashRequests: true})
	}
	for i, o := range runs {
		o.Program, o.Dir, o.ThirdOctet = program, dir, firstThirdOctet+i
		t.Run(strconv.FormatUint(o.Seed, 10), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			r, err := Run(context.Background(), o)
			is.NoErr(err)
			for _, f := range r.Faults {
				t.Error(f)
			}
			is.True(r.Served > r.Requests/2) // enough requests were served for the checks to mean something
			t.Logf("%+v", r)
		})
	}
}

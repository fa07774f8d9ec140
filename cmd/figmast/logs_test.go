package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const gatewayLog = `a line of the runtime
{"time":"T1","level":"info","msg":"configuration in force","host":"h1","version":6,"revision":85}
{"time":"T2","level":"info","msg":"server removed","host":"h1","server":"i-9","service":"s"}
{"time":"T3","level":"info","msg":"server removed","host":"h1","server":"i-1","service":"s"}
{"time":"T4","level":"info","msg":"request","host":"h1","request":"r1","route":"one","config":6,"view_age_ms":12,"status":502,"took_ms":8,"reason":"broken: EOF","decisions":"s at i-1: broken: EOF after 4ms; s: lost, broken: EOF"}
{"time":"T4","level":"info","msg":"request refused","host":"h1","content":"c7","servers":["i-9"]}
{"time":"T4","level":"info","msg":"server ended under a request","host":"h1","content":"c8","server":"i-8"}
{"time":"T5","level":"info","msg":"request","host":"h1","request":"r4","route":"one","status":503,"reason":"the request has crashed 3 servers","content":"c7"}
{"time":"T5","level":"info","msg":"request","host":"h1","request":"r2","route":"one","config":6,"status":200}
`

func TestExplainFromLogs(t *testing.T) {
	is := is.New(t)
	name := filepath.Join(t.TempDir(), "h1.log")
	is.NoErr(os.WriteFile(name, []byte(gatewayLog), 0o600))
	out, err := invoke(t, "explain", "r1", "--log", name)
	is.NoErr(err)
	for _, want := range []string{
		"request r1 at h1: status 502 after 8 ms", "configuration 6", "12 ms before", "- s at i-1: broken: EOF after 4ms",
		`"msg":"configuration in force"`, `"server":"i-1"`,
	} {
		is.True(strings.Contains(out, want))
	}
	is.True(!strings.Contains(out, "i-9")) // not named by the request's decisions
	out, err = invoke(t, "explain", "r4", "--log", name)
	is.NoErr(err)
	is.True(strings.Contains(out, `"servers":["i-9"]`)) // same content
	is.True(!strings.Contains(out, `"server":"i-8"`))   // other content
	out, err = invoke(t, "--json", "explain", "r2", "--log", name)
	is.NoErr(err)
	is.True(strings.Contains(out, `"status": 200`))
	_, err = invoke(t, "explain", "r3", "--log", name)
	is.True(err != nil)
	_, err = invoke(t, "explain", "r1", "--log", name+".missing")
	is.True(err != nil)
	_, err = invoke(t, "explain", "r1")
	is.True(err != nil) // neither --log nor --ops
}

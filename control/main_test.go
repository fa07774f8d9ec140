package control

import (
	"flag"
	"os"
	"testing"
)

// TestMain runs a fixed set of schedules; -rapid.seed and -rapid.checks ask
// for others.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "60"} {
		if err := flag.Set(name, value); err != nil {
			panic(err) // rapid has these flags
		}
	}
	os.Exit(m.Run())
}

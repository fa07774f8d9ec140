package control

import (
	"flag"
	"os"
	"testing"
)

// TestMain makes generated tests reproducible: it sets a fixed seed and number
// of checks unless -rapid.seed and -rapid.checks are given.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "60"} {
		if err := flag.Set(name, value); err != nil {
			panic(err) // cannot happen: package rapid defines these flags
		}
	}
	os.Exit(m.Run())
}

package sample

import (
	"flag"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"github.com/figmast/figmast/document"
)

var update = flag.Bool("update", false, "write the generated documents to docs/samples")

// TestSamples checks that docs/samples holds the documents that this package
// generates, and that they have the specified sizes.
func TestSamples(t *testing.T) {
	wantSizes := map[string]struct{ leaves, slots, connections int }{
		"route-app-1":     {3, 6, 50},
		"member-portal-1": {3, 6, 50},
		"billing":         {35, 3, 110},
		"scheduling":      {20, 3, 110},
		"counter-desk-1":  {3, 3, 30},
		"bench-board-1":   {3, 3, 30},
		"courier":         {20, 3, 40},
		"invoicing":       {10, 3, 40},
	}
	is := is.New(t)
	is.Equal(len(Shapes()), len(wantSizes))
	for _, s := range Shapes() {
		t.Run(s.Service, func(t *testing.T) {
			is := is.New(t)
			file := filepath.Join("..", "..", "docs", "samples", s.Service+".yaml")
			want := s.Document(DocumentParams{Version: 1, Snapshot: "index-1"}, s.Address)
			if *update {
				is.NoErr(os.WriteFile(file, want, 0o644))
			}
			got, err := os.ReadFile(file)
			is.NoErr(err)
			is.Equal(string(got), string(want))
			doc, err := document.Parse(got)
			is.NoErr(err)
			size := wantSizes[s.Service]
			is.Equal(len(doc.Leaves), size.leaves)
			for _, l := range doc.Leaves {
				is.Equal(l.Slots, size.slots)
				is.Equal(len(l.Servers), size.slots)
				is.Equal(l.Connections, size.connections)
			}
		})
	}
}

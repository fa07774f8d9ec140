package report

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
)

const smallReport = `{"windows": [
	{"name": "0", "n": 100, "late": 5, "refused": 2, "failed": 1, "worth": 0.95},
	{"name": "2", "n": 0, "worth": 0}],
	"events": [{"at_s": 1.5, "to_s": 0, "kind": "burst"}, {"at_s": 0.5, "to_s": 1.75, "kind": "reload"}]}`

func TestRead(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "day.json")
	is.NoErr(os.WriteFile(path, []byte(smallReport), 0o600))
	r, err := Read(path)
	is.NoErr(err)
	is.Equal(r.Windows, []Window{{From: 0, Requests: 100, Late: 5, Refused: 2, Failed: 1, Worth: 0.95}, {From: 2}})
	is.Equal(r.Events, []Event{{From: 1.5, To: 1.5, Name: "burst"}, {From: 0.5, To: 1.75, Name: "reload"}})
}

func TestReadRejects(t *testing.T) {
	for name, text := range map[string]string{
		"invalid JSON": "x", "no windows": `{"events": []}`, "a window name that is not a number": `{"windows": [{"name": "early"}]}`,
	} {
		t.Run(name, func(t *testing.T) {
			_, err := decode([]byte(text))
			is.New(t).True(err != nil)
		})
	}
	_, err := Read(filepath.Join(t.TempDir(), "none.json"))
	is.New(t).True(os.IsNotExist(err))
}

func TestPlot(t *testing.T) {
	is := is.New(t)
	r, err := decode([]byte(smallReport))
	is.NoErr(err)
	file := filepath.Join(t.TempDir(), "day.svg")
	is.NoErr(Plot(r, "a small day", file))
	b, err := os.ReadFile(file)
	is.NoErr(err)
	for _, text := range []string{"a small day", "worth", "refused", "burst", "reload"} {
		is.True(bytes.Contains(b, []byte(text)))
	}
	is.True(Plot(r, "x", filepath.Join(t.TempDir(), "day.unknown")) != nil)
}

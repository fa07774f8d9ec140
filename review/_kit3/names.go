package main

import (
	_ "embed"
	"encoding/json"

	"github.com/figmast/figmast/platform"
)

// headers holds the names of the platform's headers.
var headers = platform.Headers()

//go:embed names.json
var namesFile []byte

// names holds the platform's other names that the stand-ins need.
var names = func() (n struct {
	Settings, Range, Watch, Prefix, Revision, Era, Config, Evacuation string
}) {
	if err := json.Unmarshal(namesFile, &n); err != nil {
		panic(err) // the file is part of the program
	}
	return n
}()

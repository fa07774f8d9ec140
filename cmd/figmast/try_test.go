package main

import (
	"bytes"
	"context"
	"encoding/json"
	"testing"

	"github.com/matryer/is"
)

func TestTry(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	is.NoErr((&tryArgs{}).run(context.Background(), &printer{w: &out, json: true}))
	var steps []step
	is.NoErr(json.Unmarshal(out.Bytes(), &steps))
	is.Equal(len(steps), 9)
	is.Equal(steps[len(steps)-1].Step, "stop")
}

package view

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/figmast/figmast/document"
)

func TestMayCall(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	doc := &document.Service{DataCentresOut: []string{"dc-1"}, Leaves: []document.Leaf{{Name: "l", Servers: []document.Server{
		{ID: "good", DataCentre: "dc-0"}, {ID: "out", DataCentre: "dc-1"}, {ID: "leaving", DataCentre: "dc-0", Leaving: true},
	}}}}
	v := &View{Services: map[string]*document.Service{"s": doc}, ValidUntil: now.Add(time.Second)}
	is.True(v.MayCall(now, "s", "l", "good"))
	is.True(!v.MayCall(now, "s", "l", "out"))
	is.True(!v.MayCall(now, "s", "l", "leaving"))
	is.True(!v.MayCall(now, "s", "l", "removed"))
	is.True(!v.MayCall(now, "s", "m", "good"))
	is.True(!v.MayCall(now, "t", "l", "good"))
	is.True(!v.MayCall(now.Add(time.Second), "s", "l", "good")) // at ValidUntil
	is.True(!(*View)(nil).MayCall(now, "s", "l", "good"))
}

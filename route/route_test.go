package route

import (
	"testing"

	"github.com/matryer/is"
)

func TestMatch(t *testing.T) {
	c := &Config{Routes: []Route{
		{Name: "all", Host: "a.example", Prefix: "/"},
		{Name: "x", Host: "a.example", Prefix: "/x/"},
		{Name: "xy", Host: "A.example", Prefix: "/x/y/"},
		{Name: "b", Host: "b.example", Prefix: "/x/"},
	}}
	c.Index()
	for _, tt := range []struct{ host, path, want string }{
		{"a.example", "/", "all"},
		{"a.example", "/x", "all"},
		{"a.example", "/x/1", "x"},
		{"a.example:8080", "/x/y/1", "xy"},
		{"A.EXAMPLE", "/x/y/", "xy"},
		{"b.example", "/x/y/", "b"},
		{"b.example", "/y/", ""},
		{"c.example", "/x/", ""},
		{"a.example", "//x/", "all"},
	} {
		t.Run(tt.host+tt.path, func(t *testing.T) {
			is := is.New(t)
			got := ""
			if r := c.Match(tt.host, tt.path); r != nil {
				got = r.Name
			}
			is.Equal(got, tt.want)
		})
	}
}

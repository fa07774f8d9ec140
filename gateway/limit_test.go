package gateway

import (
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/figmast/figmast/http1"
	"github.com/figmast/figmast/route"
)

// TestRequestLimitHeader covers how the header with a server's request limit is
// interpreted.
func TestRequestLimitHeader(t *testing.T) {
	for _, c := range []struct {
		name    string
		status  int
		values  []string
		want    route.RequestLimit
		invalid string
	}{
		{"none", 200, nil, route.NoLimit, ""},
		{"none, rejected", 503, nil, route.NoLimit, ""},
		{"a number", 200, []string{"36"}, route.LimitedTo(36), ""},
		{"a fraction", 200, []string{" 0.2 "}, route.LimitedTo(0.2), ""},
		{"with a failure", 500, []string{"4.5"}, route.LimitedTo(4.5), ""},
		{"with a rejection", 503, []string{"4.5"}, route.LimitedTo(4.5), ""},
		{"another server at the address", 421, []string{"4.5"}, route.RequestLimit{}, ""},
		{"another server without a limit", 421, nil, route.RequestLimit{}, ""},
		{"zero", 200, []string{"0"}, route.LimitedTo(0), ""},
		{"tiny", 200, []string{"1e-9"}, route.LimitedTo(1e-9), ""},
		{"huge", 200, []string{"1e9"}, route.LimitedTo(1e9), ""},
		{"empty", 200, []string{""}, route.RequestLimit{}, `""`},
		{"negative", 200, []string{"-1"}, route.RequestLimit{}, `"-1"`},
		{"not a number", 200, []string{"NaN"}, route.RequestLimit{}, `"NaN"`},
		{"infinite", 200, []string{"+Inf"}, route.RequestLimit{}, `"+Inf"`},
		{"words", 200, []string{"ten a second"}, route.RequestLimit{}, `"ten a second"`},
		{"two", 200, []string{"30", "20"}, route.LimitedTo(20), ""},
		{"two, one of them invalid", 200, []string{"30", "x"}, route.LimitedTo(30), `"x"`},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := &runner{headers: testHeaders}
			header := http.Header{"X-Sign": {"s"}}
			if c.values != nil {
				header["X-Limit"] = c.values
			}
			got := r.newReply(&http1.Response{Status: c.status, Header: header}, http1.Done, nil)
			is.Equal(got.Limit, c.want)
			is.Equal(got.InvalidLimit, c.invalid)
		})
	}
}

// TestServerWithARequestLimit: the only server of a service names a limit. Callers
// beyond it are refused at once with a Retry-After, and the header of the server is
// not passed on.
func TestServerWithARequestLimit(t *testing.T) {
	is := is.New(t)
	b := newBackend(t)
	g := newTestGateway(t, b)
	resp, _ := g.send(t, "GET /p/limit"+get+"\r\n")
	is.Equal(resp.StatusCode, 200)
	is.Equal(resp.Header.Get("X-Limit"), "")
	for range 5 {
		is.True(g.sendRefused(t, "/p/limit") > 0.5)
	}
	is.Equal(len(b.heads), 1)
}

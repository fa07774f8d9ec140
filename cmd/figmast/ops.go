package main

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"net/url"
	"strings"
	"sync"
)

// addresses is a list of IP:PORT pairs, separated by commas on the command line.
type addresses []string

// UnmarshalText splits the list at commas.
func (a *addresses) UnmarshalText(b []byte) error {
	*a = strings.Split(string(b), ",")
	return nil
}

// opsArgs holds the flag for the operators' addresses of hosts.
type opsArgs struct {
	Ops addresses `arg:"--ops,env:FIGMAST_OPS" placeholder:"IP:PORT,..." help:"operators' addresses of the hosts, separated by commas"`
}

// check validates the addresses and returns all errors joined.
func (a opsArgs) check() error {
	if len(a.Ops) == 0 {
		return errors.New("--ops or FIGMAST_OPS: no host given")
	}
	return checkAddresses("--ops", a.Ops)
}

func checkAddresses(flag string, list []string) error {
	var errs []error
	for _, s := range list {
		if _, err := netip.ParseAddrPort(s); err != nil {
			errs = append(errs, fmt.Errorf("%s: %q is not an IP number and port", flag, s))
		}
	}
	return errors.Join(errs...)
}

// reply is the answer of one host, or the error of the call.
type reply[T any] struct {
	address string
	value   T
	err     error
}

// getAll sends a GET request to all hosts concurrently. The replies are in the
// order of the list.
func getAll[T any](ctx context.Context, list []string, path string) []reply[T] {
	return getEach[T](ctx, list, path, func(string) url.Values { return nil })
}

// getEach is getAll with separate URL parameters for each host.
func getEach[T any](ctx context.Context, list []string, path string, query func(address string) url.Values) []reply[T] {
	replies := make([]reply[T], len(list))
	var wg sync.WaitGroup
	for i, a := range list {
		u := url.URL{Scheme: "http", Host: a, Path: path, RawQuery: query(a).Encode()}
		wg.Add(1)
		go func() {
			defer wg.Done()
			r := &replies[i]
			r.address = a
			r.err = get(ctx, u.String(), &r.value)
		}()
	}
	wg.Wait()
	return replies
}

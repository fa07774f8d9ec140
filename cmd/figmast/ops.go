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

// addresses are IP numbers and ports, separated by commas on the command line.
type addresses []string

// UnmarshalText splits the list.
func (a *addresses) UnmarshalText(b []byte) error {
	*a = strings.Split(string(b), ",")
	return nil
}

// opsArgs name the hosts that an operator asks.
type opsArgs struct {
	Ops addresses `arg:"--ops,env:FIGMAST_OPS" placeholder:"IP:PORT,..." help:"operators' addresses of the hosts, separated by commas"`
}

// check returns every fault of the addresses.
func (a opsArgs) check() error {
	if len(a.Ops) == 0 {
		return errors.New("--ops or FIGMAST_OPS: no host given")
	}
	return checkAddresses("--ops", a.Ops)
}

func checkAddresses(flag string, list []string) error {
	var faults []error
	for _, s := range list {
		if _, err := netip.ParseAddrPort(s); err != nil {
			faults = append(faults, fmt.Errorf("%s: %q is not an IP number and port", flag, s))
		}
	}
	return errors.Join(faults...)
}

// reply is what one host answered.
type reply[T any] struct {
	address string
	value   T
	err     error
}

// askAll asks every host at once; the replies stand in the hosts' order.
func askAll[T any](ctx context.Context, list []string, path string) []reply[T] {
	return askEach[T](ctx, list, path, func(string) url.Values { return nil })
}

// askEach is askAll with a query of its own for each host.
func askEach[T any](ctx context.Context, list []string, path string, query func(address string) url.Values) []reply[T] {
	replies := make([]reply[T], len(list))
	var asking sync.WaitGroup
	for i, a := range list {
		u := url.URL{Scheme: "http", Host: a, Path: path, RawQuery: query(a).Encode()}
		asking.Add(1)
		go func() {
			defer asking.Done()
			r := &replies[i]
			r.address = a
			r.err = get(ctx, u.String(), &r.value)
		}()
	}
	asking.Wait()
	return replies
}

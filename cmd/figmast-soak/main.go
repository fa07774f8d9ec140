// Command figmast-soak runs hosts as processes on loopback, injects faults
// generated from a seed, and checks the guarantees from what clients and
// backend servers observe.
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/alexflint/go-arg"

	"github.com/figmast/figmast/soak"
)

type options struct {
	Program        string        `arg:"--program" default:"target/figmast-gateway" help:"path of figmast-gateway"`
	Dir            string        `arg:"--dir" help:"directory for logs; a new temporary directory if not given"`
	Seed           uint64        `arg:"--seed" default:"1" help:"first seed"`
	Seeds          int           `arg:"--seeds" default:"1" help:"number of consecutive seeds to run, one after the other"`
	For            time.Duration `arg:"--for" default:"20s" help:"how long to inject faults for each seed"`
	Hosts          int           `arg:"--hosts" default:"6" help:"number of hosts"`
	Clients        int           `arg:"--clients" default:"12" help:"number of clients"`
	Servers        int           `arg:"--servers" default:"3" help:"number of backend servers of each service at the start"`
	WithoutCrashes bool          `arg:"--without-crashes" help:"send no requests that crash the servers that run them"`
	Net            int           `arg:"--net" default:"1" help:"third octet of the hosts' loopback addresses; must differ between concurrent runs"`
}

// Description implements arg.Described.
func (options) Description() string {
	return "figmast-soak runs hosts as processes on loopback and injects faults generated from a seed."
}

func main() {
	var o options
	arg.MustParse(&o)
	if o.Dir == "" {
		dir, err := os.MkdirTemp("", "figmast-soak")
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		o.Dir = dir
	}
	hasViolation := false
	for seed := o.Seed; seed < o.Seed+uint64(o.Seeds); seed++ {
		r, err := soak.Run(context.Background(), soak.Options{
			Program: o.Program, Dir: o.Dir, Seed: seed, Duration: o.For, Hosts: o.Hosts, Clients: o.Clients, ThirdOctet: o.Net, CrashRequests: !o.WithoutCrashes, ServersPerService: o.Servers,
		})
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		fmt.Printf("seed %d: %d requests, %d served, %d refused, %d failed, %d unanswered, stalled %v, %d guarantees violated\n",
			seed, r.Requests, r.Served, r.Refused, r.Failed, r.Unanswered, r.Stalled.Round(time.Millisecond), len(r.Faults))
		for _, f := range r.Faults[:min(len(r.Faults), 20)] {
			fmt.Println("  " + f)
		}
		hasViolation = hasViolation || len(r.Faults) > 0
	}
	if hasViolation {
		fmt.Println("logs in " + o.Dir)
		os.Exit(1)
	}
}

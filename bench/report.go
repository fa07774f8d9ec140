package bench

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"runtime"
	"sync"
	"time"
)

// Defaults of the runs in the table. The load is a share of the capacity of all
// backend servers.
const (
	ordinaryLoad = 0.4
	runLength    = 11 * time.Second
)

// Workloads lists the workloads in table order.
var Workloads = []Workload{PineHollow, Strapwell}

// Policies lists the policies in table order.
var Policies = []Policy{Figmast, RandomReplica, FixedHedge}

// Suite returns the configuration of every run in the table.
func Suite(seed uint64) []Config {
	var all []Config
	add := func(w Workload, faults []Fault) {
		for _, p := range Policies {
			all = append(all, Config{Workload: w, Policy: p, Faults: faults, Seed: seed, Load: ordinaryLoad, Length: runLength})
		}
	}
	add(Wide, nil)
	add(Wide, []Fault{Stragglers})
	for _, w := range Workloads {
		for _, faults := range FaultCases {
			add(w, faults)
		}
	}
	return all
}

// RunAll executes runs in parallel and returns the results in the order of the
// configurations.
func RunAll(configs []Config) []Result {
	results := make([]Result, len(configs))
	slots := make(chan struct{}, max(runtime.GOMAXPROCS(0)/2, 1))
	var running sync.WaitGroup
	for i, c := range configs {
		running.Add(1)
		slots <- struct{}{}
		go func() {
			defer running.Done()
			results[i] = Run(c)
			<-slots
		}()
	}
	running.Wait()
	return results
}

// WriteJSON writes the results as a JSON array.
func WriteJSON(w io.Writer, results []Result) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", " ")
	return enc.Encode(results)
}

// WriteTable writes the results as a Markdown table.
func WriteTable(w io.Writer, results []Result) error {
	head := "| workload | fault | policy | p50 ms | p99 ms | p99.9 ms | coverage | extra load | worth | urgent | goodput | late calls | cold excess | crashes | untrue | commands answered | doubled |\n" +
		"|---|---|---|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|\n"
	if _, err := io.WriteString(w, head); err != nil {
		return err
	}
	for _, r := range results {
		_, err := fmt.Fprintf(w, "| %s | %s | %s | %.1f | %.1f | %.1f | %s | %.1f%% | %s | %s | %.1f%% | %d | %d | %d | %d | %s | %d |\n",
			r.Workload, r.Fault, r.Policy, r.P50, r.P99, r.P999, formatPercent(r.Coverage), 100*r.Extra,
			formatPercent(r.Worth), formatPercent(r.Urgent), 100*r.Goodput, r.LateCalls, r.ColdExcess, r.Crashes, r.Untrue,
			formatPercent(float64(r.CommandsAnswered)/float64(max(r.Commands, 1))), r.Doubled)
		if err != nil {
			return err
		}
	}
	return nil
}

// formatPercent formats a share as a percentage, rounded down so that 100.00%
// means all.
func formatPercent(x float64) string {
	return fmt.Sprintf("%.2f%%", math.Floor(x*10_000)/100)
}

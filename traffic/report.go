package traffic

import "github.com/figmast/figmast/policy"

// Report is a summary for operators of what is in progress.
type Report struct {
	// Queries and Commands count the requests in progress. Commands include
	// those whose callers have disconnected.
	Queries  int
	Commands int
	// Calls counts the leaf calls in progress.
	Calls int
	Cold  []policy.ColdServer
}

// Report returns what is in progress and which backend servers are in cold start.
func (r *Runner) Report() Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Report{
		Queries: len(r.queries), Commands: len(r.commands), Calls: len(r.calls),
		Cold: r.opts.Router.ColdServers(r.opts.Clock()),
	}
}

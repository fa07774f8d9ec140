package traffic

import "github.com/figmast/figmast/policy"

// Report is what operators ask of the decisions.
type Report struct {
	// Queries and Commands are in progress; of commands those are counted
	// whose callers wait or went away.
	Queries  int
	Commands int
	// Calls are leaf calls in progress.
	Calls int
	Cold  []policy.ColdServer
}

// Report tells what is in progress and which backend servers are cold.
func (r *Runner) Report() Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Report{
		Queries: len(r.queries), Commands: len(r.commands), Calls: len(r.calls),
		Cold: r.opts.Router.ColdServers(r.opts.Clock()),
	}
}

// Package backend makes calls to backend servers over HTTP. It keeps as many
// connections as the policy grants this host, opened in advance, and reports for
// each call whether any byte of it may have been sent.
package backend

// Paths and headers of the backend servers' HTTP interface. A server echoes
// HeaderAttempt, HeaderLeaf and HeaderSnapshot; a response that does not is
// never used.
const (
	PathQuery   = "/v1/leaf/query"
	PathCommand = "/v1/leaf/command"

	HeaderAttempt   = "Figmast-Attempt"
	HeaderService   = "Figmast-Service"
	HeaderLeaf      = "Figmast-Leaf"
	HeaderSnapshot  = "Figmast-Snapshot"
	HeaderOperation = "Figmast-Operation"
	HeaderDeadline  = "Figmast-Deadline-Ms"
	// HeaderState is "cold" on responses of a server in cold start.
	HeaderState = "Figmast-State"
	// HeaderOutcome is "not_run" on responses to calls that did not run.
	HeaderOutcome = "Figmast-Outcome"

	StateCold = "cold"
)

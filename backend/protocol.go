// Package backend calls backend servers over HTTP. It keeps the connections
// that the policy allows this host, opened ahead of need, and reports for
// each call whether a byte of it may have left.
package backend

// Paths and headers of the backend servers' HTTP interface. A server echoes
// HeaderAttempt, HeaderLeaf and HeaderSnapshot; an answer that does not is
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
	// HeaderState is "cold" on answers of a server in cold start.
	HeaderState = "Figmast-State"
	// HeaderOutcome is "not_run" on refusals that ran nothing.
	HeaderOutcome = "Figmast-Outcome"

	StateCold = "cold"
)

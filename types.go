// Package figmast is the Go client library of the query tier and the wire
// types that callers and hosts exchange as JSON over HTTP.
//
// A query reads from every leaf of a service and may be repeated. A command
// goes to one leaf and runs at most once.
package figmast

import (
	"encoding/json"
	"time"
)

// Urgency is the priority of a request when a host is short of capacity.
type Urgency string

// Urgencies, in the order in which they are served.
const (
	Urgent Urgency = "urgent"
	Normal Urgency = "normal"
	Bulk   Urgency = "bulk"
)

// Rank returns the position in the order of service, from 0 for Urgent. An unknown
// urgency ranks as Normal.
func (u Urgency) Rank() int {
	switch u {
	case Urgent:
		return 0
	case Bulk:
		return 2
	default:
		return 1
	}
}

// Outcome says whether a request ran.
type Outcome string

// Outcomes. NotRun is a guarantee that no backend server has run or will run the
// request. Unknown means that the request may or may not have run.
const (
	NotRun  Outcome = "not_run"
	Ran     Outcome = "ran"
	Unknown Outcome = "unknown"
)

// Header names of the caller interface.
const (
	// HeaderRequestID carries the caller's request id.
	HeaderRequestID = "Figmast-Request-Id"
	// HeaderDeadline carries the remaining time for the request in milliseconds.
	HeaderDeadline = "Figmast-Deadline-Ms"
	// HeaderHost names the host that answered.
	HeaderHost = "Figmast-Host"
)

// QueryRequest is a query to all leaves of a service. The deadline and the request
// id are in headers.
type QueryRequest struct {
	// Operation is the name of a query operation in the service's document.
	Operation string `json:"operation"`
	// Payload is passed to each leaf unchanged.
	Payload json.RawMessage `json:"payload,omitempty"`
	// Urgency defaults to the operation's urgency.
	Urgency Urgency `json:"urgency,omitempty"`
	// Worth is the value that an answer counts for; it defaults to the operation's.
	Worth float64 `json:"worth,omitempty"`
}

// LeafResult is one leaf's part of an answer.
type LeafResult struct {
	Leaf   string          `json:"leaf"`
	Result json.RawMessage `json:"result"`
}

// MissingLeaf names a leaf that an answer does not cover, and the reason.
type MissingLeaf struct {
	Leaf   string `json:"leaf"`
	Reason string `json:"reason"`
}

// QueryAnswer is the answer to a query. All results come from Snapshot.
type QueryAnswer struct {
	RequestID string `json:"request_id"`
	Service   string `json:"service"`
	// Snapshot and PartitionMap name the version of the index and the assignment
	// of its data to leaves that all results come from.
	Snapshot     string `json:"snapshot"`
	PartitionMap string `json:"partition_map"`
	// Coverage is the share of the snapshot's weight that Results cover, between
	// 0 and 1, rounded down to four digits.
	Coverage float64       `json:"coverage"`
	Results  []LeafResult  `json:"results"`
	Missing  []MissingLeaf `json:"missing,omitempty"`
	// DocumentVersion is the version of the service's document that was in force.
	DocumentVersion uint64 `json:"document_version"`
}

// TicketAnswer is a ticket for one command. Only the process that minted the ticket
// runs its command, and only before Expires.
type TicketAnswer struct {
	Ticket string `json:"ticket"`
	// Expires is the wall-clock time at which the ticket expires.
	Expires time.Time `json:"expires"`
	// LifetimeMs is the lifetime of the ticket in milliseconds, counted from when
	// the caller asked for it. It is for callers whose clock may be adjusted.
	LifetimeMs int64 `json:"lifetime_ms"`
}

// CommandRequest is a command to one leaf, which must not run more than once.
type CommandRequest struct {
	// Operation is the name of a command operation in the service's document.
	Operation string `json:"operation"`
	// ShardKey determines the leaf.
	ShardKey string `json:"shard_key"`
	// Ticket makes it safe to retry the command at any host; see
	// docs/design/command.md.
	Ticket string `json:"ticket,omitempty"`
	// Key is always refused, with the reason: a command with an idempotency key
	// but no ticket cannot be run at most once; see docs/design/command.md.
	Key string `json:"key,omitempty"`
	// Payload is passed to the leaf unchanged.
	Payload json.RawMessage `json:"payload,omitempty"`
	Urgency Urgency         `json:"urgency,omitempty"`
	Worth   float64         `json:"worth,omitempty"`
}

// CommandAnswer is the answer to a command that ran, with the result from the
// backend server.
type CommandAnswer struct {
	RequestID string          `json:"request_id"`
	Service   string          `json:"service"`
	Outcome   Outcome         `json:"outcome"`
	Leaf      string          `json:"leaf"`
	Server    string          `json:"server"`
	Result    json.RawMessage `json:"result,omitempty"`
}

// Problem describes why a request got no answer, in the format of RFC 9457.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	// RequestID is the id of the request. Step and Peer name the processing step
	// and the host or backend server at which the problem occurred.
	RequestID string `json:"request_id,omitempty"`
	Step      string `json:"step,omitempty"`
	Peer      string `json:"peer,omitempty"`
	// Field names the invalid input if Status is 4xx.
	Field string `json:"field,omitempty"`
	// Outcome says whether the request ran. For a command with a ticket it covers
	// all attempts with that ticket, at all hosts.
	Outcome Outcome `json:"outcome"`
	// Unhandled is set if this attempt of a command was not passed on and never
	// will be. If it is set for all attempts with a ticket, the command has not
	// run.
	Unhandled bool `json:"unhandled,omitempty"`
	// RetryAfterMs is the delay in milliseconds after which a retry may succeed;
	// 0 means that no retry will. The Retry-After header has it in whole seconds,
	// rounded up.
	RetryAfterMs int64 `json:"retry_after_ms,omitempty"`
	// Coverage is the coverage reached by a query that failed for lack of coverage.
	Coverage float64 `json:"coverage,omitempty"`

	// cause is the error that the client library encountered, or nil.
	cause error
}

// Unwrap returns the error that the client library encountered, which is that of
// the context, of the last attempt or of both, or nil.
func (p *Problem) Unwrap() error { return p.cause }

// Error formats the problem in one line.
func (p *Problem) Error() string {
	s := p.Title
	if p.Detail != "" {
		s += ": " + p.Detail
	}
	return s + " (outcome " + string(p.Outcome) + ")"
}

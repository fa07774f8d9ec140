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

// Urgency orders requests when a host is short of capacity.
type Urgency string

// Urgencies from first served to last served.
const (
	Urgent Urgency = "urgent"
	Normal Urgency = "normal"
	Bulk   Urgency = "bulk"
)

// Rank returns 0 for the urgency that is served first; an unknown urgency
// ranks as Normal.
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

// Outcome tells what became of a request that got no ordinary answer.
type Outcome string

// Outcomes. NotRun is a promise: no backend server has run or will run the
// request.
const (
	NotRun  Outcome = "not_run"
	Ran     Outcome = "ran"
	Unknown Outcome = "unknown"
)

// Header names of the caller interface.
const (
	// HeaderRequestID carries the caller's request id.
	HeaderRequestID = "Figmast-Request-Id"
	// HeaderDeadline carries the time left for the request in milliseconds.
	HeaderDeadline = "Figmast-Deadline-Ms"
	// HeaderHost names the host that answered.
	HeaderHost = "Figmast-Host"
)

// QueryRequest asks every leaf of a service. The deadline and the request id
// travel in headers.
type QueryRequest struct {
	// Operation is the name of a query operation in the service's document.
	Operation string `json:"operation"`
	// Payload is handed to each leaf unchanged.
	Payload json.RawMessage `json:"payload,omitempty"`
	// Urgency defaults to the operation's urgency.
	Urgency Urgency `json:"urgency,omitempty"`
	// Worth is what an answer is credited at; it defaults to the operation's.
	Worth float64 `json:"worth,omitempty"`
}

// LeafResult is one leaf's part of an answer.
type LeafResult struct {
	Leaf   string          `json:"leaf"`
	Result json.RawMessage `json:"result"`
}

// MissingLeaf names a leaf that an answer does not cover, and why.
type MissingLeaf struct {
	Leaf   string `json:"leaf"`
	Reason string `json:"reason"`
}

// QueryAnswer is the answer to a query. All results come from Snapshot.
type QueryAnswer struct {
	RequestID string `json:"request_id"`
	Service   string `json:"service"`
	// Snapshot and PartitionMap name the index version and the division of
	// the data over leaves that every result comes from.
	Snapshot     string `json:"snapshot"`
	PartitionMap string `json:"partition_map"`
	// Coverage is the share of the snapshot's weight that Results hold, in
	// 0 to 1, rounded down to four digits.
	Coverage float64       `json:"coverage"`
	Results  []LeafResult  `json:"results"`
	Missing  []MissingLeaf `json:"missing,omitempty"`
	// DocumentVersion is the version of the service's document in force.
	DocumentVersion uint64 `json:"document_version"`
}

// TicketAnswer is a ticket for one command. Only the process that minted the
// ticket runs it, and only before Expires.
type TicketAnswer struct {
	Ticket string `json:"ticket"`
	// Expires is until when the ticket may be used, on the wall clock.
	Expires time.Time `json:"expires"`
	// LifetimeMs is how long it may be used from when it was asked for, in
	// milliseconds, for callers whose clock may step.
	LifetimeMs int64 `json:"lifetime_ms"`
}

// CommandRequest asks one leaf to do something that may not be done twice.
type CommandRequest struct {
	// Operation is the name of a command operation in the service's document.
	Operation string `json:"operation"`
	// ShardKey chooses the leaf.
	ShardKey string `json:"shard_key"`
	// Ticket makes a resend through any host safe; see docs/design/command.md.
	Ticket string `json:"ticket,omitempty"`
	// Key is refused, with the reason: an idempotency key without a ticket
	// cannot be run at most once; see docs/design/command.md.
	Key string `json:"key,omitempty"`
	// Payload is handed to the leaf unchanged.
	Payload json.RawMessage `json:"payload,omitempty"`
	Urgency Urgency         `json:"urgency,omitempty"`
	Worth   float64         `json:"worth,omitempty"`
}

// CommandAnswer tells that a command ran, with the backend server's result.
type CommandAnswer struct {
	RequestID string          `json:"request_id"`
	Service   string          `json:"service"`
	Outcome   Outcome         `json:"outcome"`
	Leaf      string          `json:"leaf"`
	Server    string          `json:"server"`
	Result    json.RawMessage `json:"result,omitempty"`
}

// Problem is a refusal in the form of RFC 9457.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	// RequestID, Step and Peer tell where the refusal arose.
	RequestID string `json:"request_id,omitempty"`
	Step      string `json:"step,omitempty"`
	Peer      string `json:"peer,omitempty"`
	// Field names the input that a 4xx refuses.
	Field string `json:"field,omitempty"`
	// Outcome tells what became of the request; of a command with a ticket,
	// however often and through whichever hosts it was sent.
	Outcome Outcome `json:"outcome"`
	// Unhandled is set when this sending of a command was passed to nobody
	// and never will be. If all sendings of a ticket were answered so, the
	// command has not run.
	Unhandled bool `json:"unhandled,omitempty"`
	// RetryAfterMs is when coming back helps, in milliseconds; 0 means that
	// it does not. The Retry-After header holds it in whole seconds.
	RetryAfterMs int64 `json:"retry_after_ms,omitempty"`
	// Coverage is what had been gathered when a query fell short.
	Coverage float64 `json:"coverage,omitempty"`

	// cause is what the client library met.
	cause error
}

// Unwrap returns what the client library met: the error of the context or of
// the last host asked, or nil.
func (p *Problem) Unwrap() error { return p.cause }

// Error returns the problem in one line.
func (p *Problem) Error() string {
	s := p.Title
	if p.Detail != "" {
		s += ": " + p.Detail
	}
	return s + " (outcome " + string(p.Outcome) + ")"
}

// Package leafcall defines the messages between the decision engines and the
// transport that makes calls to backend servers, either directly or through the
// peer that holds the leaf's connections. It does no I/O.
package leafcall

import (
	"time"

	"github.com/figmast/figmast/policy"
	"github.com/figmast/figmast/view"
)

// ID identifies an attempt; a host never reuses an ID.
type ID uint64

// Send asks the transport to make a call.
type Send struct {
	ID     ID
	Server *policy.Server
	// Via is the host that holds the connections to Server; the zero Host means
	// this host.
	Via       view.Host
	RequestID string
	Operation string
	// Snapshot is the snapshot to answer from; it is empty for a command.
	Snapshot string
	Payload  []byte
	// Deadline is sent to the backend server as the remaining time.
	Deadline time.Time
	// Linger is how long the transport waits beyond Deadline for the answer to
	// a call that it has sent.
	Linger time.Duration
	// Command is set if the call must not be repeated: the transport sends it
	// at most once and never resends it on another connection.
	Command bool
	// Guard is called right before the first byte is written. If it returns
	// false, nothing is sent and the result is NotSent.
	Guard func(now time.Time) bool
}

// Cancel asks the transport to cancel a call.
type Cancel struct{ ID ID }

// Status is how a call ended.
type Status int

// Statuses of a call. Broken, Timeout and Cancelled leave open whether a backend
// server ran the call, but only if Result.Sent is set. Result.NotRun tells
// whether it is certain that none did.
const (
	OK           Status = iota
	Shed                // the server stated that it did not run the call
	SnapshotGone        // the server no longer has the snapshot; not run
	Rejected            // the server reported an error
	NotSent             // no byte left this host
	Broken              // the connection failed after bytes may have left
	Timeout             // the deadline passed
	Cancelled           // cancelled by this host
	Mismatch            // the answer belongs to another call
)

// Blame says which party a failure counts against.
type Blame int

// Parties of a failure. Only BlameServer says anything about the backend
// server.
const (
	BlameServer Blame = iota
	BlameSelf         // this host, or the host that holds the connections, did not or could not send
	BlameHolder       // the host that holds the connections could not be reached
)

// Result is how a call ended.
type Result struct {
	Status Status
	// Body is the body of an answer.
	Body []byte
	// Snapshot is the snapshot that the answer was taken from, according to the
	// server.
	Snapshot string
	// Cold is set if the server reported that it is in cold start.
	Cold bool
	// Sent is set if a byte of the call may have left this host.
	Sent bool
	// RetryAfter is how long the server asks to wait before the next call, or
	// 0.
	RetryAfter time.Duration
	// Blame says which party a failure counts against.
	Blame Blame
	// Err describes the cause, step and peer of a failure.
	Err error
}

// NotRun reports whether it is certain that no backend server ran the call.
func (r Result) NotRun() bool {
	return !r.Sent || r.Status == Shed || r.Status == SnapshotGone
}

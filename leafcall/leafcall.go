// Package leafcall holds the messages between the decisions and whatever
// carries a call to a backend server: directly, or through the peer that
// holds the leaf's connections. It does no I/O.
package leafcall

import (
	"time"

	"github.com/figmast/figmast/policy"
	"github.com/figmast/figmast/view"
)

// ID names one attempt; a host never uses one twice.
type ID uint64

// Send asks the carrier to make one call.
type Send struct {
	ID     ID
	Server *policy.Server
	// Via is the host that holds the connections to Server; the zero Host
	// means this one.
	Via       view.Host
	RequestID string
	Operation string
	// Snapshot to answer from; empty for a command.
	Snapshot string
	Payload  []byte
	// Deadline is handed to the backend server as the time left.
	Deadline time.Time
	// Linger is how much longer than Deadline the carrier waits for an answer
	// to what it has sent.
	Linger time.Duration
	// Command marks work that may not be repeated: the carrier sends it at
	// most once and never resends on another connection.
	Command bool
	// Guard is asked right before the first byte is written. If it returns
	// false, nothing is sent and the result is NotSent.
	Guard func(now time.Time) bool
}

// Cancel asks the carrier to give up a call.
type Cancel struct{ ID ID }

// Status is how a call ended.
type Status int

// Statuses. Only Broken, Timeout and Cancelled leave open whether a backend
// server ran the call, and then only if Result.Sent.
const (
	OK           Status = iota
	Shed                // the server said that it did not run the call
	SnapshotGone        // the server no longer has the snapshot; not run
	Rejected            // the server ran into an error and said so
	NotSent             // no byte left this host
	Broken              // the connection failed after bytes may have left
	Timeout             // the deadline passed
	Cancelled           // given up by this host
	Mismatch            // the answer belongs to another call
)

// Blame tells who a failure speaks of.
type Blame int

// Blames. Only BlameServer tells anything of the backend server.
const (
	BlameServer Blame = iota
	BlameSelf         // this host, or the holder, did not or could not send
	BlameHolder       // the holder could not be asked
)

// Result is how a call ended.
type Result struct {
	Status Status
	// Body of an answer.
	Body []byte
	// Snapshot that the answer says it comes from.
	Snapshot string
	// Cold is set when the server said that it is in cold start.
	Cold bool
	// Sent is set when a byte of the call may have left this host.
	Sent bool
	// RetryAfter is when the server wants to be asked again, or 0.
	RetryAfter time.Duration
	// Blame tells who a failure speaks of.
	Blame Blame
	// Err tells the cause, step and peer of a failure.
	Err error
}

// NotRun reports whether it is certain that no backend server ran the call.
func (r Result) NotRun() bool {
	return !r.Sent || r.Status == Shed || r.Status == SnapshotGone
}

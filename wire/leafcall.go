package wire

// LeafCall asks a peer to make a leaf call over the connections it holds.
type LeafCall struct {
	ID        uint64 `cbor:"1,keyasint"`
	Service   string `cbor:"2,keyasint"`
	Leaf      string `cbor:"3,keyasint"`
	Server    string `cbor:"4,keyasint"`
	RequestID string `cbor:"5,keyasint"`
	Operation string `cbor:"6,keyasint"`
	// Snapshot is the snapshot to answer from; it is empty for a command.
	Snapshot string `cbor:"7,keyasint,omitempty"`
	Payload  []byte `cbor:"8,keyasint,omitempty"`
	// Command is set for a command, which must be sent at most once.
	Command bool `cbor:"9,keyasint,omitempty"`
	// RemainingUs is the time left until the call's deadline, in microseconds.
	RemainingUs int64 `cbor:"10,keyasint"`
}

// LeafResult is the result of a LeafCall; Status is a leafcall.Status. Snapshot
// is the one that the backend server answered from.
type LeafResult struct {
	Status   int    `cbor:"1,keyasint"`
	Body     []byte `cbor:"2,keyasint,omitempty"`
	Snapshot string `cbor:"3,keyasint,omitempty"`
	// Cold is set if the backend server reported that it is in cold start.
	Cold bool `cbor:"4,keyasint,omitempty"`
	// Sent is set if a byte of the call may have left the peer.
	Sent bool `cbor:"5,keyasint,omitempty"`
	// RetryAfterUs is how long the backend server asks callers to wait before
	// a retry, in microseconds; 0 if it gave no hint.
	RetryAfterUs int64  `cbor:"6,keyasint,omitempty"`
	Error        string `cbor:"7,keyasint,omitempty"`
	// LocalFailure is set when the peer itself did not or could not send the
	// call, so the result says nothing about the backend server.
	LocalFailure bool `cbor:"8,keyasint,omitempty"`
}

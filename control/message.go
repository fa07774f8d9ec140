package control

// SyncRequest asks a peer for the configuration changes since a revision and
// for how recently the peer's table was confirmed to be current. It also
// carries the sender's gossip about hosts and crash suspects.
type SyncRequest struct {
	From Member `cbor:"1,keyasint"`
	// Revision and Hash identify the table that the sender holds.
	Revision int64  `cbor:"2,keyasint"`
	Hash     uint64 `cbor:"3,keyasint"`
	// HoldMs is how long the peer may hold the request, waiting for a change,
	// before it responds, in milliseconds.
	HoldMs uint32 `cbor:"4,keyasint,omitempty"`
	// Full requests the full digest instead of the changes.
	Full bool `cbor:"5,keyasint,omitempty"`
	// WantDocuments names the services whose documents are to be sent.
	WantDocuments []string `cbor:"6,keyasint,omitempty"`
	// WantAttestations requests AttestationAges.
	WantAttestations bool           `cbor:"7,keyasint,omitempty"`
	Members          []Member       `cbor:"8,keyasint,omitempty"`
	CrashSuspects    []CrashSuspect `cbor:"9,keyasint,omitempty"`
	// AgeMs is how long ago the sender's table was confirmed, in milliseconds.
	// The peer uses it only to decide whether to respond at once.
	AgeMs uint32 `cbor:"10,keyasint,omitempty"`
}

// SyncResponse answers a SyncRequest. Ages count back from the time at which it
// was written.
type SyncResponse struct {
	From     Member `cbor:"1,keyasint"`
	Revision int64  `cbor:"2,keyasint"`
	Hash     uint64 `cbor:"3,keyasint"`
	// HeldMs is how long the request was held, in milliseconds.
	HeldMs uint32 `cbor:"4,keyasint,omitempty"`
	// Confirmed is set when the platform is known to have held nothing newer
	// than Revision AgeMs milliseconds ago.
	Confirmed bool   `cbor:"5,keyasint,omitempty"`
	AgeMs     uint32 `cbor:"6,keyasint,omitempty"`
	// Full is set when Services and Hosts are the full digest; otherwise they
	// contain only the changes since the requester's revision.
	Full       bool            `cbor:"7,keyasint,omitempty"`
	Services   []ServiceDigest `cbor:"8,keyasint,omitempty"`
	Hosts      []HostDigest    `cbor:"9,keyasint,omitempty"`
	Tombstones []Tombstone     `cbor:"10,keyasint,omitempty"`
	// AttestationAges holds one byte for each host of the platform's host list,
	// in the order of IDs: how long ago the host attested that it held the same
	// table and had no fresh confirmation from the platform, in units of
	// attestationUnit, or unknownAge (255). It applies to Revision and Hash.
	AttestationAges []byte         `cbor:"11,keyasint,omitempty"`
	Members         []Member       `cbor:"12,keyasint,omitempty"`
	CrashSuspects   []CrashSuspect `cbor:"13,keyasint,omitempty"`
}

// ServiceDigest identifies the document that is in force for a service.
type ServiceDigest struct {
	Name       string     `cbor:"1,keyasint"`
	Precedence Precedence `cbor:"2,keyasint"`
	// Compressed is the compressed document, or empty if it was not requested
	// or did not fit.
	Compressed []byte `cbor:"3,keyasint,omitempty"`
}

// HostDigest is one entry of the platform's host list.
type HostDigest struct {
	ID       string `cbor:"1,keyasint"`
	Revision int64  `cbor:"2,keyasint"`
	// Refused is set when the published entry is invalid.
	Refused bool      `cbor:"3,keyasint,omitempty"`
	Entry   HostEntry `cbor:"4,keyasint"`
}

// Tombstone records that a key was removed at a revision.
type Tombstone struct {
	Key      string `cbor:"1,keyasint"`
	Revision int64  `cbor:"2,keyasint"`
}

// Member is what a host reports about itself, or what a peer passes on about
// it.
type Member struct {
	ID         string `cbor:"1,keyasint"`
	Address    string `cbor:"2,keyasint"`
	DataCentre string `cbor:"3,keyasint"`
	// Incarnation is the wall-clock time at which the process started, in
	// nanoseconds. Of two processes with the same ID, the one that started
	// later takes precedence.
	Incarnation int64 `cbor:"4,keyasint"`
	Leaving     bool  `cbor:"5,keyasint,omitempty"`
	// AgeMs is how long ago the host was last known to be alive, in
	// milliseconds.
	AgeMs uint32 `cbor:"6,keyasint,omitempty"`
}

// CrashSuspect is a request that is suspected of crashing backend servers.
type CrashSuspect struct {
	Service     string `cbor:"1,keyasint"`
	Fingerprint uint64 `cbor:"2,keyasint"`
	// RemainingMs is how long the suspicion remains in force, in milliseconds.
	RemainingMs uint32 `cbor:"3,keyasint"`
}

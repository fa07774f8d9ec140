package control

// SyncRequest is what a host asks a peer: what changed since a revision, and how
// recently the platform was heard.
type SyncRequest struct {
	From Member `cbor:"1,keyasint"`
	// Revision and Hash tell what the asker holds.
	Revision int64  `cbor:"2,keyasint"`
	Hash     uint64 `cbor:"3,keyasint"`
	// HoldMs is how long the peer may wait for a change before it answers, in
	// milliseconds.
	HoldMs uint32 `cbor:"4,keyasint,omitempty"`
	// Full asks for the whole digest instead of the changes.
	Full bool `cbor:"5,keyasint,omitempty"`
	// WantDocuments names services whose documents are to be sent.
	WantDocuments []string `cbor:"6,keyasint,omitempty"`
	// WantAttestations asks for the ages of the peer's witnesses.
	WantAttestations bool           `cbor:"7,keyasint,omitempty"`
	Members          []Member       `cbor:"8,keyasint,omitempty"`
	CrashSuspects    []CrashSuspect `cbor:"9,keyasint,omitempty"`
	// AgeMs is how long ago the asker's table was confirmed, in milliseconds.
	// It only tells the peer whether to answer at once.
	AgeMs uint32 `cbor:"10,keyasint,omitempty"`
}

// SyncResponse answers an Ask. Ages count back from when it was written.
type SyncResponse struct {
	From     Member `cbor:"1,keyasint"`
	Revision int64  `cbor:"2,keyasint"`
	Hash     uint64 `cbor:"3,keyasint"`
	// HeldMs is how long the answer was held, in milliseconds.
	HeldMs uint32 `cbor:"4,keyasint,omitempty"`
	// Confirmed is set when the platform was heard to hold Revision as its
	// newest AgeMs ago, in milliseconds.
	Confirmed bool   `cbor:"5,keyasint,omitempty"`
	AgeMs     uint32 `cbor:"6,keyasint,omitempty"`
	// Full is set when Services and Hosts are the whole digest; else they are
	// the changes since the asker's revision.
	Full       bool            `cbor:"7,keyasint,omitempty"`
	Services   []ServiceDigest `cbor:"8,keyasint,omitempty"`
	Hosts      []HostDigest    `cbor:"9,keyasint,omitempty"`
	Tombstones []Tombstone     `cbor:"10,keyasint,omitempty"`
	// AttestationAges holds, for each host of the platform's list in the order of
	// ids, how long ago it was a witness, in units of witnessUnit; 255 where
	// unknown. It belongs to Revision and Hash.
	AttestationAges []byte         `cbor:"11,keyasint,omitempty"`
	Members         []Member       `cbor:"12,keyasint,omitempty"`
	CrashSuspects   []CrashSuspect `cbor:"13,keyasint,omitempty"`
}

// ServiceDigest tells which document of a service is in force.
type ServiceDigest struct {
	Name       string     `cbor:"1,keyasint"`
	Precedence Precedence `cbor:"2,keyasint"`
	// Compressed is the compressed document, or empty when it was not asked for.
	Compressed []byte `cbor:"3,keyasint,omitempty"`
}

// HostDigest is one entry of the platform's host list.
type HostDigest struct {
	ID       string `cbor:"1,keyasint"`
	Revision int64  `cbor:"2,keyasint"`
	// Refused is set when the published entry cannot be read.
	Refused bool      `cbor:"3,keyasint,omitempty"`
	Entry   HostEntry `cbor:"4,keyasint"`
}

// Tombstone tells that a key was removed at a revision.
type Tombstone struct {
	Key      string `cbor:"1,keyasint"`
	Revision int64  `cbor:"2,keyasint"`
}

// Member is what a host says about itself, or a peer about it.
type Member struct {
	ID         string `cbor:"1,keyasint"`
	Address    string `cbor:"2,keyasint"`
	DataCentre string `cbor:"3,keyasint"`
	// Incarnation is the wall clock's time at the start of the process, in
	// nanoseconds; of two processes with one id the later counts.
	Incarnation int64 `cbor:"4,keyasint"`
	Leaving     bool  `cbor:"5,keyasint,omitempty"`
	// AgeMs is how long ago the host was heard, in milliseconds.
	AgeMs uint32 `cbor:"6,keyasint,omitempty"`
}

// CrashSuspect is a request that crashes backend servers.
type CrashSuspect struct {
	Service     string `cbor:"1,keyasint"`
	Fingerprint uint64 `cbor:"2,keyasint"`
	// RemainingMs is how long the suspicion still holds, in milliseconds.
	RemainingMs uint32 `cbor:"3,keyasint"`
}

// Package gateway runs a host on a deployment that publishes routes: it takes
// callers' requests, lets package forward decide on them and carries that out.
// The names and formats of the deployment's platform come from outside.
package gateway

import "time"

// Settings of a host.
type Settings struct {
	// Host is its name, Address its IP address, DataCentre where it stands.
	Host       string
	Address    string
	DataCentre string
	// Regions maps each data centre to its region.
	Regions map[string]string

	// CallerListen, ReadyListen and ControlListen are addresses to listen on;
	// ControlListen may be empty.
	CallerListen  string
	ReadyListen   string
	ControlListen string
	// PeerPort is the port of the links between hosts, on every host.
	PeerPort    int
	MetricsPort int
	// Seeds are the IP addresses of some hosts.
	Seeds []string
	// Store is the address of the metadata store.
	Store string

	// Strength is higher for hosts that had better pass on news to many.
	Strength int
	// CPUCapacity is how many times a core's work the host can do; parts of one
	// are common.
	CPUCapacity float64
	// MemoryBytes is the host's memory.
	MemoryBytes int64
	// Grace is the time from the signal to stop until the process is killed.
	Grace time.Duration
	// ApplyWithin is how late a published change may take effect.
	ApplyWithin time.Duration
	// Heartbeat is how often backend servers renew their entries.
	Heartbeat time.Duration
	// DrainFor and EvacuateFor are how long backend servers that leave, and
	// those of an evacuated data centre, may get requests after the metadata
	// store has taken the word.
	DrainFor    time.Duration
	EvacuateFor time.Duration

	// RetryRatio and RetrySlack bound the calls beyond the first of each
	// request, over all hosts, in RetryWindow.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
}

// Headers names the headers that the deployment uses.
type Headers struct {
	RequestID    string
	DeadlineMs   string
	Signature    string
	ExpectServer string
	NotRun       string
	// Leaving marks, with the value 1, the answers of a backend server that is
	// about to leave.
	Leaving string
	// Signatures and Missing describe a merged answer.
	Signatures string
	Missing    string
	// ReadyPath is asked for readiness.
	ReadyPath string
}

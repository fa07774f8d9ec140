// Package gateway runs a host in a deployment that publishes routes: it accepts
// callers' requests, has package forward decide how to handle them and carries
// out its decisions. Platform and Headers supply the names and formats of the
// deployment's platform.
package gateway

import "time"

// Settings configures a host.
type Settings struct {
	// Host is the host's name, Address its IP address, DataCentre its location.
	Host       string
	Address    string
	DataCentre string
	// Regions maps each data centre to its region.
	Regions map[string]string

	// CallerListen is the address to listen on for callers. ReadyListen and
	// ControlListen serve readiness probes; ControlListen may be empty.
	CallerListen  string
	ReadyListen   string
	ControlListen string
	// PeerPort is the port for connections between hosts, the same on every
	// host.
	PeerPort int
	// HandoverPort is the port on which hosts take requests of other hosts, the same
	// on every host; with 0 none are handed over.
	HandoverPort int
	// MetricsPort is the port on which metrics are served; with 0 they are not.
	MetricsPort int
	// Seeds are the IP addresses of some hosts, through which the others are
	// found.
	Seeds []string
	// Store is the address of the metadata store.
	Store string

	// RelayCapacity orders hosts: those with the highest capacity relay updates to
	// the others.
	RelayCapacity int
	// CPUCapacity is the host's processing power as a multiple of one core's;
	// fractions are common.
	CPUCapacity float64
	// MemoryBytes is the host's memory, MaxSockets how many sockets the process may
	// have open; 0 means that only the operating system limits them.
	MemoryBytes int64
	MaxSockets  int
	// Grace is the time from the stop signal until the process is killed.
	Grace time.Duration
	// ApplyWithin bounds the delay until a published change takes effect.
	ApplyWithin time.Duration
	// Heartbeat is how often backend servers renew their entries in the
	// metadata store.
	Heartbeat time.Duration
	// DrainFor and EvacuateFor bound how long leaving backend servers, and
	// those of an evacuated data centre, may get requests after the metadata
	// store has accepted the change.
	DrainFor    time.Duration
	EvacuateFor time.Duration

	// RetryRatio and RetrySlack form the retry budget: they bound the calls
	// beyond the first of each request, over all hosts, within RetryWindow.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
}

// Headers holds the names of the deployment's headers and its readiness path.
type Headers struct {
	RequestID string
	// DeadlineMs carries how long the sender of a request still waits, in
	// milliseconds.
	DeadlineMs string
	// Signature is set on responses of backend servers; one without it counts as
	// failed.
	Signature string
	// ExpectServer carries the ID of the backend server that a request is for.
	ExpectServer string
	// NotRun is set on the response of a backend server that has not run the
	// request.
	NotRun string
	// Leaving marks, with the value 1, the responses of a backend server that
	// is about to leave.
	Leaving string
	// RequestLimit holds the number of requests per second that a backend server
	// takes from all hosts together.
	RequestLimit string
	// Signatures lists the signatures of the parts of a merged response,
	// Missing counts the parts that are not in it.
	Signatures string
	Missing    string
	// ReadyPath is the path of readiness probes.
	ReadyPath string
}

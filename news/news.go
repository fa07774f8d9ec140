// Package news keeps what a host knows of a deployment's published entries:
// which are in force, how fresh they are, and from whom the next ones come.
//
// Few hosts read the metadata store; they pass what they read on to the others
// over links between hosts. A host that hears nothing in time reads for itself.
// The package does no I/O and reads no clock; package news/feed carries it out.
package news

import (
	"errors"

	"github.com/figmast/figmast/crash"
	"github.com/figmast/figmast/route"
)

// Item is one published entry, or its removal.
type Item struct {
	Key      string `cbor:"1,keyasint"`
	Value    []byte `cbor:"2,keyasint,omitempty"`
	Revision int64  `cbor:"3,keyasint"`
	Deleted  bool   `cbor:"4,keyasint,omitempty"`
}

// Kind says what an entry is about.
type Kind int

// Kinds of entries.
const (
	KindOther Kind = iota
	KindConfig
	KindEvacuation
	KindServer
)

// Decoder reads published entries.
type Decoder interface {
	// Classify returns what a key is about, and the data centre or the server
	// that it names.
	Classify(key string) (Kind, string)
	Config(value []byte) (*route.Config, error)
	Server(id string, value []byte) (route.Server, error)
}

// ErrHistoryGone says that changes since the revision are no longer known.
var ErrHistoryGone = errors.New("the store's history does not reach back to the revision")

// Poll is what a host sends over a link to ask for news.
type Poll struct {
	From  Member `cbor:"1,keyasint"`
	Nonce uint64 `cbor:"2,keyasint"`
	// Revision is the revision that the asking host has.
	Revision int64 `cbor:"3,keyasint"`
	// MembersHash is the hash of the members that it last got from the other host.
	MembersHash uint64         `cbor:"4,keyasint"`
	Crashes     []crash.Report `cbor:"5,keyasint,omitempty"`
	// Subtree are the hosts that ask it, when they have changed.
	Subtree []Member `cbor:"6,keyasint,omitempty"`
	// Push asks for news as they come.
	Push bool `cbor:"7,keyasint,omitempty"`
	// Slow are calls that servers were slow to answer.
	Slow []SlowReport `cbor:"8,keyasint,omitempty"`
	// CrashSeq names the state of the asking host's reports, and CrashesKnown
	// that of the other host's as the asking one has it. Crashes are those that
	// came since.
	CrashSeq uint64 `cbor:"9,keyasint,omitempty"`
	CrashAck uint64 `cbor:"10,keyasint,omitempty"`
	// Leaving are servers that have said that they leave.
	Leaving []LeavingReport `cbor:"11,keyasint,omitempty"`
}

// Update answers a Poll; one with nonce 0 was not asked for.
type Update struct {
	Nonce    uint64 `cbor:"1,keyasint"`
	Revision int64  `cbor:"2,keyasint"`
	// AgeMs is how long ago the store was known to hold nothing newer, or -1.
	AgeMs int64 `cbor:"3,keyasint"`
	// Full is set when Items holds every entry.
	Full  bool   `cbor:"4,keyasint,omitempty"`
	Items []Item `cbor:"5,keyasint,omitempty"`
	// Members is empty when the asking host knows the same.
	Members []Member       `cbor:"6,keyasint,omitempty"`
	Crashes []crash.Report `cbor:"7,keyasint,omitempty"`
	// SubtreeHash is the hash of the hosts that the other one said ask it.
	SubtreeHash uint64       `cbor:"8,keyasint,omitempty"`
	Slow        []SlowReport `cbor:"9,keyasint,omitempty"`
	// CrashSeq and CrashesKnown are as in a Poll.
	CrashSeq uint64          `cbor:"10,keyasint,omitempty"`
	CrashAck uint64          `cbor:"11,keyasint,omitempty"`
	Leaving  []LeavingReport `cbor:"12,keyasint,omitempty"`
}

// Member names a host to others.
type Member struct {
	// Address is the host's IP address.
	Address    string `cbor:"1,keyasint"`
	DataCentre string `cbor:"2,keyasint,omitempty"`
	// Capacity orders hosts: the strongest pass on news to the others.
	Capacity int `cbor:"3,keyasint,omitempty"`
}

// SlowReport reports when calls were sent to a server that took long, and when the
// last was sent that did not.
type SlowReport struct {
	Server string `cbor:"1,keyasint"`
	// FirstAgeMs and LastMs are how long ago the first and the last slow call were
	// sent, QuickMs the last quick one; -1 is none.
	FirstAgeMs int64 `cbor:"2,keyasint"`
	LastAgeMs  int64 `cbor:"3,keyasint"`
	QuickAgeMs int64 `cbor:"4,keyasint"`
}

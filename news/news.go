// Package news replicates a deployment's published entries to every host. It
// decides which entries are in force, how stale they are, and from which hosts
// the next changes are fetched.
//
// Only a few hosts read the metadata store. They relay what they read to the
// other hosts over connections between hosts. A host that receives no update in
// time reads the store itself. The package does no I/O and reads no clock;
// package news/feed does the I/O for it.
package news

import (
	"errors"

	"github.com/figmast/figmast/crash"
	"github.com/figmast/figmast/route"
)

// Item is one published entry, or the removal of one.
type Item struct {
	Key      string `cbor:"1,keyasint"`
	Value    []byte `cbor:"2,keyasint,omitempty"`
	Revision int64  `cbor:"3,keyasint"`
	Deleted  bool   `cbor:"4,keyasint,omitempty"`
}

// Position is a place in the history of the metadata store. The store may be
// restored from a copy some seconds old. Its era then rises, what was written
// since the copy is gone, and revisions are given out again: they order the
// changes of one era only.
type Position struct {
	// Era is 0 if it is not known.
	Era      int64
	Revision int64
}

// Answer is an answer of the metadata store to a read.
type Answer struct {
	Position
	Items []Item
	// MayBePartial is set if the answer to a watch holds so many changes that it
	// may end before the latest one.
	MayBePartial bool
	// InvalidEra is the era that the store named, in quotes, if it is not a
	// number.
	InvalidEra string
}

// Kind is the kind of object that an entry describes.
type Kind int

// Kinds of entries.
const (
	KindOther Kind = iota
	KindConfig
	KindEvacuation
	KindServer
)

// Decoder parses the keys and values of published entries.
type Decoder interface {
	// Classify returns the kind of a key and the data centre or server ID in
	// it.
	Classify(key string) (Kind, string)
	Config(value []byte) (*route.Config, error)
	Server(id string, value []byte) (route.Server, error)
}

// ErrHistoryGone is returned when the store has compacted the changes after the
// requested revision.
var ErrHistoryGone = errors.New("the store has compacted the changes after the revision")

// Poll is the request that a host sends to an upstream host for updates.
type Poll struct {
	From  Member `cbor:"1,keyasint"`
	Nonce uint64 `cbor:"2,keyasint"`
	// Revision is the latest store revision that the sender has.
	Revision int64 `cbor:"3,keyasint"`
	// MembersHash is the hash of the member list that the sender last got from
	// this upstream.
	MembersHash uint64         `cbor:"4,keyasint"`
	Crashes     []crash.Report `cbor:"5,keyasint,omitempty"`
	// Subtree is the sender and the hosts that poll it, directly or through
	// others. It is left out while the upstream has the current list.
	Subtree []Member `cbor:"6,keyasint,omitempty"`
	// Push asks the upstream to send updates as they arrive, without a poll.
	Push bool `cbor:"7,keyasint,omitempty"`
	// Slow reports servers that were slow to answer calls.
	Slow []SlowReport `cbor:"8,keyasint,omitempty"`
	// CrashSeq is the sequence number of the sender's crash reports. CrashAck
	// is the receiver's sequence number up to which the sender has its reports.
	// Crashes holds the reports added since the receiver's last
	// acknowledgement.
	CrashSeq uint64 `cbor:"9,keyasint,omitempty"`
	CrashAck uint64 `cbor:"10,keyasint,omitempty"`
	// Leaving reports servers that have announced that they are leaving.
	Leaving []LeavingReport `cbor:"11,keyasint,omitempty"`
	// Limits reports changes of the request limits that servers name.
	Limits []LimitReport `cbor:"12,keyasint,omitempty"`
	// Era is the one that Revision belongs to; hosts of earlier versions send none.
	Era int64 `cbor:"13,keyasint,omitempty"`
}

// Update is the answer to a Poll, or a pushed update if Nonce is 0.
type Update struct {
	Nonce    uint64 `cbor:"1,keyasint"`
	Revision int64  `cbor:"2,keyasint"`
	// AgeMs is how long ago the store was known to hold nothing newer, or -1 if
	// that was never known.
	AgeMs int64 `cbor:"3,keyasint"`
	// Full is set when Items holds every entry, not only the changes.
	Full  bool   `cbor:"4,keyasint,omitempty"`
	Items []Item `cbor:"5,keyasint,omitempty"`
	// Members is empty when the hash in the poll matches the current list.
	Members []Member       `cbor:"6,keyasint,omitempty"`
	Crashes []crash.Report `cbor:"7,keyasint,omitempty"`
	// SubtreeHash is the hash of the subtree that the sender has on record for
	// the polling host.
	SubtreeHash uint64       `cbor:"8,keyasint,omitempty"`
	Slow        []SlowReport `cbor:"9,keyasint,omitempty"`
	// CrashSeq and CrashAck have the same meaning as in Poll.
	CrashSeq uint64          `cbor:"10,keyasint,omitempty"`
	CrashAck uint64          `cbor:"11,keyasint,omitempty"`
	Leaving  []LeavingReport `cbor:"12,keyasint,omitempty"`
	Limits   []LimitReport   `cbor:"13,keyasint,omitempty"`
	// Era is the one that Revision belongs to; hosts of earlier versions send none.
	Era int64 `cbor:"14,keyasint,omitempty"`
}

func (p *Poll) position() Position { return Position{p.Era, p.Revision} }

func (u *Update) position() Position { return Position{u.Era, u.Revision} }

// Member describes a host in messages between hosts.
type Member struct {
	// Address is the host's IP address.
	Address    string `cbor:"1,keyasint"`
	DataCentre string `cbor:"2,keyasint,omitempty"`
	// RelayCapacity orders hosts: those with the highest capacity relay updates to
	// the others.
	RelayCapacity int `cbor:"3,keyasint,omitempty"`
}

// SlowReport holds when slow calls were sent to a server, and when the last
// quick one was.
type SlowReport struct {
	Server string `cbor:"1,keyasint"`
	// FirstAgeMs and LastAgeMs are how long ago the first and the last slow
	// call were sent, and QuickAgeMs the last quick one; -1 means none.
	FirstAgeMs int64 `cbor:"2,keyasint"`
	LastAgeMs  int64 `cbor:"3,keyasint"`
	QuickAgeMs int64 `cbor:"4,keyasint"`
}

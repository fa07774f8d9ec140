// Package wire holds the messages between hosts and their encoding, CBOR.
package wire

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	figmast "github.com/figmast/figmast"
	"github.com/figmast/figmast/control"
	"github.com/figmast/figmast/timeline"
)

// Version of the messages. A host refuses messages of another major version.
const Version = 1

// MaxBytes is the largest message that is read: a document of 1 MB beside the
// digest of a fleet.
const MaxBytes = 1<<20 + 256<<10

// Message is one message; exactly one body is set.
type Message struct {
	Version uint8 `cbor:"1,keyasint"`
	// Forward asks the host that minted a command's ticket to run it.
	Forward *ForwardedCommand `cbor:"2,keyasint,omitempty"`
	// Outcome answers a Forward.
	Outcome *Outcome `cbor:"3,keyasint,omitempty"`
	// Failure answers anything that could not be served.
	Failure *Failure `cbor:"4,keyasint,omitempty"`
	// LeafCall asks the host that holds a backend server's connections to
	// make a leaf call; LeafResult answers it.
	LeafCall   *LeafCall   `cbor:"20,keyasint,omitempty"`
	LeafResult *LeafResult `cbor:"21,keyasint,omitempty"`
	// Ask is a question about the configuration, and Answer answers it.
	Ask    *control.SyncRequest  `cbor:"5,keyasint,omitempty"`
	Answer *control.SyncResponse `cbor:"6,keyasint,omitempty"`
	// Stamp orders the sender's events before the receiver's later ones.
	Stamp timeline.Stamp `cbor:"7,keyasint"`
}

// bodies returns how many bodies are set.
func (m *Message) bodies() int {
	n := 0
	for _, set := range []bool{m.Forward != nil, m.Outcome != nil, m.Failure != nil, m.Ask != nil, m.Answer != nil, m.LeafCall != nil, m.LeafResult != nil} {
		if set {
			n++
		}
	}
	return n
}

// ForwardedCommand is a command on its way to the host that minted its ticket.
type ForwardedCommand struct {
	RequestID string                 `cbor:"1,keyasint"`
	Service   string                 `cbor:"2,keyasint"`
	Command   figmast.CommandRequest `cbor:"3,keyasint"`
	// RemainingMs is the time left for the command in milliseconds.
	RemainingMs int64 `cbor:"4,keyasint"`
}

// Outcome is what became of a forwarded command: one of the two is set.
type Outcome struct {
	Answer  *figmast.CommandAnswer `cbor:"1,keyasint,omitempty"`
	Problem *figmast.Problem       `cbor:"2,keyasint,omitempty"`
}

// Failure tells why a message could not be served.
type Failure struct {
	Step   string `cbor:"1,keyasint"`
	Detail string `cbor:"2,keyasint"`
}

// Encode returns the message in CBOR.
func Encode(m *Message) ([]byte, error) {
	m.Version = Version
	return cbor.Marshal(m)
}

// decoding refuses repeated keys, deep nesting and endless items. Fields that
// it does not know are passed over, so that hosts of two releases can talk.
var decoding = func() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:  16,
		MaxArrayElements: 1 << 16,
		MaxMapPairs:      1 << 12,
		IndefLength:      cbor.IndefLengthForbidden,
	}.DecMode()
	if err != nil {
		panic(err) // constant options
	}
	return mode
}()

// Decode reads a message and checks its version.
func Decode(b []byte) (*Message, error) {
	if len(b) > MaxBytes {
		return nil, fmt.Errorf("message: %d bytes, at most %d", len(b), MaxBytes)
	}
	var m Message
	if err := decoding.Unmarshal(b, &m); err != nil {
		return nil, fmt.Errorf("message: %w", err)
	}
	if m.Version != Version {
		return nil, fmt.Errorf("message: version %d, not %d", m.Version, Version)
	}
	if m.bodies() != 1 {
		return nil, errors.New("message: not one body")
	}
	return &m, nil
}

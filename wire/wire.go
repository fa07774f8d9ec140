// Package wire defines the messages between hosts and encodes them as CBOR.
package wire

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	figmast "github.com/figmast/figmast"
	"github.com/figmast/figmast/control"
	"github.com/figmast/figmast/timeline"
)

// Version is the major version of the messages. Decode refuses messages of
// any other version.
const Version = 1

// MaxBytes bounds the size of a message that is read. It leaves room for one
// document of 1 MiB and the digest of a whole fleet.
const MaxBytes = 1<<20 + 256<<10

// Message is the envelope of all messages between hosts. Exactly one body is
// set.
type Message struct {
	Version uint8 `cbor:"1,keyasint"`
	// Forward asks the host that minted a command's ticket to run the command.
	Forward *ForwardedCommand `cbor:"2,keyasint,omitempty"`
	// Outcome answers a Forward.
	Outcome *Outcome `cbor:"3,keyasint,omitempty"`
	// Failure answers a message that could not be served.
	Failure *Failure `cbor:"4,keyasint,omitempty"`
	// LeafCall asks the host that holds a backend server's connections to
	// make a leaf call; LeafResult answers it.
	LeafCall   *LeafCall   `cbor:"20,keyasint,omitempty"`
	LeafResult *LeafResult `cbor:"21,keyasint,omitempty"`
	// Ask requests the peer's configuration state; Answer answers it.
	Ask    *control.SyncRequest  `cbor:"5,keyasint,omitempty"`
	Answer *control.SyncResponse `cbor:"6,keyasint,omitempty"`
	// Stamp is the sender's logical timestamp. It orders the sender's events
	// before those that the receiver records after this message.
	Stamp timeline.Stamp `cbor:"7,keyasint"`
}

// countBodies returns how many bodies are set.
func (m *Message) countBodies() int {
	n := 0
	for _, set := range []bool{m.Forward != nil, m.Outcome != nil, m.Failure != nil, m.Ask != nil, m.Answer != nil, m.LeafCall != nil, m.LeafResult != nil} {
		if set {
			n++
		}
	}
	return n
}

// ForwardedCommand is a command sent to the host that minted its ticket.
type ForwardedCommand struct {
	RequestID string                 `cbor:"1,keyasint"`
	Service   string                 `cbor:"2,keyasint"`
	Command   figmast.CommandRequest `cbor:"3,keyasint"`
	// RemainingMs is the time left until the command's deadline, in
	// milliseconds.
	RemainingMs int64 `cbor:"4,keyasint"`
}

// Outcome is the result of a forwarded command: either an answer or a problem.
type Outcome struct {
	Answer  *figmast.CommandAnswer `cbor:"1,keyasint,omitempty"`
	Problem *figmast.Problem       `cbor:"2,keyasint,omitempty"`
}

// Failure says at which step a message failed, and why.
type Failure struct {
	Step   string `cbor:"1,keyasint"`
	Detail string `cbor:"2,keyasint"`
}

// Encode sets the message's version and returns its CBOR encoding.
func Encode(m *Message) ([]byte, error) {
	m.Version = Version
	return cbor.Marshal(m)
}

// decMode refuses duplicate map keys, deep nesting, large collections and
// items of indefinite length. It ignores unknown fields, so that hosts of two
// releases can exchange messages.
var decMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:  16,
		MaxArrayElements: 1 << 16,
		MaxMapPairs:      1 << 12,
		IndefLength:      cbor.IndefLengthForbidden,
	}.DecMode()
	if err != nil {
		panic(err) // cannot happen: the options are constant
	}
	return mode
}()

// Decode decodes a message and checks its size, version and number of bodies.
func Decode(b []byte) (*Message, error) {
	if len(b) > MaxBytes {
		return nil, fmt.Errorf("message: %d bytes, at most %d", len(b), MaxBytes)
	}
	var m Message
	if err := decMode.Unmarshal(b, &m); err != nil {
		return nil, fmt.Errorf("message: %w", err)
	}
	if m.Version != Version {
		return nil, fmt.Errorf("message: version %d, not %d", m.Version, Version)
	}
	if m.countBodies() != 1 {
		return nil, errors.New("message: not one body")
	}
	return &m, nil
}

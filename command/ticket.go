package command

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"errors"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Ticket entitles its holder to run one command. Only the process that minted it
// runs the command, and only before the ticket lapses. A ticket is a bearer
// token: whoever has it may use it, so it must be kept secret.
type Ticket struct {
	// Host is the ID of the host that minted the ticket.
	Host string `cbor:"1,keyasint"`
	// Service is the service that the ticket is for.
	Service string `cbor:"2,keyasint"`
	// Serial is unique within the minting process.
	Serial uint64 `cbor:"3,keyasint"`
	// ExpiresUnixMilli is the wall clock time until which the caller may use
	// the ticket. No host evaluates it; see LapseNano.
	ExpiresUnixMilli int64 `cbor:"4,keyasint"`
	// MAC authenticates the ticket with the key of the minting process.
	MAC []byte `cbor:"5,keyasint,omitempty"`
	// Incarnation identifies the minting process on Host.
	Incarnation string `cbor:"6,keyasint"`
	// LapseNano is when the ticket lapses, that is, when it is no longer
	// accepted, in nanoseconds on the clock of the minting process. It has no
	// meaning to any other process.
	LapseNano int64 `cbor:"7,keyasint"`
}

// ErrBadTicket is returned for text that cannot be decoded as a ticket.
var ErrBadTicket = errors.New("ticket: malformed ticket")

// Expires returns the wall clock time until which the caller may use the ticket.
func (t Ticket) Expires() time.Time { return time.UnixMilli(t.ExpiresUnixMilli) }

// lapse returns when the ticket lapses, on the clock of the minting process.
func (t Ticket) lapse() time.Time { return time.Unix(0, t.LapseNano) }

// String returns the ticket in its wire encoding.
func (t Ticket) String() string {
	b, err := cbor.Marshal(t)
	if err != nil {
		panic(err) // cannot happen: all fields have encodable types
	}
	return base64.RawURLEncoding.EncodeToString(b)
}

// maxTicketLength limits the text that ParseTicket accepts, in bytes.
const maxTicketLength = 512

// ParseTicket decodes a ticket without checking its MAC. The only error is
// ErrBadTicket.
func ParseTicket(s string) (Ticket, error) {
	var t Ticket
	if len(s) > maxTicketLength {
		return t, ErrBadTicket
	}
	b, err := base64.RawURLEncoding.DecodeString(s)
	if err != nil {
		return t, ErrBadTicket
	}
	if err := cbor.Unmarshal(b, &t); err != nil || t.Host == "" {
		return Ticket{}, ErrBadTicket
	}
	return t, nil
}

func sign(key []byte, t Ticket) []byte {
	t.MAC = nil
	m := hmac.New(sha256.New, key)
	m.Write([]byte(t.String()))
	return m.Sum(nil)
}

func hasValidMAC(key []byte, t Ticket) bool {
	return hmac.Equal(t.MAC, sign(key, t))
}

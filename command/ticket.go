package command

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"errors"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Ticket entitles its holder to one command. Only the process that minted it
// runs the command, and only before the ticket lapses. It is a secret: who
// holds it may use it.
type Ticket struct {
	// Host is the id of the host that minted the ticket.
	Host string `cbor:"1,keyasint"`
	// Service the ticket is for.
	Service string `cbor:"2,keyasint"`
	// Serial is unique in the process.
	Serial uint64 `cbor:"3,keyasint"`
	// ExpiresUnixMilli is on the wall clock, for the caller. No host reads
	// it.
	ExpiresUnixMilli int64 `cbor:"4,keyasint"`
	// MAC proves that the process minted the ticket.
	MAC []byte `cbor:"5,keyasint,omitempty"`
	// Incarnation is the process on that host.
	Incarnation string `cbor:"6,keyasint"`
	// LapseNano is when the ticket lapses, in nanoseconds on the clock of
	// the process that minted it; it means nothing to any other process.
	LapseNano int64 `cbor:"7,keyasint"`
}

// ErrBadTicket is returned for text that is no ticket.
var ErrBadTicket = errors.New("ticket: not a ticket")

// Expires returns until when the caller may use the ticket, on the wall clock.
func (t Ticket) Expires() time.Time { return time.UnixMilli(t.ExpiresUnixMilli) }

// lapse returns when the ticket lapses, on the clock of its minter.
func (t Ticket) lapse() time.Time { return time.Unix(0, t.LapseNano) }

// String encodes the ticket for the wire.
func (t Ticket) String() string {
	b, err := cbor.Marshal(t)
	if err != nil {
		panic(err) // a struct of plain fields always encodes
	}
	return base64.RawURLEncoding.EncodeToString(b)
}

// maxTicketLength bounds the text that ParseTicket reads, in bytes.
const maxTicketLength = 512

// ParseTicket decodes a ticket without checking who minted it. The error is
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

func genuine(key []byte, t Ticket) bool {
	return hmac.Equal(t.MAC, sign(key, t))
}

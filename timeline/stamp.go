package timeline

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Stamp is a timestamp of a hybrid logical clock: the wall clock in
// nanoseconds, and a counter for events between which it did not advance.
type Stamp struct {
	Wall    int64  `json:"wall_ns" cbor:"1,keyasint"`
	Counter uint32 `json:"counter" cbor:"2,keyasint"`
}

// Before reports whether a is ordered before b.
func (s Stamp) Before(b Stamp) bool {
	if s.Wall != b.Wall {
		return s.Wall < b.Wall
	}
	return s.Counter < b.Counter
}

// Time returns the wall clock of the stamp.
func (s Stamp) Time() time.Time { return time.Unix(0, s.Wall) }

// String formats the stamp as WALL.COUNTER, the format that ParseStamp reads.
func (s Stamp) String() string {
	return strconv.FormatInt(s.Wall, 10) + "." + strconv.FormatUint(uint64(s.Counter), 10)
}

// ParseStamp parses WALL.COUNTER or WALL, with WALL in nanoseconds.
func ParseStamp(s string) (Stamp, error) {
	wall, counter, _ := strings.Cut(s, ".")
	w, err := strconv.ParseInt(wall, 10, 64)
	if err != nil || w < 0 {
		return Stamp{}, fmt.Errorf("%q is not a stamp", s)
	}
	if counter == "" {
		return Stamp{Wall: w}, nil
	}
	c, err := strconv.ParseUint(counter, 10, 32)
	if err != nil {
		return Stamp{}, fmt.Errorf("%q is not a stamp", s)
	}
	return Stamp{Wall: w, Counter: uint32(c)}, nil
}

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
func (a Stamp) Before(b Stamp) bool {
	if a.Wall != b.Wall {
		return a.Wall < b.Wall
	}
	return a.Counter < b.Counter
}

// Time returns the wall clock of the stamp.
func (a Stamp) Time() time.Time { return time.Unix(0, a.Wall) }

// String formats the stamp as WALL.COUNTER, the format that ParseStamp reads.
func (a Stamp) String() string {
	return strconv.FormatInt(a.Wall, 10) + "." + strconv.FormatUint(uint64(a.Counter), 10)
}

// ParseStamp parses WALL.COUNTER or WALL, with WALL in nanoseconds.
func ParseStamp(s string) (Stamp, error) {
	wall, counter, _ := strings.Cut(s, ".")
	w, err := strconv.ParseInt(wall, 10, 64)
	if err != nil || w < 0 {
		return Stamp{}, fmt.Errorf("%q is not a stamp (WALL.COUNTER)", s)
	}
	if counter == "" {
		return Stamp{Wall: w}, nil
	}
	c, err := strconv.ParseUint(counter, 10, 32)
	if err != nil {
		return Stamp{}, fmt.Errorf("%q is not a stamp (WALL.COUNTER)", s)
	}
	return Stamp{Wall: w, Counter: uint32(c)}, nil
}

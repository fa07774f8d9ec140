// Package clock provides a host's clock. It is monotonic, ignores adjustments
// of the wall clock, and keeps running while the process is stopped or the
// machine is suspended.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

var (
	startWall = time.Now().Round(0)
	startBoot = sinceBoot()
)

// sinceBoot returns the time since the machine booted, including time suspended.
func sinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err) // CLOCK_BOOTTIME exists since Linux 2.6.39
	}
	return time.Duration(ts.Nano())
}

// Now returns the host's time: the wall clock at the start of the process plus
// the time elapsed since then.
func Now() time.Time {
	return startWall.Add(sinceBoot() - startBoot)
}

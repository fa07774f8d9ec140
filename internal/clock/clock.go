// Package clock gives a host's time: it never steps back, ignores changes of
// the wall clock, and goes on while the process or the machine is paused.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

var (
	startWall = time.Now().Round(0)
	startBoot = boot()
)

// boot returns the time since the machine started, pauses included.
func boot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err) // CLOCK_BOOTTIME exists since Linux 2.6.39
	}
	return time.Duration(ts.Nano())
}

// Now returns the host's time. It starts at the wall clock's time.
func Now() time.Time {
	return startWall.Add(boot() - startBoot)
}

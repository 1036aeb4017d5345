// Package clock measures time across a suspension of the VM, during which the
// monotonic clock may stand still while the wall clock is set right afterwards.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Elapsed returns the time from one moment to a later one, by the clock that has
// gone further. Both moments must come from time.Now, which reads both clocks. A
// wall clock that was set forward counts as time that has passed.
func Elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}

// Boot returns the time since the VM booted, suspensions included. It does not
// follow steps of the wall clock. Where the system has no such clock it returns
// the time since the process began.
func Boot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Since(processStart)
	}
	return time.Duration(ts.Nano())
}

var processStart = time.Now()

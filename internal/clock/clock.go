// Package clock measures elapsed time across a suspension of the VM. The monotonic
// clock may stop during a suspension; the wall clock is corrected afterwards.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Elapsed returns the time from one instant to a later one, as measured by whichever
// of the monotonic and the wall clock has advanced further. Both instants must come
// from time.Now, which reads both clocks. A step forward of the wall clock therefore
// counts as elapsed time.
func Elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}

// SinceBoot returns the time since the VM booted, including suspensions. Steps of the
// wall clock do not affect it. If CLOCK_BOOTTIME is not available, it returns the time
// since the process started.
func SinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Since(processStart)
	}
	return time.Duration(ts.Nano())
}

var processStart = time.Now()

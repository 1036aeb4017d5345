// Package clock measures time across a suspension of the VM, during which the
// monotonic clock may stand still while the wall clock is set right afterwards.
package clock

import "time"

// Elapsed returns the time from one moment to a later one, by the clock that has
// gone further. Both moments must come from time.Now, which reads both clocks. A
// wall clock that was set forward counts as time that has passed.
func Elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}

package grantor

import "time"

// suspensionThreshold is how far the wall clock may run ahead of the monotonic
// clock between two checks before the VM counts as suspended.
const suspensionThreshold = 200 * time.Millisecond

// suspensionDetector detects suspensions of the VM. The monotonic clock may stand
// still while a VM is suspended, so a lease holder would consider its lease valid
// although it has expired by the voters' clocks. The wall clock is corrected when
// the VM resumes, and so runs ahead of the monotonic one.
type suspensionDetector struct {
	monotonic, wall time.Duration
}

// suspended reports whether the wall clock has run ahead of the monotonic one by
// more than suspensionThreshold since the last call. Both arguments are times
// since the start of the process. A wall clock that was set forward cannot be
// told from a suspension and is treated as one.
func (d *suspensionDetector) suspended(monotonic, wall time.Duration) bool {
	ahead := (wall - d.wall) - (monotonic - d.monotonic)
	d.monotonic, d.wall = monotonic, wall
	return ahead > suspensionThreshold
}

// checkSuspension gives up the lease if the VM may have been suspended. The voters
// may have granted the lease to another process in the meantime; this process
// requests their votes again like any other candidate.
func (s *Server) checkSuspension() {
	now := time.Now()
	if !s.suspension.suspended(now.Sub(s.start), now.Round(0).Sub(s.start.Round(0))) {
		return
	}
	s.candidate.Abandon(s.now())
	if s.core != nil {
		s.stepDown("the VM was suspended or its clock was set forward")
	}
}

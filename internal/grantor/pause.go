package grantor

import "time"

// pauseLimit is how much further the wall clock may go than the monotonic clock
// between two looks before it counts as a pause of the VM.
const pauseLimit = 200 * time.Millisecond

// pauseWatch finds pauses that the monotonic clock does not show. It stands still
// while a VM is suspended, so a holder would take its lease for valid although
// the voters' clocks went on. The wall clock is set right when the VM resumes.
type pauseWatch struct {
	monotonic, wall time.Duration
}

// paused reports whether the wall clock has run ahead of the monotonic one since
// the last call. Both are times since the start of the process. A wall clock
// that was set forward looks the same, and is treated as a pause.
func (p *pauseWatch) paused(monotonic, wall time.Duration) bool {
	ahead := (wall - p.wall) - (monotonic - p.monotonic)
	p.monotonic, p.wall = monotonic, wall
	return ahead > pauseLimit
}

// noticePause ends the tenure if the VM may have been suspended. The voters may
// have elected another meanwhile; this process asks them again like any other.
func (s *Server) noticePause() {
	now := time.Now()
	if !s.pauses.paused(now.Sub(s.start), now.Round(0).Sub(s.start.Round(0))) {
		return
	}
	s.candidate.Abandon(s.now())
	if s.core != nil {
		s.stepDown("the VM was suspended or its clock was set forward")
	}
}

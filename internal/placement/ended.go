package placement

import "time"

// maxHeartbeatDelay is by how much a heartbeat may be late: one that arrives sooner after the end of a server's
// process may have been sent before it.
const maxHeartbeatDelay = 3 * time.Second

// RecordEnd records that this router has found the process of an incarnation ended. What starts in its place
// is cold for coldTime, and may serve before its first announcement arrives.
func (f *Fleet) RecordEnd(id string, born int64, coldTime time.Duration, now time.Time) {
	s := f.LatestIncarnation(id)
	if s == nil || s.Born != born {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endedAt, s.coldTime, s.cacheIncompleteSince = now, coldTime, now
}

// hasEnded reports whether the process was found ended, and no heartbeat has shown since that it runs. The
// caller holds mu.
func (s *Server) hasEnded() bool {
	return !s.endedAt.IsZero() && s.announced.LastSeen.Sub(s.endedAt) < maxHeartbeatDelay
}

// recordRunning records that the server has served a request for which it was chosen at pickedAt. If that was after
// its process had ended, another one has started by now: without announcements it would count as cold for good.
func (s *Server) recordRunning(pickedAt, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.hasEnded() || !pickedAt.After(s.endedAt) {
		return
	}
	s.endedAt = time.Time{}
	if until := now.Add(s.coldTime); until.After(s.coldUntil) {
		s.coldUntil = until
	}
}

// inheritColdSends takes over the requests that were sent while former counted as cold: some may have reached the
// incarnation of s.
func (s *Server) inheritColdSends(former *Server) {
	former.mu.Lock()
	defer former.mu.Unlock()
	s.coldSends = former.coldSends
	former.coldSends = nil
}

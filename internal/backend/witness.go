package backend

import (
	"context"
	"slices"
	"time"

	"github.com/kumquathollow/kumquathollow/internal/errkind"
)

// beginExchange records that a request is about to be sent on c, within maxConnections. It reports whether a
// response without a length is expected, which is watched then.
func (s *serverPool) beginExchange(c *conn, maxConnections int) (watched bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.maxConnections = maxConnections
	if watched = time.Since(s.unframedAt) < unframedMemory; watched {
		s.mu.Unlock()
		s.watch() // It locks s.mu.
		s.mu.Lock()
	}
	// The request is not sent yet, so that a response shows that the connection is open now.
	c.seenOpenAt = time.Now()
	c.hasWitness = watched && s.hasWitnessSince(c.seenOpenAt)
	return watched
}

// watch keeps a witness until unwatch is called.
func (s *serverPool) watch() {
	s.mu.Lock()
	s.watching++
	if !s.guarding {
		s.guarding = true
		go s.guardWitness()
	}
	s.mu.Unlock()
	s.renewWitness(time.Now())
}

// guardWitness replaces the witness before it expires, or once it has ended, until no response is watched.
func (s *serverPool) guardWitness() {
	tick := time.NewTicker(witnessGuardInterval)
	defer tick.Stop()
	for now := range tick.C {
		s.mu.Lock()
		if s.watching == 0 {
			s.guarding = false
			s.mu.Unlock()
			return
		}
		if s.witness != nil && !s.witness.isOpen() {
			s.witnessEnded(now)
		}
		s.mu.Unlock()
		if s.renewWitness(now) {
			s.recordOpen(time.Now())
		}
	}
}

// witnessEnded is called with s.mu held. Either the process has ended, or it has closed the witness as idle, or has no room
// for it.
func (s *serverPool) witnessEnded(now time.Time) {
	ended := s.witness
	s.witness = nil
	go func() { _ = ended.Close() }() // Close locks s.mu.
	lived := now.Sub(ended.idleSince)
	if lived >= minWitnessLife {
		s.witnessLife = lived
		return
	}
	s.noWitnessUntil = now.Add(witnessPause)
	for c := range s.conns {
		if c.isOpen() {
			c.hasWitness = false // It shows nothing of the process of c.
		}
	}
}

// hasWitnessSince reports whether the witness was opened before at. It is called with s.mu held: another exchange may have
// opened it since at.
func (s *serverPool) hasWitnessSince(at time.Time) bool {
	return s.witness != nil && s.witness.openedAt.Before(at)
}

// isOpenedBefore reports whether w was opened before at.
func (s *serverPool) isOpenedBefore(w *conn, at time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return w.openedAt.Before(at)
}

func (s *serverPool) unwatch() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.watching--; s.watching == 0 && s.witness != nil {
		s.idle = append(s.idle, s.witness)
		s.witness = nil
	}
}

// recordOpen records which connections are open, while there are ends to confirm. All that were opened before now
// are witnesses of their ends.
func (s *serverPool) recordOpen(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.watching == 0 {
		return
	}
	for c := range s.conns {
		if c.isOpen() {
			c.seenOpenAt = now
			c.hasWitness = c.hasWitness || s.hasWitnessSince(now)
		}
	}
}

// witnesses returns the open connections that were opened before c ended. They are sufficient if one was kept as
// a witness: the others may end with their responses.
func (s *serverPool) witnesses(c *conn) (open []*conn, sufficient bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for w := range s.conns {
		if w != c && w.openedAt.Before(c.seenOpenAt) {
			open = append(open, w)
		}
	}
	return open, c.hasWitness
}

// witnessLimit returns how many connections may be open with a witness: no more than for requests, but two at least.
func (s *serverPool) witnessLimit() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.maxConnections == 0 {
		return 0
	}
	return max(2, s.maxConnections)
}

// isLastingWitness reports whether an idle connection is open and less than half of the time old after which the
// server closes it. It is called with s.mu held.
func (s *serverPool) isLastingWitness(c *conn, now time.Time) bool {
	life := c.idleTimeout
	if s.witnessLife > 0 {
		life = min(life, s.witnessLife)
	}
	return now.Sub(c.idleSince) < life/2 && c.isOpen()
}

// renewWitness takes an idle connection as the witness, or opens one, if one is needed and there is none that lasts. It
// reports whether it took one.
func (s *serverPool) renewWitness(now time.Time) (taken bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.watching == 0 || s.openingWitness || s.witness != nil && s.isLastingWitness(s.witness, now) {
		return false
	}
	for i, c := range slices.Backward(s.idle) {
		if s.isLastingWitness(c, now) {
			s.idle = slices.Delete(s.idle, i, i+1)
			s.replaceWitness(c)
			return true
		}
	}
	if !now.Before(s.noWitnessUntil) {
		s.openingWitness = true
		go s.openWitness()
	}
	return false
}

func (s *serverPool) openWitness() {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	c, err := s.open(ctx, s.witnessLimit())
	s.mu.Lock()
	s.openingWitness = false
	if err != nil { // Other responses in progress may show as much.
		if errkind.Is(err, errkind.Unreachable) {
			s.noWitnessUntil = time.Now().Add(witnessPause)
		}
		s.mu.Unlock()
		return
	}
	c.idleTimeout, c.idleSince = defaultIdleTimeout, time.Now()
	if s.watching == 0 {
		s.idle = append(s.idle, c)
	} else {
		s.replaceWitness(c)
	}
	s.mu.Unlock()
	s.recordOpen(time.Now())
}

// retirementTime is how long a former witness is kept from requests: responses that ended before its successor was
// opened, and whose ends are looked at until streamEndTime later, have no other.
const retirementTime = 2 * streamEndTime

// replaceWitness is called with s.mu held.
func (s *serverPool) replaceWitness(w *conn) {
	if former := s.witness; former != nil {
		time.AfterFunc(streamEndTime, func() { s.succeed(former, w) })
		time.AfterFunc(retirementTime, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.idle = append(s.idle, former)
		})
	}
	s.witness = w
}

// succeed makes w a witness of all ends of which former is one, if former is still open streamEndTime after w was
// opened: then both lead to the same process.
func (s *serverPool) succeed(former, w *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if former.openedAt.Before(w.openedAt) && former.isOpen() {
		w.openedAt = former.openedAt
	}
}

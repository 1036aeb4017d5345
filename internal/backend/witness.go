package backend

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/kumquathollow/kumquathollow/internal/errkind"
)

// maxEndingKinds limits the kinds of requests that are remembered for one server.
const maxEndingKinds = 1000

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
		w, lived := s.witness, time.Duration(0)
		if w != nil {
			lived = now.Sub(w.idleSince)
		}
		s.extendWitnessLife(now)
		s.mu.Unlock()
		if w != nil && !w.isOpen() {
			s.witnessEnded(w, lived, now)
		}
		if s.renewWitness(now) {
			s.recordOpen(time.Now())
		}
	}
}

// witnessEnded records that the witness, or one that was lent, has ended and that no request has used it. Either the process
// has ended, or it has closed the witness as idle, or has no room for it.
func (s *serverPool) witnessEnded(ended *conn, lived time.Duration, now time.Time) {
	var open []*conn
	if lived < minWitnessLife {
		open = s.openNow()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch ended {
	case s.witness:
		s.witness = nil
		go func() { _ = ended.Close() }() // Close locks s.mu.
	case s.lent:
		s.lent = nil
	default:
		return
	}
	if lived >= minWitnessLife {
		s.witnessLife[ended.hasResponded] = lived
		return
	}
	s.noWitnessUntil = now.Add(witnessPause)
	for _, c := range open {
		c.hasWitness = false // It shows nothing of the process of c.
	}
}

// openNow returns the connections that are open. The kernel is asked without the lock, since there may be many.
func (s *serverPool) openNow() []*conn {
	s.mu.Lock()
	conns := slices.Collect(maps.Keys(s.conns))
	s.mu.Unlock()
	return slices.DeleteFunc(conns, func(c *conn) bool { return !c.isOpen() })
}

// extendWitnessLife finds idle connections that are open for longer than the server was known to leave them: it may have closed a
// single one for a reason of its own. It is called with s.mu held.
func (s *serverPool) extendWitnessLife(now time.Time) {
	for _, conns := range [][]*conn{s.retiring, s.idle} {
		for _, c := range conns {
			idle, known := now.Sub(c.idleSince), s.witnessLife[c.hasResponded]
			if known > 0 && idle > known {
				if c.isOpen() {
					s.witnessLife[c.hasResponded] = idle
				}
				break // The kernel is asked with the lock held, and there may be many.
			}
		}
	}
}

// hasWitnessSince reports whether the witness was opened before at, also if a request uses it now. It is called with s.mu
// held: another exchange may have opened it since at.
func (s *serverPool) hasWitnessSince(at time.Time) bool {
	w := s.witness
	if w == nil {
		w = s.lent
	}
	return w != nil && w.openedAt.Before(at)
}

// recordKind records whether a response to a request of a kind ended its connection.
func (s *serverPool) recordKind(kind string, ended bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !ended {
		if at, ok := s.endingKinds[kind]; ok && now.Sub(at) > unframedMemory {
			delete(s.endingKinds, kind)
		}
		return
	}
	if s.endingKinds == nil || len(s.endingKinds) >= maxEndingKinds {
		s.endingKinds = map[string]time.Time{}
	}
	s.endingKinds[kind] = now
}

// takeWitness returns the witness or a former one for a request, which the limit allows but for them, or nil. The ends that it
// is to confirm are confirmed by it while the request uses it, so that a request whose response may end the connection
// does not get it.
func (s *serverPool) takeWitness(kind string, maxConnections int) *conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := len(s.retiring)
	if s.witness != nil {
		held++
	}
	if _, ends := s.endingKinds[kind]; ends || held == 0 || s.openConns-held >= maxConnections {
		return nil
	}
	if n := len(s.retiring); n > 0 {
		c := s.retiring[n-1]
		s.retiring = s.retiring[:n-1]
		return c
	}
	c := s.witness
	s.witness, s.lent = nil, c
	return c
}

// openInPlaceOf closes w, an idle connection or witness that cannot serve the request, and opens one. Its results are those of
// get.
func (s *serverPool) openInPlaceOf(ctx context.Context, w *conn, maxConnections int) (*conn, bool, error) {
	isWitness := s.isLent(w)
	_ = w.Close()
	c, err := s.open(ctx, maxConnections)
	if err != nil {
		return nil, false, err
	}
	if isWitness {
		s.mu.Lock()
		s.lent = c
		s.mu.Unlock()
		s.recordOpen(time.Now())
	}
	return c, true, nil
}

// closeRequest closes the connection of a request that cannot serve another. If it was lent, its place is that of the witness again.
func (s *serverPool) closeRequest(c *conn) {
	isWitness := s.isLent(c)
	_ = c.Close()
	if isWitness {
		s.renewWitness(time.Now())
	}
}

// isLent reports whether c, which is about to be closed, is lent. If the server has ended it without a response, that is
// recorded as the end of a witness, and c is lent no more.
func (s *serverPool) isLent(c *conn) bool {
	s.mu.Lock()
	lent := c == s.lent
	s.mu.Unlock()
	if lent && !c.hasResponded && !c.isOpen() {
		now := time.Now()
		s.witnessEnded(c, now.Sub(c.idleSince), now)
		return false
	}
	return lent
}

// currentWitness returns the witness, or nil, and a channel that is closed when the one that is being opened is open, or could
// not be opened; nil if none is.
func (s *serverPool) currentWitness() (w *conn, opening <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.witness, s.openingWitness
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
		s.addIdle(s.witness)
		s.witness = nil
	}
}

// recordOpen records which connections are open, while there are ends to confirm. All that were opened before now
// are witnesses of their ends.
func (s *serverPool) recordOpen(now time.Time) {
	s.mu.Lock()
	watching := s.watching
	s.mu.Unlock()
	if watching == 0 {
		return
	}
	open := s.openNow()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range open {
		if now.After(c.seenOpenAt) { // An exchange may have begun on c since.
			c.seenOpenAt = now
		}
		c.hasWitness = c.hasWitness || s.hasWitnessSince(now)
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
	return s.witnessLimitLocked()
}

// witnessLimitLocked is witnessLimit for callers that hold s.mu.
func (s *serverPool) witnessLimitLocked() int {
	if s.maxConnections == 0 {
		return 0
	}
	return max(2, s.maxConnections)
}

// isLastingWitness reports whether an idle connection is open and less than half of the time old after which the
// server closes it. It is called with s.mu held.
func (s *serverPool) isLastingWitness(c *conn, now time.Time) bool {
	life := c.idleTimeout
	if known := s.witnessLife[c.hasResponded]; known > 0 {
		life = min(life, known)
	}
	return now.Sub(c.idleSince) < life/2 && c.isOpen()
}

// renewWitness takes an idle connection as the witness, or opens one, if one is needed and there is none that lasts. It
// reports whether it took one.
func (s *serverPool) renewWitness(now time.Time) (taken bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.watching == 0 || s.openingWitness != nil || s.witness != nil && s.isLastingWitness(s.witness, now) {
		return false
	}
	for i, c := range slices.Backward(s.idle) {
		if s.isLastingWitness(c, now) {
			s.idle = slices.Delete(s.idle, i, i+1)
			s.replaceWitness(c)
			return true
		}
	}
	if limit := s.witnessLimitLocked(); !now.Before(s.noWitnessUntil) && (limit == 0 || s.openConns < limit) {
		s.openingWitness = make(chan struct{})
		go s.openWitness()
	}
	return false
}

func (s *serverPool) openWitness() {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	c, err := s.open(ctx, s.witnessLimit())
	s.mu.Lock()
	defer close(s.openingWitness)
	s.openingWitness = nil
	if err != nil { // Other responses in progress may show as much.
		if errkind.Is(err, errkind.Unreachable) {
			s.noWitnessUntil = time.Now().Add(witnessPause)
		}
		s.mu.Unlock()
		return
	}
	c.idleTimeout, c.idleSince = defaultIdleTimeout, time.Now()
	if s.watching == 0 {
		s.addIdle(c)
	} else {
		s.replaceWitness(c)
	}
	s.mu.Unlock()
	s.recordOpen(time.Now())
}

// retirementTime is how long a former witness is kept from requests that need not have it: responses that ended before its successor was
// opened, and whose ends are looked at until streamEndTime later, have no other.
const retirementTime = 2 * streamEndTime

// replaceWitness is called with s.mu held.
func (s *serverPool) replaceWitness(w *conn) {
	if former := s.witness; former != nil {
		time.AfterFunc(streamEndTime, func() { s.succeed(former, w) })
		s.retiring = append(s.retiring, former)
		time.AfterFunc(retirementTime, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			if i := slices.Index(s.retiring, former); i >= 0 { // No request uses it.
				s.retiring = slices.Delete(s.retiring, i, i+1)
				s.addIdle(former)
			}
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

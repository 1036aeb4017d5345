package backend

import (
	"context"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/kumquathollow/kumquathollow/internal/errkind"
)

// A response without a length ends with its connection. The kernel ends the connections of a process that
// is killed in order, too, all of them within a moment. So such an end counts only if another connection
// to the server, a witness, was open before it and still is some time later.
// See docs/design/ends-of-responses.md.

const (
	// streamEndTime and answerEndTime are longer than the ends of the connections of one killed process lie apart.
	// For streams, whose client has all events by then, an end that is lost once on its way is waited for as well.
	streamEndTime, answerEndTime = 250 * time.Millisecond, 100 * time.Millisecond
	// witnessCheckInterval is how often the witnesses are looked at in that time.
	witnessCheckInterval = 5 * time.Millisecond
	// witnessGuardInterval is how often the witness is looked at while responses are in progress.
	witnessGuardInterval = 50 * time.Millisecond
	// minWitnessLife is the least time that a server leaves an idle connection open. If one ends sooner, the server
	// has no room for it, and the next one is opened after witnessPause.
	minWitnessLife, witnessPause = 300 * time.Millisecond, time.Second
	// maxLateRead is how long after its end a response may be read for a connection that is opened then to show
	// anything: a router that was stopped, or is overloaded, may find another process at the address.
	maxLateRead = 100 * time.Millisecond
	// unframedMemory is how long after a response without a length a server is expected to send another.
	unframedMemory = 10 * time.Second
)

// ErrEndUnconfirmed is the cause of the error that takes the place of the end of a response without a length if
// the server's process may have ended with it.
var ErrEndUnconfirmed = errors.New("the connection ended a response without a length, and no other one shows that the server's process outlived it")

// confirmedBody is the body of a response without a length. Its end is an error unless it is confirmed.
type confirmedBody struct {
	io.ReadCloser
	confirm func() error
	// end is the error of reads after the end.
	end error
}

// Read implements io.Reader.
func (b *confirmedBody) Read(p []byte) (int, error) {
	if b.end != nil {
		return 0, b.end
	}
	n, err := b.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if n > 0 {
		return n, nil // The next read finds the end again.
	}
	if b.end = b.confirm(); b.end == nil {
		b.end = io.EOF
	}
	return 0, b.end
}

// requireConfirmedEnd makes the end of the response an error unless it is confirmed, if it is that of the connection.
func (r *Response) requireConfirmedEnd(ctx context.Context) {
	// Only of a socket the kernel tells whether it has ended.
	if !r.EndsWithConnection() || r.conn.socket() == nil {
		return
	}
	s := r.conn.pool
	if !r.watched {
		r.watched = true
		s.watch()
	}
	now := time.Now()
	s.mu.Lock()
	s.unframedAt = now
	s.mu.Unlock()
	s.recordOpen(now)
	within := answerEndTime
	if strings.HasPrefix(r.Header.Get("Content-Type"), "text/event-stream") {
		within = streamEndTime
	}
	r.Body = &confirmedBody{ReadCloser: r.Body, confirm: func() error { return r.conn.confirmEnd(ctx, within) }}
}

// confirmEnd closes the connection, which has ended, and returns an error unless the server's process is known to
// have outlived it by the given time.
func (c *conn) confirmEnd(ctx context.Context, within time.Duration) error {
	s := c.pool
	isLate := c.sinceReceived() > maxLateRead
	_ = c.Close() // The server has room for another connection now.
	witnesses, sufficient := s.witnesses(c)
	if !sufficient && !isLate {
		// The response was over before a witness was there. One that is opened after it does not tell a server that was
		// replaced at its address within that moment.
		if w := s.awaitWitness(ctx); w != nil {
			witnesses = append(witnesses, w)
		}
	}
	deadline := time.NewTimer(within)
	defer deadline.Stop()
	tick := time.NewTicker(witnessCheckInterval)
	defer tick.Stop()
	confirmed, err := outlast(ctx, witnesses, tick.C, deadline.C)
	if !sufficient && s.pool.opts.IsReplaced != nil {
		confirmed = confirmed && !s.pool.opts.IsReplaced(Target{ID: s.id, Address: s.address})
	}
	if err == nil && !confirmed {
		err = errkind.Wrap(ErrEndUnconfirmed, errkind.BackendLost, "server %q", s.id)
	}
	return err
}

// awaitWitness returns the witness, after it was opened if there is none, or nil if that fails. It is called while
// a response is watched.
func (s *serverPool) awaitWitness(ctx context.Context) *conn {
	s.mu.Lock()
	s.noWitnessUntil = time.Time{}
	s.mu.Unlock()
	tick := time.NewTicker(witnessCheckInterval)
	defer tick.Stop()
	// One that was being opened may have met the limit of connections, which the response counted towards.
	for range 2 {
		s.renewWitness(time.Now())
		for {
			s.mu.Lock()
			w, opening := s.witness, s.openingWitness
			s.mu.Unlock()
			if w != nil && w.isOpen() {
				return w
			}
			if !opening {
				break
			}
			select {
			case <-ctx.Done():
				return nil
			case <-tick.C:
			}
		}
	}
	return nil
}

// outlast reports whether a witness is open until after the deadline. It looks at them at each tick.
func outlast(ctx context.Context, witnesses []*conn, tick, deadline <-chan time.Time) (bool, error) {
	for passed := false; ; {
		witnesses = slices.DeleteFunc(witnesses, func(w *conn) bool { return !w.isOpen() })
		// The last look is after the deadline: a router that was stopped or is overloaded may have seen no tick.
		if len(witnesses) == 0 || passed {
			return passed && len(witnesses) > 0, nil
		}
		select {
		case <-ctx.Done():
			return false, ctx.Err()
		case <-deadline:
			passed = true
		case <-tick:
		}
	}
}

// beginExchange records that a request is about to be sent on c. It reports whether a response without a length
// is expected, which is watched then.
func (s *serverPool) beginExchange(c *conn) (watched bool) {
	now := time.Now()
	s.mu.Lock()
	c.openAt, c.hasWitness = now, false
	watched = now.Sub(s.unframedAt) < unframedMemory
	s.mu.Unlock()
	if watched {
		s.watch()
		s.mu.Lock()
		// The request is not sent yet, so that a response shows that the connection is open now.
		c.openAt = time.Now()
		c.hasWitness = s.hasWitnessSince(c.openAt)
		s.mu.Unlock()
	}
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
		former := s.witness
		s.mu.Unlock()
		s.renewWitness(now)
		s.mu.Lock()
		replaced := s.witness != former
		s.mu.Unlock()
		if replaced {
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
			c.openAt = now
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
		if w != c && w.openedAt.Before(c.openAt) && w.isOpen() {
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

// renewWitness takes an idle connection as the witness, or opens one, if one is needed and there is none that lasts.
func (s *serverPool) renewWitness(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.watching == 0 || s.openingWitness || s.witness != nil && s.isLastingWitness(s.witness, now) {
		return
	}
	for i, c := range slices.Backward(s.idle) {
		if s.isLastingWitness(c, now) {
			s.idle = slices.Delete(s.idle, i, i+1)
			s.replaceWitness(c)
			return
		}
	}
	if now.Before(s.noWitnessUntil) {
		return
	}
	s.openingWitness = true
	go s.openWitness()
}

func (s *serverPool) openWitness() {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	c, err := s.open(ctx, s.witnessLimit())
	s.mu.Lock()
	s.openingWitness = false
	if err != nil {
		s.mu.Unlock() // Other responses in progress may show as much.
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

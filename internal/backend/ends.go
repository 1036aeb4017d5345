package backend

import (
	"context"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/kumquathollow/kumquathollow/internal/deadline"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/httpheader"
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
	// MaxTimePastDeadline is how long after the deadline of its request an end that came before it is looked at.
	MaxTimePastDeadline = 200 * time.Millisecond
	// maxLateRead is how long after its end a response may be read, and a connection be opened then, for that to show
	// anything: a router that was stopped, or is overloaded, may find another process at the address.
	maxLateRead = 100 * time.Millisecond
	// unframedMemory is how long after a response without a length a server is expected to send another.
	unframedMemory = 10 * time.Second
)

// ErrEndUnconfirmed is the cause of the error that takes the place of the end of a response without a length if
// the server's process may have ended with it.
var ErrEndUnconfirmed = errors.New("the connection ended a response without a length, and no other one shows that the server's process outlived it")

// requireConfirmedEnd makes the end of the response an error unless it is confirmed, if it is that of the connection.
// onConfirm is called before that, unless it is nil.
func (r *Response) requireConfirmedEnd(ctx context.Context, onConfirm func()) {
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
	if httpheader.IsEventStream(r.Header) {
		within = streamEndTime
	}
	r.Body = &deadline.CheckedBody{ReadCloser: r.Body, Check: func() error {
		if onConfirm != nil {
			onConfirm()
		}
		return r.conn.confirmEnd(ctx, within)
	}}
}

// confirmEnd closes the connection, which has ended, and returns an error unless the server's process is known to
// have outlived it by the given time.
func (c *conn) confirmEnd(ctx context.Context, within time.Duration) error {
	s := c.pool
	lateAt := time.Now().Add(maxLateRead - c.sinceEnded())
	_ = c.Close() // The server has room for another connection now.
	witnesses, sufficient := s.witnesses(c)
	if !sufficient && time.Now().Before(lateAt) {
		// The response was over before a witness was there. One that is opened after it does not tell a server that was
		// replaced at its address within that moment.
		if w := s.awaitWitness(ctx); w != nil && s.isOpenedBefore(w, lateAt) {
			witnesses = append(witnesses, w)
		}
	}
	if at, ok := ctx.Deadline(); ok {
		within = min(within, time.Until(at)+MaxTimePastDeadline)
	}
	var refused atomic.Bool
	go func() { refused.Store(s.isRefused()) }()
	passed := time.NewTimer(within)
	defer passed.Stop()
	tick := time.NewTicker(witnessCheckInterval)
	defer tick.Stop()
	confirmed, err := outlast(ctx, witnesses, tick.C, passed.C)
	confirmed = confirmed && !refused.Load()
	if !sufficient && s.pool.opts.IsReplaced != nil {
		confirmed = confirmed && !s.pool.opts.IsReplaced(Target{ID: s.id, Born: s.born, Address: s.address})
	}
	if err == nil && !confirmed {
		err = errkind.Wrap(ErrEndUnconfirmed, errkind.BackendLost, "server %q", s.id)
	}
	return err
}

// isRefused reports whether the server accepts no connection any more: its process may be ending, and end its
// connections one after another. One that it accepts is kept for the next request, in place of the one that has ended.
func (s *serverPool) isRefused() bool {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	_, err := s.openIdle(ctx, s.witnessLimit())
	return errors.Is(err, syscall.ECONNREFUSED)
}

// awaitWitness returns the witness, after it was opened if there is none, or nil if that fails. It is called while
// a response is watched.
func (s *serverPool) awaitWitness(ctx context.Context) *conn {
	s.mu.Lock()
	s.noWitnessUntil = time.Time{}
	s.mu.Unlock()
	// One that was being opened may have met the limit of connections, which the response counted towards.
	for range 2 {
		s.renewWitness(time.Now())
		for {
			w, opening := s.currentWitness()
			if w != nil && w.isOpen() {
				return w
			}
			if opening == nil {
				break
			}
			select {
			case <-ctx.Done():
				return nil
			case <-opening:
			}
		}
	}
	return nil
}

// outlast reports whether a witness is open until after the deadline. It looks at them at each tick. That may go on after
// the deadline of ctx: the response has ended before it.
func outlast(ctx context.Context, witnesses []*conn, tick, deadline <-chan time.Time) (bool, error) {
	done := ctx.Done()
	for passed := false; ; {
		// One that is open is enough, and one that has ended does not open again.
		for len(witnesses) > 0 && !witnesses[0].isOpen() {
			witnesses = witnesses[1:]
		}
		// The last look is after the deadline: a router that was stopped or is overloaded may have seen no tick.
		if len(witnesses) == 0 || passed {
			return passed && len(witnesses) > 0, nil
		}
		select {
		case <-done:
			if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
				return false, ctx.Err()
			}
			done = nil
		case <-deadline:
			passed = true
		case <-tick:
		}
	}
}

package fleetview

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/kumquathollow/kumquathollow/internal/clock"
	"github.com/kumquathollow/kumquathollow/internal/streamorigin"
)

// Incarnation is a connection to a server and the incarnation of the server that it is taken to lead to. A server
// may have started again under its id and address before the connection was opened, with another software version.
type Incarnation struct {
	ID   string
	Born int64
	// ConnectedAt is when the connection was opened, by the boot clock.
	ConnectedAt time.Duration
}

// Errors of ConfirmIncarnation.
var (
	ErrReplaced    = errors.New("the server has started again since")
	ErrNotInformed = errors.New("the directory did not say in time which incarnation of the server runs")
)

const (
	// announceTime is how long after it accepts its first connection a server has announced itself, at least.
	announceTime = 100 * time.Millisecond
	// confirmTimeout limits waiting for the directory. It exceeds the time after which the directory answers, by the time
	// in which a lost session is replaced.
	confirmTimeout = time.Second
	// listTime is how long a directory process takes to send the list of all servers to a router that begins to
	// report to it. Those of earlier releases do not answer syncs.
	listTime = 2 * time.Second
	// maxUnconfirmed limits the streams whose origin waits to be confirmed: the newest are kept.
	maxUnconfirmed = 4096
)

// syncs says until when the router knows which incarnations of servers run. It is safe for concurrent use.
type syncs struct {
	// wanted is set if the next report is to ask.
	wanted atomic.Bool
	// knownUntil is the time, by the boot clock, at which the router sent the sync that was answered last: it has
	// received all servers that had announced themselves by then.
	knownUntil atomic.Int64

	mu sync.Mutex
	// advanced is closed when knownUntil rises.
	advanced chan struct{}
	// unconfirmed are the streams that began at servers whose incarnation is not confirmed yet, oldest first.
	unconfirmed []unconfirmedStream
}

type unconfirmedStream struct {
	stream streamorigin.Stream
	origin streamorigin.Origin
	server Incarnation
	// urgent is set if the origin is to be reported at once.
	urgent bool
}

// wait returns a channel that is closed when knownUntil rises.
func (s *syncs) wait() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.advanced == nil {
		s.advanced = make(chan struct{})
	}
	return s.advanced
}

// advance records that the router knows all servers that had announced themselves by then.
func (s *syncs) advance(until time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if int64(until) <= s.knownUntil.Load() {
		return false
	}
	s.knownUntil.Store(int64(until))
	if s.advanced != nil {
		close(s.advanced)
		s.advanced = nil
	}
	return true
}

func (s *syncs) addUnconfirmed(u unconfirmedStream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unconfirmed = append(s.unconfirmed, u)
	s.unconfirmed = s.unconfirmed[max(0, len(s.unconfirmed)-maxUnconfirmed):]
}

// takeUnconfirmed removes the streams for which isDue returns true.
func (s *syncs) takeUnconfirmed(isDue func(Incarnation) bool) (due []unconfirmedStream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var kept []unconfirmedStream
	for _, u := range s.unconfirmed {
		if isDue(u.server) {
			due = append(due, u)
		} else {
			kept = append(kept, u)
		}
	}
	s.unconfirmed = kept
	return due
}

// recordSync records what an update says about the servers that the router knows, after those that it brings.
func (v *View) recordSync(l *link, u update) {
	if l != v.reportTo.Load() || !u.InQuorum {
		return
	}
	l.answersSyncs = l.answersSyncs || u.Synced != 0
	until := time.Duration(u.Synced)
	if !l.answersSyncs && u.Confirmed && u.pingSentAt > l.reportsSince+listTime {
		until = u.pingSentAt
	}
	if !v.syncs.advance(until) {
		return
	}
	for _, u := range v.syncs.takeUnconfirmed(v.isDecided) {
		v.RecordOrigin(u.stream, u.origin, u.server, u.urgent)
	}
}

// ServersKnownAge returns the time since the question was sent to which the directory answered last that the router knew
// all servers; the time since the boot if it has answered none.
func (v *View) ServersKnownAge() time.Duration {
	return clock.SinceBoot() - time.Duration(v.syncs.knownUntil.Load())
}

// IsConfirmed reports whether ConfirmIncarnation would return nil without waiting.
func (v *View) IsConfirmed(i Incarnation) bool {
	return v.isDecided(i) && v.opts.Fleet.IsLatest(i.ID, i.Born)
}

// isDecided reports whether the router knows which incarnation of the server ran when the connection was opened.
func (v *View) isDecided(i Incarnation) bool {
	return time.Duration(v.syncs.knownUntil.Load()) >= i.ConnectedAt+announceTime
}

// ConfirmIncarnation waits until the router knows that no other incarnation of the server ran when the connection was
// opened. A router that is cut off or has stood still does not know that of itself. The error is ErrReplaced,
// ErrNotInformed or that of ctx.
func (v *View) ConfirmIncarnation(ctx context.Context, i Incarnation) error {
	ctx, cancel := context.WithTimeoutCause(ctx, confirmTimeout, ErrNotInformed)
	defer cancel()
	for {
		advanced := v.syncs.wait()
		if v.isDecided(i) {
			if !v.opts.Fleet.IsLatest(i.ID, i.Born) {
				return ErrReplaced
			}
			return nil
		}
		if v.reportTo.Load() == nil {
			return ErrNotInformed
		}
		// An answer to what was asked before would not suffice.
		select {
		case <-time.After(i.ConnectedAt + announceTime - clock.SinceBoot()):
		case <-ctx.Done():
			return context.Cause(ctx)
		}
		v.askForSync()
		select {
		case <-advanced:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

// askForSync asks the directory which incarnations of servers run now.
func (v *View) askForSync() {
	if l := v.reportTo.Load(); l != nil {
		v.syncs.wanted.Store(true)
		l.reportNow()
	}
}

// RecordOrigin records and reports which version of which service began a stream at a server, once it is known that
// this incarnation of the server did. It is asked for and reported at once if that is urgent.
func (v *View) RecordOrigin(s streamorigin.Stream, o streamorigin.Origin, server Incarnation, urgent bool) {
	if !v.isDecided(server) {
		v.syncs.addUnconfirmed(unconfirmedStream{s, o, server, urgent})
		if urgent {
			v.askForSync()
		}
		return
	}
	if !v.opts.Fleet.IsLatest(server.ID, server.Born) || !v.origins.Record(s, o, time.Now()) || !urgent {
		return
	}
	if l := v.reportTo.Load(); l != nil {
		l.reportNow()
	}
}

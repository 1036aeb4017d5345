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

// Connection is a connection to a server and the software that it is taken to lead to. The server may have started
// again under its id and address before the connection was opened, with another version.
type Connection struct {
	// Server is the id of the server, and Born the start of the incarnation, in Unix milliseconds.
	Server   string
	Born     int64
	Software streamorigin.Origin
	// OpenedAt is when the connection was opened, by the boot clock.
	OpenedAt time.Duration
}

// Errors of ConfirmVersion.
var (
	ErrReplaced    = errors.New("the server has started again with another version since")
	ErrNotInformed = errors.New("the directory did not say in time which version of the server runs")
)

const (
	// announceTime is how long after it accepts its first connection a server has announced itself, at the latest.
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
	// seenSince is the time, by the boot clock, since which the router was sent every incarnation that announced itself,
	// one after another. In another session it gets the latest ones. session is that session; it is owned by
	// the goroutine of View.Run.
	seenSince atomic.Int64
	session   *link

	mu sync.Mutex
	// advanced is closed when knownUntil rises.
	advanced chan struct{}
	// unconfirmed are the streams that began at servers whose version is not confirmed yet, oldest first.
	unconfirmed []unconfirmedStream
}

type unconfirmedStream struct {
	stream streamorigin.Stream
	began  Connection
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
func (s *syncs) takeUnconfirmed(isDue func(Connection) bool) (due []unconfirmedStream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var kept []unconfirmedStream
	for _, u := range s.unconfirmed {
		if isDue(u.began) {
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
	if until != 0 && v.syncs.session != l {
		v.syncs.session = l
		v.syncs.seenSince.Store(int64(until))
	}
	if !v.syncs.advance(until) {
		return
	}
	for _, u := range v.syncs.takeUnconfirmed(v.isDecided) {
		v.RecordOrigin(u.stream, u.began, u.urgent)
	}
}

// ServersKnownAge returns the time since the question was sent to which the directory answered last that the router knew
// all servers; the time since the boot if it has answered none.
func (v *View) ServersKnownAge() time.Duration {
	return clock.SinceBoot() - time.Duration(v.syncs.knownUntil.Load())
}

// isDecided reports whether the router knows which incarnation of the server ran when the connection was opened.
func (v *View) isDecided(c Connection) bool {
	return time.Duration(v.syncs.knownUntil.Load()) >= c.OpenedAt+announceTime
}

// hasVersion reports whether no incarnation with another version can have run when the connection was opened: the one
// that it is taken to lead to is still the latest, or all that the router has been sent since have its version.
func (v *View) hasVersion(c Connection) bool {
	s := v.opts.Fleet.LatestIncarnation(c.Server)
	if s == nil || s.Service != c.Software.Service || s.Version != c.Software.Version {
		return false
	}
	return s.Born == c.Born || c.OpenedAt >= s.VersionSince && c.OpenedAt >= time.Duration(v.syncs.seenSince.Load())
}

// IsConfirmed reports whether ConfirmVersion would return nil without waiting.
func (v *View) IsConfirmed(c Connection) bool { return v.isDecided(c) && v.hasVersion(c) }

// ConfirmVersion waits until the router knows that no incarnation of the server with another version ran when the
// connection was opened. A router that is cut off or has stood still does not know that of itself. The error is
// ErrReplaced, ErrNotInformed or that of ctx.
func (v *View) ConfirmVersion(ctx context.Context, c Connection) error {
	ctx, cancel := context.WithTimeoutCause(ctx, confirmTimeout, ErrNotInformed)
	defer cancel()
	for {
		advanced := v.syncs.wait()
		if v.isDecided(c) {
			if !v.hasVersion(c) {
				return ErrReplaced
			}
			return nil
		}
		if v.reportTo.Load() == nil {
			return ErrNotInformed
		}
		// An answer to what was asked before would not suffice.
		select {
		case <-time.After(c.OpenedAt + announceTime - clock.SinceBoot()):
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

// RecordOrigin records and reports the software that began a stream on a connection, once it is known that this version
// did. It is asked for and reported at once if that is urgent.
func (v *View) RecordOrigin(s streamorigin.Stream, began Connection, urgent bool) {
	if !v.isDecided(began) {
		v.syncs.addUnconfirmed(unconfirmedStream{s, began, urgent})
		if urgent {
			v.askForSync()
		}
		return
	}
	if !v.hasVersion(began) || !v.origins.Record(s, began.Software, time.Now()) || !urgent {
		return
	}
	if l := v.reportTo.Load(); l != nil {
		l.reportNow()
	}
}

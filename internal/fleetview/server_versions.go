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

// Connection is a connection to a server whose process does not tell its start, and the software that it is taken to lead to.
// The server may have started again under its id and address before the connection was opened, with another version.
type Connection struct {
	// Server is the id of the server, and Born the start of the incarnation, in Unix milliseconds.
	Server   string
	Born     int64
	Software streamorigin.Origin
	// OpenedAt is when the connection was opened, by the boot clock.
	OpenedAt time.Duration
}

// Errors of ConfirmVersion and AwaitServers.
var (
	ErrReplaced    = errors.New("the server has started again with another version since")
	ErrNotInformed = errors.New("the directory did not say in time which version of the server runs")
)

const (
	// confirmTimeout limits waiting for the directory. It exceeds the time after which the directory answers, by the time
	// in which a lost session is replaced.
	confirmTimeout = time.Second
	// listTime is how long a directory process takes to send the list of all servers to a router that begins to
	// report to it. Those of earlier releases do not answer syncs.
	listTime = 2 * time.Second
	// heardInterval is how often the router looks for an announcement that it waits for.
	heardInterval = 20 * time.Millisecond
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
func (s *syncs) advance(until time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if int64(until) <= s.knownUntil.Load() {
		return
	}
	s.knownUntil.Store(int64(until))
	if s.advanced != nil {
		close(s.advanced)
		s.advanced = nil
	}
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
	v.syncs.advance(until)
}

// ServersKnownAge returns the time since the question was sent to which the directory answered last that the router knew
// all servers; the time since the boot if it has answered none.
func (v *View) ServersKnownAge() time.Duration {
	return clock.SinceBoot() - time.Duration(v.syncs.knownUntil.Load())
}

// knowsServersOf reports whether the router knows all servers that had announced themselves at a time by the boot clock.
func (v *View) knowsServersOf(at time.Duration) bool {
	return time.Duration(v.syncs.knownUntil.Load()) >= at
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

// ConfirmVersion waits until the router knows that no incarnation of the server with another version ran when the
// connection was opened: all servers that had announced themselves are known, and this one has done so again since. The
// error is ErrReplaced, ErrNotInformed or that of ctx.
func (v *View) ConfirmVersion(ctx context.Context, c Connection) error {
	ctx, cancel := context.WithTimeoutCause(ctx, confirmTimeout, ErrNotInformed)
	defer cancel()
	if err := v.AwaitServers(ctx, c.OpenedAt); err != nil {
		return err
	}
	return awaitAnnouncement(ctx, func() (bool, error) {
		if !v.hasVersion(c) {
			return true, ErrReplaced
		}
		return v.opts.Fleet.LatestIncarnation(c.Server).HeardSince(c.OpenedAt), nil
	})
}

// AwaitServers waits until the router knows all servers that had announced themselves at a time by the boot clock. A router that
// is cut off or has stood still does not know that of itself. The error is ErrNotInformed or that of ctx.
func (v *View) AwaitServers(ctx context.Context, at time.Duration) error {
	ctx, cancel := context.WithTimeoutCause(ctx, confirmTimeout, ErrNotInformed)
	defer cancel()
	for {
		advanced := v.syncs.wait()
		if v.knowsServersOf(at) {
			return nil
		}
		if v.reportTo.Load() == nil {
			return ErrNotInformed
		}
		// An answer to what was asked before would not suffice.
		v.askForSync()
		select {
		case <-advanced:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

// AwaitReplacement waits until another incarnation of the server than the given one is known. The error is ErrNotInformed or
// that of ctx.
func (v *View) AwaitReplacement(ctx context.Context, server string, born int64) error {
	ctx, cancel := context.WithTimeoutCause(ctx, confirmTimeout, ErrNotInformed)
	defer cancel()
	return awaitAnnouncement(ctx, func() (bool, error) {
		s := v.opts.Fleet.LatestIncarnation(server)
		return s != nil && s.Born != born, nil
	})
}

// awaitAnnouncement waits until an announcement has made done true, and returns its error or that of ctx.
func awaitAnnouncement(ctx context.Context, done func() (bool, error)) error {
	for {
		if ok, err := done(); ok {
			return err
		}
		select {
		case <-time.After(heardInterval):
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

// askForSync asks the directory which incarnations of servers run now.
func (v *View) askForSync() {
	v.syncs.wanted.Store(true)
	v.reportNow()
}

// RecordOrigin records and reports the software that began a stream; at once if that is urgent.
func (v *View) RecordOrigin(s streamorigin.Stream, o streamorigin.Origin, urgent bool) {
	if v.origins.Record(s, o, time.Now()) && urgent {
		v.reportNow()
	}
}

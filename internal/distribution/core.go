package distribution

import (
	"time"

	"github.com/kumquathollow/kumquathollow/api/controlpb"
	"github.com/kumquathollow/kumquathollow/internal/config"
)

// core is the state machine of a watcher. It does no I/O and reads no clock.
type core struct {
	// isolationBound is the maximum age of the latest confirmation; the node is
	// isolated beyond it.
	isolationBound time.Duration
	// startupTimeout is how long a starting node waits for a recent confirmation.
	startupTimeout time.Duration
	// minSources is the number of sources whose responses make a starting node
	// ready without a recent confirmation.
	minSources int
	started    time.Time

	// declared is the configuration in force as declared; defaulted is the same
	// with all defaults applied.
	declared  *config.Set
	defaulted *config.Set
	// confirmedAt is the latest time at which no newer revision had been accepted.
	confirmedAt time.Time
	// responded holds the sources that have responded since the start.
	responded map[string]bool
	// partial holds, by source, the parts of an update whose last part has not
	// arrived.
	partial map[string]*controlpb.ConfigUpdate
}

// effects lists what the owner of the core has to do after an input.
type effects struct {
	// publish is set when there is a new configuration to store and publish.
	publish bool
	// resync is set when the stream must be reopened from the revision in force.
	resync bool
	// stale is set when the source's own confirmation is older than the isolation
	// bound.
	stale bool
	// confirmed is set when the time of the latest confirmation has advanced.
	confirmed bool
	// err is the reason for rejecting an update.
	err error
}

func newCore(isolationBound, startupTimeout time.Duration, minSources int, now time.Time) *core {
	return &core{
		isolationBound: isolationBound,
		startupTimeout: startupTimeout,
		minSources:     minSources,
		started:        now,
		responded:      map[string]bool{},
		partial:        map[string]*controlpb.ConfigUpdate{},
	}
}

// revision returns the revision in force, or zero if there is none.
func (c *core) revision() config.Revision {
	if c.declared == nil {
		return config.Revision{}
	}
	return c.declared.Revision
}

// restore takes the configuration stored on disk. It does not count as a
// confirmation, because its age is unknown.
func (c *core) restore(s *config.Set) effects {
	if s == nil || !c.revision().Less(s.Revision) {
		return effects{}
	}
	c.setInForce(s)
	return effects{publish: true}
}

// streamOpened discards the parts of an update that the source's earlier stream did
// not complete.
func (c *core) streamOpened(source string) { delete(c.partial, source) }

// receive processes one message from a source.
func (c *core) receive(source string, u *controlpb.ConfigUpdate, now time.Time) effects {
	u = c.assemble(source, u)
	if u == nil {
		return effects{}
	}
	rev := config.RevisionFromProto(u.Revision)
	var eff effects
	if c.revision().Less(rev) {
		eff = c.applyNewer(u, rev)
	}
	if eff.resync || eff.err != nil {
		return eff
	}
	c.responded[source] = true
	eff.stale = time.Duration(min(u.AgeMs, maxAgeMs))*time.Millisecond > c.isolationBound
	eff.confirmed = c.confirm(rev, u.AgeMs, now)
	return eff
}

// assemble joins the parts of an update and returns it once it is complete.
func (c *core) assemble(source string, u *controlpb.ConfigUpdate) *controlpb.ConfigUpdate {
	if part := c.partial[source]; part != nil {
		part.Upserts = append(part.Upserts, u.Upserts...)
		part.Deletes = append(part.Deletes, u.Deletes...)
		part.AgeMs = u.AgeMs
		if u.More {
			return nil
		}
		delete(c.partial, source)
		return part
	}
	if u.More {
		c.partial[source] = u
		return nil
	}
	return u
}

// applyNewer applies an update that is newer than the revision in force.
func (c *core) applyNewer(u *controlpb.ConfigUpdate, rev config.Revision) effects {
	if u.Keepalive {
		return effects{resync: true}
	}
	next, err := c.nextSet(u, rev)
	if err != nil {
		return effects{err: err}
	}
	if next == nil {
		return effects{resync: true}
	}
	c.setInForce(next)
	return effects{publish: true}
}

// nextSet returns the set that results from the update, or nil if the update is a
// delta from a revision other than the one in force.
func (c *core) nextSet(u *controlpb.ConfigUpdate, rev config.Revision) (*config.Set, error) {
	if u.Full {
		return config.FromObjects(rev, u.Upserts)
	}
	if c.declared == nil || c.declared.Revision != config.RevisionFromProto(u.Base) {
		return nil, nil
	}
	return c.declared.Apply(rev, u.Upserts, u.Deletes)
}

func (c *core) setInForce(s *config.Set) {
	c.defaulted = s.WithDefaultsFrom(c.declared, c.defaulted)
	c.declared = s
}

// confirm records that rev was the newest revision ageMs ago. This confirms the
// revision in force only if that is at least as new and of the same epoch.
func (c *core) confirm(rev config.Revision, ageMs uint64, now time.Time) bool {
	if c.declared == nil || rev.Epoch != c.declared.Revision.Epoch {
		return false
	}
	at := now.Add(-time.Duration(min(ageMs, maxAgeMs)) * time.Millisecond)
	if !at.After(c.confirmedAt) {
		return false
	}
	c.confirmedAt = at
	return true
}

// addAge increases the age of the latest confirmation by a time that the clock did
// not count.
func (c *core) addAge(d time.Duration) {
	if d > 0 && !c.confirmedAt.IsZero() {
		c.confirmedAt = c.confirmedAt.Add(-d)
	}
}

// isolated reports whether the latest confirmation is older than the isolation
// bound.
func (c *core) isolated(now time.Time) bool { return isolatedAt(c.confirmedAt, c.isolationBound, now) }

func isolatedAt(confirmed time.Time, bound time.Duration, now time.Time) bool {
	return confirmed.IsZero() || now.Sub(confirmed) > bound
}

// ready reports whether the node may take work. It must have a configuration, and
// must either know that this is the newest, or have responses from enough sources,
// or have waited for them for startupTimeout.
func (c *core) ready(now time.Time) bool {
	switch {
	case c.declared == nil:
		return false
	case !c.isolated(now):
		return true
	case len(c.responded) >= c.minSources:
		return true
	}
	return now.Sub(c.started) >= c.startupTimeout
}

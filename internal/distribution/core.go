package distribution

import (
	"time"

	"github.com/kumquathollow/kumquathollow/api/controlpb"
	"github.com/kumquathollow/kumquathollow/internal/config"
)

// core is the state of a watcher. It does no I/O and reads no clock.
type core struct {
	// bound is how old the news may be before the node is isolated.
	bound time.Duration
	// startupWait is how long a starting node waits for news that is not old.
	startupWait time.Duration
	// quorum is how many sources a starting node wants to have heard.
	quorum  int
	started time.Time

	declared *config.Set
	filled   *config.Set
	// confirmed is the last moment at which no newer revision had been accepted.
	confirmed time.Time
	// heard holds the sources that have answered since the start.
	heard map[string]bool
	// partial holds the parts of an update that has not ended, by source.
	partial map[string]*controlpb.ConfigUpdate
}

// effects is what the owner of the core has to do after a step.
type effects struct {
	// publish is true when there is a new configuration to persist and publish.
	publish bool
	// resync is true when the source must be asked again from the revision in force.
	resync bool
	// stale is true when the source's own news is older than the bound.
	stale bool
	// confirmed is true when the moment of the last confirmation has moved.
	confirmed bool
	// err is why an update was refused.
	err error
}

func newCore(bound, startupWait time.Duration, quorum int, now time.Time) *core {
	return &core{
		bound:       bound,
		startupWait: startupWait,
		quorum:      quorum,
		started:     now,
		heard:       map[string]bool{},
		partial:     map[string]*controlpb.ConfigUpdate{},
	}
}

// revision returns the revision in force; zero for none.
func (c *core) revision() config.Revision {
	if c.declared == nil {
		return config.Revision{}
	}
	return c.declared.Revision
}

// restore takes the configuration that was kept on disk. It counts as news of
// unknown age.
func (c *core) restore(s *config.Set) effects {
	if s == nil || !c.revision().Less(s.Revision) {
		return effects{}
	}
	c.adopt(s)
	return effects{publish: true}
}

// opened forgets the parts of an update that an earlier stream cut off.
func (c *core) opened(source string) { delete(c.partial, source) }

// receive takes one message of a source.
func (c *core) receive(source string, u *controlpb.ConfigUpdate, now time.Time) effects {
	u = c.assemble(source, u)
	if u == nil {
		return effects{}
	}
	rev := config.FromPB(u.Revision)
	var e effects
	if c.revision().Less(rev) {
		e = c.advance(u, rev)
	}
	if e.resync || e.err != nil {
		return e
	}
	c.heard[source] = true
	e.stale = time.Duration(min(u.AgeMs, maxAgeMs))*time.Millisecond > c.bound
	e.confirmed = c.confirm(rev, u.AgeMs, now)
	return e
}

// assemble joins the parts of an update and returns it when it is whole.
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

// advance takes an update that is newer than the revision in force.
func (c *core) advance(u *controlpb.ConfigUpdate, rev config.Revision) effects {
	if u.Keepalive {
		return effects{resync: true}
	}
	next, err := c.next(u, rev)
	if err != nil {
		return effects{err: err}
	}
	if next == nil {
		return effects{resync: true}
	}
	c.adopt(next)
	return effects{publish: true}
}

// next returns the set that the update leads to, or nil if it is a delta from
// another revision than the one in force.
func (c *core) next(u *controlpb.ConfigUpdate, rev config.Revision) (*config.Set, error) {
	if u.Full {
		return config.FromObjects(rev, u.Upserts)
	}
	if c.declared == nil || c.declared.Revision != config.FromPB(u.Base) {
		return nil, nil
	}
	return c.declared.Apply(rev, u.Upserts, u.Deletes)
}

func (c *core) adopt(s *config.Set) {
	c.filled = s.WithDefaultsFrom(c.declared, c.filled)
	c.declared = s
}

// confirm notes that rev was the newest ageMs ago. It counts if the revision in
// force is at least as new in the same epoch.
func (c *core) confirm(rev config.Revision, ageMs uint64, now time.Time) bool {
	if c.declared == nil || rev.Epoch != c.declared.Revision.Epoch {
		return false
	}
	at := now.Add(-time.Duration(min(ageMs, maxAgeMs)) * time.Millisecond)
	if !at.After(c.confirmed) {
		return false
	}
	c.confirmed = at
	return true
}

// age makes the news older by a time that the clock has not shown.
func (c *core) age(d time.Duration) {
	if d > 0 && !c.confirmed.IsZero() {
		c.confirmed = c.confirmed.Add(-d)
	}
}

// isolated reports whether the news is older than the bound.
func (c *core) isolated(now time.Time) bool { return isolatedAt(c.confirmed, c.bound, now) }

func isolatedAt(confirmed time.Time, bound time.Duration, now time.Time) bool {
	return confirmed.IsZero() || now.Sub(confirmed) > bound
}

// ready reports whether the node may take work: it has a configuration, and
// either knows that it is the newest, or has asked enough sources, or has
// waited for them in vain.
func (c *core) ready(now time.Time) bool {
	switch {
	case c.declared == nil:
		return false
	case !c.isolated(now):
		return true
	case len(c.heard) >= c.quorum:
		return true
	}
	return now.Sub(c.started) >= c.startupWait
}

package replication

import (
	"context"
	"time"

	pb "github.com/kumquathollow/kumquathollow/api/replicationpb"
)

// Suspend makes the core ignore messages and the time, and refuse proposals and reads,
// until Resume is called. It may be called between Ready and ReportDurable, when what has to
// be persisted cannot be for now. A suspended core resembles a process that is paused.
func (c *Core) Suspend() { c.suspended = true }

// HandOverSuspended returns messages to be sent at once: a suspended leader asks a voter that
// it has sent its whole log to campaign. They may be sent again, in case they are lost.
func (c *Core) HandOverSuspended() []*pb.Message {
	if !c.suspended {
		return nil
	}
	return c.handOver(func(p *progress) bool { return p.next > c.log.last() })
}

// Resume ends a suspension. ReportDurable must have been called.
func (c *Core) Resume() {
	c.suspended = false
	c.resetElection()
}

const (
	// A suspended group tries to persist its state again after minSuspension, then after
	// twice the time each, up to maxSuspension.
	minSuspension = 50 * time.Millisecond
	maxSuspension = time.Second
)

// suspension holds the work that a group could not persist because its disk is full.
type suspension struct {
	// ready is nil if the group is not suspended.
	ready *Ready
	since time.Duration
	// wait is the time between the last two attempts, and retryAt when the next one is due.
	wait, retryAt time.Duration
	attempts      int
}

// suspend suspends the core, or goes on to, until r can be persisted. Nothing that depends
// on r is sent before.
func (g *Group) suspend(ctx context.Context, r *Ready, cause error) {
	s, now := &g.suspension, g.now()
	if s.ready == nil {
		*s = suspension{ready: r, since: now, wait: minSuspension / 2}
		g.core.Suspend()
		g.opt.Log.Error("disk full: this voter is suspended", "term", g.core.Term(), "commit", g.core.Commit(), "leading", g.core.Role() == Leader, "error", cause)
	}
	g.peers.send(ctx, g.core.HandOverSuspended())
	s.attempts++
	s.wait = min(maxSuspension, 2*s.wait)
	s.retryAt = now + s.wait
}

// resume ends the suspension after its work was persisted.
func (g *Group) resume() {
	s := &g.suspension
	g.opt.Log.Info("disk has room again: this voter resumes", "after", (g.now() - s.since).Round(time.Millisecond), "attempts", s.attempts, "term", g.core.Term())
	*s = suspension{}
	g.core.Resume()
}

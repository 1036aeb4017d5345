package admission

import (
	"time"

	"github.com/kumquathollow/kumquathollow/api/grantpb"
)

// routerKey identifies one run of a router process.
type routerKey struct{ name, incarnation string }

// router is one run of a router process. It may have several sessions, one after
// another.
type router struct {
	key     routerKey
	session SessionID
}

// session is one router's session with the grantor.
type session struct {
	router  *router
	waiters map[uint64]queuedAsk
	// Every result that had reached the router by watermark has been received here:
	// watermark is the time of a message that was followed by another one at least
	// Options.Margin later. nextWatermark is the time that becomes the watermark
	// next.
	watermark     Instant
	nextWatermark Instant
}

// KeepAlive records activity on a session, such as the answer to a ping.
func (c *Core) KeepAlive(now Instant, id SessionID) {
	c.advance(now)
	c.recordActivity(now, id)
}

// recordActivity advances the session's watermark. Messages that may have been
// queued while this process was paused are ignored.
func (c *Core) recordActivity(now Instant, id SessionID) {
	s := c.sessions[id]
	if s == nil || now < c.reportsTrustedFrom {
		return
	}
	if now >= s.nextWatermark+c.options.Margin {
		s.watermark, s.nextWatermark = s.nextWatermark, now
	}
}

// OpenSession starts a session. Permits that the router lists as held are assigned
// to it; the router's other permits become untracked.
func (c *Core) OpenSession(now Instant, id SessionID, h *grantpb.Hello) {
	key := routerKey{h.Router, h.Incarnation}
	r := c.routers[key]
	if r == nil {
		r = &router{key: key}
	}
	if r.session != 0 {
		c.effects = append(c.effects, Effect{Kind: Superseded, Session: r.session})
		c.CloseSession(r.session)
	}
	c.routers[key] = r
	r.session = id
	c.sessions[id] = &session{router: r, waiters: map[uint64]queuedAsk{}, nextWatermark: now}
	for _, held := range h.Held {
		c.adoptPermit(now, id, held)
	}
	for _, o := range h.Overrides {
		c.Override(now, Override{Target: o.Target, Out: o.Out, StampMS: o.StampMs, Reason: o.Reason})
	}
	for _, a := range h.Announcements {
		c.Announce(now, a)
	}
}

// CloseSession ends a session: its queued asks are removed, and its permits stay
// counted.
func (c *Core) CloseSession(id SessionID) {
	s := c.sessions[id]
	if s == nil {
		return
	}
	for _, q := range s.waiters {
		c.dequeue(q)
	}
	delete(c.sessions, id)
	s.router.session = 0
	delete(c.routers, s.router.key)
	for i := range c.permits {
		if c.permits[i].active && c.permits[i].session == id {
			c.permits[i].session = 0
		}
	}
}

// adoptPermit assigns a permit that a router holds to the session. One that was
// granted in an earlier term is added if it is not known.
func (c *Core) adoptPermit(now Instant, id SessionID, held *grantpb.Held) {
	if i := c.findPermit(held.Term, held.PermitId); i != 0 {
		c.permits[i].session = id
		return
	}
	if held.Term == c.term {
		return
	}
	server, ok := c.byName[held.Server]
	if !ok {
		server = c.addServer(&grantpb.Announcement{Name: held.Server, Service: held.Service})
		c.rebuildPools()
	}
	granted, started := c.acquiredAt, c.acquiredAt+c.options.StartWindow
	if held.RunningMs > 0 {
		started = now - time.Duration(held.RunningMs)*time.Millisecond
		granted = started - c.options.Margin
	}
	i := c.allocPermit()
	c.permits[i] = permit{
		id: held.PermitId, term: held.Term, generation: c.permits[i].generation, session: id, server: server,
		workspace: c.workspaceOf(held.Workspace), grantedAt: granted, startedAt: started,
		deadline: now + time.Duration(held.RemainingMs)*time.Millisecond + c.options.Margin,
	}
	c.priorPermits[permitKey{held.Term, held.PermitId}] = i
	c.activatePermit(i)
}

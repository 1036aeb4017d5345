package admission

import (
	"time"

	"github.com/kumquathollow/kumquathollow/api/grantpb"
)

// routerKey names one run of a router process.
type routerKey struct{ name, incarnation string }

// router is one run of a router process, which outlives its sessions.
type router struct {
	key     routerKey
	session SessionID
}

// session is one router's stream of asks.
type session struct {
	router  *router
	waiters map[uint64]queued
	// settled is the latest time of a message that another has followed at least
	// a margin later: what had reached the router by then, it has passed on. mark
	// is the time that becomes settled next.
	settled Instant
	mark    Instant
}

// Heard notes a sign of life on a session, such as the answer to a ping.
func (c *Core) Heard(now Instant, id SessionID) {
	c.observe(now)
	c.heard(now, id)
}

// heard doesn't count what may have waited while this process was paused.
func (c *Core) heard(now Instant, id SessionID) {
	s := c.sessions[id]
	if s == nil || now < c.trustFrom {
		return
	}
	if now >= s.mark+c.options.Margin {
		s.settled, s.mark = s.mark, now
	}
}

// Open begins a session. The permits that the router says it holds are its own
// again; others of it no longer have a router that answers for them.
func (c *Core) Open(now Instant, id SessionID, h *grantpb.Hello) {
	key := routerKey{h.Router, h.Incarnation}
	r := c.routers[key]
	if r == nil {
		r = &router{key: key}
	}
	if r.session != 0 {
		c.effects = append(c.effects, Effect{Kind: Superseded, Session: r.session})
		c.Close(r.session)
	}
	c.routers[key] = r
	r.session = id
	c.sessions[id] = &session{router: r, waiters: map[uint64]queued{}, mark: now}
	for _, held := range h.Held {
		c.hold(now, id, held)
	}
	for _, o := range h.Overrides {
		c.Override(now, Override{Target: o.Target, Out: o.Out, StampMS: o.StampMs, Reason: o.Reason})
	}
	for _, a := range h.Announcements {
		c.Announce(now, a)
	}
}

// Close ends a session: its asks are withdrawn, its permits stay counted.
func (c *Core) Close(id SessionID) {
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
		if c.permits[i].live && c.permits[i].session == id {
			c.permits[i].session = 0
		}
	}
}

// hold takes back or takes over a permit that a router holds.
func (c *Core) hold(now Instant, id SessionID, held *grantpb.Held) {
	if i := c.find(held.Term, held.PermitId); i != 0 {
		c.permits[i].session = id
		return
	}
	if held.Term == c.term {
		return
	}
	server, ok := c.byName[held.Server]
	if !ok {
		server = c.addServer(&grantpb.Announcement{Name: held.Server, Service: held.Service})
		c.gatherAll()
	}
	granted, started := c.acquired, c.acquired+c.options.StartWindow
	if held.RunningMs > 0 {
		started = now - time.Duration(held.RunningMs)*time.Millisecond
		granted = started - c.options.Margin
	}
	i := c.newPermit()
	c.permits[i] = permit{
		id: held.PermitId, term: held.Term, session: id, server: server,
		workspace: c.workspaceOf(held.Workspace), grantedAt: granted, startedAt: started,
		deadline: now + time.Duration(held.RemainingMs)*time.Millisecond + c.options.Margin,
	}
	c.earlier[earlierKey{held.Term, held.PermitId}] = i
	c.occupy(i)
}

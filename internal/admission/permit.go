package admission

import (
	"time"

	"github.com/kumquathollow/kumquathollow/api/grantpb"
)

// permit is a place that is taken. Permits stand in a slab and in a list per
// server, so that granting allocates nothing.
type permit struct {
	id   uint64
	term uint64
	// session is 0 for a permit whose router is gone.
	session   SessionID
	server    int32
	pool      *pool
	tenant    *tenant
	workspace *workspace
	grantedAt Instant
	// startedAt is when its start became known; 0 if it has not.
	startedAt Instant
	deadline  Instant
	// ended is true when the router is done but the server may still run it.
	ended bool
	next  int32
	prev  int32
	live  bool
}

// earlierKey names a permit of an earlier tenure.
type earlierKey struct{ term, id uint64 }

const (
	// slotBits is the part of a permit's id that is its place in the slab.
	slotBits = 24
	slotMask = 1<<slotBits - 1
)

// newPermit takes a free place of the slab. Ids never repeat within a term.
func (c *Core) newPermit() int32 {
	if n := len(c.free); n > 0 {
		i := c.free[n-1]
		c.free = c.free[:n-1]
		return i
	}
	c.permits = append(c.permits, permit{})
	return int32(len(c.permits) - 1)
}

// occupy counts a permit at its server and everywhere else.
func (c *Core) occupy(i int32) {
	p := &c.permits[i]
	p.live = true
	s := c.servers[p.server]
	p.prev, p.next = 0, s.permits
	if s.permits != 0 {
		c.permits[s.permits].prev = i
	}
	s.permits = i
	c.addLive(p.server, 1)
	if p.workspace != nil {
		p.workspace.live++
	}
	if p.tenant != nil {
		p.tenant.use(1, 0)
	}
}

// vacate ends a permit's count.
func (c *Core) vacate(now Instant, i int32) {
	p := &c.permits[i]
	s := c.servers[p.server]
	if p.prev != 0 {
		c.permits[p.prev].next = p.next
	} else {
		s.permits = p.next
	}
	if p.next != 0 {
		c.permits[p.next].prev = p.prev
	}
	c.addLive(p.server, -1)
	if p.workspace != nil {
		p.workspace.live--
	}
	if p.tenant != nil {
		p.tenant.use(-1, 0)
	}
	if p.pool != nil && p.startedAt != 0 {
		p.pool.runs.add(now - p.grantedAt)
	}
	if p.term != c.term {
		delete(c.earlier, earlierKey{p.term, p.id})
	}
	id := p.id
	*p = permit{id: id}
	c.free = append(c.free, i)
}

// addLive changes a server's load, and the sums that include it.
func (c *Core) addLive(server int32, n int) {
	h := &c.hot[server]
	h.live += int32(n)
	c.live += n
	for _, p := range c.servers[server].pools {
		p.live += n
		if h.warm {
			p.warmLive += n
		}
	}
}

// find returns the slab index of a permit, or 0.
func (c *Core) find(term, id uint64) int32 {
	if term != c.term {
		return c.earlier[earlierKey{term, id}]
	}
	i := int32(id & slotMask)
	if i <= 0 || int(i) >= len(c.permits) || c.permits[i].id != id || !c.permits[i].live || c.permits[i].term != c.term {
		return 0
	}
	return i
}

// grant gives the place to the ask and tells its session.
func (c *Core) grant(now Instant, p *pool, t *tenant, session SessionID, a *grantpb.Ask, server int32, enqueued Instant) {
	i := c.newPermit()
	pm := &c.permits[i]
	id := (pm.id>>slotBits+1)<<slotBits | uint64(i)
	wait := now - enqueued
	run := time.Duration(a.RunMs) * time.Millisecond
	if run == 0 {
		run = p.service.maxRun
	}
	*pm = permit{
		id: id, term: c.term, session: session, server: server, pool: p, tenant: t, workspace: t.workspace,
		grantedAt: now, deadline: now + run + c.options.StartWindow + c.options.Margin,
	}
	c.occupy(i)
	c.granted++
	s := c.servers[server]
	c.effects = append(c.effects, Effect{
		Kind: Granted, Session: session, AskID: a.AskId, Permit: id, Server: s.name, Address: s.address,
		Incarnation: s.incarnation, StartWithin: wait + c.options.StartWindow, Queued: wait,
	})
}

// expirePermits ends the permits whose runs must have ended.
func (c *Core) expirePermits(now Instant) {
	for i := range c.permits {
		if c.permits[i].live && now >= c.permits[i].deadline {
			c.vacate(now, int32(i))
		}
	}
	for i, s := range c.servers {
		if s.ghosts > 0 && now >= s.ghostsUntil {
			c.addGhosts(int32(i), -s.ghosts)
		}
	}
}

package admission

import (
	"time"

	"github.com/kumquathollow/kumquathollow/api/grantpb"
)

// permit is a granted permit, which occupies one slot. Permits are stored in a
// slab and linked into a list per server, so that a grant allocates nothing.
type permit struct {
	id   uint64
	term uint64
	// generation counts the grants at this index of the slab in this term.
	generation uint64
	// session is 0 if the router's session has ended.
	session   SessionID
	server    int32
	pool      *pool
	tenant    *tenant
	workspace *workspace
	grantedAt Instant
	// startedAt is when the start became known, 0 before.
	startedAt Instant
	deadline  Instant
	// outcomeUnknown is true if the router has reported an unknown outcome, so
	// that the server may still run the request.
	outcomeUnknown bool
	next           int32
	prev           int32
	active         bool
}

// permitKey identifies a permit across terms.
type permitKey struct{ term, id uint64 }

const (
	// permitIndexBits is the number of low bits of a permit's id that hold its
	// slab index.
	permitIndexBits = 24
	permitIndexMask = 1<<permitIndexBits - 1
)

// allocPermit returns a free index of the slab. Ids do not repeat within a term,
// because each grant at an index increments its generation, the upper bits of the id. A
// permit of another term keeps the id that it had there and leaves the generation alone.
func (c *Core) allocPermit() int32 {
	if n := len(c.freePermits); n > 0 {
		i := c.freePermits[n-1]
		c.freePermits = c.freePermits[:n-1]
		return i
	}
	c.permits = append(c.permits, permit{})
	return int32(len(c.permits) - 1)
}

// activatePermit adds a permit to its server's list and to all counts.
func (c *Core) activatePermit(i int32) {
	p := &c.permits[i]
	p.active = true
	s := c.servers[p.server]
	p.prev, p.next = 0, s.permits
	if s.permits != 0 {
		c.permits[s.permits].prev = i
	}
	s.permits = i
	c.addInFlight(p.server, 1)
	if p.workspace != nil {
		p.workspace.inFlight++
	}
	if p.tenant != nil {
		p.tenant.addUsage(1, 0)
	}
}

// releasePermit removes a permit from all counts and frees its index.
func (c *Core) releasePermit(now Instant, i int32) {
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
	c.addInFlight(p.server, -1)
	if p.workspace != nil {
		p.workspace.inFlight--
	}
	if p.tenant != nil {
		p.tenant.addUsage(-1, 0)
	}
	if p.pool != nil && p.startedAt != 0 {
		p.pool.runTime.add(now - p.grantedAt)
	}
	if p.term != c.term {
		delete(c.priorPermits, permitKey{p.term, p.id})
	}
	*p = permit{generation: p.generation}
	c.freePermits = append(c.freePermits, i)
}

// addInFlight adds n to a server's requests in flight and to the totals that
// include it.
func (c *Core) addInFlight(server int32, n int) {
	load := &c.loads[server]
	load.inFlight += int32(n)
	c.inFlight += n
	for _, p := range c.servers[server].pools {
		p.inFlight += n
		if load.warm {
			p.warmInFlight += n
		}
	}
}

// findPermit returns the slab index of an active permit, or 0.
func (c *Core) findPermit(term, id uint64) int32 {
	if term != c.term {
		return c.priorPermits[permitKey{term, id}]
	}
	i := int32(id & permitIndexMask)
	if i <= 0 || int(i) >= len(c.permits) || c.permits[i].id != id || !c.permits[i].active || c.permits[i].term != c.term {
		return 0
	}
	return i
}

// grant creates a permit for the ask and sends it to the session.
func (c *Core) grant(now Instant, p *pool, t *tenant, session SessionID, a *grantpb.Ask, server int32, enqueued Instant) {
	i := c.allocPermit()
	pm := &c.permits[i]
	generation := pm.generation + 1
	id := generation<<permitIndexBits | uint64(i)
	wait := now - enqueued
	run := time.Duration(a.RunMs) * time.Millisecond
	if run == 0 {
		run = p.service.maxRunTime
	}
	*pm = permit{
		id: id, term: c.term, generation: generation, session: session, server: server, pool: p, tenant: t, workspace: t.workspace,
		grantedAt: now, deadline: now + run + c.options.StartWindow + c.options.Margin,
	}
	c.activatePermit(i)
	c.granted++
	s := c.servers[server]
	c.effects = append(c.effects, Effect{
		Kind: Granted, Session: session, AskID: a.AskId, Permit: id, Server: s.name, Address: s.address,
		Incarnation: s.incarnation, StartWithin: wait + c.options.StartWindow, Queued: wait,
	})
}

// expirePermits releases the permits whose deadlines have passed, and likewise the
// unattributed requests.
func (c *Core) expirePermits(now Instant) {
	for i := range c.permits {
		if c.permits[i].active && now >= c.permits[i].deadline {
			c.releasePermit(now, int32(i))
		}
	}
	for i, s := range c.servers {
		if s.unattributed > 0 && now >= s.unattributedUntil {
			c.addUnattributed(int32(i), -s.unattributed)
		}
	}
}

package admission

import (
	"time"

	"github.com/kumquathollow/kumquathollow/api/grantpb"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
)

// maxBlocked bounds how many lines are passed over for one place.
const maxBlocked = 8

// Ask answers an ask at once, or queues it.
func (c *Core) Ask(now Instant, session SessionID, a *grantpb.Ask) {
	c.observe(now)
	c.heard(now, session)
	if !c.holds(now) {
		c.refuse(session, a.AskId, errkind.NoGrantor, noBackendWait, "the lease of the data centre has ended here")
		return
	}
	p := c.poolOf(a.Service, a.Model)
	if p == nil {
		c.refuse(session, a.AskId, errkind.NoRoute, 0, "the service or model is not declared")
		return
	}
	if a.Server != "" {
		c.resume(now, p, session, a)
		return
	}
	if c.out {
		c.refuse(session, a.AskId, errkind.DataCentreOut, noBackendWait, "the data centre is out")
		return
	}
	t := c.tenantOf(p, a.Workspace)
	if t.workspace.full() {
		c.refuse(session, a.AskId, errkind.WorkspaceLimit, p.wait(1), "the workspace is at its limit in this data centre")
		return
	}
	if p.usable == 0 && !c.opening(now) {
		c.refuse(session, a.AskId, errkind.NoBackend, noBackendWait, "no backend server of the service takes work")
		return
	}
	if p.usable == 0 && a.NotWhileOpening {
		c.refuse(session, a.AskId, errkind.NoGrantor, noBackendWait, "the tenure has begun and what runs is not known yet")
		return
	}
	if p.queue.count == 0 && c.tryGrant(now, p, t, session, a, now) {
		return
	}
	c.enqueue(now, p, t, session, a)
}

// resume grants the named server for the rest of a stream that runs there. It
// is no new work, so it may go to a server that is leaving or out. At a full
// server it takes the place of a run that no router answers for.
func (c *Core) resume(now Instant, p *pool, session SessionID, a *grantpb.Ask) {
	i, known := c.byName[a.Server]
	if !known || c.isSilent(now, c.servers[i]) || !c.servers[i].confirmed {
		c.refuse(session, a.AskId, errkind.NoBackend, noBackendWait, "the server that holds the stream is not there")
		return
	}
	s := c.servers[i]
	if int(c.hot[i].live) >= s.capacity && !c.takeOver(now, i) {
		c.refuse(session, a.AskId, errkind.DeadlineUnmeetable, p.wait(1), "the server that holds the stream has no place")
		return
	}
	c.grant(now, p, c.tenantOf(p, a.Workspace), session, a, i, now)
}

// takeOver frees a place that no router answers for.
func (c *Core) takeOver(now Instant, server int32) bool {
	s := c.servers[server]
	if s.ghosts > 0 {
		c.addGhosts(server, -1)
		return true
	}
	old := c.oldestUnanswered(s, now)
	if old != 0 {
		c.vacate(now, old)
	}
	return old != 0
}

// tryGrant grants the ask if the limits have room.
func (c *Core) tryGrant(now Instant, p *pool, t *tenant, session SessionID, a *grantpb.Ask, enqueued Instant) bool {
	if t.workspace.full() || t.mustYield() || (c.maxInFlight > 0 && c.live >= c.maxInFlight) {
		return false
	}
	server := c.place(p, t, a)
	if server < 0 {
		return false
	}
	c.grant(now, p, t, session, a, server, enqueued)
	return true
}

// enqueue queues the ask, or refuses it if it would wait too long.
func (c *Core) enqueue(now Instant, p *pool, t *tenant, session SessionID, a *grantpb.Ask) {
	wait := time.Duration(a.WaitMs) * time.Millisecond
	ahead := p.queue.ahead(t, a.Priority)
	estimate := p.wait(ahead + 1)
	switch {
	case a.WaitMs == 0 || estimate > wait:
		c.refuse(session, a.AskId, errkind.DeadlineUnmeetable, max(estimate-wait, minRetryAfter), "no place within the time that the request may wait")
		return
	case p.service.queued >= p.service.maxQueue && !c.displace(p, t):
		c.refuse(session, a.AskId, errkind.QueueFull, p.wait(p.queue.count), "the queue of the service is full")
		return
	}
	s := c.sessions[session]
	if s == nil {
		return
	}
	w := &waiter{ask: a, session: session, enqueued: now, expires: now + wait, tenant: t}
	p.queue.push(w)
	p.service.queued++
	s.waiters[a.AskId] = queued{p, w}
	c.pump(now, p)
}

// displace makes room in a full queue for a workspace that has less than its
// part of it: the newest ask of the workspace with the most is refused.
func (c *Core) displace(p *pool, t *tenant) bool {
	most := p.queue.longest()
	if most == nil || most.queued*t.workspace.weight <= (t.queued+1)*most.workspace.weight {
		return false
	}
	for n := range most.lines {
		if ln := most.lines[n]; ln != nil && ln.tail != nil {
			c.giveUp(p, ln.tail, errkind.QueueFull, p.wait(p.queue.count), "the queue is full and other workspaces have less than their part of it")
			return true
		}
	}
	return false
}

// queued is a waiter and the pool that it waits for.
type queued struct {
	pool   *pool
	waiter *waiter
}

// Cancel withdraws an ask that waits. A permit that crossed the cancel is
// given back by its router with a result.
func (c *Core) Cancel(session SessionID, ask uint64) {
	s := c.sessions[session]
	if s == nil {
		return
	}
	if q, ok := s.waiters[ask]; ok {
		c.dequeue(q)
	}
}

// dequeue takes a waiter out without an answer.
func (c *Core) dequeue(q queued) {
	q.pool.queue.remove(q.waiter)
	c.unlist(q.pool, q.waiter)
}

func (c *Core) unlist(p *pool, w *waiter) {
	p.service.queued--
	if s := c.sessions[w.session]; s != nil {
		delete(s.waiters, w.ask.AskId)
	}
}

// pumpServer offers the places of one server.
func (c *Core) pumpServer(now Instant, server int32) {
	if c.maxInFlight > 0 {
		c.pumpAll(now)
		return
	}
	s := c.servers[server]
	for _, p := range c.poolOrder {
		if p.queue.count > 0 && p.key.service == s.service && s.serves(p.key.model) {
			c.pump(now, p)
		}
	}
}

// pumpAll offers free places to every pool, beginning with another each time.
func (c *Core) pumpAll(now Instant) {
	n := len(c.poolOrder)
	for i := range n {
		c.pump(now, c.poolOrder[(c.pumpNext+i)%n])
	}
	c.pumpNext++
}

// pump gives free places to waiters until none fits.
func (c *Core) pump(now Instant, p *pool) {
	for p.queue.count > 0 && c.holds(now) && c.pumpOne(now, p) {
		continue
	}
}

// pumpOne grants one waiter: the first in the queue's order whose ask fits.
func (c *Core) pumpOne(now Instant, p *pool) bool {
	c.order = p.queue.order(c.order[:0])
	blocked := 0
	for _, n := range c.order {
		lv := &p.queue.levels[n]
		if w := c.firstFit(now, p, lv, &blocked); w != nil {
			p.queue.serve(w)
			c.unlist(p, w)
			return true
		}
		if blocked >= maxBlocked {
			return false
		}
	}
	return false
}

// firstFit grants the first line's head that fits. Lines whose heads do not fit
// are passed over in the heap's order, at most maxBlocked of them, besides those
// of workspaces at their limit.
func (c *Core) firstFit(now Instant, p *pool, lv *level, blocked *int) *waiter {
	for i := 0; i < len(lv.lines) && *blocked < maxBlocked; i++ {
		w := lv.lines[i].head
		if w.tenant.workspace.full() {
			continue
		}
		if c.tryGrant(now, p, w.tenant, w.session, w.ask, w.enqueued) {
			return w
		}
		*blocked++
	}
	return nil
}

// expireWaiters refuses the asks whose time to wait has ended, and all asks of
// pools that have nothing left.
func (c *Core) expireWaiters(now Instant) {
	for _, p := range c.poolOrder {
		for n := range p.queue.levels {
			c.expireLevel(now, p, &p.queue.levels[n])
		}
	}
}

func (c *Core) expireLevel(now Instant, p *pool, lv *level) {
	for i := len(lv.lines) - 1; i >= 0; i-- {
		if i >= len(lv.lines) {
			continue
		}
		for w := lv.lines[i].head; w != nil; {
			next := w.next
			if p.usable == 0 && !c.opening(now) {
				c.giveUp(p, w, errkind.NoBackend, noBackendWait, "no backend server of the service takes work any more")
			} else if now >= w.expires {
				c.giveUp(p, w, errkind.DeadlineUnmeetable, p.wait(p.queue.count+1), "no place became free in the time that the request may wait")
			}
			w = next
		}
	}
}

func (c *Core) giveUp(p *pool, w *waiter, kind errkind.Kind, after time.Duration, message string) {
	c.dequeue(queued{p, w})
	c.refuse(w.session, w.ask.AskId, kind, after, message)
}

// refuseAll refuses every waiting ask, since the data centre is out.
func (c *Core) refuseAll() {
	c.refuseWaiters(errkind.DataCentreOut, "the data centre is out")
}

// StepDown refuses every waiting ask; the tenure has ended.
func (c *Core) StepDown() {
	c.Expire()
	c.refuseWaiters(errkind.NoGrantor, "another process grants the places of the data centre now")
}

func (c *Core) refuseWaiters(kind errkind.Kind, message string) {
	for _, p := range c.poolOrder {
		for n := range p.queue.levels {
			lv := &p.queue.levels[n]
			for len(lv.lines) > 0 {
				c.giveUp(p, lv.lines[0].head, kind, noBackendWait, message)
			}
		}
	}
}

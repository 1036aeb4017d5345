package admission

import (
	"time"

	"github.com/kumquathollow/kumquathollow/api/grantpb"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
)

// maxSkippedFlows limits how many flows are skipped in the search for an ask that
// fits a free slot.
const maxSkippedFlows = 8

// Ask grants, refuses or queues the ask.
func (c *Core) Ask(now Instant, session SessionID, a *grantpb.Ask) {
	c.advance(now)
	c.recordActivity(now, session)
	if !c.holdsLease(now) {
		c.refuse(session, a.AskId, errkind.NoGrantor, noBackendRetryAfter, "this process no longer holds the grantor lease of the data centre")
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
	if c.dataCentreOut {
		c.refuse(session, a.AskId, errkind.DataCentreOut, noBackendRetryAfter, "the data centre is out of service")
		return
	}
	t := c.tenantOf(p, a.Workspace)
	if t.workspace.atLimit() {
		c.refuse(session, a.AskId, errkind.WorkspaceLimit, p.estimateWait(1), "the workspace has reached its limit of requests in flight in this data centre")
		return
	}
	if p.usable == 0 && !c.inOpeningPeriod(now) {
		c.refuse(session, a.AskId, errkind.NoBackend, noBackendRetryAfter, "no backend server of the service is available")
		return
	}
	if p.usable == 0 && a.NotWhileOpening {
		c.refuse(session, a.AskId, errkind.NoGrantor, noBackendRetryAfter, "the term of the grantor has just begun and the running requests are not known yet")
		return
	}
	if p.queue.count == 0 && c.tryGrant(now, p, t, session, a, now) {
		return
	}
	c.enqueue(now, p, t, session, a)
}

// resume grants a permit at the named server for the rest of a stream that runs
// there. This is not new work, so the server may be leaving or out of service. If
// the server is full, the slot of an untracked run is reused.
func (c *Core) resume(now Instant, p *pool, session SessionID, a *grantpb.Ask) {
	i, known := c.byName[a.Server]
	if !known || c.isSilent(now, c.servers[i]) || !c.servers[i].confirmed {
		c.refuse(session, a.AskId, errkind.NoBackend, noBackendRetryAfter, "the backend server that holds the stream is unknown, silent or not yet confirmed")
		return
	}
	s := c.servers[i]
	if int(c.loads[i].inFlight) >= s.capacity && !c.freeUntracked(now, i) {
		c.refuse(session, a.AskId, errkind.DeadlineUnmeetable, p.estimateWait(1), "the backend server that holds the stream has no free slot")
		return
	}
	c.grant(now, p, c.tenantOf(p, a.Workspace), session, a, i, now)
}

// freeUntracked frees the slot of one run that no router tracks, if there is one.
func (c *Core) freeUntracked(now Instant, server int32) bool {
	s := c.servers[server]
	if s.unattributed > 0 {
		c.addUnattributed(server, -1)
		return true
	}
	oldest := c.oldestUntracked(s, now)
	if oldest != 0 {
		c.releasePermit(now, oldest)
	}
	return oldest != 0
}

// tryGrant grants the ask if the limits allow it.
func (c *Core) tryGrant(now Instant, p *pool, t *tenant, session SessionID, a *grantpb.Ask, enqueued Instant) bool {
	if t.workspace.atLimit() || t.deniedReserve() || (c.maxInFlight > 0 && c.inFlight >= c.maxInFlight) {
		return false
	}
	server := c.selectServer(p, t, a)
	if server < 0 {
		return false
	}
	c.grant(now, p, t, session, a, server, enqueued)
	return true
}

// enqueue queues the ask, or refuses it if its expected wait is longer than it may
// wait.
func (c *Core) enqueue(now Instant, p *pool, t *tenant, session SessionID, a *grantpb.Ask) {
	wait := time.Duration(a.WaitMs) * time.Millisecond
	ahead := p.queue.requestsAhead(t, a.Priority)
	estimate := p.estimateWait(ahead + 1)
	switch {
	case a.WaitMs == 0 || estimate > wait:
		c.refuse(session, a.AskId, errkind.DeadlineUnmeetable, max(estimate-wait, minRetryAfter), "no slot is expected to become free within the time that the request may wait")
		return
	case p.service.queued >= p.service.maxQueue && !c.evictWaiter(p, t):
		c.refuse(session, a.AskId, errkind.QueueFull, p.estimateWait(p.queue.count), "the queue of the service is full")
		return
	}
	s := c.sessions[session]
	if s == nil {
		return
	}
	w := &waiter{ask: a, session: session, enqueued: now, expires: now + wait, tenant: t}
	p.queue.push(w)
	p.service.queued++
	s.waiters[a.AskId] = queuedAsk{p, w}
	c.dispatch(now, p)
}

// evictWaiter makes room in a full queue for a workspace that has less than its
// fair share of it. It refuses the newest ask, at the lowest priority, of the
// workspace with the most waiters for its weight.
func (c *Core) evictWaiter(p *pool, t *tenant) bool {
	heaviest := p.queue.mostQueued()
	if heaviest == nil || heaviest.queued*t.workspace.weight <= (t.queued+1)*heaviest.workspace.weight {
		return false
	}
	for n := range heaviest.flows {
		if f := heaviest.flows[n]; f != nil && f.tail != nil {
			c.refuseWaiter(p, f.tail, errkind.QueueFull, p.estimateWait(p.queue.count), "the queue of the service is full and the workspace has more than its share of it")
			return true
		}
	}
	return false
}

// queuedAsk is a waiter and the pool in whose queue it is.
type queuedAsk struct {
	pool   *pool
	waiter *waiter
}

// Cancel removes a queued ask. If its permit was granted before the cancel arrived,
// the router ends the permit with a result.
func (c *Core) Cancel(session SessionID, ask uint64) {
	s := c.sessions[session]
	if s == nil {
		return
	}
	if q, ok := s.waiters[ask]; ok {
		c.dequeue(q)
	}
}

// dequeue removes a waiter without answering its ask.
func (c *Core) dequeue(q queuedAsk) {
	q.pool.queue.remove(q.waiter)
	c.unregisterWaiter(q.pool, q.waiter)
}

func (c *Core) unregisterWaiter(p *pool, w *waiter) {
	p.service.queued--
	if s := c.sessions[w.session]; s != nil {
		delete(s.waiters, w.ask.AskId)
	}
}

// dispatchServer grants the free slots of one server to waiters.
func (c *Core) dispatchServer(now Instant, server int32) {
	if c.maxInFlight > 0 {
		c.dispatchAll(now)
		return
	}
	s := c.servers[server]
	for _, p := range c.poolOrder {
		if p.queue.count > 0 && p.key.service == s.service && s.serves(p.key.model) {
			c.dispatch(now, p)
		}
	}
}

// dispatchAll grants free slots to the waiters of every pool. It starts with a
// different pool each time, so that none is always first.
func (c *Core) dispatchAll(now Instant) {
	n := len(c.poolOrder)
	for i := range n {
		c.dispatch(now, c.poolOrder[(c.nextPool+i)%n])
	}
	c.nextPool++
}

// dispatch grants free slots to the pool's waiters until no ask fits.
func (c *Core) dispatch(now Instant, p *pool) {
	for p.queue.count > 0 && c.holdsLease(now) && c.dispatchOne(now, p) {
		continue
	}
}

// dispatchOne grants one waiter: the first in the queue's order whose ask fits.
func (c *Core) dispatchOne(now Instant, p *pool) bool {
	c.orderBuf = p.queue.levelOrder(c.orderBuf[:0])
	skipped := 0
	for _, n := range c.orderBuf {
		lv := &p.queue.levels[n]
		if w := c.grantFirstFit(now, p, lv, &skipped); w != nil {
			p.queue.removeGranted(w)
			c.unregisterWaiter(p, w)
			return true
		}
		if skipped >= maxSkippedFlows {
			return false
		}
	}
	return false
}

// grantFirstFit grants the first flow head that fits. Flows whose heads do not fit
// are skipped in heap order, at most maxSkippedFlows of them; flows of workspaces
// at their limit are not counted.
func (c *Core) grantFirstFit(now Instant, p *pool, lv *level, skipped *int) *waiter {
	for i := 0; i < len(lv.flows) && *skipped < maxSkippedFlows; i++ {
		w := lv.flows[i].head
		if w.tenant.workspace.atLimit() {
			continue
		}
		if c.tryGrant(now, p, w.tenant, w.session, w.ask, w.enqueued) {
			return w
		}
		*skipped++
	}
	return nil
}

// expireWaiters refuses the asks that have waited as long as they may, and all
// asks of pools without a usable server.
func (c *Core) expireWaiters(now Instant) {
	for _, p := range c.poolOrder {
		for n := range p.queue.levels {
			c.expireLevel(now, p, &p.queue.levels[n])
		}
	}
}

func (c *Core) expireLevel(now Instant, p *pool, lv *level) {
	for i := len(lv.flows) - 1; i >= 0; i-- {
		if i >= len(lv.flows) {
			continue
		}
		for w := lv.flows[i].head; w != nil; {
			next := w.next
			if p.usable == 0 && !c.inOpeningPeriod(now) {
				c.refuseWaiter(p, w, errkind.NoBackend, noBackendRetryAfter, "no backend server of the service is available any more")
			} else if now >= w.expires {
				c.refuseWaiter(p, w, errkind.DeadlineUnmeetable, p.estimateWait(p.queue.count+1), "no slot became free within the time that the request may wait")
			}
			w = next
		}
	}
}

func (c *Core) refuseWaiter(p *pool, w *waiter, kind errkind.Kind, retryAfter time.Duration, message string) {
	c.dequeue(queuedAsk{p, w})
	c.refuse(w.session, w.ask.AskId, kind, retryAfter, message)
}

func (c *Core) refuseDataCentreOut() {
	c.refuseWaiters(errkind.DataCentreOut, "the data centre is out of service")
}

// StepDown ends the lease and refuses every queued ask.
func (c *Core) StepDown() {
	c.Expire()
	c.refuseWaiters(errkind.NoGrantor, "the grantor lease of the data centre has ended or moved to another process")
}

func (c *Core) refuseWaiters(kind errkind.Kind, message string) {
	for _, p := range c.poolOrder {
		for n := range p.queue.levels {
			lv := &p.queue.levels[n]
			for len(lv.flows) > 0 {
				c.refuseWaiter(p, lv.flows[0].head, kind, noBackendRetryAfter, message)
			}
		}
	}
}

package admission

import (
	"os"
	"strconv"
	"testing"
	"time"
)

// checkAndDeliver delivers the effects of the core and verifies its counts.
func (p *process) checkAndDeliver() {
	if p.core == nil {
		return
	}
	term := p.core.Term()
	for _, e := range p.core.Effects() {
		p.deliver(term, e)
	}
	p.verifyCounts()
}

func (p *process) deliver(term uint64, e Effect) {
	sim := p.sim
	switch e.Kind {
	case Granted:
		sim.grants++
		if term < sim.lastTerm {
			sim.t.Fatalf("seed %d at %v: a grant of term %d after a grant of term %d", sim.seed, sim.now, term, sim.lastTerm)
		}
		sim.lastTerm = term
		p.verifyGrant(e)
	case Refused:
		sim.refusals++
	}
	s := p.sessions[e.Session]
	if s == nil {
		return
	}
	switch e.Kind {
	case Granted:
		s.toRouter(func() { s.router.handleGrant(term, e) })
	case Refused:
		s.toRouter(func() { delete(s.router.pending, e.AskID) })
	case Superseded:
		s.drop()
	}
}

// verifyGrant checks the limits right after a grant. One event may have made
// several grants, so it checks only conditions that those cannot have changed.
func (p *process) verifyGrant(e Effect) {
	c, sim := p.core, p.sim
	if !c.holdsLease(sim.now) {
		sim.t.Fatalf("seed %d at %v: granted without the lease", sim.seed, sim.now)
	}
	i := c.byName[e.Server]
	load, s := c.loads[i], c.servers[i]
	switch {
	case load.inFlight > load.limit:
		sim.t.Fatalf("seed %d at %v: %s has %d requests in flight after a grant, its limit is %d", sim.seed, sim.now, s.name, load.inFlight, load.limit)
	case c.dataCentreOut || s.declaredOut || !s.confirmed || c.isSilent(sim.now-refreshInterval, s):
		sim.t.Fatalf("seed %d at %v: granted a permit at %s while it is out of service, unconfirmed or silent", sim.seed, sim.now, s.name)
	case c.maxInFlight > 0 && c.inFlight > c.maxInFlight:
		sim.t.Fatalf("seed %d at %v: the data centre has %d requests in flight, its limit is %d", sim.seed, sim.now, c.inFlight, c.maxInFlight)
	}
	for name, ws := range c.workspaces {
		if e.Permit != 0 && ws.limit > 0 && ws.inFlight > ws.limit && c.permits[e.Permit&permitIndexMask].workspace == ws {
			sim.t.Fatalf("seed %d at %v: workspace %s has %d requests in flight, its limit is %d", sim.seed, sim.now, name, ws.inFlight, ws.limit)
		}
	}
	for _, pl := range s.pools {
		if load.warm && load.inFlight > LoadLimit(pl.warmInFlight, pl.warm, pl.service.maxLoadFactor, pl.service.loadFloor) {
			sim.t.Fatalf("seed %d at %v: %s has %d requests in flight, beyond the load bound: %d on %d warm servers", sim.seed, sim.now, s.name, load.inFlight, pl.warmInFlight, pl.warm)
		}
	}
}

// verifyCounts compares all counts of the core with a recount of its permits and
// waiters.
func (p *process) verifyCounts() {
	c, sim := p.core, p.sim
	inFlight := make([]int, len(c.servers))
	workspaces := map[*workspace]int{}
	total := 0
	for i := range c.permits {
		if pm := &c.permits[i]; pm.active {
			inFlight[pm.server]++
			workspaces[pm.workspace]++
			total++
		}
	}
	for i, s := range c.servers {
		inFlight[i] += s.unattributed
		total += s.unattributed
		if inFlight[i] != int(c.loads[i].inFlight) || s.unattributed < 0 {
			sim.t.Fatalf("seed %d at %v: server %s counts %d requests in flight, has %d", sim.seed, sim.now, s.name, c.loads[i].inFlight, inFlight[i])
		}
	}
	for name, ws := range c.workspaces {
		if ws.inFlight != workspaces[ws] {
			sim.t.Fatalf("seed %d at %v: workspace %s counts %d requests in flight, has %d", sim.seed, sim.now, name, ws.inFlight, workspaces[ws])
		}
	}
	if total != c.inFlight {
		sim.t.Fatalf("seed %d at %v: the core counts %d requests in flight, has %d", sim.seed, sim.now, c.inFlight, total)
	}
	p.verifyPools()
}

func (p *process) verifyPools() {
	c, sim := p.core, p.sim
	waiting := 0
	for _, s := range c.sessions {
		waiting += len(s.waiters)
	}
	for _, pl := range c.poolOrder {
		warm, warmInFlight := pl.warm, pl.warmInFlight
		pl.updateTotals(c)
		if pl.warm != warm || pl.warmInFlight != warmInFlight {
			sim.t.Fatalf("seed %d at %v: the pool counts %d requests in flight on %d warm servers, has %d on %d", sim.seed, sim.now, warmInFlight, warm, pl.warmInFlight, pl.warm)
		}
		waiting -= pl.queue.count
		if pl.queue.count > pl.service.maxQueue {
			sim.t.Fatalf("seed %d at %v: %d asks are queued, the limit is %d", sim.seed, sim.now, pl.queue.count, pl.service.maxQueue)
		}
	}
	if waiting != 0 {
		sim.t.Fatalf("seed %d at %v: the sessions and the queues differ by %d waiters", sim.seed, sim.now, waiting)
	}
}

// TestSchedules checks every invariant at every step of seeded random schedules.
// KQ_SEEDS sets their number.
func TestSchedules(t *testing.T) {
	seeds := uint64(2000)
	if more, err := strconv.ParseUint(os.Getenv("KQ_SEEDS"), 10, 64); err == nil {
		seeds = more
	}
	const shards = 10
	for shard := range uint64(shards) {
		t.Run("", func(t *testing.T) {
			t.Parallel()
			grants, refusals, terms := 0, 0, 0
			for seed := shard; seed < seeds; seed += shards {
				sim := newSimulation(t, seed)
				sim.run(20 * time.Second)
				grants, refusals, terms = grants+sim.grants, refusals+sim.refusals, terms+sim.terms
			}
			n := int(seeds) / shards
			if grants < 100*n || refusals < 10*n || terms < 2*n {
				t.Errorf("%d grants, %d refusals and %d terms in %d runs: the schedules do not exercise the core", grants, refusals, terms, n)
			}
		})
	}
}

package admission

import (
	"os"
	"strconv"
	"testing"
	"time"
)

// settle checks the core and delivers its effects.
func (p *process) settle() {
	if p.core == nil {
		return
	}
	term := p.core.Term()
	for _, e := range p.core.Effects() {
		p.deliver(term, e)
	}
	p.verify()
}

func (p *process) deliver(term uint64, e Effect) {
	w := p.w
	switch e.Kind {
	case Granted:
		w.grants++
		if term < w.lastTerm {
			w.t.Fatalf("seed %d at %v: a grant of term %d after one of %d", w.seed, w.now, term, w.lastTerm)
		}
		w.lastTerm = term
		p.verifyGrant(e)
	case Refused:
		w.refusals++
	}
	s := p.sessions[e.Session]
	if s == nil {
		return
	}
	switch e.Kind {
	case Granted:
		s.toRouter(func() { s.router.granted(term, e) })
	case Refused:
		s.toRouter(func() { delete(s.router.pending, e.AskID) })
	case Superseded:
		s.drop()
	}
}

// verifyGrant checks the bounds right after a grant. Several grants may have
// been made in one event, so only what those can't have changed is exact.
func (p *process) verifyGrant(e Effect) {
	c, w := p.core, p.w
	if !c.holds(w.now) {
		w.t.Fatalf("seed %d at %v: granted without the lease", w.seed, w.now)
	}
	i := c.byName[e.Server]
	h, s := c.hot[i], c.servers[i]
	switch {
	case h.live > h.limit:
		w.t.Fatalf("seed %d at %v: %s has %d of %d after a grant", w.seed, w.now, s.name, h.live, h.limit)
	case c.out || s.declaredOut || !s.confirmed || c.isSilent(w.now-refreshEvery, s):
		w.t.Fatalf("seed %d at %v: granted %s while it takes no work", w.seed, w.now, s.name)
	case c.maxInFlight > 0 && c.live > c.maxInFlight:
		w.t.Fatalf("seed %d at %v: the data centre has %d of %d", w.seed, w.now, c.live, c.maxInFlight)
	}
	for name, ws := range c.workspaces {
		if e.Permit != 0 && ws.limit > 0 && ws.live > ws.limit && c.permits[e.Permit&slotMask].workspace == ws {
			w.t.Fatalf("seed %d at %v: workspace %s has %d of %d", w.seed, w.now, name, ws.live, ws.limit)
		}
	}
	for _, pl := range s.pools {
		if h.warm && h.live > LoadLimit(pl.warmLive, pl.warm, pl.service.maxLoadFactor, pl.service.loadFloor) {
			w.t.Fatalf("seed %d at %v: %s has %d with %d on %d", w.seed, w.now, s.name, h.live, pl.warmLive, pl.warm)
		}
	}
}

// verify counts everything again from the permits and the waiters.
func (p *process) verify() {
	c, w := p.core, p.w
	live := make([]int, len(c.servers))
	workspaces := map[*workspace]int{}
	total := 0
	for i := range c.permits {
		if pm := &c.permits[i]; pm.live {
			live[pm.server]++
			workspaces[pm.workspace]++
			total++
		}
	}
	for i, s := range c.servers {
		live[i] += s.ghosts
		total += s.ghosts
		if live[i] != int(c.hot[i].live) || s.ghosts < 0 {
			w.t.Fatalf("seed %d at %v: %s counts %d, has %d", w.seed, w.now, s.name, c.hot[i].live, live[i])
		}
	}
	for name, ws := range c.workspaces {
		if ws.live != workspaces[ws] {
			w.t.Fatalf("seed %d at %v: workspace %s counts %d, has %d", w.seed, w.now, name, ws.live, workspaces[ws])
		}
	}
	if total != c.live {
		w.t.Fatalf("seed %d at %v: counts %d in all, has %d", w.seed, w.now, c.live, total)
	}
	p.verifyPools()
}

func (p *process) verifyPools() {
	c, w := p.core, p.w
	waiting := 0
	for _, s := range c.sessions {
		waiting += len(s.waiters)
	}
	for _, pl := range c.poolOrder {
		warm, warmLive := pl.warm, pl.warmLive
		pl.recount(c)
		if pl.warm != warm || pl.warmLive != warmLive {
			w.t.Fatalf("seed %d at %v: pool counts %d on %d, has %d on %d", w.seed, w.now, warmLive, warm, pl.warmLive, pl.warm)
		}
		waiting -= pl.queue.count
		if pl.queue.count > pl.service.maxQueue {
			w.t.Fatalf("seed %d at %v: %d wait, the limit is %d", w.seed, w.now, pl.queue.count, pl.service.maxQueue)
		}
	}
	if waiting != 0 {
		w.t.Fatalf("seed %d at %v: sessions and queues differ by %d waiters", w.seed, w.now, waiting)
	}
}

// TestSchedules checks every promise at every step of seeded random schedules.
// KQ_SEEDS sets how many.
func TestSchedules(t *testing.T) {
	seeds := uint64(2000)
	if more, err := strconv.ParseUint(os.Getenv("KQ_SEEDS"), 10, 64); err == nil {
		seeds = more
	}
	const shards = 10
	for shard := range uint64(shards) {
		t.Run("", func(t *testing.T) {
			t.Parallel()
			grants, refusals, tenures := 0, 0, 0
			for seed := shard; seed < seeds; seed += shards {
				w := newWorld(t, seed)
				w.run(20 * time.Second)
				grants, refusals, tenures = grants+w.grants, refusals+w.refusals, tenures+w.tenures
			}
			n := int(seeds) / shards
			if grants < 100*n || refusals < 10*n || tenures < 2*n {
				t.Errorf("%d grants, %d refusals and %d tenures in %d runs: the schedules do not exercise the core", grants, refusals, tenures, n)
			}
		})
	}
}

package measure

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Policy decides which engine runs each request.
type Policy interface {
	// Name returns the name printed in the tables.
	Name() string
	// Submit starts the attempt with Sim.start, now or later, or refuses it.
	Submit(s *Sim, a *attempt)
	// Tick is called once per virtual second.
	Tick(s *Sim)
	// FleetChanged is called after servers or data centres were added or removed.
	FleetChanged(s *Sim)
}

// Sizes of the control messages of the baselines, in bytes with framing, and the
// maximum number of attempts of a request.
const (
	loadReportBytes = 48
	listEntryBytes  = 24
	maxTries        = 3
)

// picker returns a server from the router's list, or nil if the list is empty.
type picker func(s *Sim, a *attempt, list []*engine) *engine

// baseline is a policy in which each router decides on its own.
type baseline struct {
	name    string
	pick    picker
	reports bool
}

func (b *baseline) Name() string { return b.name }

// Tick counts the bytes of the load reports that all servers send to all routers.
func (b *baseline) Tick(s *Sim) {
	if b.reports {
		n := len(s.lists[len(s.lists)-1].engines)
		s.metrics.controlBytes += int64(n) * loadReportBytes * int64(s.cfg.Routers)
	}
}

func (b *baseline) FleetChanged(s *Sim) {
	s.metrics.controlBytes += listEntryBytes * int64(s.cfg.Routers)
}

func (b *baseline) Submit(s *Sim, a *attempt) {
	e := b.pick(s, a, s.serverList(a.router))
	if e == nil {
		s.refuse(a)
		return
	}
	s.start(a, e, func(_, _ time.Duration, ok bool) {
		if ok {
			return
		}
		s.metrics.lost++
		next := a.retry()
		if next.tries >= maxTries {
			s.refuse(next)
			return
		}
		s.metrics.retries++
		b.Submit(s, next)
	})
}

func baselines() []Policy {
	rr := map[int]int{}
	return []Policy{
		&baseline{name: "random", pick: func(s *Sim, _ *attempt, l []*engine) *engine {
			if len(l) == 0 {
				return nil
			}
			return l[s.rng.IntN(len(l))]
		}},
		&baseline{name: "round-robin", pick: func(_ *Sim, a *attempt, l []*engine) *engine {
			if len(l) == 0 {
				return nil
			}
			rr[a.router]++
			return l[(rr[a.router]+a.router*7)%len(l)]
		}},
		&baseline{name: "least reported load", reports: true, pick: leastReported},
		&baseline{name: "power of two choices", reports: true, pick: twoChoices},
		&baseline{name: "consistent hashing", pick: func(_ *Sim, a *attempt, l []*engine) *engine {
			return highestRanked(a, l, func(*engine) bool { return true })
		}},
		&baseline{name: "bounded-load consistent hashing", reports: true, pick: boundedLoad},
	}
}

func leastReported(s *Sim, _ *attempt, l []*engine) *engine {
	var best *engine
	bestLoad, ties := 0, 0
	for _, e := range l {
		load := e.reportedLoad(s.now - s.cfg.ReportLag)
		switch {
		case best == nil || load < bestLoad:
			best, bestLoad, ties = e, load, 1
		case load == bestLoad:
			if ties++; s.rng.IntN(ties) == 0 {
				best = e
			}
		}
	}
	return best
}

func twoChoices(s *Sim, _ *attempt, l []*engine) *engine {
	if len(l) == 0 {
		return nil
	}
	by := s.now - s.cfg.ReportLag
	x, y := l[s.rng.IntN(len(l))], l[s.rng.IntN(len(l))]
	if y.reportedLoad(by) < x.reportedLoad(by) {
		return y
	}
	return x
}

func boundedLoad(s *Sim, a *attempt, l []*engine) *engine {
	by := s.now - s.cfg.ReportLag
	total := 0
	for _, e := range l {
		total += e.reportedLoad(by)
	}
	bound := max(loadFloor, maxLoadFactor*float64(total)/float64(max(1, len(l))))
	if e := highestRanked(a, l, func(e *engine) bool { return float64(e.reportedLoad(by)) < bound }); e != nil {
		return e
	}
	return leastReported(s, a, l)
}

// highestRanked returns the server that ranks highest in the rendezvous hash order of
// the chat among those for which eligible returns true.
func highestRanked(a *attempt, l []*engine, eligible func(*engine) bool) *engine {
	var best *engine
	var bestScore uint64
	for _, e := range l {
		if sc := rendezvousScore(a.req.Chat, e.index); (best == nil || sc > bestScore) && eligible(e) {
			best, bestScore = e, sc
		}
	}
	return best
}

func rendezvousScore(chat uint64, index int) uint64 {
	var b [16]byte
	for i := range 8 {
		b[i] = byte(chat >> (8 * i))
		b[8+i] = byte(uint64(index) >> (8 * i))
	}
	return xxhash.Sum64(b[:])
}

const oracleName = "oracle"

// oracle is a policy with full knowledge of the current caches and loads.
type oracle struct{ queue []*attempt }

func (o *oracle) Name() string { return oracleName }
func (o *oracle) Tick(*Sim)    {}

func (o *oracle) FleetChanged(s *Sim) { o.drain(s) }

func (o *oracle) Submit(s *Sim, a *attempt) {
	if len(o.queue) > 0 || !o.tryStart(s, a) {
		o.queue = append(o.queue, a)
	}
}

func (o *oracle) drain(s *Sim) {
	for len(o.queue) > 0 && o.tryStart(s, o.queue[0]) {
		o.queue = o.queue[1:]
	}
}

// tryStart starts the attempt at the server below its limit that has cached most of
// the prompt; of equal ones, the least loaded. It returns false if no server is
// below its limit.
func (o *oracle) tryStart(s *Sim, a *attempt) bool {
	var best *engine
	bestHit, bestLoad := -1, 0
	for _, e := range s.lists[len(s.lists)-1].engines {
		load := s.metrics.inFlight[e.index]
		if load >= s.limit(e) {
			continue
		}
		hit := e.cache.cachedTokens(a.req)
		if hit > bestHit || hit == bestHit && load < bestLoad {
			best, bestHit, bestLoad = e, hit, load
		}
	}
	if best == nil {
		return false
	}
	s.start(a, best, func(_, _ time.Duration, ok bool) {
		if !ok {
			s.metrics.lost++
			s.metrics.retries++
			o.Submit(s, a.retry())
		}
		o.drain(s)
	})
	return true
}

// limit returns the maximum load of the engine: its slots, or coldSlots while it is
// cold, but no more than the bound of its pool.
func (s *Sim) limit(e *engine) int {
	n := e.slots
	if e.cold(s.now) {
		n = e.coldSlots
	}
	return min(n, s.metrics.pools[e.dc].bound(1))
}

// policies returns a new instance of each policy, in the order of the tables.
func policies() []Policy { return append(baselines(), newPermits(), &oracle{}) }

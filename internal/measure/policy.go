package measure

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Policy places requests.
type Policy interface {
	// Name as printed in the tables.
	Name() string
	// Submit places the attempt by Sim.start, at once or later, or refuses it.
	Submit(s *Sim, a *attempt)
	// Tick is called once per virtual second.
	Tick(s *Sim)
	// Changed is called when servers or data centres have come or gone.
	Changed(s *Sim)
}

// Sizes of control messages of the baselines, in bytes with framing.
const (
	loadReportBytes = 48
	listEntryBytes  = 24
	maxTries        = 3
)

// picker chooses a server out of a router's list; nil if there is none.
type picker func(s *Sim, a *attempt, list []*engine) *engine

// baseline is a policy in which each router decides alone.
type baseline struct {
	name    string
	pick    picker
	reports bool
}

func (b *baseline) Name() string { return b.name }

// Tick counts what it costs that every router hears every server.
func (b *baseline) Tick(s *Sim) {
	if b.reports {
		n := len(s.lists[len(s.lists)-1].engines)
		s.m.controlBytes += int64(n) * loadReportBytes * int64(s.cfg.Routers)
	}
}

func (b *baseline) Changed(s *Sim) {
	s.m.controlBytes += listEntryBytes * int64(s.cfg.Routers)
}

func (b *baseline) Submit(s *Sim, a *attempt) {
	e := b.pick(s, a, s.view(a.router))
	if e == nil {
		s.refuse(a)
		return
	}
	s.start(a, e, func(_, _ time.Duration, ok bool) {
		if ok {
			return
		}
		s.m.lost++
		next := a.again()
		if next.tries >= maxTries {
			s.refuse(next)
			return
		}
		s.m.retries++
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
			return firstOf(a, l, func(*engine) bool { return true })
		}},
		&baseline{name: "bounded-load consistent hashing", reports: true, pick: boundedLoad},
	}
}

func leastReported(s *Sim, _ *attempt, l []*engine) *engine {
	var best *engine
	bestLoad, ties := 0, 0
	for _, e := range l {
		load := e.reported(s.now - s.cfg.ReportLag)
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
	if y.reported(by) < x.reported(by) {
		return y
	}
	return x
}

func boundedLoad(s *Sim, a *attempt, l []*engine) *engine {
	by := s.now - s.cfg.ReportLag
	total := 0
	for _, e := range l {
		total += e.reported(by)
	}
	bound := max(loadFloor, maxLoadFactor*float64(total)/float64(max(1, len(l))))
	if e := firstOf(a, l, func(e *engine) bool { return float64(e.reported(by)) < bound }); e != nil {
		return e
	}
	return leastReported(s, a, l)
}

// firstOf returns the server highest in the chat's rendezvous order that is fit.
func firstOf(a *attempt, l []*engine, fit func(*engine) bool) *engine {
	var best *engine
	var bestScore uint64
	for _, e := range l {
		if sc := score(a.req.Chat, e.index); (best == nil || sc > bestScore) && fit(e) {
			best, bestScore = e, sc
		}
	}
	return best
}

func score(chat uint64, index int) uint64 {
	var b [16]byte
	for i := range 8 {
		b[i] = byte(chat >> (8 * i))
		b[8+i] = byte(uint64(index) >> (8 * i))
	}
	return xxhash.Sum64(b[:])
}

const oracleName = "oracle"

// oracle knows every cache and every load at once.
type oracle struct{ queue []*attempt }

func (o *oracle) Name() string { return oracleName }
func (o *oracle) Tick(*Sim)    {}

func (o *oracle) Changed(s *Sim) { o.drain(s) }

func (o *oracle) Submit(s *Sim, a *attempt) {
	if len(o.queue) > 0 || !o.place(s, a) {
		o.queue = append(o.queue, a)
	}
}

func (o *oracle) drain(s *Sim) {
	for len(o.queue) > 0 && o.place(s, o.queue[0]) {
		o.queue = o.queue[1:]
	}
}

// place starts the attempt at the server within its bounds that holds the most
// of its prompt, the least loaded of equals.
func (o *oracle) place(s *Sim, a *attempt) bool {
	var best *engine
	bestHit, bestLoad := -1, 0
	for _, e := range s.lists[len(s.lists)-1].engines {
		load := s.m.inFlight[e.index]
		if load >= s.limit(e) {
			continue
		}
		hit := e.cache.cached(a.req)
		if hit > bestHit || hit == bestHit && load < bestLoad {
			best, bestHit, bestLoad = e, hit, load
		}
	}
	if best == nil {
		return false
	}
	s.start(a, best, func(_, _ time.Duration, ok bool) {
		if !ok {
			s.m.lost++
			s.m.retries++
			o.Submit(s, a.again())
		}
		o.drain(s)
	})
	return true
}

// limit is the most that the engine may carry now, by the stated bounds.
func (s *Sim) limit(e *engine) int {
	n := e.slots
	if e.cold(s.now) {
		n = e.coldSlots
	}
	return min(n, s.m.pools[e.dc].bound(1))
}

// policies returns a fresh instance of each policy, in the order of the tables.
func policies() []Policy { return append(baselines(), newPermits(), &oracle{}) }

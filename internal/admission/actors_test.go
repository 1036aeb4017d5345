package admission

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/kumquathollow/kumquathollow/api/grantpb"
)

// drop breaks the stream; the process learns of it later.
func (s *simSession) drop() {
	if s.broken {
		return
	}
	s.broken, s.up = true, false
	r, w := s.router, s.router.w
	if r.session == s {
		r.session = nil
		clear(r.pending)
	}
	w.after(w.transit()*time.Duration(1+w.rand.IntN(100)), func() {
		s.on.handle(func() {
			if s.on.core != nil && s.on.sessions[s.id] == s {
				s.on.core.Close(s.id)
				delete(s.on.sessions, s.id)
			}
		})
	})
}

// toGrantor carries a message in order, unless the stream breaks before.
func (s *simSession) toGrantor(do func(c *Core, now Instant)) {
	w := s.router.w
	s.lastUp = max(s.lastUp, w.now+w.transit())
	w.after(s.lastUp-w.now, func() {
		s.on.handle(func() {
			if !s.broken && s.on.core != nil && s.on.sessions[s.id] == s {
				do(s.on.core, w.now)
			}
		})
	})
}

// toRouter carries a message in order, unless the stream breaks before.
func (s *simSession) toRouter(do func()) {
	w := s.router.w
	s.lastDown = max(s.lastDown, w.now+w.transit())
	w.after(s.lastDown-w.now, func() {
		s.router.handle(func() {
			if !s.broken && s.router.session == s {
				do()
			}
		})
	})
}

func (r *simRouter) restart() {
	r.incarnation++
	if r.session != nil {
		r.session.drop()
	}
	r.inbox, r.pausedUntil = nil, 0
	r.pending, r.held = map[uint64]*simAsk{}, map[earlierKey]*simPermit{}
}

func (r *simRouter) pause(d time.Duration) {
	r.pausedUntil = r.w.now + d
	incarnation := r.incarnation
	r.w.after(d, func() {
		if r.incarnation != incarnation {
			return
		}
		waiting := r.inbox
		r.inbox = nil
		for _, do := range waiting {
			do()
		}
	})
}

func (r *simRouter) handle(do func()) {
	if r.w.now < r.pausedUntil {
		r.inbox = append(r.inbox, do)
		return
	}
	do()
}

// connect tries a process that may hold the lease.
func (r *simRouter) connect() {
	w := r.w
	if r.session != nil || w.now < r.pausedUntil {
		return
	}
	p := w.processes[w.rand.IntN(len(w.processes))]
	w.nextID++
	s := &simSession{id: w.nextID, router: r, on: p}
	r.session = s
	hello := &grantpb.Hello{Router: r.name, Incarnation: fmt.Sprint(r.incarnation), DataCentre: "dc"}
	for _, h := range r.permits() {
		held := &grantpb.Held{
			PermitId: h.key.id, Term: h.key.term, Server: h.server, Service: "s", Workspace: h.workspace,
			RemainingMs: uint32(max(0, h.deadline-w.now) / time.Millisecond),
		}
		if h.startedAt > 0 {
			held.RunningMs = uint32((w.now-h.startedAt)/time.Millisecond) + 1
		}
		hello.Held = append(hello.Held, held)
	}
	w.after(w.transit(), func() {
		p.handle(func() {
			if p.core == nil || s.broken {
				s.drop()
				return
			}
			p.sessions[s.id] = s
			p.core.Open(w.now, s.id, hello)
			s.toRouter(func() {
				s.up = true
				for _, h := range r.permits() {
					if h.result != nil {
						r.send(h.result)
					}
				}
			})
		})
	})
}

func (r *simRouter) askRandom() {
	w := r.w
	if r.session == nil || !r.session.up || w.now < r.pausedUntil {
		return
	}
	r.nextAsk++
	a := &grantpb.Ask{
		AskId: r.nextAsk, Service: "s", Workspace: fmt.Sprint("w", w.rand.IntN(3)), Chat: w.rand.Uint64(),
		Priority: int32(w.rand.IntN(3)), WaitMs: uint32(w.rand.IntN(2) * 300), RunMs: 8000,
	}
	r.pending[a.AskId] = &simAsk{a, w.now}
	r.session.toGrantor(func(c *Core, now Instant) { c.Ask(now, r.session.idOr(0), a) })
	if w.rand.IntN(20) == 0 {
		delete(r.pending, a.AskId)
		r.session.toGrantor(func(c *Core, _ Instant) { c.Cancel(r.session.idOr(0), a.AskId) })
	}
}

// idOr returns the session's id, also when the router has none any more.
func (s *simSession) idOr(none SessionID) SessionID {
	if s == nil {
		return none
	}
	return s.id
}

// granted starts the run if its window has not passed.
func (r *simRouter) granted(term uint64, e Effect) {
	w := r.w
	a := r.pending[e.AskID]
	delete(r.pending, e.AskID)
	key := earlierKey{term, e.Permit}
	if a == nil || w.now >= a.sent+e.StartWithin || w.rand.IntN(30) == 0 {
		r.result(key, grantpb.Outcome_OUTCOME_NOT_RUN, 0)
		return
	}
	h := &simPermit{key: key, server: e.Server, workspace: a.ask.Workspace, startedAt: w.now, deadline: w.now + 8*time.Second}
	r.held[key] = h
	if r.session != nil {
		r.session.toGrantor(func(c *Core, now Instant) { c.Started(now, r.session.idOr(0), e.Permit) })
	}
	for _, engine := range w.engines {
		if engine.name == e.Server {
			w.after(w.transit(), func() { engine.begin(r, h, e.Incarnation) })
		}
	}
}

// result ends a permit at the router and tells the grantor if a session is up.
func (r *simRouter) result(key earlierKey, o grantpb.Outcome, ran time.Duration) {
	m := &grantpb.Result{PermitId: key.id, Term: key.term, Outcome: o, DurationMs: uint32(ran / time.Millisecond)}
	if r.session == nil || !r.session.up {
		if h := r.held[key]; h != nil {
			h.result = m
		}
		return
	}
	r.send(m)
}

// permits returns what the router holds, in an order that does not change.
func (r *simRouter) permits() []*simPermit {
	all := slices.Collect(maps.Values(r.held))
	slices.SortFunc(all, func(a, b *simPermit) int {
		return cmp.Or(cmp.Compare(a.key.term, b.key.term), cmp.Compare(a.key.id, b.key.id))
	})
	return all
}

func (r *simRouter) send(m *grantpb.Result) {
	delete(r.held, earlierKey{m.Term, m.PermitId})
	r.session.toGrantor(func(c *Core, now Instant) { c.Result(now, r.session.idOr(0), m) })
}

// begin runs a request at the engine: the moment that the limits are about.
func (e *engine) begin(r *simRouter, h *simPermit, incarnation string) {
	w := e.w
	w.starts++
	run := &simRun{current: incarnation == fmt.Sprint(e.incarnation)}
	e.running[run] = true
	e.note()
	e.check()
	took := time.Duration(20+w.rand.IntN(400)) * time.Millisecond
	if w.rand.IntN(15) == 0 {
		took *= 10
	}
	tell := func(o grantpb.Outcome) {
		w.after(w.transit(), func() { r.handle(func() { r.result(h.key, o, w.now-h.startedAt) }) })
	}
	broken := w.rand.IntN(40) == 0 // the connection breaks; the engine goes on
	if broken {
		w.after(took/2, func() { tell(grantpb.Outcome_OUTCOME_UNKNOWN) })
	}
	w.after(took, func() {
		outcome := grantpb.Outcome_OUTCOME_COMPLETED
		if !e.running[run] { // the engine has restarted
			outcome = grantpb.Outcome_OUTCOME_UNKNOWN
		}
		delete(e.running, run)
		e.note()
		if !broken {
			tell(outcome)
		}
	})
}

// check is the promise: never more than the capacity, and while cold never
// more than the cold capacity of requests granted to this incarnation.
func (e *engine) check() {
	current := 0
	for run := range e.running {
		if run.current {
			current++
		}
	}
	if len(e.running) > e.capacity {
		e.w.t.Fatalf("seed %d at %v: %s runs %d of %d", e.w.seed, e.w.now, e.name, len(e.running), e.capacity)
	}
	if e.state == grantpb.ServerState_SERVER_STATE_COLD && current > e.cold {
		e.w.t.Fatalf("seed %d at %v: cold %s runs %d of %d", e.w.seed, e.w.now, e.name, current, e.cold)
	}
}

// note keeps the history that lagged reports tell.
func (e *engine) note() {
	e.history = append(e.history, sample{e.w.now, len(e.running)})
	if len(e.history) > 4096 {
		e.history = e.history[2048:]
	}
}

func (e *engine) runningAt(at Instant) int {
	for i := len(e.history) - 1; i >= 0; i-- {
		if e.history[i].at <= at {
			return e.history[i].running
		}
	}
	return 0
}

// restart loses the engine's runs; it comes back cold for a while.
func (e *engine) restart() {
	e.incarnation++
	e.sequence = 0
	clear(e.running)
	e.note()
	e.state = grantpb.ServerState_SERVER_STATE_COLD
	incarnation := e.incarnation
	e.w.after(3*time.Second, func() {
		if e.incarnation == incarnation {
			e.state = grantpb.ServerState_SERVER_STATE_READY
		}
	})
}

// announce goes through a random router, sometimes twice, with a lagged load.
func (e *engine) announce() {
	w := e.w
	e.sequence++
	age := time.Duration(w.rand.IntN(3)) * 100 * time.Millisecond
	age = min(age, w.now)
	a := &grantpb.Announcement{
		Name: e.name, Service: "s", DataCentre: "dc", Incarnation: fmt.Sprint(e.incarnation), Sequence: e.sequence, State: e.state,
		Capacity: uint32(e.capacity), ColdCapacity: uint32(e.cold), Running: uint32(e.runningAt(w.now - age)), MeasuredMsAgo: uint32(age / time.Millisecond),
	}
	for range 1 + w.rand.IntN(2) {
		r := w.routers[w.rand.IntN(len(w.routers))]
		w.after(w.transit(), func() {
			// A paused router drops what waited for it, as the client does.
			if w.now >= r.pausedUntil && r.session != nil && r.session.up {
				r.session.toGrantor(func(c *Core, now Instant) { c.Announce(now, a) })
			}
		})
	}
}

package admission

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/kumquathollow/kumquathollow/api/grantpb"
)

// drop breaks the stream; the process notices it after a delay.
func (s *simSession) drop() {
	if s.broken {
		return
	}
	s.broken, s.established = true, false
	r, sim := s.router, s.router.sim
	if r.session == s {
		r.session = nil
		clear(r.pending)
	}
	sim.after(sim.messageDelay()*time.Duration(1+sim.rand.IntN(100)), func() {
		s.process.handle(func() {
			if s.process.core != nil && s.process.sessions[s.id] == s {
				s.process.core.CloseSession(s.id)
				delete(s.process.sessions, s.id)
			}
		})
	})
}

// toGrantor delivers a message in order, unless the stream breaks first.
func (s *simSession) toGrantor(do func(c *Core, now Instant)) {
	sim := s.router.sim
	s.lastToGrantor = max(s.lastToGrantor, sim.now+sim.messageDelay())
	sim.after(s.lastToGrantor-sim.now, func() {
		s.process.handle(func() {
			if !s.broken && s.process.core != nil && s.process.sessions[s.id] == s {
				do(s.process.core, sim.now)
			}
		})
	})
}

// toRouter delivers a message in order, unless the stream breaks first.
func (s *simSession) toRouter(do func()) {
	sim := s.router.sim
	s.lastToRouter = max(s.lastToRouter, sim.now+sim.messageDelay())
	sim.after(s.lastToRouter-sim.now, func() {
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
	r.pending, r.held = map[uint64]*simAsk{}, map[permitKey]*simPermit{}
}

func (r *simRouter) pause(d time.Duration) {
	r.pausedUntil = r.sim.now + d
	incarnation := r.incarnation
	r.sim.after(d, func() {
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
	if r.sim.now < r.pausedUntil {
		r.inbox = append(r.inbox, do)
		return
	}
	do()
}

// connect opens a session with a random process, which may hold the lease.
func (r *simRouter) connect() {
	sim := r.sim
	if r.session != nil || sim.now < r.pausedUntil {
		return
	}
	p := sim.processes[sim.rand.IntN(len(sim.processes))]
	sim.nextID++
	s := &simSession{id: sim.nextID, router: r, process: p}
	r.session = s
	hello := &grantpb.Hello{Router: r.name, Incarnation: fmt.Sprint(r.incarnation), DataCentre: "dc"}
	for _, h := range r.heldPermits() {
		held := &grantpb.Held{
			PermitId: h.key.id, Term: h.key.term, Server: h.server, Service: "s", Workspace: h.workspace,
			RemainingMs: uint32(max(0, h.deadline-sim.now) / time.Millisecond),
		}
		if h.startedAt > 0 {
			held.RunningMs = uint32((sim.now-h.startedAt)/time.Millisecond) + 1
		}
		hello.Held = append(hello.Held, held)
	}
	sim.after(sim.messageDelay(), func() {
		p.handle(func() {
			if p.core == nil || s.broken {
				s.drop()
				return
			}
			p.sessions[s.id] = s
			p.core.OpenSession(sim.now, s.id, hello)
			s.toRouter(func() {
				s.established = true
				for _, h := range r.heldPermits() {
					if h.result != nil {
						r.send(h.result)
					}
				}
			})
		})
	})
}

func (r *simRouter) sendRandomAsk() {
	sim := r.sim
	if r.session == nil || !r.session.established || sim.now < r.pausedUntil {
		return
	}
	r.nextAsk++
	a := &grantpb.Ask{
		AskId: r.nextAsk, Service: "s", Workspace: fmt.Sprint("w", sim.rand.IntN(3)), Chat: sim.rand.Uint64(),
		Priority: int32(sim.rand.IntN(3)), WaitMs: uint32(sim.rand.IntN(2) * 300), RunMs: 8000,
	}
	r.pending[a.AskId] = &simAsk{a, sim.now}
	r.session.toGrantor(func(c *Core, now Instant) { c.Ask(now, r.session.idOr(0), a) })
	if sim.rand.IntN(20) == 0 {
		delete(r.pending, a.AskId)
		r.session.toGrantor(func(c *Core, _ Instant) { c.Cancel(r.session.idOr(0), a.AskId) })
	}
}

// idOr returns the session's id, or none if the router no longer has a session.
func (s *simSession) idOr(none SessionID) SessionID {
	if s == nil {
		return none
	}
	return s.id
}

// handleGrant starts the run if its start window has not passed. It sometimes
// returns the permit unused.
func (r *simRouter) handleGrant(term uint64, e Effect) {
	sim := r.sim
	a := r.pending[e.AskID]
	delete(r.pending, e.AskID)
	key := permitKey{term, e.Permit}
	if a == nil || sim.now >= a.sent+e.StartWithin || sim.rand.IntN(30) == 0 {
		r.finishPermit(key, grantpb.Outcome_OUTCOME_NOT_RUN, 0)
		return
	}
	h := &simPermit{key: key, server: e.Server, workspace: a.ask.Workspace, startedAt: sim.now, deadline: sim.now + 8*time.Second}
	r.held[key] = h
	if r.session != nil {
		r.session.toGrantor(func(c *Core, now Instant) { c.Started(now, r.session.idOr(0), e.Permit) })
	}
	for _, srv := range sim.servers {
		if srv.name == e.Server {
			sim.after(sim.messageDelay(), func() { srv.startRun(r, h, e.Incarnation) })
		}
	}
}

// finishPermit ends a permit at the router. The result is sent at once if a session
// is established, else kept for the next one.
func (r *simRouter) finishPermit(key permitKey, o grantpb.Outcome, ran time.Duration) {
	m := &grantpb.Result{PermitId: key.id, Term: key.term, Outcome: o, DurationMs: uint32(ran / time.Millisecond)}
	if r.session == nil || !r.session.established {
		if h := r.held[key]; h != nil {
			h.result = m
		}
		return
	}
	r.send(m)
}

// heldPermits returns the router's permits in a deterministic order.
func (r *simRouter) heldPermits() []*simPermit {
	all := slices.Collect(maps.Values(r.held))
	slices.SortFunc(all, func(a, b *simPermit) int {
		return cmp.Or(cmp.Compare(a.key.term, b.key.term), cmp.Compare(a.key.id, b.key.id))
	})
	return all
}

func (r *simRouter) send(m *grantpb.Result) {
	delete(r.held, permitKey{m.Term, m.PermitId})
	r.session.toGrantor(func(c *Core, now Instant) { c.Result(now, r.session.idOr(0), m) })
}

// startRun starts a request at the server, and verifies the limits at that moment.
func (srv *simServer) startRun(r *simRouter, h *simPermit, incarnation string) {
	sim := srv.sim
	sim.starts++
	run := &simRun{current: incarnation == fmt.Sprint(srv.incarnation)}
	srv.running[run] = true
	srv.recordHistory()
	srv.verifyLimits()
	runTime := time.Duration(20+sim.rand.IntN(400)) * time.Millisecond
	if sim.rand.IntN(15) == 0 {
		runTime *= 10
	}
	report := func(o grantpb.Outcome) {
		sim.after(sim.messageDelay(), func() { r.handle(func() { r.finishPermit(h.key, o, sim.now-h.startedAt) }) })
	}
	broken := sim.rand.IntN(40) == 0 // the connection breaks; the server continues the run
	if broken {
		sim.after(runTime/2, func() { report(grantpb.Outcome_OUTCOME_UNKNOWN) })
	}
	sim.after(runTime, func() {
		outcome := grantpb.Outcome_OUTCOME_COMPLETED
		if !srv.running[run] { // the server has restarted
			outcome = grantpb.Outcome_OUTCOME_UNKNOWN
		}
		delete(srv.running, run)
		srv.recordHistory()
		if !broken {
			report(outcome)
		}
	})
}

// verifyLimits checks that the server never runs more requests than its capacity,
// and while cold never more requests granted to this incarnation than its cold
// capacity.
func (srv *simServer) verifyLimits() {
	current := 0
	for run := range srv.running {
		if run.current {
			current++
		}
	}
	if len(srv.running) > srv.capacity {
		srv.sim.t.Fatalf("seed %d at %v: %s runs %d requests, its capacity is %d", srv.sim.seed, srv.sim.now, srv.name, len(srv.running), srv.capacity)
	}
	if srv.state == grantpb.ServerState_SERVER_STATE_COLD && current > srv.coldCapacity {
		srv.sim.t.Fatalf("seed %d at %v: %s is cold and runs %d requests, its cold capacity is %d", srv.sim.seed, srv.sim.now, srv.name, current, srv.coldCapacity)
	}
}

// recordHistory records the number of running requests for delayed load reports.
func (srv *simServer) recordHistory() {
	srv.history = append(srv.history, sample{srv.sim.now, len(srv.running)})
	if len(srv.history) > 4096 {
		srv.history = srv.history[2048:]
	}
}

func (srv *simServer) runningAt(at Instant) int {
	for i := len(srv.history) - 1; i >= 0; i-- {
		if srv.history[i].at <= at {
			return srv.history[i].running
		}
	}
	return 0
}

// restart ends all runs. The server is cold for a while afterwards.
func (srv *simServer) restart() {
	srv.incarnation++
	srv.sequence = 0
	clear(srv.running)
	srv.recordHistory()
	srv.state = grantpb.ServerState_SERVER_STATE_COLD
	incarnation := srv.incarnation
	srv.sim.after(3*time.Second, func() {
		if srv.incarnation == incarnation {
			srv.state = grantpb.ServerState_SERVER_STATE_READY
		}
	})
}

// announce sends an announcement with a delayed load report through a random
// router, sometimes twice.
func (srv *simServer) announce() {
	sim := srv.sim
	srv.sequence++
	age := time.Duration(sim.rand.IntN(3)) * 100 * time.Millisecond
	age = min(age, sim.now)
	a := &grantpb.Announcement{
		Name: srv.name, Service: "s", DataCentre: "dc", Incarnation: fmt.Sprint(srv.incarnation), Sequence: srv.sequence, State: srv.state,
		Capacity: uint32(srv.capacity), ColdCapacity: uint32(srv.coldCapacity), Running: uint32(srv.runningAt(sim.now - age)), MeasuredMsAgo: uint32(age / time.Millisecond),
	}
	for range 1 + sim.rand.IntN(2) {
		r := sim.routers[sim.rand.IntN(len(sim.routers))]
		sim.after(sim.messageDelay(), func() {
			// A paused router drops the announcements that were queued for it, as
			// grantor.Client does.
			if sim.now >= r.pausedUntil && r.session != nil && r.session.established {
				r.session.toGrantor(func(c *Core, now Instant) { c.Announce(now, a) })
			}
		})
	}
}

package measure

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"
)

// Delays of the network, one way.
const (
	localHop  = 200 * time.Microsecond
	remoteHop = 1500 * time.Microsecond
	// reportEvery is the period of the engines' load reports.
	reportEvery = time.Second
)

// attempt is one try of a request at an engine.
type attempt struct {
	req     *Request
	router  int
	engine  *engine
	arrived time.Duration
	reused  int
	tries   int
	// epoch of the engine when the attempt began; a lost engine drops its attempts.
	incarnation int
	// place is the attempt's index among those that the engine runs.
	place int
	// onFirst, if set, is called when the first token comes.
	onFirst func(now time.Duration)
	// done is called once when the attempt ends; ok is false if it was lost.
	done func(now, first time.Duration, ok bool)
}

// again returns the next attempt of the same request.
func (a *attempt) again() *attempt {
	return &attempt{req: a.req, router: a.router, arrived: a.arrived, tries: a.tries + 1}
}

// FleetConfig describes the fleet of a run.
type FleetConfig struct {
	Routers     int
	Engines     int
	DataCentres int
	Slots       int
	ColdSlots   int
	CacheTokens int
	// ReportLag is the age at which routers see load reports.
	ReportLag time.Duration
	// ListLag is the most by which a router's list of servers is late.
	ListLag time.Duration
}

// Sim is one run in virtual time.
type Sim struct {
	cfg     FleetConfig
	now     time.Duration
	seq     uint64
	events  eventHeap
	engines []*engine
	// lists are the versions of the set of servers that take new work.
	lists  []listVersion
	outDC  map[int]bool
	rng    *rand.Rand
	policy Policy
	m      *Metrics
	// seen holds what each chat and workspace has shown before, to count reusable tokens.
	seenChats  map[uint64]bool
	seenShared map[int]bool
	// lost counts attempts that ended with their engine.
	arrivals []Request
	cursor   int
}

type listVersion struct {
	at      time.Duration
	engines []*engine
}

type event struct {
	at  time.Duration
	seq uint64
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return e
}

// newSim builds the fleet with warm engines.
func newSim(cfg FleetConfig, trace []Request, seed uint64) *Sim {
	s := &Sim{
		cfg: cfg, rng: rand.New(rand.NewPCG(seed, 2)), outDC: map[int]bool{},
		seenChats: map[uint64]bool{}, seenShared: map[int]bool{}, arrivals: trace,
	}
	for i := range cfg.Engines {
		s.engines = append(s.engines, &engine{
			index: i, name: fmt.Sprintf("runner-%04d", i), dc: i % cfg.DataCentres, slots: cfg.Slots,
			coldSlots: cfg.ColdSlots, up: true, cache: newPromptCache(cfg.CacheTokens),
		})
	}
	s.m = newMetrics(cfg)
	s.publish()
	return s
}

// after schedules the function.
func (s *Sim) after(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.events, event{s.now + d, s.seq, run})
}

// run plays the trace to its end and lets what runs finish.
func (s *Sim) run(p Policy) *Metrics {
	s.policy = p
	s.tick()
	for {
		arrival := s.cursor < len(s.arrivals)
		if arrival && (len(s.events) == 0 || s.arrivals[s.cursor].At <= s.events[0].at) {
			r := &s.arrivals[s.cursor]
			s.cursor++
			s.now = r.At
			s.arrive(r)
			continue
		}
		if len(s.events) == 0 || (!arrival && s.m.open == 0) {
			return s.m
		}
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
}

// tick makes the engines report their load and asks the policy for its periodic work.
func (s *Sim) tick() {
	for _, e := range s.engines {
		if e.up {
			e.report(s.now)
		}
	}
	s.policy.Tick(s)
	s.after(reportEvery, s.tick)
}

func (s *Sim) arrive(r *Request) {
	if s.seenShared[r.Workspace] {
		s.m.reusable += int64(r.Shared)
	}
	if s.seenChats[r.Chat] {
		s.m.reusable += int64(r.History)
	}
	s.seenShared[r.Workspace] = true
	s.seenChats[r.Chat] = true
	s.m.requests++
	s.m.open++
	a := &attempt{req: r, router: s.rng.IntN(s.cfg.Routers), arrived: s.now}
	s.policy.Submit(s, a)
}

// refuse ends a request that did not run.
func (s *Sim) refuse(a *attempt) {
	s.m.refused++
	if a.req.Priority == interactivePr {
		s.m.refusedInteractive++
	}
	s.m.open--
}

// start sends the attempt to the engine; it arrives there one hop later.
func (s *Sim) start(a *attempt, e *engine, done func(now, first time.Duration, ok bool)) {
	a.engine, a.done = e, done
	a.incarnation = e.incarnation
	s.m.started(s, e, a)
	s.after(localHop, func() { s.enter(a) })
}

func (s *Sim) enter(a *attempt) {
	e := a.engine
	if !e.up || e.incarnation != a.incarnation {
		s.m.left(s, e, a)
		a.done(s.now, 0, false)
		return
	}
	if len(e.running) >= e.slots {
		e.waiting = append(e.waiting, a)
		return
	}
	s.process(a)
}

func (s *Sim) process(a *attempt) {
	e := a.engine
	first, end := e.begin(a, s.now)
	s.m.reused += int64(a.reused)
	s.after(first-s.now, func() { s.firstToken(a) })
	s.after(end-s.now, func() { s.finish(a, first) })
}

func (s *Sim) firstToken(a *attempt) {
	if a.engine.incarnation == a.incarnation && a.onFirst != nil {
		a.onFirst(s.now)
	}
}

func (s *Sim) finish(a *attempt, first time.Duration) {
	e := a.engine
	if e.incarnation != a.incarnation {
		return // the engine was lost and its attempts were ended then
	}
	e.drop(a)
	s.m.left(s, e, a)
	s.m.completed(a, first)
	a.done(s.now, first, true)
	if len(e.waiting) > 0 && len(e.running) < e.slots {
		next := e.waiting[0]
		e.waiting = e.waiting[1:]
		s.process(next)
	}
}

// publish appends a version of the list of servers that take new work.
func (s *Sim) publish() {
	v := listVersion{at: s.now}
	for _, e := range s.engines {
		if e.up && !s.outDC[e.dc] {
			v.engines = append(v.engines, e)
		}
	}
	s.lists = append(s.lists, v)
	s.m.setPool(s)
}

// view returns the list of servers as the router sees it now.
func (s *Sim) view(router int) []*engine {
	lag := time.Duration(0)
	if s.cfg.ListLag > 0 {
		lag = s.cfg.ListLag * time.Duration(router%16) / 16
	}
	for i := len(s.lists) - 1; i > 0; i-- {
		if s.lists[i].at <= s.now-lag {
			return s.lists[i].engines
		}
	}
	return s.lists[0].engines
}

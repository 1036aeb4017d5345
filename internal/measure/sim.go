package measure

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"
)

// One-way network delays, and the interval of load reports.
const (
	localHop  = 200 * time.Microsecond
	remoteHop = 1500 * time.Microsecond
	// reportInterval is the interval of the engines' load reports and of Policy.Tick.
	reportInterval = time.Second
)

// attempt is an attempt to run a request on an engine.
type attempt struct {
	req          *Request
	router       int
	engine       *engine
	arrived      time.Duration
	reusedTokens int
	tries        int
	// incarnation of the engine when the attempt started. An engine that is killed
	// loses its attempts.
	incarnation int
	// runningIndex is the attempt's index among those that the engine runs.
	runningIndex int
	// onFirst, if set, is called at the first token.
	onFirst func(now time.Duration)
	// done is called once when the attempt ends; ok is false if it was lost.
	done func(now, first time.Duration, ok bool)
}

// retry returns the next attempt of the same request.
func (a *attempt) retry() *attempt {
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
	// ReportLag is the delay with which routers see load reports.
	ReportLag time.Duration
	// ListLag is the upper limit of the delay with which routers see server lists.
	ListLag time.Duration
}

// Sim is the discrete-event simulation of one run.
type Sim struct {
	cfg     FleetConfig
	now     time.Duration
	seq     uint64
	events  eventHeap
	engines []*engine
	// lists holds all versions of the list of servers that accept new requests.
	lists     []listVersion
	evacuated map[int]bool
	rng       *rand.Rand
	policy    Policy
	metrics   *Metrics
	// seenChats and seenShared hold the chats and the workspaces that had a request,
	// to count reusable tokens.
	seenChats  map[uint64]bool
	seenShared map[int]bool
	arrivals   []Request
	cursor     int
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

// newSim returns a simulation whose engines are all warm.
func newSim(cfg FleetConfig, trace []Request, seed uint64) *Sim {
	s := &Sim{
		cfg: cfg, rng: rand.New(rand.NewPCG(seed, 2)), evacuated: map[int]bool{},
		seenChats: map[uint64]bool{}, seenShared: map[int]bool{}, arrivals: trace,
	}
	for i := range cfg.Engines {
		s.engines = append(s.engines, &engine{
			index: i, name: fmt.Sprintf("runner-%04d", i), dc: i % cfg.DataCentres, slots: cfg.Slots,
			coldSlots: cfg.ColdSlots, up: true, cache: newPromptCache(cfg.CacheTokens),
		})
	}
	s.metrics = newMetrics(cfg)
	s.publish()
	return s
}

// after schedules run at d from now.
func (s *Sim) after(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.events, event{s.now + d, s.seq, run})
}

// run replays the trace until all its requests have ended.
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
		if len(s.events) == 0 || (!arrival && s.metrics.unfinished == 0) {
			return s.metrics
		}
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
}

// tick records the load reports of the engines and calls Policy.Tick.
func (s *Sim) tick() {
	for _, e := range s.engines {
		if e.up {
			e.report(s.now)
		}
	}
	s.policy.Tick(s)
	s.after(reportInterval, s.tick)
}

func (s *Sim) arrive(r *Request) {
	if s.seenShared[r.Workspace] {
		s.metrics.reusableTokens += int64(r.SharedTokens)
	}
	if s.seenChats[r.Chat] {
		s.metrics.reusableTokens += int64(r.HistoryTokens)
	}
	s.seenShared[r.Workspace] = true
	s.seenChats[r.Chat] = true
	s.metrics.requests++
	s.metrics.unfinished++
	a := &attempt{req: r, router: s.rng.IntN(s.cfg.Routers), arrived: s.now}
	s.policy.Submit(s, a)
}

// refuse ends a request that was not run.
func (s *Sim) refuse(a *attempt) {
	s.metrics.refused++
	if a.req.Priority == interactivePriority {
		s.metrics.refusedInteractive++
	}
	s.metrics.unfinished--
}

// start sends the attempt to the engine; it arrives there one hop later.
func (s *Sim) start(a *attempt, e *engine, done func(now, first time.Duration, ok bool)) {
	a.engine, a.done = e, done
	a.incarnation = e.incarnation
	s.metrics.recordStart(s, e, a)
	s.after(localHop, func() { s.admit(a) })
}

func (s *Sim) admit(a *attempt) {
	e := a.engine
	if !e.up || e.incarnation != a.incarnation {
		s.metrics.recordEnd(s, e, a)
		a.done(s.now, 0, false)
		return
	}
	if len(e.running) >= e.slots {
		e.waiting = append(e.waiting, a)
		return
	}
	s.serve(a)
}

func (s *Sim) serve(a *attempt) {
	e := a.engine
	first, end := e.begin(a, s.now)
	s.metrics.reusedTokens += int64(a.reusedTokens)
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
		return // kill has already ended the attempts of the engine
	}
	e.remove(a)
	s.metrics.recordEnd(s, e, a)
	s.metrics.recordCompletion(a, first)
	a.done(s.now, first, true)
	if len(e.waiting) > 0 && len(e.running) < e.slots {
		next := e.waiting[0]
		e.waiting = e.waiting[1:]
		s.serve(next)
	}
}

// publish appends a version of the list of servers that accept new requests.
func (s *Sim) publish() {
	v := listVersion{at: s.now}
	for _, e := range s.engines {
		if e.up && !s.evacuated[e.dc] {
			v.engines = append(v.engines, e)
		}
	}
	s.lists = append(s.lists, v)
	s.metrics.resetPools(s)
}

// serverList returns the server list that the router sees now. The delay depends on the
// router and is between 0 and 15/16 of ListLag.
func (s *Sim) serverList(router int) []*engine {
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

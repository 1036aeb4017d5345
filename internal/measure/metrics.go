package measure

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/kumquathollow/kumquathollow/internal/admission"
)

// Bounds that a run is checked against.
const (
	maxLoadFactor = 1.25
	loadFloor     = 2
	// ratioScale is the resolution of recorded load ratios.
	ratioScale = 1000
	maxRatio   = 100 * ratioScale
	maxFirstUs = 600_000_000
	// outGrace is how long after an order a data centre may still receive new work.
	outGrace = 5 * time.Second
)

// Metrics are the counts of one run.
type Metrics struct {
	requests           int64
	refused            int64
	refusedInteractive int64
	lost               int64
	retries            int64
	open               int64
	reused             int64
	reusable           int64
	// moved counts returns of a chat to another server while its last one was there.
	moved int64
	// returns counts requests of chats that had run before.
	returns     int64
	memberships int64
	// controlBytes counts load reports, lists, asks and permits at all routers.
	controlBytes int64
	// overAtStart counts starts that put a server over its bound.
	overAtStart int64
	// overEver counts events at which some server was over its bound.
	overEver   int64
	coldOver   int64
	outStarts  int64
	skewEvents int64
	ratios     *hdrhistogram.Histogram
	first      map[int]*hdrhistogram.Histogram
	// others holds interactive first tokens of the workspaces that never surge.
	others     *hdrhistogram.Histogram
	surging    func(workspace int) bool
	pools      []*pool
	outSince   map[int]time.Duration
	inFlight   []int
	lastServer map[uint64]int
}

// pool follows the load of one data centre's ready servers: those that have
// not said that they are cold, and whose ramp is over.
type pool struct {
	total   int
	servers int
	// byLoad counts servers at each load.
	byLoad []int
	max    int
}

func newMetrics(cfg FleetConfig) *Metrics {
	m := &Metrics{
		ratios:   hdrhistogram.New(1, maxRatio, 3),
		first:    map[int]*hdrhistogram.Histogram{interactivePr: newFirst(), plannerPr: newFirst()},
		others:   newFirst(),
		surging:  func(int) bool { return false },
		outSince: map[int]time.Duration{}, lastServer: map[uint64]int{},
		inFlight: make([]int, cfg.Engines),
	}
	for range cfg.DataCentres {
		m.pools = append(m.pools, &pool{})
	}
	return m
}

func newFirst() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxFirstUs, 3) }

// setPool counts anew after a change of the list of servers.
func (m *Metrics) setPool(s *Sim) {
	for i := range m.pools {
		m.pools[i] = &pool{}
	}
	for _, e := range s.engines {
		e.pooled = e.up && s.now >= e.warmAt
		if e.pooled {
			p := m.pools[e.dc]
			p.servers++
			p.put(m.inFlight[e.index])
		}
	}
}

func (p *pool) put(load int) {
	for len(p.byLoad) <= load {
		p.byLoad = append(p.byLoad, 0)
	}
	p.byLoad[load]++
	p.total += load
	p.max = max(p.max, load)
}

func (p *pool) move(from, to int) {
	if from >= len(p.byLoad) || p.byLoad[from] == 0 {
		return // the server is not part of the pool any more
	}
	p.byLoad[from]--
	p.total -= from
	p.put(to)
	for p.max > 0 && p.byLoad[p.max] == 0 {
		p.max--
	}
}

func (p *pool) mean() float64 {
	if p.servers == 0 {
		return 0
	}
	return float64(p.total) / float64(p.servers)
}

// bound is the most that a server may carry with so many requests added.
func (p *pool) bound(added int) int {
	if p.servers == 0 {
		return math.MaxInt
	}
	return int(admission.LoadLimit(p.total+added, p.servers, maxLoadFactor, loadFloor))
}

func (m *Metrics) started(s *Sim, e *engine, a *attempt) {
	m.shift(e, 1)
	m.follow(s, e, a.req.Chat)
	p := m.pools[e.dc]
	load := m.inFlight[e.index]
	if load > p.bound(0) {
		m.overAtStart++
	}
	if e.cold(s.now) && load > e.coldSlots {
		m.coldOver++
	}
	if since, ok := m.outSince[e.dc]; ok && s.now > since+outGrace {
		m.outStarts++
	}
}

// follow counts whether the chat has come back to its last server.
func (m *Metrics) follow(s *Sim, e *engine, chat uint64) {
	if last, ok := m.lastServer[chat]; ok {
		m.returns++
		if last != e.index && s.engines[last].up && !s.outDC[s.engines[last].dc] {
			m.moved++
		}
	}
	m.lastServer[chat] = e.index
}

func (m *Metrics) left(_ *Sim, e *engine, a *attempt) {
	if a.incarnation == e.incarnation {
		m.shift(e, -1)
	}
}

func (m *Metrics) shift(e *engine, by int) {
	p := m.pools[e.dc]
	was := m.inFlight[e.index]
	m.inFlight[e.index] = was + by
	if !e.pooled {
		return
	}
	p.move(was, was+by)
	if p.mean() <= loadFloor {
		return
	}
	m.skewEvents++
	if p.max > p.bound(0) {
		m.overEver++
	}
	_ = m.ratios.RecordValue(min(int64(float64(p.max)/p.mean()*ratioScale), maxRatio))
}

func (m *Metrics) completed(a *attempt, first time.Duration) {
	m.open--
	us := max(1, (first - a.arrived).Microseconds())
	_ = m.first[a.req.Priority].RecordValue(us)
	if a.req.Priority == interactivePr && !m.surging(a.req.Workspace) {
		_ = m.others.RecordValue(us)
	}
}

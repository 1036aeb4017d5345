package measure

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/kumquathollow/kumquathollow/internal/admission"
)

// Bounds that violations are counted against, and limits of the histograms.
const (
	maxLoadFactor = 1.25
	loadFloor     = 2
	// ratioScale is the resolution of recorded load ratios.
	ratioScale      = 1000
	maxRatio        = 100 * ratioScale
	maxFirstTokenUs = 600_000_000
	// evacuationGrace is how long a data centre may still receive new work after
	// its evacuation was ordered.
	evacuationGrace = 5 * time.Second
)

// Metrics holds the counters and histograms of one run.
type Metrics struct {
	requests           int64
	refused            int64
	refusedInteractive int64
	// lost counts attempts that were lost with their engine.
	lost           int64
	retries        int64
	unfinished     int64
	reusedTokens   int64
	reusableTokens int64
	// moved counts returns of a chat that went to another server although its previous
	// one was available.
	moved int64
	// returns counts requests of chats that had an earlier request.
	returns      int64
	fleetChanges int64
	// controlBytes counts the bytes of load reports, server lists, permit requests and
	// permits at all routers.
	controlBytes int64
	// overAtStart counts starts after which the server was over its bound.
	overAtStart int64
	// overEver counts load changes after which some server of the pool was over its
	// bound, while the mean of the pool was above loadFloor.
	overEver int64
	// coldOver counts starts that exceeded the coldSlots of a cold server.
	coldOver int64
	// evacuatedStarts counts starts in a data centre that had been evacuated for longer
	// than evacuationGrace.
	evacuatedStarts int64
	skewEvents      int64
	skewRatios      *hdrhistogram.Histogram
	firstToken      map[int]*hdrhistogram.Histogram
	// othersFirstToken holds the first-token latency of interactive requests of the
	// workspaces without a surge.
	othersFirstToken *hdrhistogram.Histogram
	maySurge         func(workspace int) bool
	pools            []*pool
	evacuatedAt      map[int]time.Duration
	inFlight         []int
	lastServer       map[uint64]int
}

// pool tracks the load of the ready servers of one data centre: those that are not
// announced as cold and whose ramp is over.
type pool struct {
	total   int
	servers int
	// byLoad holds the number of servers at each load.
	byLoad []int
	max    int
}

func newMetrics(cfg FleetConfig) *Metrics {
	m := &Metrics{
		skewRatios:       hdrhistogram.New(1, maxRatio, 3),
		firstToken:       map[int]*hdrhistogram.Histogram{interactivePriority: newLatencyHistogram(), plannerPriority: newLatencyHistogram()},
		othersFirstToken: newLatencyHistogram(),
		maySurge:         func(int) bool { return false },
		evacuatedAt:      map[int]time.Duration{}, lastServer: map[uint64]int{},
		inFlight: make([]int, cfg.Engines),
	}
	for range cfg.DataCentres {
		m.pools = append(m.pools, &pool{})
	}
	return m
}

func newLatencyHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxFirstTokenUs, 3) }

// resetPools rebuilds the pools after a change of the server list.
func (m *Metrics) resetPools(s *Sim) {
	for i := range m.pools {
		m.pools[i] = &pool{}
	}
	for _, e := range s.engines {
		e.inPool = e.up && s.now >= e.rampEnd
		if e.inPool {
			p := m.pools[e.dc]
			p.servers++
			p.add(m.inFlight[e.index])
		}
	}
}

func (p *pool) add(load int) {
	for len(p.byLoad) <= load {
		p.byLoad = append(p.byLoad, 0)
	}
	p.byLoad[load]++
	p.total += load
	p.max = max(p.max, load)
}

func (p *pool) move(from, to int) {
	if from >= len(p.byLoad) || p.byLoad[from] == 0 {
		return // the server is no longer in the pool
	}
	p.byLoad[from]--
	p.total -= from
	p.add(to)
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

// bound returns the maximum load of a server once the given number of requests has
// been added to the pool.
func (p *pool) bound(added int) int {
	if p.servers == 0 {
		return math.MaxInt
	}
	return int(admission.LoadLimit(p.total+added, p.servers, maxLoadFactor, loadFloor))
}

func (m *Metrics) recordStart(s *Sim, e *engine, a *attempt) {
	m.addInFlight(e, 1)
	m.recordReturn(s, e, a.req.Chat)
	p := m.pools[e.dc]
	load := m.inFlight[e.index]
	if load > p.bound(0) {
		m.overAtStart++
	}
	if e.cold(s.now) && load > e.coldSlots {
		m.coldOver++
	}
	if since, ok := m.evacuatedAt[e.dc]; ok && s.now > since+evacuationGrace {
		m.evacuatedStarts++
	}
}

// recordReturn counts a return of the chat, and whether it moved to another server.
func (m *Metrics) recordReturn(s *Sim, e *engine, chat uint64) {
	if last, ok := m.lastServer[chat]; ok {
		m.returns++
		if last != e.index && s.engines[last].up && !s.evacuated[s.engines[last].dc] {
			m.moved++
		}
	}
	m.lastServer[chat] = e.index
}

func (m *Metrics) recordEnd(_ *Sim, e *engine, a *attempt) {
	if a.incarnation == e.incarnation {
		m.addInFlight(e, -1)
	}
}

func (m *Metrics) addInFlight(e *engine, delta int) {
	p := m.pools[e.dc]
	before := m.inFlight[e.index]
	m.inFlight[e.index] = before + delta
	if !e.inPool {
		return
	}
	p.move(before, before+delta)
	if p.mean() <= loadFloor {
		return
	}
	m.skewEvents++
	if p.max > p.bound(0) {
		m.overEver++
	}
	_ = m.skewRatios.RecordValue(min(int64(float64(p.max)/p.mean()*ratioScale), maxRatio))
}

func (m *Metrics) recordCompletion(a *attempt, first time.Duration) {
	m.unfinished--
	us := max(1, (first - a.arrived).Microseconds())
	_ = m.firstToken[a.req.Priority].RecordValue(us)
	if a.req.Priority == interactivePriority && !m.maySurge(a.req.Workspace) {
		_ = m.othersFirstToken.RecordValue(us)
	}
}

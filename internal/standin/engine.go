package standin

import (
	"math/rand/v2"
	"sort"
	"time"
)

// State is what a server announces of itself.
type State string

// The states of a server.
const (
	Cold    State = "cold"
	Ready   State = "ready"
	Leaving State = "leaving"
)

// EngineConfig describes an engine. The zero value of a duration means none.
type EngineConfig struct {
	// Capacity is the number of slots.
	Capacity int
	// ColdCapacity is how many runs a cold engine bears before it falls over.
	ColdCapacity int
	// ColdTime is how long a start takes until the engine is ready.
	ColdTime time.Duration
	// ColdSlowdown multiplies all times while cold.
	ColdSlowdown float64
	// FallTime is how long every run fails after a cold engine was overloaded.
	FallTime time.Duration
	// BatchInterval is the step of continuous batching: runs start at its multiples.
	BatchInterval time.Duration
	// PrefillPerToken is the time for one prompt token that is not cached.
	PrefillPerToken time.Duration
	// TokenInterval is the time between generated tokens of a single run.
	TokenInterval time.Duration
	// BatchSlowdown is the part by which TokenInterval grows from an empty to a full engine.
	BatchSlowdown float64
	// CacheTokens is the size of the prompt-prefix cache.
	CacheTokens int
	// ReportLag is the age of the load figures that the engine reports.
	ReportLag time.Duration
	// EventDelay is the age at which cache events are published.
	EventDelay time.Duration
	// EventLoss is the part of cache events that are never published.
	EventLoss float64
	// Seed drives the loss of cache events.
	Seed uint64
}

// Run is a request as the engine sees it.
type Run struct {
	ID       string
	Blocks   []uint64
	Priority int
}

// Plan is the pace of a started run.
type Plan struct {
	ID string
	// FirstToken is when the first token is out.
	FirstToken time.Time
	// Interval is the time between later tokens.
	Interval time.Duration
	// CachedTokens and PromptTokens tell the reuse of the prefix cache.
	CachedTokens int
	PromptTokens int
}

// Load is a load report.
type Load struct {
	Running, Queued int
	// Age is how long ago the figures were true.
	Age time.Duration
}

// CacheEvent tells of blocks that came into the cache or left it.
type CacheEvent struct {
	// Sequence increases by one per event, so a reader sees gaps.
	Sequence uint64   `json:"sequence"`
	Added    []uint64 `json:"added,omitempty"`
	Removed  []uint64 `json:"removed,omitempty"`

	at time.Time
}

type loadSample struct {
	at              time.Time
	running, queued int
}

const maxCacheEvents = 1024

// Engine is the pure core of a stand-in. It is not safe for concurrent use.
type Engine struct {
	conf        EngineConfig
	cache       *Cache
	rand        *rand.Rand
	readyAt     time.Time
	fallenUntil time.Time
	running     map[string]bool
	waiting     []Run
	samples     []loadSample
	events      []CacheEvent
	sequence    uint64
}

// NewEngine returns an engine that starts cold at now.
func NewEngine(conf EngineConfig, now time.Time) *Engine {
	if conf.ColdSlowdown < 1 {
		conf.ColdSlowdown = 1
	}
	return &Engine{
		conf:    conf,
		cache:   NewCache(conf.CacheTokens),
		rand:    rand.New(rand.NewPCG(conf.Seed, 0)),
		readyAt: now.Add(conf.ColdTime),
		running: map[string]bool{},
		samples: []loadSample{{at: now}},
	}
}

// State returns Cold or Ready.
func (e *Engine) State(now time.Time) State {
	if now.Before(e.readyAt) {
		return Cold
	}
	return Ready
}

// ReadyFor returns how long the engine has been ready; 0 while it is cold.
func (e *Engine) ReadyFor(now time.Time) time.Duration { return max(0, now.Sub(e.readyAt)) }

// Fallen reports whether every run fails at now.
func (e *Engine) Fallen(now time.Time) bool { return now.Before(e.fallenUntil) }

// TurnCold empties the cache and starts the cold time again.
func (e *Engine) TurnCold(now time.Time) {
	e.readyAt = now.Add(e.conf.ColdTime)
	e.cache.Clear()
}

// InFlight returns how many runs hold a slot or wait for one.
func (e *Engine) InFlight() int { return len(e.running) + len(e.waiting) }

// Begin takes a run. It returns its plan, or false if the run waits for a
// slot; then a later End returns the plan. A cold engine that gets more than
// it bears falls over.
func (e *Engine) Begin(now time.Time, r Run) (Plan, bool) {
	if e.State(now) == Cold && e.InFlight()+1 > e.conf.ColdCapacity {
		e.fallenUntil = now.Add(e.conf.FallTime)
	}
	if len(e.running) >= e.conf.Capacity {
		e.enqueue(r)
		e.sample(now)
		return Plan{}, false
	}
	p := e.start(now, r)
	e.sample(now)
	return p, true
}

// End frees the slot of a run, or its place in the queue, and returns the
// plans of the runs that started in its place.
func (e *Engine) End(now time.Time, id string) []Plan {
	if !e.running[id] {
		e.dequeue(id)
		e.sample(now)
		return nil
	}
	delete(e.running, id)
	var started []Plan
	for len(e.waiting) > 0 && len(e.running) < e.conf.Capacity {
		r := e.waiting[0]
		e.waiting = e.waiting[1:]
		started = append(started, e.start(now, r))
	}
	e.sample(now)
	return started
}

// Report returns the load as it was ReportLag ago.
func (e *Engine) Report(now time.Time) Load {
	asOf := now.Add(-e.conf.ReportLag)
	i := sort.Search(len(e.samples), func(i int) bool { return e.samples[i].at.After(asOf) })
	if i > 0 {
		i--
	}
	e.samples = e.samples[i:]
	s := e.samples[0]
	return Load{Running: s.running, Queued: s.queued, Age: e.conf.ReportLag}
}

// Events returns the published cache events after the given sequence number.
func (e *Engine) Events(now time.Time, after uint64) []CacheEvent {
	asOf := now.Add(-e.conf.EventDelay)
	var out []CacheEvent
	for _, ev := range e.events {
		if ev.Sequence > after && !ev.at.After(asOf) {
			out = append(out, ev)
		}
	}
	return out
}

func (e *Engine) enqueue(r Run) {
	i := sort.Search(len(e.waiting), func(i int) bool { return e.waiting[i].Priority < r.Priority })
	e.waiting = append(e.waiting, Run{})
	copy(e.waiting[i+1:], e.waiting[i:])
	e.waiting[i] = r
}

func (e *Engine) dequeue(id string) {
	for i, r := range e.waiting {
		if r.ID == id {
			e.waiting = append(e.waiting[:i], e.waiting[i+1:]...)
			return
		}
	}
}

func (e *Engine) start(now time.Time, r Run) Plan {
	cached := e.cache.Match(r.Blocks)
	added, evicted := e.cache.Insert(r.Blocks)
	e.record(now, added, evicted)
	e.running[r.ID] = true

	slow := 1.0
	if e.State(now) == Cold {
		slow = e.conf.ColdSlowdown
	}
	load := float64(len(e.running)-1) / float64(max(1, e.conf.Capacity))
	interval := scale(e.conf.TokenInterval, slow*(1+e.conf.BatchSlowdown*load))
	uncached := (len(r.Blocks) - cached) * BlockTokens
	prefill := scale(time.Duration(uncached)*e.conf.PrefillPerToken, slow)
	return Plan{
		ID:           r.ID,
		FirstToken:   e.nextStep(now).Add(prefill + interval),
		Interval:     interval,
		CachedTokens: cached * BlockTokens,
		PromptTokens: len(r.Blocks) * BlockTokens,
	}
}

func (e *Engine) nextStep(now time.Time) time.Time {
	if e.conf.BatchInterval <= 0 {
		return now
	}
	step := now.Truncate(e.conf.BatchInterval)
	if step.Before(now) {
		step = step.Add(e.conf.BatchInterval)
	}
	return step
}

func (e *Engine) record(now time.Time, added, removed []uint64) {
	if len(added)+len(removed) == 0 {
		return
	}
	e.sequence++
	if e.rand.Float64() < e.conf.EventLoss {
		return
	}
	e.events = append(e.events, CacheEvent{Sequence: e.sequence, Added: added, Removed: removed, at: now})
	if len(e.events) > maxCacheEvents {
		e.events = e.events[1:]
	}
}

func (e *Engine) sample(now time.Time) {
	e.samples = append(e.samples, loadSample{at: now, running: len(e.running), queued: len(e.waiting)})
	e.Report(now) // drops samples that no later report can use
}

func scale(d time.Duration, f float64) time.Duration { return time.Duration(float64(d) * f) }

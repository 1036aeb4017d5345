package standin

import (
	"math/rand/v2"
	"sort"
	"time"
)

// State is the state that a server announces.
type State string

// States of a server.
const (
	StateCold    State = "cold"
	StateReady   State = "ready"
	StateLeaving State = "leaving"
)

// EngineConfig configures an engine. A duration of zero disables what it controls.
type EngineConfig struct {
	// Capacity is the number of slots, that is, of concurrent runs.
	Capacity int
	// ColdCapacity is the number of runs in flight that a cold engine sustains before
	// it is overloaded.
	ColdCapacity int
	// ColdTime is the time from the start until the engine is ready.
	ColdTime time.Duration
	// ColdSlowdown is the factor by which prefill and token intervals grow while the
	// engine is cold.
	ColdSlowdown float64
	// FallTime is how long all runs fail after a cold engine was overloaded.
	FallTime time.Duration
	// BatchInterval is the step of continuous batching: runs start at multiples of it.
	BatchInterval time.Duration
	// PrefillPerToken is the prefill time of one prompt token that is not cached.
	PrefillPerToken time.Duration
	// TokenInterval is the time between generated tokens when a single run is active.
	TokenInterval time.Duration
	// BatchSlowdown is the fraction by which TokenInterval grows from an empty to a
	// full engine.
	BatchSlowdown float64
	// CacheTokens is the capacity of the prompt-prefix cache in tokens.
	CacheTokens int
	// ReportLag is the age of the load figures in a load report.
	ReportLag time.Duration
	// EventDelay is the time from a cache event to its publication.
	EventDelay time.Duration
	// EventLoss is the fraction of cache events that are never published.
	EventLoss float64
	// Seed is the seed of the random generator that drops cache events.
	Seed uint64
}

// Run is a request submitted to the engine.
type Run struct {
	ID       string
	Blocks   []uint64
	Priority int
}

// Plan is the schedule of a run that was started.
type Plan struct {
	ID string
	// FirstToken is the time at which the first token is generated.
	FirstToken time.Time
	// Interval is the time between subsequent tokens.
	Interval time.Duration
	// CachedTokens is how many of the PromptTokens were found in the prefix cache.
	CachedTokens int
	PromptTokens int
}

// Load is a load report.
type Load struct {
	Running, Queued int
	// Age is the time since the figures were measured.
	Age time.Duration
}

// CacheEvent lists the blocks that were added to the cache and evicted from it.
type CacheEvent struct {
	// Sequence increases by one per event, so that a reader can detect lost events.
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

// Engine simulates a model engine without input or output. It is not safe for
// concurrent use.
type Engine struct {
	conf            EngineConfig
	cache           *Cache
	rand            *rand.Rand
	readyAt         time.Time
	overloadedUntil time.Time
	running         map[string]bool
	queue           []Run
	samples         []loadSample
	events          []CacheEvent
	sequence        uint64
}

// NewEngine returns an engine that starts cold at time now.
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
		return StateCold
	}
	return StateReady
}

// ReadyFor returns how long the engine has been ready; 0 while it is cold.
func (e *Engine) ReadyFor(now time.Time) time.Duration { return max(0, now.Sub(e.readyAt)) }

// Overloaded reports whether the engine was overloaded while cold and all its runs
// fail at time now.
func (e *Engine) Overloaded(now time.Time) bool { return now.Before(e.overloadedUntil) }

// TurnCold clears the cache and restarts the cold period.
func (e *Engine) TurnCold(now time.Time) {
	e.readyAt = now.Add(e.conf.ColdTime)
	e.cache.Clear()
}

// InFlight returns the number of runs that hold a slot or wait for one.
func (e *Engine) InFlight() int { return len(e.running) + len(e.queue) }

// Begin submits a run. It returns the plan of the run, or false if the run is
// queued for a slot; a later call of End then returns the plan. A cold engine
// with more than ColdCapacity runs in flight is overloaded.
func (e *Engine) Begin(now time.Time, r Run) (Plan, bool) {
	if e.State(now) == StateCold && e.InFlight()+1 > e.conf.ColdCapacity {
		e.overloadedUntil = now.Add(e.conf.FallTime)
	}
	if len(e.running) >= e.conf.Capacity {
		e.enqueue(r)
		e.recordLoadSample(now)
		return Plan{}, false
	}
	p := e.start(now, r)
	e.recordLoadSample(now)
	return p, true
}

// End frees the slot of a run, or removes the run from the queue, and returns the
// plans of the queued runs that it started.
func (e *Engine) End(now time.Time, id string) []Plan {
	if !e.running[id] {
		e.dequeue(id)
		e.recordLoadSample(now)
		return nil
	}
	delete(e.running, id)
	var started []Plan
	for len(e.queue) > 0 && len(e.running) < e.conf.Capacity {
		r := e.queue[0]
		e.queue = e.queue[1:]
		started = append(started, e.start(now, r))
	}
	e.recordLoadSample(now)
	return started
}

// Report returns the load as it was ReportLag before now.
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
	i := sort.Search(len(e.queue), func(i int) bool { return e.queue[i].Priority < r.Priority })
	e.queue = append(e.queue, Run{})
	copy(e.queue[i+1:], e.queue[i:])
	e.queue[i] = r
}

func (e *Engine) dequeue(id string) {
	for i, r := range e.queue {
		if r.ID == id {
			e.queue = append(e.queue[:i], e.queue[i+1:]...)
			return
		}
	}
}

func (e *Engine) start(now time.Time, r Run) Plan {
	cached := e.cache.Match(r.Blocks)
	added, evicted := e.cache.Insert(r.Blocks)
	e.recordCacheEvent(now, added, evicted)
	e.running[r.ID] = true

	slow := 1.0
	if e.State(now) == StateCold {
		slow = e.conf.ColdSlowdown
	}
	load := float64(len(e.running)-1) / float64(max(1, e.conf.Capacity))
	interval := scale(e.conf.TokenInterval, slow*(1+e.conf.BatchSlowdown*load))
	uncached := (len(r.Blocks) - cached) * BlockTokens
	prefill := scale(time.Duration(uncached)*e.conf.PrefillPerToken, slow)
	return Plan{
		ID:           r.ID,
		FirstToken:   e.nextBatchStep(now).Add(prefill + interval),
		Interval:     interval,
		CachedTokens: cached * BlockTokens,
		PromptTokens: len(r.Blocks) * BlockTokens,
	}
}

func (e *Engine) nextBatchStep(now time.Time) time.Time {
	if e.conf.BatchInterval <= 0 {
		return now
	}
	step := now.Truncate(e.conf.BatchInterval)
	if step.Before(now) {
		step = step.Add(e.conf.BatchInterval)
	}
	return step
}

func (e *Engine) recordCacheEvent(now time.Time, added, removed []uint64) {
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

func (e *Engine) recordLoadSample(now time.Time) {
	e.samples = append(e.samples, loadSample{at: now, running: len(e.running), queued: len(e.queue)})
	e.Report(now) // discards samples that no later report needs
}

func scale(d time.Duration, f float64) time.Duration { return time.Duration(float64(d) * f) }

package measure

import (
	"container/list"
	"time"
)

// Pace of the engine fakes.
const (
	prefillPerToken = 120 * time.Microsecond
	decodePerToken  = 30 * time.Millisecond
	// overloadedCold is how many times slower a cold engine runs beyond what it can bear.
	overloadedCold = 5
)

// cacheKey names a cached prefix: a workspace's shared prompt or a chat's history.
type cacheKey struct {
	shared bool
	id     uint64
}

type cacheEntry struct {
	key    cacheKey
	tokens int
}

// promptCache keeps prefixes by least recent use within a number of tokens.
type promptCache struct {
	capacity int
	used     int
	order    *list.List
	entries  map[cacheKey]*list.Element
}

func newPromptCache(capacity int) *promptCache {
	return &promptCache{capacity: capacity, order: list.New(), entries: map[cacheKey]*list.Element{}}
}

// cached returns how many leading tokens of the request are held, without touching them.
func (c *promptCache) cached(r *Request) int {
	if c.tokens(cacheKey{true, uint64(r.Workspace)}) < r.Shared {
		return 0
	}
	return r.Shared + min(c.tokens(cacheKey{false, r.Chat}), r.History)
}

func (c *promptCache) tokens(k cacheKey) int {
	if e, ok := c.entries[k]; ok {
		return e.Value.(*cacheEntry).tokens
	}
	return 0
}

// put stores the prefix and marks it as used last.
func (c *promptCache) put(k cacheKey, tokens int) {
	e, ok := c.entries[k]
	if !ok {
		e = c.order.PushFront(&cacheEntry{key: k})
		c.entries[k] = e
	}
	entry := e.Value.(*cacheEntry)
	c.used += tokens - entry.tokens
	entry.tokens = tokens
	c.order.MoveToFront(e)
	for c.used > c.capacity && c.order.Len() > 1 {
		c.evict(c.order.Back())
	}
}

func (c *promptCache) evict(e *list.Element) {
	entry := e.Value.(*cacheEntry)
	c.used -= entry.tokens
	delete(c.entries, entry.key)
	c.order.Remove(e)
}

func (c *promptCache) clear() {
	c.used = 0
	c.order.Init()
	clear(c.entries)
}

// engine is a fake of a model engine.
type engine struct {
	index int
	name  string
	dc    int
	slots int
	// coldSlots is what the engine bears until coldUntil.
	coldSlots int
	coldUntil time.Duration
	// silentCold is true if the engine does not say that it is cold.
	silentCold bool
	// warmAt is when the ramp after the latest announced cold start is over, and
	// pooled is true while the engine counts in its pool's mean.
	warmAt      time.Duration
	pooled      bool
	incarnation int
	// up is true while the engine exists.
	up       bool
	running  []*attempt
	waiting  []*attempt
	cache    *promptCache
	prefills time.Duration
	// reports hold the newest load reports, by time.
	reports [reportRing]loadReport
	next    int
}

// reportRing is how many load reports are kept; it covers the longest lag.
const reportRing = 8

type loadReport struct {
	at   time.Duration
	load int
}

func (e *engine) load() int { return len(e.running) + len(e.waiting) }

func (e *engine) cold(now time.Duration) bool { return now < e.coldUntil }

func (e *engine) report(now time.Duration) {
	e.reports[e.next%reportRing] = loadReport{now, e.load()}
	e.next++
}

// reported returns the newest load that was measured at or before the time.
func (e *engine) reported(by time.Duration) int {
	for i := 1; i <= reportRing && i <= e.next; i++ {
		if r := e.reports[(e.next-i)%reportRing]; r.at <= by {
			return r.load
		}
	}
	return 0
}

// begin runs the attempt and returns when its first token and its end come.
func (e *engine) begin(a *attempt, now time.Duration) (first, end time.Duration) {
	a.place = len(e.running)
	e.running = append(e.running, a)
	r := a.req
	hit := e.cache.cached(r)
	a.reused = hit
	work := time.Duration(r.Prompt()-hit) * prefillPerToken
	pace := decodePerToken
	if e.cold(now) && len(e.running) > e.coldSlots {
		work *= overloadedCold
		pace *= overloadedCold
	}
	e.prefills = max(e.prefills, now) + work
	first = e.prefills
	e.cache.put(cacheKey{true, uint64(r.Workspace)}, r.Shared)
	e.cache.put(cacheKey{false, r.Chat}, r.History+r.New+r.Output)
	return first, first + time.Duration(r.Output)*pace
}

// drop takes an ended attempt off the engine.
func (e *engine) drop(a *attempt) {
	last := e.running[len(e.running)-1]
	e.running[a.place] = last
	last.place = a.place
	e.running = e.running[:len(e.running)-1]
}

package measure

import (
	"container/list"
	"time"
)

// Speed of the simulated engines.
const (
	prefillPerToken = 120 * time.Microsecond
	decodePerToken  = 30 * time.Millisecond
	// coldOverloadFactor is the factor by which a cold engine is slower while it runs
	// more than coldSlots attempts.
	coldOverloadFactor = 5
)

// cacheKey identifies a cached prefix: the shared prompt of a workspace or the
// history of a chat.
type cacheKey struct {
	shared bool
	id     uint64
}

type cacheEntry struct {
	key    cacheKey
	tokens int
}

// promptCache is an LRU cache of prefixes whose capacity is a number of tokens.
type promptCache struct {
	capacity int
	used     int
	order    *list.List
	entries  map[cacheKey]*list.Element
}

func newPromptCache(capacity int) *promptCache {
	return &promptCache{capacity: capacity, order: list.New(), entries: map[cacheKey]*list.Element{}}
}

// cachedTokens returns the number of leading tokens of the request that are cached. It
// does not count as a use.
func (c *promptCache) cachedTokens(r *Request) int {
	if c.tokens(cacheKey{true, uint64(r.Workspace)}) < r.SharedTokens {
		return 0
	}
	return r.SharedTokens + min(c.tokens(cacheKey{false, r.Chat}), r.HistoryTokens)
}

func (c *promptCache) tokens(k cacheKey) int {
	if e, ok := c.entries[k]; ok {
		return e.Value.(*cacheEntry).tokens
	}
	return 0
}

// put stores the prefix as the most recently used one and evicts others as needed.
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

// engine is a simulated model engine.
type engine struct {
	index int
	name  string
	dc    int
	slots int
	// coldSlots is the number of attempts that the engine can run at full speed until
	// coldUntil.
	coldSlots int
	coldUntil time.Duration
	// unannouncedCold is true if the engine does not announce that it is cold.
	unannouncedCold bool
	// rampEnd is the end of the ramp after the last announced cold start, and
	// pooled is true while the engine counts towards the mean load of its pool.
	rampEnd     time.Duration
	inPool      bool
	incarnation int
	// up is false while the engine is down.
	up           bool
	running      []*attempt
	waiting      []*attempt
	cache        *promptCache
	prefillUntil time.Duration
	// reports is a ring buffer of the newest load reports; reportCount counts all
	// reports so far.
	reports     [reportRingSize]loadReport
	reportCount int
}

// reportRingSize is the number of load reports kept; it covers the longest report lag.
const reportRingSize = 8

type loadReport struct {
	at   time.Duration
	load int
}

func (e *engine) load() int { return len(e.running) + len(e.waiting) }

func (e *engine) cold(now time.Duration) bool { return now < e.coldUntil }

func (e *engine) report(now time.Duration) {
	e.reports[e.reportCount%reportRingSize] = loadReport{now, e.load()}
	e.reportCount++
}

// reportedLoad returns the newest load that was measured at or before asOf.
func (e *engine) reportedLoad(asOf time.Duration) int {
	for i := 1; i <= reportRingSize && i <= e.reportCount; i++ {
		if r := e.reports[(e.reportCount-i)%reportRingSize]; r.at <= asOf {
			return r.load
		}
	}
	return 0
}

// begin runs the attempt and returns the times of its first token and of its end.
func (e *engine) begin(a *attempt, now time.Duration) (first, end time.Duration) {
	a.runningIndex = len(e.running)
	e.running = append(e.running, a)
	r := a.req
	hit := e.cache.cachedTokens(r)
	a.reusedTokens = hit
	work := time.Duration(r.PromptTokens()-hit) * prefillPerToken
	pace := decodePerToken
	if e.cold(now) && len(e.running) > e.coldSlots {
		work *= coldOverloadFactor
		pace *= coldOverloadFactor
	}
	e.prefillUntil = max(e.prefillUntil, now) + work
	first = e.prefillUntil
	e.cache.put(cacheKey{true, uint64(r.Workspace)}, r.SharedTokens)
	e.cache.put(cacheKey{false, r.Chat}, r.HistoryTokens+r.NewTokens+r.OutputTokens)
	return first, first + time.Duration(r.OutputTokens)*pace
}

// remove removes an ended attempt from the running ones.
func (e *engine) remove(a *attempt) {
	last := e.running[len(e.running)-1]
	e.running[a.runningIndex] = last
	last.runningIndex = a.runningIndex
	e.running = e.running[:len(e.running)-1]
}

package distribution

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	minBackoff = 100 * time.Millisecond
	// maxBackoff bounds the rest of a source that failed, so that a node learns
	// soon that control is back.
	maxBackoff = 2 * time.Second
	// emptyBackoff bounds the rest of a source that has no news yet.
	emptyBackoff = 500 * time.Millisecond
)

// candidate is one address that can be watched.
type candidate struct {
	address  string
	busy     bool
	failures int
	retryAt  time.Time
}

// sources chooses which addresses are watched. The preferred ones come before
// the fallback; within each list the order depends on the node, so that the
// nodes of a data centre spread over its relays.
type sources struct {
	mu   sync.Mutex
	all  []*candidate
	rand *rand.Rand
}

func newSources(node string, preferred, fallback []string) *sources {
	seed := xxhash.Sum64String(node)
	s := &sources{rand: rand.New(rand.NewPCG(seed, seed))}
	for _, list := range [][]string{preferred, fallback} {
		start := len(s.all)
		for _, a := range list {
			s.all = append(s.all, &candidate{address: a})
		}
		part := s.all[start:]
		s.rand.Shuffle(len(part), func(i, j int) { part[i], part[j] = part[j], part[i] })
	}
	return s
}

// acquire returns the best candidate that is free and due, and whether it is
// among the first n; else nil and how long to wait.
func (s *sources) acquire(now time.Time, n int) (c *candidate, preferred bool, wait time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	wait = maxBackoff
	for i, c := range s.all {
		if c.busy {
			continue
		}
		if d := c.retryAt.Sub(now); d > 0 {
			wait = min(wait, d)
			continue
		}
		c.busy = true
		return c, i < n, 0
	}
	return nil, false, wait
}

// release gives a candidate back; after a failure it rests for a time that
// doubles with each failure in a row up to limit, with jitter. A limit of 0 is
// for no failure.
func (s *sources) release(c *candidate, now time.Time, limit time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.busy = false
	if limit == 0 {
		c.failures, c.retryAt = 0, now
		return
	}
	rest := min(limit, minBackoff<<min(c.failures, 10))
	c.failures++
	c.retryAt = now.Add(rest/2 + time.Duration(s.rand.Int64N(int64(rest))))
}

// jitter returns a time between d/2 and 3d/2.
func (s *sources) jitter(d time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return d/2 + time.Duration(s.rand.Int64N(int64(d)))
}

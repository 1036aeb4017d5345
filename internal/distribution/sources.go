package distribution

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	minBackoff = 100 * time.Millisecond
	// maxBackoff bounds the backoff after a failed source, so that a node
	// reconnects within seconds once control is back.
	maxBackoff = 2 * time.Second
	// notReadyBackoff bounds the backoff after a source that has no configuration
	// yet.
	notReadyBackoff = 500 * time.Millisecond
)

// candidate is an address that can be watched.
type candidate struct {
	address  string
	inUse    bool
	failures int
	retryAt  time.Time
}

// sources selects the addresses to watch. The preferred ones come before the
// fallback ones. Within each list the order is shuffled by the node's name, so that
// the nodes of a data centre are spread over its relays.
type sources struct {
	mu         sync.Mutex
	candidates []*candidate
	rand       *rand.Rand
}

func newSources(node string, preferred, fallback []string) *sources {
	seed := xxhash.Sum64String(node)
	s := &sources{rand: rand.New(rand.NewPCG(seed, seed))}
	for _, list := range [][]string{preferred, fallback} {
		start := len(s.candidates)
		for _, a := range list {
			s.candidates = append(s.candidates, &candidate{address: a})
		}
		part := s.candidates[start:]
		s.rand.Shuffle(len(part), func(i, j int) { part[i], part[j] = part[j], part[i] })
	}
	return s
}

// acquire returns the first candidate that is not in use and not in backoff, and
// whether it is among the first n. If there is none, it returns nil and how long to
// wait.
func (s *sources) acquire(now time.Time, n int) (c *candidate, preferred bool, wait time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	wait = maxBackoff
	for i, c := range s.candidates {
		if c.inUse {
			continue
		}
		if d := c.retryAt.Sub(now); d > 0 {
			wait = min(wait, d)
			continue
		}
		c.inUse = true
		return c, i < n, 0
	}
	return nil, false, wait
}

// release returns a candidate after use. After a failure the candidate backs off
// for a time that doubles with each consecutive failure up to limit, with jitter. A
// limit of 0 means that there was no failure.
func (s *sources) release(c *candidate, now time.Time, limit time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.inUse = false
	if limit == 0 {
		c.failures, c.retryAt = 0, now
		return
	}
	backoff := min(limit, minBackoff<<min(c.failures, 10))
	c.failures++
	c.retryAt = now.Add(backoff/2 + time.Duration(s.rand.Int64N(int64(backoff))))
}

// jitter returns a random duration between d/2 and 3d/2.
func (s *sources) jitter(d time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return d/2 + time.Duration(s.rand.Int64N(int64(d)))
}

package eventlog

import (
	"sync"
	"time"
)

// Sampler limits the log lines of each kind per second. It is safe for concurrent use.
type Sampler struct {
	perSecond int
	mu        sync.Mutex
	kinds     map[string]*window
}

type window struct {
	start      time.Time
	written    int
	suppressed int
}

// NewSampler returns a Sampler that allows perSecond lines of each kind per second.
func NewSampler(perSecond int) *Sampler {
	return &Sampler{perSecond: perSecond, kinds: map[string]*window{}}
}

// Allow reports whether a line of the kind may be written now. If so, it also returns
// how many lines of the kind were suppressed since the last one that was allowed.
func (s *Sampler) Allow(kind string, now time.Time) (suppressed int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.kinds[kind]
	if w == nil {
		w = &window{start: now}
		s.kinds[kind] = w
	}
	if now.Sub(w.start) >= time.Second {
		w.start, w.written = now, 0
	}
	if w.written >= s.perSecond {
		w.suppressed++
		return 0, false
	}
	w.written++
	suppressed, w.suppressed = w.suppressed, 0
	return suppressed, true
}

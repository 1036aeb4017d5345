package eventlog

import (
	"sync"
	"time"
)

// Sampler bounds the lines of each kind per second.
type Sampler struct {
	perSecond int
	mu        sync.Mutex
	kinds     map[string]*window
}

type window struct {
	began   time.Time
	written int
	left    int
}

// NewSampler returns a Sampler that passes perSecond lines of each kind.
func NewSampler(perSecond int) *Sampler {
	return &Sampler{perSecond: perSecond, kinds: map[string]*window{}}
}

// Allow reports whether a line of the kind may be written now and, if so, how
// many were left out since the last one that was.
func (s *Sampler) Allow(kind string, now time.Time) (leftOut int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.kinds[kind]
	if w == nil {
		w = &window{began: now}
		s.kinds[kind] = w
	}
	if now.Sub(w.began) >= time.Second {
		w.began, w.written = now, 0
	}
	if w.written >= s.perSecond {
		w.left++
		return 0, false
	}
	w.written++
	leftOut, w.left = w.left, 0
	return leftOut, true
}

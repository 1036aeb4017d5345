package grantor

import (
	"sync/atomic"
	"time"
)

const (
	// watchEvery is the time between signs of life of the process to itself.
	watchEvery = 50 * time.Millisecond
	// longestGap is the longest time between two of them that is no pause.
	longestGap = 250 * time.Millisecond
	// afterPause is how long what arrives may have waited through a pause.
	afterPause = 500 * time.Millisecond
)

// waitWatch knows how long a message that is handled now may have waited
// because the process was paused.
type waitWatch struct {
	state atomic.Pointer[waitState]
}

type waitState struct {
	last time.Duration
	// gap is the length of the latest pause, which ended at end.
	gap, end time.Duration
}

// tick notes that the process runs.
func (w *waitWatch) tick(now time.Duration) {
	next := &waitState{last: now}
	if s := w.state.Load(); s != nil {
		next.gap, next.end = s.gap, s.end
		if now-s.last > longestGap {
			next.gap, next.end = now-s.last, now
		}
	}
	w.state.Store(next)
}

// waited returns how long a message handled now may have waited.
func (w *waitWatch) waited(now time.Duration) time.Duration {
	s := w.state.Load()
	switch {
	case s == nil:
		return 0
	case now-s.last > longestGap:
		return now - s.last
	case s.gap > 0 && now < s.end+afterPause:
		return s.gap
	}
	return 0
}

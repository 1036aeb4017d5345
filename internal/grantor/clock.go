package grantor

import (
	"sync/atomic"
	"time"
)

// clock tells the time since the start of the process.
type clock struct {
	start time.Time
	// ahead is the most by which the wall clock was ahead of the monotonic one.
	ahead atomic.Int64
}

func newClock(now time.Time) *clock { return &clock{start: now} }

// monotonic is the time by which votes are kept. It may stand still while the
// VM is suspended, so that a vote lasts longer, which is safe.
func (c *clock) monotonic() time.Duration { return time.Since(c.start) }

// now is the time by which a lease is held. It never falls behind the wall
// clock, so that a holder that was suspended finds its lease ended.
func (c *clock) now() time.Duration {
	now := time.Now()
	return c.advance(now.Sub(c.start), now.Round(0).Sub(c.start.Round(0)))
}

// advance takes the time passed on both clocks.
func (c *clock) advance(monotonic, wall time.Duration) time.Duration {
	for {
		ahead := c.ahead.Load()
		if int64(wall-monotonic) <= ahead {
			return monotonic + time.Duration(ahead)
		}
		if c.ahead.CompareAndSwap(ahead, int64(wall-monotonic)) {
			return wall
		}
	}
}

const (
	// watchEvery is the time between signs of life of the process to itself.
	watchEvery = 50 * time.Millisecond
	// longestGap is the longest time between two of them that is no pause.
	longestGap = 250 * time.Millisecond
	// afterPause is how long what arrives may have waited through a pause.
	afterPause = 500 * time.Millisecond
)

// pauseWatch knows how long a message that is handled now may have waited
// because the process was paused.
type pauseWatch struct {
	state atomic.Pointer[pauseState]
}

type pauseState struct {
	last time.Duration
	// gap is the length of the latest pause, which ended at end.
	gap, end time.Duration
}

// tick notes that the process runs.
func (w *pauseWatch) tick(now time.Duration) {
	next := &pauseState{last: now}
	if s := w.state.Load(); s != nil {
		next.gap, next.end = s.gap, s.end
		if now-s.last > longestGap {
			next.gap, next.end = now-s.last, now
		}
	}
	w.state.Store(next)
}

// waited returns how long a message handled now may have waited.
func (w *pauseWatch) waited(now time.Duration) time.Duration {
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

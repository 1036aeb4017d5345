package grantor

import (
	"sync/atomic"
	"time"
)

const (
	// pauseCheckInterval is the interval between ticks of the detector.
	pauseCheckInterval = 50 * time.Millisecond
	// pauseThreshold is the longest interval between two ticks that does not count as a pause.
	pauseThreshold = 250 * time.Millisecond
	// backlogWindow is how long after a pause the messages handled may have been
	// queued during it.
	backlogWindow = 500 * time.Millisecond
)

// pauseDetector estimates how long a message that is handled now may have been
// queued because the process was paused.
type pauseDetector struct {
	state atomic.Pointer[pauseState]
}

type pauseState struct {
	lastTick time.Duration
	// pauseLength is the length of the last pause, which ended at pauseEnd.
	pauseLength, pauseEnd time.Duration
}

// tick records that the process is running. It must be called every pauseCheckInterval.
func (d *pauseDetector) tick(now time.Duration) {
	next := &pauseState{lastTick: now}
	if s := d.state.Load(); s != nil {
		next.pauseLength, next.pauseEnd = s.pauseLength, s.pauseEnd
		if now-s.lastTick > pauseThreshold {
			next.pauseLength, next.pauseEnd = now-s.lastTick, now
		}
	}
	d.state.Store(next)
}

// possibleDelay returns how long a message handled now may have been queued.
func (d *pauseDetector) possibleDelay(now time.Duration) time.Duration {
	s := d.state.Load()
	switch {
	case s == nil:
		return 0
	case now-s.lastTick > pauseThreshold:
		return now - s.lastTick
	case s.pauseLength > 0 && now < s.pauseEnd+backlogWindow:
		return s.pauseLength
	}
	return 0
}

package directory

import "time"

const (
	// delayWeight is the weight of the latest tick in the exponential moving average.
	// With a tick of 100 ms, about the last 2 s determine it.
	delayWeight = 0.05
	// slowTickDelay is the average tick delay at which a leader hands over leadership. A
	// delay of one heartbeat interval means that every second heartbeat is missed.
	slowTickDelay = heartbeatInterval
	// handOverGrace is how long a process must lead before it may hand over, and the
	// minimum time between two attempts. A process is always busy after it starts.
	handOverGrace = 5 * time.Second
)

// slowLeaderDetector detects a leader that is too slow to lead. It measures how late
// the process's own ticks fire, since a throttled VM does not report that it is.
type slowLeaderDetector struct {
	interval     time.Duration
	averageDelay time.Duration
	lastTick     time.Time
	// graceStart is when the process became leader or last attempted to hand over.
	graceStart time.Time
}

// tick is called once per interval and reports whether the process should hand over
// leadership.
func (d *slowLeaderDetector) tick(now time.Time, leading bool) bool {
	if !d.lastTick.IsZero() {
		delay := max(0, now.Sub(d.lastTick)-d.interval)
		d.averageDelay += time.Duration(delayWeight * float64(delay-d.averageDelay))
	}
	d.lastTick = now
	switch {
	case !leading:
		d.graceStart = time.Time{}
	case d.graceStart.IsZero():
		d.graceStart = now
	case d.averageDelay >= slowTickDelay && now.Sub(d.graceStart) >= handOverGrace:
		d.graceStart = now
		return true
	}
	return false
}

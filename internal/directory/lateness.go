package directory

import "time"

const (
	// latenessWeight is the weight of the newest tick in the average; at a tick of
	// 100 ms about the last two seconds decide.
	latenessWeight = 0.05
	// slowLateness is the average lateness of ticks from which a leader gives its
	// duty up: as much as a heartbeat, so that each second one is missed.
	slowLateness = heartbeat
	// leastLed is how long a leader must lead first, and the time between two
	// attempts: a start is always busy.
	leastLed = 5 * time.Second
)

// lateness tells whether a process that leads is too slow for it. It looks at how
// late its own ticks are, since a VM that is slowed does not say so.
type lateness struct {
	interval time.Duration
	average  time.Duration
	last     time.Time
	// since is when leading began, or when it was last tried to give it up.
	since time.Time
}

// tick is called once an interval; it reports whether leadership is to be given up.
func (l *lateness) tick(now time.Time, leading bool) bool {
	if !l.last.IsZero() {
		late := max(0, now.Sub(l.last)-l.interval)
		l.average += time.Duration(latenessWeight * float64(late-l.average))
	}
	l.last = now
	switch {
	case !leading:
		l.since = time.Time{}
	case l.since.IsZero():
		l.since = now
	case l.average >= slowLateness && now.Sub(l.since) >= leastLed:
		l.since = now
		return true
	}
	return false
}

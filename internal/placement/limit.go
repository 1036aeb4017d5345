package placement

import (
	"sync"
	"time"
)

const (
	// minLimitTTL is how long a limit is in force at least if the server does not repeat it.
	// Each response repeats it or shows that it has ended. If this router may send fewer
	// requests than one in limitTTLRequests-th of that time, it is in force for longer.
	minLimitTTL      = 30 * time.Second
	maxLimitTTL      = 10 * time.Minute
	limitTTLRequests = 2
	// limitBurstTime and limitBurstRequests bound what all routers together may send at
	// once after they have sent less than the limit: what it allows in that time, and some
	// requests more.
	limitBurstTime     = 1600 * time.Millisecond
	limitBurstRequests = 4
)

// serverLimit is a limit that a server has named for the requests of all routers together,
// and this router's share of it. It is safe for concurrent use.
type serverLimit struct {
	// phase is this router's position among the routers, from 0 to 1. It spreads their first
	// requests if one of each is too much at once.
	phase float64

	mu        sync.Mutex
	perSecond float64
	// namedAt is when the server last named it; zero if it has named none.
	namedAt time.Time
	// tokens are the requests that this router may send, as of refilledAt.
	tokens     float64
	refilledAt time.Time
}

// record takes over the limit of a response to a request that was sent at sentAt, and
// reports whether it changed.
func (l *serverLimit) record(n Notice, routers int, sentAt, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	named := l.isNamed(routers, now)
	if !n.HasLimit {
		// Responses overtake each other: this one may have been written before.
		ended := named && sentAt.After(l.namedAt)
		if ended {
			l.namedAt = time.Time{}
		}
		return ended
	}
	news := !named || l.perSecond != n.Limit
	l.perSecond, l.namedAt = n.Limit, now
	if !named {
		l.tokens, l.refilledAt = 0, now
		if l.burst(routers) < 1 {
			l.tokens = l.phase
		}
	}
	return news
}

// ttl returns how long the limit is in force after it was last named.
func (l *serverLimit) ttl(routers int) time.Duration {
	if l.perSecond == 0 {
		return minLimitTTL
	}
	return max(minLimitTTL, secondsAtMost(limitTTLRequests*float64(routers)/l.perSecond, maxLimitTTL))
}

func (l *serverLimit) isNamed(routers int, now time.Time) bool {
	return !l.namedAt.IsZero() && now.Sub(l.namedAt) <= l.ttl(routers)
}

// inForce reports whether the server has named a limit that has not ended.
func (l *serverLimit) inForce(routers int, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.isNamed(routers, now)
}

// admit reports whether this router may send the server a request now, and counts it if so.
func (l *serverLimit) admit(routers int, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.waitLocked(routers, now) > 0 {
		return false
	}
	l.tokens--
	return true
}

// wait returns the time until this router may send the server a request.
func (l *serverLimit) wait(routers int, now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.waitLocked(routers, now)
}

func (l *serverLimit) waitLocked(routers int, now time.Time) time.Duration {
	if !l.isNamed(routers, now) {
		return 0
	}
	share := l.perSecond / float64(routers)
	l.tokens = min(max(1, l.burst(routers)), l.tokens+share*now.Sub(l.refilledAt).Seconds())
	l.refilledAt = now
	if l.tokens >= 1 {
		return 0
	}
	// Without a share the router waits until the limit is no longer in force.
	expires := l.ttl(routers) - now.Sub(l.namedAt) + 1
	return min(expires, secondsAtMost((1-l.tokens)/share, maxLimitTTL))
}

// burst returns this router's share of what all routers may send at once.
func (l *serverLimit) burst(routers int) float64 {
	return (l.perSecond*limitBurstTime.Seconds() + limitBurstRequests) / float64(routers)
}

// secondsAtMost returns the number of seconds, which may be infinite, as a duration that is
// at most limit.
func secondsAtMost(seconds float64, limit time.Duration) time.Duration {
	if seconds >= limit.Seconds() {
		return limit
	}
	return max(1, time.Duration(seconds*float64(time.Second)))
}

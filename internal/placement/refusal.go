package placement

import (
	"sync"
	"time"
)

const (
	// refusalTTL is how long a server's limit of refusals is in force if it does not repeat it.
	// Each response repeats it or shows that it has ended.
	refusalTTL = 30 * time.Second
)

// serviceRefusals is the limit of refusals that a server of a service named last. It holds for
// servers that have not responded yet, since one that has just started fails just as soon. It
// is safe for concurrent use.
type serviceRefusals struct {
	mu        sync.Mutex
	perSecond float64
	namedAt   time.Time
}

func (s *serviceRefusals) record(perSecond float64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.perSecond, s.namedAt = perSecond, now
}

func (s *serviceRefusals) current(now time.Time) (perSecond float64, inForce bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.perSecond, !s.namedAt.IsZero() && now.Sub(s.namedAt) <= refusalTTL
}

// refusalGuard is the limit of refusals of one server. It is safe for concurrent use.
type refusalGuard struct {
	service *serviceRefusals

	mu sync.Mutex
	// heard is set once the server has responded; until then the service's limit applies.
	heard     bool
	perSecond float64
	// namedAt is when the server last named its limit; zero if it has named none.
	namedAt time.Time
}

// record takes over the limit of a response to a request that was sent at sentAt, and
// reports whether it changed.
func (g *refusalGuard) record(n Notice, sentAt, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.heard = true
	named := g.isNamed(now)
	if !n.HasRefusals {
		// Responses overtake each other: this one may have been written before.
		ended := named && sentAt.After(g.namedAt)
		if ended {
			g.namedAt = time.Time{}
		}
		return ended
	}
	news := !named || g.perSecond != n.Refusals
	g.perSecond, g.namedAt = n.Refusals, now
	g.service.record(n.Refusals, now)
	return news
}

func (g *refusalGuard) isNamed(now time.Time) bool {
	return !g.namedAt.IsZero() && now.Sub(g.namedAt) <= refusalTTL
}

// limit returns the limit of refusals that applies to the server, and false if there is none.
func (g *refusalGuard) limit(now time.Time) (float64, bool) {
	if g.heard {
		return g.perSecond, g.isNamed(now)
	}
	return g.service.current(now)
}

// inForce reports whether a limit applies to the server.
func (g *refusalGuard) inForce(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, inForce := g.limit(now)
	return inForce
}

package placement

import (
	"math"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// refusalTTL is how long a server's limit of refusals is in force if it does not repeat it.
	// Each response repeats it or shows that it has ended.
	refusalTTL = 30 * time.Second
	// refusalFraction is the fraction of the limit that all routers together use. The rest
	// covers requests that are on their way when a server begins to refuse.
	refusalFraction = 0.5
	// maxRefusalPause limits for how long a server that has refused a request gets none.
	maxRefusalPause = 10 * time.Second
	// roomGain is the fraction of a server's spare slots by which all routers together change
	// their room on it with each response.
	roomGain = 0.25
	roomLoss = 1.0
	// minGrowingShare is from how many refusals a second on that this router may cause its room
	// grows beyond its part of the slots.
	minGrowingShare = 0.3
	// maxRoutersPerSlot is up to how many routers for each slot of a server each may have one
	// request there. More take turns.
	maxRoutersPerSlot = 4
	// leastTurns is the least part of its share of the slots that a router keeps.
	leastTurns = 0.2
	// firstTurnFraction is the part of its share of the slots with which a router begins: turns
	// are not synchronized, so that more than the average may fall together.
	firstTurnFraction = 0.6
	// firstTurnSpread is the time within which the routers begin their first turns.
	firstTurnSpread = time.Second
	// refusedRoomFactor is the fraction of its requests in flight that a router may have on
	// a server after that has refused one.
	refusedRoomFactor = 0.7
)

// ErrNoRoom is the cause of a Pick error if servers that fail by refusing have as many requests
// of this router as they bear.
var ErrNoRoom = errors.New("the servers have as many requests of this router as they bear")

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

// refusalGuard keeps this router's requests to a server that fails if it has to refuse too many
// below the point where it refuses. It is safe for concurrent use.
type refusalGuard struct {
	service *serviceRefusals

	mu sync.Mutex
	// heard is set once the server has responded; until then the service's limit applies.
	heard     bool
	perSecond float64
	// namedAt is when the server last named its limit; zero if it has named none.
	namedAt time.Time
	// room is how many requests this router may have in flight on the server; 0 before it is
	// first needed. Below 1 it is the fraction of the time in which it may have one. limited
	// is set if it has kept a request away since it last grew.
	room    float64
	limited bool
	// nextTurn is when a router with a room below 1 may send the next request.
	nextTurn time.Time
	// leastRoom is the least that room shrinks to.
	leastRoom float64
	// phase spreads the first turns of the routers, between 0 and 1.
	phase float64
	// loadReported is set if the server reports its load. If it does not, the room grows with
	// the time since grownAt.
	loadReported bool
	grownAt      time.Time
	// tokens are the refusals that this router may still cause, as of refilledAt.
	tokens      float64
	refilledAt  time.Time
	pausedUntil time.Time
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
			g.namedAt, g.room = time.Time{}, 0
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

// admit reports whether the server may get a request from this router, which has inFlight
// requests there.
func (g *refusalGuard) admit(inFlight, slots, routers int, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, inForce := g.limit(now); !inForce {
		return true
	}
	g.leastRoom = leastRoom(slots, routers)
	if g.room == 0 {
		g.room = max(g.leastRoom, float64(slots)/float64(routers))
		if g.room < 1 {
			g.room *= firstTurnFraction
			g.nextTurn = now.Add(time.Duration(g.phase * float64(firstTurnSpread)))
		}
	}
	if now.Before(g.pausedUntil) {
		return false
	}
	if inFlight >= max(1, int(g.room)) || g.room < 1 && now.Before(g.nextTurn) {
		g.limited = true
		return false
	}
	return true
}

// recordEnd ends this router's turn on a server of which it has less than one place: it may send
// the next request once its requests have taken no more than that part of the time.
func (g *refusalGuard) recordEnd(latency time.Duration, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.room > 0 && g.room < 1 {
		g.nextTurn = now.Add(secondsAtMost(latency.Seconds()*(1/g.room-1), maxRefusalPause))
	}
}

// leastRoom returns the room that a router keeps on a server. It is one request, unless one of each
// router would be far more than the server has slots.
func leastRoom(slots, routers int) float64 {
	if routers <= maxRoutersPerSlot*slots {
		return 1
	}
	return leastTurns * float64(slots) / float64(routers)
}

// recordLoad changes the room by what the server reported in a response: all routers together
// approach the load at which no request waits.
func (g *refusalGuard) recordLoad(l Load, routers int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.room == 0 || l.Slots <= 0 {
		return
	}
	g.loadReported = true
	// The slot of the request that has just ended is not spare: this router fills it again.
	spare, gain := float64(l.Slots-l.Running-l.Waiting-1), roomGain
	switch {
	case spare < 0:
		gain = roomLoss
	case !g.limited || g.room >= 1 && refusalFraction*g.perSecond/float64(routers) < minGrowingShare:
		return
	}
	g.limited = false
	g.room = min(float64(l.Slots), max(g.leastRoom, g.room+gain*spare/float64(routers)))
}

// recordSuccess lets the room on a server that does not report its load grow: about as often as
// this router may cause a refusal by it.
func (g *refusalGuard) recordSuccess(slots, routers int, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	share := refusalFraction * g.perSecond / float64(routers)
	if g.room == 0 || g.loadReported || !g.limited || share < minGrowingShare {
		g.grownAt = now
		return
	}
	g.limited = false
	g.room = max(1, min(float64(slots), g.room+share*min(1, now.Sub(g.grownAt).Seconds())))
	g.grownAt = now
}

// recordRefusal records that the server had no room for a request of this router, which has
// inFlight other ones there.
func (g *refusalGuard) recordRefusal(inFlight, routers int, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	perSecond, inForce := g.limit(now)
	if !inForce {
		return
	}
	g.room = max(g.leastRoom, refusedRoomFactor*min(g.room, max(1, float64(inFlight))))
	share := refusalFraction * perSecond / float64(routers)
	most := max(1, share)
	if g.refilledAt.IsZero() {
		g.tokens = most
	} else {
		g.tokens = min(most, g.tokens+share*now.Sub(g.refilledAt).Seconds())
	}
	g.refilledAt = now
	if g.tokens--; g.tokens < 1 {
		g.pausedUntil = now.Add(secondsAtMost((1-g.tokens)/share, maxRefusalPause))
	}
}

// Room returns how many requests this router may have in flight on the servers of a service
// that fail by refusing.
func (f *Fleet) Room(service string) int {
	n := 0
	for _, s := range f.Servers(service) {
		n += s.notices.refusals.currentRoom()
	}
	return n
}

func (g *refusalGuard) currentRoom() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return int(math.Ceil(g.room))
}

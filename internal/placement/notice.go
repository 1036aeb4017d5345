package placement

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/kumquathollow/kumquathollow/internal/inventory"
	"github.com/kumquathollow/kumquathollow/internal/routing"
)

const (
	// noticeRetention is how long the notices of a server that left the list are kept.
	// A list from a directory process that has just started may lack servers for a while.
	noticeRetention = 5 * time.Minute
	// A client that is refused until a server takes requests again is told to come back
	// up to stayAwaySpread of that time later, and at most maxStayAwaySpread, so that
	// clients do not return all at once.
	stayAwaySpread    = 0.25
	maxStayAwaySpread = 500 * time.Millisecond
)

// Notice is what a server says of itself in a response.
type Notice struct {
	// Leaving is set if the server is about to shut down and wants no more requests.
	Leaving bool
	// StayAway is how long the server wants no requests from this router; 0 if it did
	// not say.
	StayAway time.Duration
	// Limit is how many requests a second the server takes from all routers together, if
	// HasLimit is set.
	Limit    float64
	HasLimit bool
	// Refusals is how many requests a second the server can refuse for want of room before
	// it fails, if HasRefusals is set.
	Refusals    float64
	HasRefusals bool
}

// notices holds what one incarnation of a server has said of itself. A newer list of the
// servers does not overrule it. It is safe for concurrent use.
type notices struct {
	leaving atomic.Bool
	// awayUntil and heardAt are nil if nothing was said. As time.Time they keep the
	// monotonic clock, since the time of day may be set at any moment.
	awayUntil, heardAt atomic.Pointer[time.Time]
	limit              serverLimit
	refusals           refusalGuard
}

// record records the notice in the response to a request that was sent at sentAt, and
// reports whether it was news.
func (n *notices) record(notice Notice, routers int, sentAt, now time.Time) bool {
	n.heardAt.Store(&now)
	news := n.limit.record(notice, routers, sentAt, now)
	news = n.refusals.record(notice, sentAt, now) || news
	news = notice.Leaving && !n.leaving.Swap(true) || news
	if notice.StayAway <= 0 {
		return news
	}
	for until := now.Add(notice.StayAway); ; {
		// Responses overtake each other, so a shorter time does not replace a longer one.
		old := n.awayUntil.Load()
		if old != nil && !until.After(*old) {
			return news
		}
		if n.awayUntil.CompareAndSwap(old, &until) {
			return news || old == nil || !old.After(now)
		}
	}
}

// wait returns for how long the server wants no requests, and whether it is leaving.
func (n *notices) wait(now time.Time) (time.Duration, bool) {
	until := n.awayUntil.Load()
	if until == nil {
		return 0, n.leaving.Load()
	}
	return max(0, until.Sub(now)), n.leaving.Load()
}

// expired reports whether the notices of a server that left the list can be dropped.
func (n *notices) expired(now time.Time) bool {
	heard := n.heardAt.Load()
	return heard == nil || now.Sub(*heard) > noticeRetention
}

// incarnation identifies one start of a server.
type incarnation struct {
	id   string
	born int64
}

// noticesOf returns the notices of an announced incarnation that was listed before, at any
// address, or new ones.
func (f *Fleet) noticesOf(announced *inventory.Server) *notices {
	if old := f.byID[announced.ID]; old != nil && old.Born == announced.Born {
		return old.notices
	}
	if n := f.departed[incarnation{announced.ID, announced.Born}]; n != nil {
		return n
	}
	phase := routing.Fraction(routing.Mix(f.routerHash, routing.Hash(announced.ID)))
	return &notices{limit: serverLimit{phase: phase}, refusals: refusalGuard{service: f.refusalsOf(announced.Service), phase: phase}}
}

// refusalsOf returns the limit of refusals of a service.
func (f *Fleet) refusalsOf(service string) *serviceRefusals {
	r := f.refusals[service]
	if r == nil {
		r = &serviceRefusals{}
		f.refusals[service] = r
	}
	return r
}

// keepDepartedNotices keeps the notices of servers that the new list lacks.
func (f *Fleet) keepDepartedNotices(listed map[string]*Server, now time.Time) {
	for id, s := range f.byID {
		if next := listed[id]; next == nil || next.Born != s.Born {
			f.departed[incarnation{id, s.Born}] = s.notices
		}
	}
	for key, n := range f.departed {
		if s := listed[key.id]; s != nil && s.Born == key.born || n.expired(now) {
			delete(f.departed, key)
		}
	}
}

// RecordNotice records what the server said of itself in its response to a request that was
// sent at sentAt, and reports whether that was news.
func (p *PickResult) RecordNotice(n Notice, sentAt, now time.Time) bool {
	return p.fleet.recordNotice(p.Server, n, sentAt, now)
}

// RecordNotice records what a server said of itself in a response that another router
// received. An incarnation that is not listed is ignored.
func (f *Fleet) RecordNotice(server string, born int64, n Notice, sentAt, now time.Time) {
	for _, p := range *f.pools.Load() {
		p.forEachServer(func(s *Server) {
			if s.ID == server && s.Born == born {
				f.recordNotice(s, n, sentAt, now)
			}
		})
	}
}

func (f *Fleet) recordNotice(s *Server, n Notice, sentAt, now time.Time) bool {
	said := n.Leaving || n.StayAway > 0 || n.HasLimit || n.HasRefusals || s.notices.limit.inForce(f.Routers(), now) || s.notices.refusals.inForce(now)
	return said && s.notices.record(n, f.Routers(), sentAt, now)
}

// RetryAfter returns the time after which to retry a refused request: least if a server of
// the service takes requests now, or else the time until the first one does, as far as
// they have said. tieBreaker spreads the times of different requests.
func (f *Fleet) RetryAfter(service string, tieBreaker uint64, least time.Duration, now time.Time) time.Duration {
	evacuated := *f.evacuated.Load()
	first := time.Duration(0)
	for _, s := range f.Servers(service) {
		wait, leaving := s.notices.wait(now)
		wait = max(wait, s.notices.limit.wait(f.Routers(), now))
		switch {
		case leaving || slices.Contains(evacuated, s.DataCentre):
		case wait == 0:
			return least
		case first == 0 || wait < first:
			first = wait
		}
	}
	if first <= least {
		return least
	}
	draw := routing.Fraction(routing.Mix(tieBreaker, f.routerHash))
	return first + time.Duration(draw*float64(min(maxStayAwaySpread, time.Duration(stayAwaySpread*float64(first)))))
}

package admission

import (
	"math"
	"slices"
	"time"

	"github.com/kumquathollow/kumquathollow/api/grantpb"
	"github.com/kumquathollow/kumquathollow/internal/config"
	"github.com/kumquathollow/kumquathollow/internal/routing"
)

const (
	// flapWindow is the time within which returns of a server count as flapping.
	flapWindow = time.Minute
	// flapsAllowed is the number of returns that are not held down.
	flapsAllowed = 2
	// firstHoldDown doubles with every further return, up to maxHoldDown.
	firstHoldDown = 5 * time.Second
	maxHoldDown   = 2 * time.Minute
	// turnedColdHold is how long a server that seems to have turned cold keeps
	// its cold limit before the ramp.
	turnedColdHold = 5 * time.Second
)

// server is what is known of one backend server.
type server struct {
	name        string
	hash        uint64
	service     string
	address     string
	incarnation string
	state       grantpb.ServerState
	models      []string
	adapters    []string
	capacity    int
	cold        int
	sequence    uint64
	heard       Instant
	replaced    []replaced
	// rampFrom is when the ramp from cold to full capacity began.
	rampFrom Instant
	// confirmed is true once a report measured in this tenure has shown what runs.
	confirmed  bool
	reported   int
	measuredAt Instant
	// ghosts are running requests that no permit explains. They had started at
	// ghostsFrom and must have ended at ghostsUntil.
	ghosts      int
	ghostsFrom  Instant
	ghostsUntil Instant

	declaredOut   bool
	declaredLimit int

	failures     int
	ejectedUntil Instant
	heldUntil    Instant
	flaps        int
	lastReturn   Instant
	available    bool

	cacheTokens uint32
	firstByte   firstByte

	audit audit
	// permits is the head of the list of the server's permits.
	permits int32
	// pools are those that the server is a member of.
	pools []*pool
}

// serves reports whether the server has the model; none announced means all.
func (s *server) serves(model string) bool {
	return model == "" || len(s.models) == 0 || slices.Contains(s.models, model)
}

// inPool reports whether the server is a member of the pool.
func (s *server) inPool(p *pool) bool { return slices.Contains(s.pools, p) }

// Announce takes in what a server said of itself.
func (c *Core) Announce(now Instant, a *grantpb.Announcement) {
	c.observe(now)
	if a.DataCentre != c.dataCentre || a.Name == "" || c.set.Services[a.Service] == nil {
		return
	}
	i, known := c.byName[a.Name]
	if !known {
		i = c.addServer(a)
	}
	s := c.servers[i]
	// One that only a permit of an earlier tenure has named was never heard.
	known = known && s.incarnation != ""
	if known && !s.isNews(a) {
		return
	}
	membership := !known || s.service != a.Service || !slices.Equal(s.models, a.Models)
	c.update(now, s, a, known)
	c.report(now, i, a)
	if membership {
		c.gatherAll()
	}
	c.refreshServer(now, i)
	c.pumpServer(now, i)
}

// isNews reports whether the announcement is later than what is known: a later
// one of the same incarnation, or of an incarnation that was not replaced
// before. A replaced incarnation that goes on counting is alive after all.
func (s *server) isNews(a *grantpb.Announcement) bool {
	if a.Incarnation == s.incarnation {
		return a.Sequence > s.sequence
	}
	for _, r := range s.replaced {
		if r.incarnation == a.Incarnation && a.Sequence <= r.sequence {
			return false
		}
	}
	return true
}

// replace remembers the present incarnation as replaced.
func (s *server) replace() {
	const remembered = 4
	s.replaced = append(s.replaced, replaced{s.incarnation, s.sequence})
	if len(s.replaced) > remembered {
		s.replaced = s.replaced[1:]
	}
}

// replaced is an incarnation that another has followed.
type replaced struct {
	incarnation string
	sequence    uint64
}

func (c *Core) addServer(a *grantpb.Announcement) int32 {
	i := int32(len(c.servers))
	s := &server{name: a.Name, hash: routing.Hash(a.Name), service: a.Service, measuredAt: math.MinInt64 / 2}
	c.servers = append(c.servers, s)
	c.hot = append(c.hot, candidate{hash: s.hash})
	c.byName[a.Name] = i
	s.declare(c)
	return i
}

// update takes the announced values over.
func (c *Core) update(now Instant, s *server, a *grantpb.Announcement, known bool) {
	ready := a.State == grantpb.ServerState_SERVER_STATE_READY
	restarted := known && a.Incarnation != s.incarnation
	switch {
	case !known && ready:
		s.rampFrom = now - time.Duration(a.ReadyMs)*time.Millisecond
	case restarted, ready && s.state != grantpb.ServerState_SERVER_STATE_READY:
		s.rampFrom = now
	case cacheLost(s.cacheTokens, a.CacheTokens):
		c.turnedCold(now, s)
	}
	silent := known && c.isSilent(now, s)
	if restarted {
		s.replace()
		s.failures, s.ejectedUntil = 0, 0
		s.firstByte = firstByte{}
	}
	s.incarnation, s.sequence = a.Incarnation, a.Sequence
	s.service, s.address, s.state = a.Service, a.Address, a.State
	s.models, s.adapters = a.Models, a.Adapters
	s.capacity, s.cold = int(a.Capacity), int(a.ColdCapacity)
	s.cacheTokens = a.CacheTokens
	s.heard = now
	if known {
		s.noteReturn(now, restarted || silent)
	} else {
		s.available = s.state != grantpb.ServerState_SERVER_STATE_LEAVING
	}
}

// noteReturn counts comings back, and holds a server down that flaps. Its
// place in every chat's order stays, since that depends on its name alone.
func (s *server) noteReturn(now Instant, wasGone bool) {
	available := s.state != grantpb.ServerState_SERVER_STATE_LEAVING
	returned := available && (!s.available || wasGone)
	s.available = available
	if !returned {
		return
	}
	if now-s.lastReturn > flapWindow {
		s.flaps = 0
	}
	s.lastReturn = now
	s.flaps++
	if s.flaps > flapsAllowed {
		s.heldUntil = now + holdDown(s.flaps-flapsAllowed)
	}
}

// holdDown returns how long the nth return in excess is held down.
func holdDown(n int) time.Duration {
	d := firstHoldDown
	for i := 1; i < n && d < maxHoldDown; i++ {
		d *= 2
	}
	return min(d, maxHoldDown)
}

// declare takes over what operators declared of the server.
func (s *server) declare(c *Core) {
	s.declaredOut, s.declaredLimit = c.overridden("backendServer/"+s.name), 0
	d := c.set.BackendServers[s.name]
	if d == nil {
		return
	}
	s.declaredOut = s.declaredOut || d.State == config.Out
	s.declaredLimit = d.MaxInFlight
}

// refresh recomputes every server's limit, and lifts ejections and hold-downs
// of pools that would have no server left.
func (c *Core) refresh(now Instant) {
	for i, s := range c.servers {
		c.hot[i].limit, c.hot[i].warm = c.limit(now, s)
	}
	for _, p := range c.poolOrder {
		c.recount(now, p)
	}
}

// refreshServer does the same for one server, if anything about it has changed.
func (c *Core) refreshServer(now Instant, i int32) {
	s, h := c.servers[i], &c.hot[i]
	limit, warm := c.limit(now, s)
	if limit == h.limit && warm == h.warm {
		return
	}
	h.limit, h.warm = limit, warm
	for _, p := range s.pools {
		c.recount(now, p)
	}
}

func (c *Core) recount(now Instant, p *pool) {
	p.recount(c)
	if p.usable > 0 || !c.rescue(now, p) {
		return
	}
	// The servers may be members of other pools, too.
	for _, other := range c.poolOrder {
		other.recount(c)
	}
}

// rescue lifts what this process decided on its own against the pool's servers.
func (c *Core) rescue(now Instant, p *pool) bool {
	lifted := false
	for _, i := range p.members {
		s := c.servers[i]
		if now < s.ejectedUntil || now < s.heldUntil {
			s.ejectedUntil, s.heldUntil, s.failures = 0, 0, 0
			c.hot[i].limit, c.hot[i].warm = c.limit(now, s)
			lifted = true
		}
	}
	return lifted
}

// limit returns the server's own bound, and whether it is at full capacity. One
// that is not confirmed yet takes no work but counts in the mean of its pool,
// so the few that are confirmed first don't get the load of all.
func (c *Core) limit(now Instant, s *server) (limit int32, warm bool) {
	limit, warm = c.confirmedLimit(now, s)
	if !s.confirmed {
		limit = 0
	}
	return limit, warm
}

// confirmedLimit is limit for a server that is confirmed, or as if it were.
func (c *Core) confirmedLimit(now Instant, s *server) (limit int32, warm bool) {
	sv := c.services[s.service]
	switch {
	case c.out || s.declaredOut || sv == nil:
		return 0, false
	case s.state == grantpb.ServerState_SERVER_STATE_LEAVING || c.isSilent(now, s):
		return 0, false
	case now < s.ejectedUntil || now < s.heldUntil:
		return 0, false
	}
	places := s.capacity
	if s.declaredLimit > 0 {
		places = min(places, s.declaredLimit)
	}
	cold := min(s.cold, places)
	elapsed := now - s.rampFrom
	switch {
	case s.state != grantpb.ServerState_SERVER_STATE_READY || elapsed < 0:
		return int32(cold), false
	case elapsed >= sv.coldRamp:
		return int32(places), places > 0
	}
	return int32(cold + int(int64(places-cold)*int64(elapsed)/int64(sv.coldRamp))), false
}

// isSilent reports whether the server has not been heard for too long.
func (c *Core) isSilent(now Instant, s *server) bool {
	sv := c.services[s.service]
	return sv == nil || now-s.heard > sv.silenceLimit
}

// turnedCold puts a server that lost its warmth back to its cold limit.
func (c *Core) turnedCold(now Instant, s *server) {
	s.rampFrom = now + turnedColdHold
	s.firstByte = firstByte{}
}

// cacheLost reports whether the engine's cache has shrunk as by a restart.
func cacheLost(before, after uint32) bool {
	const (
		least = 1000 // tokens; smaller caches say nothing
		part  = 4
	)
	return before >= least && after < before/part
}

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
	// flapWindow is the time after a return within which the next return counts as
	// flapping.
	flapWindow = time.Minute
	// flapsAllowed is the number of returns that cause no hold-down.
	flapsAllowed = 2
	// firstHoldDown is the first hold-down; it doubles with every further return, up
	// to maxHoldDown.
	firstHoldDown = 5 * time.Second
	maxHoldDown   = 2 * time.Minute
	// rampRestartDelay is how long a server that seems to have become cold stays
	// at its cold capacity before its ramp starts.
	rampRestartDelay = 5 * time.Second
)

// server is the state of one backend server.
type server struct {
	name         string
	hash         uint64
	service      string
	address      string
	incarnation  string
	state        grantpb.ServerState
	models       []string
	adapters     []string
	capacity     int
	coldCapacity int
	sequence     uint64
	lastHeard    Instant
	replaced     []replacedIncarnation
	// replacedAt is when the current incarnation replaced another one; 0 if it has not.
	replacedAt Instant
	// rampFrom is when the ramp from cold to full capacity starts.
	rampFrom Instant
	// confirmed is true once a report measured in this term has shown what is
	// running.
	confirmed        bool
	reportedInFlight int
	measuredAt       Instant
	// unattributed counts running requests that cannot be attributed to a permit.
	// They had started by unattributedSince and must have ended by
	// unattributedUntil.
	unattributed      int
	unattributedSince Instant
	unattributedUntil Instant

	declaredOut   bool
	declaredLimit int

	consecutiveFailures int
	ejectedUntil        Instant
	heldDownUntil       Instant
	flaps               int
	lastReturn          Instant
	available           bool

	cacheTokens uint32
	firstByte   firstByteMonitor

	audit audit
	// permits is the slab index of the first permit in the server's list.
	permits int32
	// pools are the pools of which the server is a member.
	pools []*pool
}

// serves reports whether the server serves the model; a server that announces no
// models serves all.
func (s *server) serves(model string) bool {
	return model == "" || len(s.models) == 0 || slices.Contains(s.models, model)
}

func (s *server) inPool(p *pool) bool { return slices.Contains(s.pools, p) }

// Announce applies a server's announcement.
func (c *Core) Announce(now Instant, a *grantpb.Announcement) {
	c.advance(now)
	if a.DataCentre != c.dataCentre || a.Name == "" || c.set.Services[a.Service] == nil {
		return
	}
	i, known := c.byName[a.Name]
	if !known {
		i = c.addServer(a)
	}
	s := c.servers[i]
	// A server known only from a permit of an earlier term has never announced
	// itself.
	known = known && s.incarnation != ""
	if known && !s.isNewer(a) {
		return
	}
	membershipChanged := !known || s.service != a.Service || !slices.Equal(s.models, a.Models)
	c.applyAnnouncement(now, s, a, known)
	c.applyReport(now, i, a)
	if membershipChanged {
		c.rebuildPools()
	}
	c.refreshLimit(now, i)
	c.dispatchServer(now, i)
}

// isNewer reports whether the announcement is newer than the server's state: a
// later one of the same incarnation, or one of an incarnation that was not
// replaced before. A replaced incarnation whose sequence continues is still alive
// and is accepted again.
func (s *server) isNewer(a *grantpb.Announcement) bool {
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

// recordReplaced records the current incarnation as replaced.
func (s *server) recordReplaced() {
	const maxReplaced = 4
	s.replaced = append(s.replaced, replacedIncarnation{s.incarnation, s.sequence})
	if len(s.replaced) > maxReplaced {
		s.replaced = s.replaced[1:]
	}
}

// replacedIncarnation is an incarnation that was followed by another one, with its
// last sequence.
type replacedIncarnation struct {
	incarnation string
	sequence    uint64
}

func (c *Core) addServer(a *grantpb.Announcement) int32 {
	i := int32(len(c.servers))
	s := &server{name: a.Name, hash: routing.Hash(a.Name), service: a.Service, measuredAt: math.MinInt64 / 2}
	c.servers = append(c.servers, s)
	c.loads = append(c.loads, serverLoad{hash: s.hash})
	c.byName[a.Name] = i
	s.applyConfig(c)
	return i
}

// applyAnnouncement copies the announced values and restarts the ramp if the
// server has become cold.
func (c *Core) applyAnnouncement(now Instant, s *server, a *grantpb.Announcement, known bool) {
	ready := a.State == grantpb.ServerState_SERVER_STATE_READY
	restarted := known && a.Incarnation != s.incarnation
	switch {
	case !known && ready:
		s.rampFrom = now - time.Duration(a.ReadyMs)*time.Millisecond
	case restarted, ready && s.state != grantpb.ServerState_SERVER_STATE_READY:
		s.rampFrom = now
	case cacheLost(s.cacheTokens, a.CacheTokens):
		c.restartRamp(now, s)
	}
	silent := known && c.isSilent(now, s)
	if restarted {
		s.recordReplaced()
		s.replacedAt = now
		s.consecutiveFailures, s.ejectedUntil = 0, 0
		s.firstByte = firstByteMonitor{}
	}
	s.incarnation, s.sequence = a.Incarnation, a.Sequence
	s.service, s.address, s.state = a.Service, a.Address, a.State
	s.models, s.adapters = a.Models, a.Adapters
	s.capacity, s.coldCapacity = int(a.Capacity), int(a.ColdCapacity)
	s.cacheTokens = a.CacheTokens
	s.lastHeard = now
	if known {
		s.recordReturn(now, restarted || silent)
	} else {
		s.available = s.state != grantpb.ServerState_SERVER_STATE_LEAVING
	}
}

// recordReturn counts returns of the server and holds it down if it flaps. Its
// rank in the rendezvous order of every chat stays the same, since that depends
// only on its name.
func (s *server) recordReturn(now Instant, wasGone bool) {
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
		s.heldDownUntil = now + holdDown(s.flaps-flapsAllowed)
	}
}

// holdDown returns the duration of the nth hold-down.
func holdDown(n int) time.Duration {
	d := firstHoldDown
	for i := 1; i < n && d < maxHoldDown; i++ {
		d *= 2
	}
	return min(d, maxHoldDown)
}

// applyConfig applies the declared state and limit of the server.
func (s *server) applyConfig(c *Core) {
	s.declaredOut, s.declaredLimit = c.overridden("backendServer/"+s.name), 0
	d := c.set.BackendServers[s.name]
	if d == nil {
		return
	}
	s.declaredOut = s.declaredOut || d.State == config.StateOut
	s.declaredLimit = d.MaxInFlight
}

// refreshLimits recomputes every server's limit, and reinstates the servers of
// pools in which none would be usable.
func (c *Core) refreshLimits(now Instant) {
	for i, s := range c.servers {
		c.loads[i].limit, c.loads[i].warm = c.serverLimit(now, s)
	}
	for _, p := range c.poolOrder {
		c.refreshPool(now, p)
	}
}

// refreshLimit recomputes the limit of one server and updates its pools if it has
// changed.
func (c *Core) refreshLimit(now Instant, i int32) {
	s, load := c.servers[i], &c.loads[i]
	limit, warm := c.serverLimit(now, s)
	if limit == load.limit && warm == load.warm {
		return
	}
	load.limit, load.warm = limit, warm
	for _, p := range s.pools {
		c.refreshPool(now, p)
	}
}

func (c *Core) refreshPool(now Instant, p *pool) {
	p.updateTotals(c)
	if p.usable > 0 || !c.reinstateServers(now, p) {
		return
	}
	// The servers may be members of other pools as well.
	for _, other := range c.poolOrder {
		other.updateTotals(c)
	}
}

// reinstateServers lifts the ejections and hold-downs, which this process decided
// on its own, of the pool's servers.
func (c *Core) reinstateServers(now Instant, p *pool) bool {
	reinstated := false
	for _, i := range p.members {
		s := c.servers[i]
		if now < s.ejectedUntil || now < s.heldDownUntil {
			s.ejectedUntil, s.heldDownUntil, s.consecutiveFailures = 0, 0, 0
			c.loads[i].limit, c.loads[i].warm = c.serverLimit(now, s)
			reinstated = true
		}
	}
	return reinstated
}

// serverLimit returns the server's own limit and whether it is at full capacity. A
// server that is not confirmed yet takes no work but counts in the mean load of
// its pool, so that the servers confirmed first do not receive the load of all.
func (c *Core) serverLimit(now Instant, s *server) (limit int32, warm bool) {
	limit, warm = c.confirmedLimit(now, s)
	if !s.confirmed {
		limit = 0
	}
	return limit, warm
}

// confirmedLimit is serverLimit without regard to confirmation.
func (c *Core) confirmedLimit(now Instant, s *server) (limit int32, warm bool) {
	sv := c.services[s.service]
	switch {
	case c.dataCentreOut || s.declaredOut || sv == nil:
		return 0, false
	case s.state == grantpb.ServerState_SERVER_STATE_LEAVING || c.isSilent(now, s):
		return 0, false
	case now < s.ejectedUntil || now < s.heldDownUntil:
		return 0, false
	}
	capacity := s.capacity
	if s.declaredLimit > 0 {
		capacity = min(capacity, s.declaredLimit)
	}
	cold := min(s.coldCapacity, capacity)
	elapsed := now - s.rampFrom
	switch {
	case s.state != grantpb.ServerState_SERVER_STATE_READY || elapsed < 0:
		return int32(cold), false
	case elapsed >= sv.coldRamp:
		return int32(capacity), capacity > 0
	}
	return int32(cold + int(int64(capacity-cold)*int64(elapsed)/int64(sv.coldRamp))), false
}

// isSilent reports whether the server was last heard from longer ago than its
// service's silence limit.
func (c *Core) isSilent(now Instant, s *server) bool {
	sv := c.services[s.service]
	return sv == nil || now-s.lastHeard > sv.silenceLimit
}

// restartRamp returns a server that has become cold to its cold capacity.
func (c *Core) restartRamp(now Instant, s *server) {
	s.rampFrom = now + rampRestartDelay
	s.firstByte = firstByteMonitor{}
}

// cacheLost reports whether the engine's cache has shrunk in the way that a
// restart causes.
func cacheLost(before, after uint32) bool {
	const (
		minTokens  = 1000 // smaller caches are not conclusive
		lossFactor = 4
	)
	return before >= minTokens && after < before/lossFactor
}

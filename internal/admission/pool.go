package admission

import (
	"math"
	"slices"

	"github.com/kumquathollow/kumquathollow/api/grantpb"
	"github.com/kumquathollow/kumquathollow/internal/routing"
)

// poolKey names the servers that serve one model of a service.
type poolKey struct{ service, model string }

// pool is the servers that serve one model of a service, and the asks that
// wait for them.
type pool struct {
	key     poolKey
	service *service
	// members are indexes into Core.servers, in the order of names.
	members []int32
	// warm counts the members that are ready at full capacity, and warmLive
	// what runs there: together the mean load.
	warm     int
	warmLive int
	// usable counts the members with a limit above zero.
	usable int
	// places is the sum of the members' limits, and live what runs there.
	places int
	live   int
	// active counts the workspaces that run or wait here.
	active  int
	tenants map[string]*tenant
	queue   queue
	detours detours
	runs    runs
}

// candidate is what a decision reads of a server, kept together.
type candidate struct {
	hash uint64
	// live counts permits and unexplained running requests.
	live int32
	// limit is the bound that doesn't depend on other servers.
	limit int32
	warm  bool
}

// loadLimit returns the largest load that the bound allows a member after one
// more request was granted: the multiple of the mean once the mean exceeds the
// floor. Loads are whole numbers, so the bound is never below the mean's next
// whole number; otherwise an even pool with a small mean could take nothing.
// The mean is that of the members at full capacity, or of all usable members
// while none is, as after a start of the whole pool.
func (c *Core) loadLimit(p *pool) int32 {
	n, live := p.warm, p.warmLive
	if n == 0 {
		n, live = p.usable, c.usableLive(p)
	}
	if n == 0 {
		return 0
	}
	return LoadLimit(live+1, n, p.service.maxLoadFactor, p.service.loadFloor)
}

// usableLive adds up what runs at the members with a limit above zero.
func (c *Core) usableLive(p *pool) int {
	live := 0
	for _, i := range p.members {
		if h := &c.hot[i]; h.limit > 0 {
			live += int(h.live)
		}
	}
	return live
}

// LoadLimit returns the bound on one server's requests in flight when the pool
// of n servers has total in flight.
func LoadLimit(total, n int, factor, floor float64) int32 {
	mean := float64(total) / float64(n)
	if mean <= floor {
		return int32(math.Ceil(factor * floor))
	}
	even := (total + n - 1) / n
	return int32(max(int(factor*mean), even))
}

// place returns the server for the ask, -1 if none has room: the one of the
// chat's latest detour, else the first with room in the chat's order, within
// the workspace's subset if possible.
func (c *Core) place(p *pool, t *tenant, a *grantpb.Ask) int32 {
	limit := c.loadLimit(p)
	restricted := a.Adapter != "" || len(a.Excluded) > 0
	if i := p.detours.of(a.Chat); i >= 0 && c.hasRoom(i, limit) && c.servers[i].inPool(p) && (!restricted || c.accepts(i, a)) {
		return i
	}
	best, home := c.first(p, t, a, limit, restricted, true)
	if best < 0 && t.subset != nil {
		best, _ = c.first(p, t, a, limit, restricted, false)
	}
	if best >= 0 {
		p.detours.note(a.Chat, best, best == home)
	}
	return best
}

func (c *Core) hasRoom(i, limit int32) bool {
	h := &c.hot[i]
	return h.live < h.limit && h.live < limit
}

// first returns the home, which is the first server of the chat's order, also
// while it is gone or takes no work, and the best with room: the home, else the least loaded.
// Only those in the workspace's subset, or only the others, are looked at. The
// counts are exact, so there is no herd to the least loaded. best is -1 if none
// has room.
func (c *Core) first(p *pool, t *tenant, a *grantpb.Ask, limit int32, restricted, subset bool) (best, home int32) {
	best, home = -1, -1
	var bestScore, homeScore uint64
	bestLive := int32(math.MaxInt32)
	for _, i := range p.members {
		h := &c.hot[i]
		if t.contains(i) != subset {
			continue
		}
		score := routing.Mix(a.Chat, h.hash)
		if home < 0 || score > homeScore {
			home, homeScore = i, score
		}
		if h.live >= h.limit || h.live >= limit || h.live > bestLive || (h.live == bestLive && score < bestScore) {
			continue
		}
		if restricted && !c.accepts(i, a) {
			continue
		}
		best, bestLive, bestScore = i, h.live, score
	}
	if home >= 0 && c.hasRoom(home, limit) && (!restricted || c.accepts(home, a)) {
		best = home
	}
	return best, home
}

// accepts reports whether the ask's own restrictions admit the server.
func (c *Core) accepts(i int32, a *grantpb.Ask) bool {
	s := c.servers[i]
	if a.Adapter != "" && !slices.Contains(s.adapters, a.Adapter) {
		return false
	}
	return !slices.Contains(a.Excluded, s.name)
}

// poolOf returns the pool of an ask, creating it on first use.
func (c *Core) poolOf(service, model string) *pool {
	s := c.serviceOf(service)
	if s == nil || !s.hasModel(model) {
		return nil
	}
	if model == "" && len(s.models) > 0 {
		model = s.models[0]
	}
	key := poolKey{service, model}
	if p, ok := c.pools[key]; ok {
		return p
	}
	p := &pool{key: key, service: s, tenants: map[string]*tenant{}}
	c.pools[key] = p
	c.poolOrder = append(c.poolOrder, p)
	c.gatherAll()
	return p
}

// gatherAll finds the members of every pool again.
func (c *Core) gatherAll() {
	for _, s := range c.servers {
		s.pools = s.pools[:0]
	}
	for _, p := range c.poolOrder {
		c.gather(p)
	}
}

// gather finds the pool's members again.
func (c *Core) gather(p *pool) {
	p.members = p.members[:0]
	for i, s := range c.servers {
		if s.service == p.key.service && s.serves(p.key.model) {
			p.members = append(p.members, int32(i))
			s.pools = append(s.pools, p)
		}
	}
	slices.SortFunc(p.members, func(a, b int32) int {
		if c.servers[a].name < c.servers[b].name {
			return -1
		}
		return 1
	})
	for _, t := range p.tenants {
		c.chooseSubset(p, t)
	}
	p.recount(c)
}

// recount adds the members up again.
func (p *pool) recount(c *Core) {
	p.warm, p.warmLive, p.usable, p.places, p.live = 0, 0, 0, 0, 0
	for _, i := range p.members {
		h := &c.hot[i]
		p.live += int(h.live)
		if h.limit > 0 {
			p.usable++
			p.places += int(h.limit)
		}
		if h.warm {
			p.warm++
			p.warmLive += int(h.live)
		}
	}
}

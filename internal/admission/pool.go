package admission

import (
	"math"
	"slices"

	"github.com/kumquathollow/kumquathollow/api/grantpb"
	"github.com/kumquathollow/kumquathollow/internal/routing"
)

// poolKey identifies the servers that serve one model of a service.
type poolKey struct{ service, model string }

// pool is the set of servers that serve one model of a service, with the queue of
// asks that wait for them.
type pool struct {
	key     poolKey
	service *service
	// members are indexes into Core.servers, sorted by server name.
	members []int32
	// warm counts the members at full capacity, that is ready and past their ramp.
	// warmInFlight is the sum of their requests in flight; the two give the mean
	// load.
	warm         int
	warmInFlight int
	// usable counts the members whose limit is above zero.
	usable int
	// totalLimit is the sum of the members' limits, and inFlight that of their
	// requests in flight.
	totalLimit int
	inFlight   int
	// activeTenants counts the workspaces with requests in flight or queued.
	activeTenants int
	tenants       map[string]*tenant
	queue         queue
	affinity      affinityTable
	runTime       runTimeAverage
}

// serverLoad holds the fields of a server that every decision reads, kept together
// in memory.
type serverLoad struct {
	hash uint64
	// inFlight counts the permits and the unattributed requests.
	inFlight int32
	// limit is the bound that does not depend on other servers.
	limit int32
	warm  bool
}

// loadLimit returns the maximum load of a member after one more request is
// granted: a multiple of the mean load once the mean exceeds the load floor. Loads
// are integers, so the bound is never below the mean rounded up; otherwise an
// evenly loaded pool with a small mean could not accept any request. The mean is
// taken over the members at full capacity, or over all usable members if there is
// none, as after a start of the whole pool.
func (c *Core) loadLimit(p *pool) int32 {
	n, inFlight := p.warm, p.warmInFlight
	if n == 0 {
		n, inFlight = p.usable, c.usableInFlight(p)
	}
	if n == 0 {
		return 0
	}
	return LoadLimit(inFlight+1, n, p.service.maxLoadFactor, p.service.loadFloor)
}

// usableInFlight returns the requests in flight at the members whose limit is
// above zero.
func (c *Core) usableInFlight(p *pool) int {
	inFlight := 0
	for _, i := range p.members {
		if load := &c.loads[i]; load.limit > 0 {
			inFlight += int(load.inFlight)
		}
	}
	return inFlight
}

// LoadLimit returns the bound on one server's requests in flight if a pool of n
// servers has total requests in flight.
func LoadLimit(total, n int, factor, floor float64) int32 {
	mean := float64(total) / float64(n)
	if mean <= floor {
		return int32(math.Ceil(factor * floor))
	}
	even := (total + n - 1) / n
	return int32(max(int(factor*mean), even))
}

// selectServer returns the server for the ask, or -1 if none has a free slot. It
// prefers the server recorded for the chat, then the chat's home or else the least
// loaded server within the workspace's subset, then the same outside the subset.
func (c *Core) selectServer(p *pool, t *tenant, a *grantpb.Ask) int32 {
	limit := c.loadLimit(p)
	restricted := a.Adapter != "" || len(a.Excluded) > 0
	if i := p.affinity.lookup(a.Chat); i >= 0 && c.hasCapacity(i, limit) && c.servers[i].inPool(p) && (!restricted || c.eligible(i, a)) {
		return i
	}
	best, home := c.bestServer(p, t, a, limit, restricted, true)
	if best < 0 && t.subset != nil {
		best, _ = c.bestServer(p, t, a, limit, restricted, false)
	}
	if best >= 0 {
		p.affinity.record(a.Chat, best, best == home)
	}
	return best
}

func (c *Core) hasCapacity(i, limit int32) bool {
	load := &c.loads[i]
	return load.inFlight < load.limit && load.inFlight < limit
}

// bestServer returns the chat's home and the best server with a free slot. The
// home is the first server in the chat's rendezvous order, even if it is gone or
// takes no work. The best server is the home if it has a free slot, else the least
// loaded one, or -1 if none has a free slot. Only servers inside the workspace's
// subset are considered, or only those outside. The load counts are exact, so
// choosing the least loaded server causes no herd effect.
func (c *Core) bestServer(p *pool, t *tenant, a *grantpb.Ask, limit int32, restricted, subset bool) (best, home int32) {
	best, home = -1, -1
	var bestScore, homeScore uint64
	leastInFlight := int32(math.MaxInt32)
	for _, i := range p.members {
		load := &c.loads[i]
		if t.inSubset(i) != subset {
			continue
		}
		score := routing.Mix(a.Chat, load.hash)
		if home < 0 || score > homeScore {
			home, homeScore = i, score
		}
		if load.inFlight >= load.limit || load.inFlight >= limit || load.inFlight > leastInFlight || (load.inFlight == leastInFlight && score < bestScore) {
			continue
		}
		if restricted && !c.eligible(i, a) {
			continue
		}
		best, leastInFlight, bestScore = i, load.inFlight, score
	}
	if home >= 0 && c.hasCapacity(home, limit) && (!restricted || c.eligible(home, a)) {
		best = home
	}
	return best, home
}

// eligible reports whether the ask's own restrictions allow the server.
func (c *Core) eligible(i int32, a *grantpb.Ask) bool {
	s := c.servers[i]
	if a.Adapter != "" && !slices.Contains(s.adapters, a.Adapter) {
		return false
	}
	return !slices.Contains(a.Excluded, s.name)
}

// poolOf returns the pool of the service and model, creating it on first use; nil
// if they are not declared.
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
	c.rebuildPools()
	return p
}

// rebuildPools recomputes the members of every pool.
func (c *Core) rebuildPools() {
	for _, s := range c.servers {
		s.pools = s.pools[:0]
	}
	for _, p := range c.poolOrder {
		c.rebuildPool(p)
	}
}

// rebuildPool recomputes the pool's members.
func (c *Core) rebuildPool(p *pool) {
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
	p.updateTotals(c)
}

// updateTotals recomputes the sums over the pool's members.
func (p *pool) updateTotals(c *Core) {
	p.warm, p.warmInFlight, p.usable, p.totalLimit, p.inFlight = 0, 0, 0, 0, 0
	for _, i := range p.members {
		load := &c.loads[i]
		p.inFlight += int(load.inFlight)
		if load.limit > 0 {
			p.usable++
			p.totalLimit += int(load.limit)
		}
		if load.warm {
			p.warm++
			p.warmInFlight += int(load.inFlight)
		}
	}
}

package admission

import (
	"math"
	"slices"

	"github.com/kumquathollow/kumquathollow/internal/routing"
)

const (
	// loadSmoothing is the weight of a new sample in a workspace's smoothed load.
	loadSmoothing = 0.2
	// baselineSmoothing is the same for the baseline load; it averages over about
	// half an hour.
	baselineSmoothing = 0.0005
	// surgeFactor is the multiple of its baseline load above which a workspace is
	// in a surge.
	surgeFactor = 3
	// growAt and shrinkAt are the ratios of the servers that a workspace needs to
	// its subset's size at which the subset grows or shrinks; the difference is
	// the hysteresis.
	growAt   = 1.0
	shrinkAt = 0.4
	// idleLoad is the smoothed load below which a tenant without requests is
	// removed.
	idleLoad = 0.001
)

// workspace is the state of one workspace in the data centre.
type workspace struct {
	inFlight int
	limit    int
	// weight is its share relative to the other workspaces that compete for slots.
	weight int
	// tenants is the number of tenants that refer to the workspace.
	tenants int
}

// tenant is the state of one workspace in one pool.
type tenant struct {
	name      string
	pool      *pool
	hash      uint64
	workspace *workspace
	inFlight  int
	load      float64
	// baselineLoad is the long-term average of load, over samples samples.
	baselineLoad float64
	samples      int
	subsetSize   int
	// subset has one bit per server, set for those of the workspace's subset; nil
	// means all servers.
	subset []uint64
	flows  [priorityLevels]*flow
	queued int
}

// inSubset reports whether the server with that index is in the subset.
func (t *tenant) inSubset(server int32) bool {
	return t.subset == nil || t.subset[server>>6]>>(server&63)&1 == 1
}

// addUsage changes the numbers of requests in flight and queued.
func (t *tenant) addUsage(inFlight, queued int) {
	before := t.inFlight+t.queued > 0
	t.inFlight += inFlight
	t.queued += queued
	after := t.inFlight+t.queued > 0
	switch {
	case after && !before:
		t.pool.activeTenants++
	case before && !after:
		t.pool.activeTenants--
	}
}

// reserveDivisor is the divisor of a pool's slots that gives its reserve. The
// reserve is kept for workspaces that have less than an even share of the slots.
const reserveDivisor = 32

// deniedReserve reports whether only the reserve is left and is closed to this
// workspace, because it is in a surge and already has an even share of the slots.
func (t *tenant) deniedReserve() bool {
	p := t.pool
	if p.activeTenants <= 1 || t.load <= surgeFactor*t.baselineLoad || p.totalLimit-p.inFlight > p.totalLimit/reserveDivisor {
		return false
	}
	return (t.inFlight+1)*p.activeTenants > p.totalLimit
}

// tenantOf returns the workspace's tenant in the pool, creating it on first use.
func (c *Core) tenantOf(p *pool, name string) *tenant {
	if t, ok := p.tenants[name]; ok {
		return t
	}
	t := &tenant{name: name, pool: p, hash: routing.Hash(name), workspace: c.workspaceOf(name), subsetSize: c.options.MinSubset}
	t.workspace.tenants++
	p.tenants[name] = t
	c.chooseSubset(p, t)
	return t
}

func (c *Core) workspaceOf(name string) *workspace {
	if w, ok := c.workspaces[name]; ok {
		return w
	}
	w := &workspace{weight: defaultWeight}
	c.workspaces[name] = w
	w.applyConfig(c, name)
	return w
}

func (w *workspace) applyConfig(c *Core, name string) {
	w.weight, w.limit = defaultWeight, 0
	d := c.set.Workspaces[name]
	if d == nil {
		return
	}
	w.limit = d.MaxInFlight
	if d.Weight > 0 {
		w.weight = d.Weight
	}
}

func (w *workspace) atLimit() bool { return w.limit > 0 && w.inFlight >= w.limit }

// chooseSubset puts the first servers of the workspace's rendezvous order into its
// subset.
func (c *Core) chooseSubset(p *pool, t *tenant) {
	size := t.subsetSize
	if limit := p.service.maxSubset; limit > 0 {
		size = min(size, limit)
	}
	if size >= len(p.members) {
		t.subset = nil
		return
	}
	c.scoreBuf = c.scoreBuf[:0]
	for _, i := range p.members {
		c.scoreBuf = append(c.scoreBuf, routing.Mix(t.hash, c.loads[i].hash))
	}
	slices.Sort(c.scoreBuf)
	threshold := c.scoreBuf[len(c.scoreBuf)-size]
	t.subset = make([]uint64, len(c.servers)/64+1)
	for _, i := range p.members {
		if routing.Mix(t.hash, c.loads[i].hash) >= threshold {
			t.subset[i>>6] |= 1 << (i & 63)
		}
	}
}

// resizeSubsets adapts the subsets to the workspaces' loads and removes idle
// tenants.
func (c *Core) resizeSubsets(p *pool) {
	perServer := p.expectedLoadPerServer()
	for name, t := range p.tenants {
		t.load += loadSmoothing * (float64(t.inFlight+t.queued) - t.load)
		t.samples++
		t.baselineLoad += max(baselineSmoothing, 1/float64(t.samples)) * (t.load - t.baselineLoad)
		if t.inFlight == 0 && t.queued == 0 && t.load < idleLoad {
			c.removeTenant(p, name, t)
			continue
		}
		needed := t.load * c.options.SubsetSlack / perServer
		if needed > growAt*float64(t.subsetSize) || (t.subsetSize > c.options.MinSubset && needed < shrinkAt*float64(t.subsetSize)) {
			t.subsetSize = max(c.options.MinSubset, int(math.Ceil(needed/((growAt+shrinkAt)/2))))
			t.subsetSize = min(t.subsetSize, max(c.options.MinSubset, len(p.members)))
			c.chooseSubset(p, t)
		}
	}
}

// expectedLoadPerServer returns the load that one server is expected to carry.
func (p *pool) expectedLoadPerServer() float64 {
	mean := p.service.loadFloor
	if p.warm > 0 {
		mean = max(mean, float64(p.warmInFlight)/float64(p.warm))
	}
	return max(1, mean)
}

func (c *Core) removeTenant(p *pool, name string, t *tenant) {
	delete(p.tenants, name)
	t.workspace.tenants--
	if t.workspace.tenants == 0 && t.workspace.inFlight == 0 {
		delete(c.workspaces, name)
	}
}

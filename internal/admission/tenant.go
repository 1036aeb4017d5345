package admission

import (
	"math"
	"slices"

	"github.com/kumquathollow/kumquathollow/internal/routing"
)

const (
	// loadSmoothing is the part of a new sample in a workspace's smoothed load.
	loadSmoothing = 0.2
	// usualSmoothing is the same for the load over a long time, about half an hour.
	usualSmoothing = 0.0005
	// surgeFactor is how many times its usual load a workspace has in a surge.
	surgeFactor = 3
	// growAt and shrinkAt are the parts of a subset's places at which it grows
	// or shrinks; the distance is the hysteresis.
	growAt   = 1.0
	shrinkAt = 0.4
	// idleLoad is the smoothed load below which an unused tenant is forgotten.
	idleLoad = 0.001
)

// workspace is one customer's use of the data centre.
type workspace struct {
	live  int
	limit int
	// weight is its part when it competes for places.
	weight int
	// users counts tenants that point here.
	users int
}

// tenant is one workspace's use of one pool.
type tenant struct {
	name      string
	pool      *pool
	hash      uint64
	workspace *workspace
	live      int
	load      float64
	// usual is the load over a long time, from so many samples.
	usual   float64
	samples int
	// size is the number of servers in the workspace's subset.
	size int
	// subset has a bit for each server in the workspace's subset; nil is all.
	subset []uint64
	lines  [levels]*line
	queued int
}

// contains reports whether the server of that index is in the subset.
func (t *tenant) contains(server int32) bool {
	return t.subset == nil || t.subset[server>>6]>>(server&63)&1 == 1
}

// use changes what the tenant runs and what waits.
func (t *tenant) use(live, queued int) {
	before := t.live+t.queued > 0
	t.live += live
	t.queued += queued
	after := t.live+t.queued > 0
	switch {
	case after && !before:
		t.pool.active++
	case before && !after:
		t.pool.active--
	}
}

// reservePart is the part of a pool's places that is kept for workspaces that
// have less than an even part of them.
const reservePart = 32

// mustYield reports whether the last places are not for this workspace, since
// it surges and has an even part of them already.
func (t *tenant) mustYield() bool {
	p := t.pool
	if p.active <= 1 || t.load <= surgeFactor*t.usual || p.places-p.live > p.places/reservePart {
		return false
	}
	return (t.live+1)*p.active > p.places
}

// tenantOf returns the workspace's tenant in the pool, creating it on first use.
func (c *Core) tenantOf(p *pool, name string) *tenant {
	if t, ok := p.tenants[name]; ok {
		return t
	}
	t := &tenant{name: name, pool: p, hash: routing.Hash(name), workspace: c.workspaceOf(name), size: c.options.MinSubset}
	t.workspace.users++
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
	w.declare(c, name)
	return w
}

func (w *workspace) declare(c *Core, name string) {
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

func (w *workspace) full() bool { return w.limit > 0 && w.live >= w.limit }

// chooseSubset puts the first size members of the workspace's order in the subset.
func (c *Core) chooseSubset(p *pool, t *tenant) {
	size := t.size
	if most := p.service.maxSubset; most > 0 {
		size = min(size, most)
	}
	if size >= len(p.members) {
		t.subset = nil
		return
	}
	c.scores = c.scores[:0]
	for _, i := range p.members {
		c.scores = append(c.scores, routing.Mix(t.hash, c.hot[i].hash))
	}
	slices.Sort(c.scores)
	least := c.scores[len(c.scores)-size]
	t.subset = make([]uint64, len(c.servers)/64+1)
	for _, i := range p.members {
		if routing.Mix(t.hash, c.hot[i].hash) >= least {
			t.subset[i>>6] |= 1 << (i & 63)
		}
	}
}

// resize follows the workspace's load with its subset, and forgets idle ones.
func (c *Core) resize(p *pool) {
	places := p.placesPerServer()
	for name, t := range p.tenants {
		t.load += loadSmoothing * (float64(t.live+t.queued) - t.load)
		t.samples++
		t.usual += max(usualSmoothing, 1/float64(t.samples)) * (t.load - t.usual)
		if t.live == 0 && t.queued == 0 && t.load < idleLoad {
			c.forget(p, name, t)
			continue
		}
		needed := t.load * c.options.SubsetSlack / places
		if needed > growAt*float64(t.size) || (t.size > c.options.MinSubset && needed < shrinkAt*float64(t.size)) {
			t.size = max(c.options.MinSubset, int(math.Ceil(needed/((growAt+shrinkAt)/2))))
			t.size = min(t.size, max(c.options.MinSubset, len(p.members)))
			c.chooseSubset(p, t)
		}
	}
}

// placesPerServer is what one server is expected to carry.
func (p *pool) placesPerServer() float64 {
	mean := p.service.loadFloor
	if p.warm > 0 {
		mean = max(mean, float64(p.warmLive)/float64(p.warm))
	}
	return max(1, mean)
}

func (c *Core) forget(p *pool, name string, t *tenant) {
	delete(p.tenants, name)
	t.workspace.users--
	if t.workspace.users == 0 && t.workspace.live == 0 {
		delete(c.workspaces, name)
	}
}

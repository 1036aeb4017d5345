package admission

import (
	"slices"
	"time"

	"github.com/kumquathollow/kumquathollow/internal/config"
)

const (
	// resizeEvery is the time between looks at the workspaces' loads.
	resizeEvery = time.Second
	// confirmGrace is how long after the opening reports of servers may take.
	confirmGrace = 2500 * time.Millisecond
	// refreshEvery is the time between looks at what changes by time alone.
	refreshEvery = 100 * time.Millisecond
)

// Core is the state of a grantor during one tenure of the lease.
type Core struct {
	options    Options
	dataCentre string
	set        *config.Set
	term       uint64
	acquired   Instant
	leaseUntil Instant

	servers []*server
	hot     []candidate
	byName  map[string]int32

	services   map[string]*service
	pools      map[poolKey]*pool
	poolOrder  []*pool
	workspaces map[string]*workspace

	sessions map[SessionID]*session
	routers  map[routerKey]*router

	permits  []permit
	free     []int32
	earlier  map[earlierKey]int32
	live     int
	granted  uint64
	refused  uint64
	pumpNext int

	out         bool
	maxInFlight int
	overrides   map[string]Override

	// lastEvent is the time of the latest event; after a pause, reports are not
	// trusted until trustFrom, since they may have waited as long.
	lastEvent Instant
	trustFrom Instant

	nextRefresh Instant
	nextSweep   Instant
	nextResize  Instant

	effects []Effect
	scores  []uint64
	order   []int
}

// service is what is declared of a service and its policy.
type service struct {
	name          string
	models        []string
	maxLoadFactor float64
	loadFloor     float64
	coldRamp      time.Duration
	maxQueue      int
	silenceLimit  time.Duration
	ejectAfter    int
	ejectTime     time.Duration
	maxSubset     int
	// maxRun is the longest deadline of the service's routes.
	maxRun time.Duration
	queued int
}

// New returns the core of a tenure that began at now under the term.
func New(o Options, dataCentre string, set *config.Set, term uint64, now, leaseUntil Instant) *Core {
	c := &Core{
		options: o, dataCentre: dataCentre, term: term, acquired: now, leaseUntil: leaseUntil,
		byName:     map[string]int32{},
		services:   map[string]*service{},
		pools:      map[poolKey]*pool{},
		workspaces: map[string]*workspace{},
		sessions:   map[SessionID]*session{},
		routers:    map[routerKey]*router{},
		earlier:    map[earlierKey]int32{},
		overrides:  map[string]Override{},
	}
	c.permits = append(c.permits, permit{}) // permit 0 stands for none
	c.Configure(now, set)
	return c
}

// Term returns the term of the tenure.
func (c *Core) Term() uint64 { return c.term }

// OpensAt returns when every permit of an earlier tenure must have started.
func (c *Core) OpensAt() Instant {
	return c.acquired + c.options.StartWindow + c.options.Margin
}

// Renew moves the end of the lease.
func (c *Core) Renew(until Instant) { c.leaseUntil = max(c.leaseUntil, until) }

// Expire ends the tenure: nothing is granted any more.
func (c *Core) Expire() { c.leaseUntil = 0 }

// opening reports whether servers may still be unconfirmed only because the
// tenure is young, or silent only because this process was paused.
func (c *Core) opening(now Instant) bool {
	return now < c.OpensAt()+confirmGrace || now < c.trustFrom
}

func (c *Core) holds(now Instant) bool { return now < c.leaseUntil }

// Configure puts a set in force.
func (c *Core) Configure(now Instant, set *config.Set) {
	if set == nil {
		set = &config.Set{}
	}
	c.set = set
	for name := range set.Services {
		c.declareService(name)
	}
	for name, w := range c.workspaces {
		w.declare(c, name)
	}
	c.applyOut()
	for _, s := range c.servers {
		s.declare(c)
	}
	c.gatherAll()
	c.refresh(now)
	if c.out {
		c.refuseAll()
	}
	c.pumpAll(now)
}

func (c *Core) serviceOf(name string) *service {
	if set := c.set.Services[name]; set == nil {
		return nil
	}
	if s, ok := c.services[name]; ok {
		return s
	}
	return c.declareService(name)
}

// declareService takes the declared values over.
func (c *Core) declareService(name string) *service {
	s := c.services[name]
	if s == nil {
		s = &service{name: name}
		c.services[name] = s
	}
	d := c.set.Services[name]
	p := c.set.Policies[d.Policy]
	if p == nil {
		p = &config.Policy{}
	}
	s.models = d.Models
	s.maxLoadFactor = orDefault(p.MaxLoadFactor, defaultMaxLoadFactor)
	s.loadFloor = orDefault(p.LoadFloor, defaultLoadFloor)
	s.coldRamp = orDefault(p.ColdRamp.D(), defaultColdRamp)
	s.maxQueue = orDefault(p.MaxQueue, defaultMaxQueue)
	s.silenceLimit = orDefault(p.SilenceLimit.D(), defaultSilenceLimit)
	s.ejectAfter = orDefault(p.EjectAfter, defaultEjectAfter)
	s.ejectTime = orDefault(p.EjectTime.D(), defaultEjectTime)
	s.maxSubset = p.MaxServersPerWorkspace
	s.maxRun = 0
	for _, r := range d.Routes {
		s.maxRun = max(s.maxRun, orDefault(r.Deadline.D(), defaultDeadline))
	}
	s.maxRun = orDefault(s.maxRun, defaultDeadline)
	return s
}

func orDefault[T int | float64 | time.Duration](v, d T) T {
	if v <= 0 {
		return d
	}
	return v
}

// hasModel reports whether callers may name the model; empty is the default.
func (s *service) hasModel(model string) bool {
	return model == "" || len(s.models) == 0 || slices.Contains(s.models, model)
}

// observe notes an event's time, and a pause of the process before it. It
// brings up to date what changes by time alone.
func (c *Core) observe(now Instant) {
	if now-c.lastEvent > c.options.Margin/2 && c.lastEvent > 0 {
		c.trustFrom = now + c.options.Margin
	}
	c.lastEvent = now
	if now >= c.nextRefresh {
		c.nextRefresh = now + refreshEvery
		c.refresh(now)
	}
}

// Tick does what depends on time alone: waits that have ended, deadlines,
// ramps, silence. Call it often; it returns quickly when nothing is due.
func (c *Core) Tick(now Instant) {
	c.observe(now)
	if !c.holds(now) {
		return
	}
	if now >= c.nextSweep {
		c.nextSweep = now + refreshEvery
		c.expirePermits(now)
		c.settle(now)
		c.refresh(now)
		c.pumpAll(now)
		c.expireWaiters(now)
	}
	if now >= c.nextResize {
		c.nextResize = now + resizeEvery
		for _, p := range c.poolOrder {
			c.resize(p)
		}
	}
}

// runs is what a pool knows of how long its runs take.
type runs struct {
	mean  time.Duration
	known bool
}

// add takes in the duration of a run.
func (r *runs) add(d time.Duration) {
	const smoothing = 32
	if !r.known {
		r.mean, r.known = d, true
		return
	}
	r.mean += (d - r.mean) / smoothing
}

// wait estimates how long it takes until n places of the pool become free; 0
// while no run has ended.
func (p *pool) wait(n int) time.Duration {
	if !p.runs.known || p.places == 0 {
		return 0
	}
	return p.runs.mean * time.Duration(n) / time.Duration(p.places)
}

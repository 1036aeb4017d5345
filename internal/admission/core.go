package admission

import (
	"slices"
	"time"

	"github.com/kumquathollow/kumquathollow/internal/config"
)

const (
	// resizeInterval is the time between adjustments of the workspaces' subsets.
	resizeInterval = time.Second
	// confirmGrace is how long the servers' first reports may take after
	// EarliestConfirmation.
	confirmGrace = 2500 * time.Millisecond
	// refreshInterval is the time between updates of state that changes with time
	// alone.
	refreshInterval = 100 * time.Millisecond
)

// Core is the state of a grantor during one term of the lease.
type Core struct {
	options    Options
	dataCentre string
	set        *config.Set
	term       uint64
	acquiredAt Instant
	leaseUntil Instant

	servers []*server
	// loads has the same indexes as servers.
	loads  []serverLoad
	byName map[string]int32

	services   map[string]*service
	pools      map[poolKey]*pool
	poolOrder  []*pool
	workspaces map[string]*workspace

	sessions map[SessionID]*session
	routers  map[routerKey]*router

	permits      []permit
	freePermits  []int32
	priorPermits map[permitKey]int32
	inFlight     int
	granted      uint64
	refused      uint64
	nextPool     int

	dataCentreOut bool
	maxInFlight   int
	overrides     map[string]Override

	// lastEvent is the time of the latest event. After a pause of this process,
	// reports are ignored until reportsTrustedFrom, because they may have been
	// queued during the pause and be older than they state.
	lastEvent          Instant
	reportsTrustedFrom Instant

	nextRefresh Instant
	nextSweep   Instant
	nextResize  Instant

	effects  []Effect
	scoreBuf []uint64
	orderBuf []int
}

// service is the declared configuration of a service and its policy.
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
	// maxRunTime is the longest deadline of the service's routes.
	maxRunTime time.Duration
	queued     int
}

// New returns the core of the term that begins at now.
func New(o Options, dataCentre string, set *config.Set, term uint64, now, leaseUntil Instant) *Core {
	c := &Core{
		options: o, dataCentre: dataCentre, term: term, acquiredAt: now, leaseUntil: leaseUntil,
		byName:       map[string]int32{},
		services:     map[string]*service{},
		pools:        map[poolKey]*pool{},
		workspaces:   map[string]*workspace{},
		sessions:     map[SessionID]*session{},
		routers:      map[routerKey]*router{},
		priorPermits: map[permitKey]int32{},
		overrides:    map[string]Override{},
	}
	c.permits = append(c.permits, permit{}) // index 0 means no permit
	c.Configure(now, set)
	return c
}

// Term returns the lease term.
func (c *Core) Term() uint64 { return c.term }

// EarliestConfirmation returns the time from which load reports can confirm
// servers: by then the start window of every permit of an earlier term has passed.
func (c *Core) EarliestConfirmation() Instant {
	return c.acquiredAt + c.options.StartWindow + c.options.Margin
}

// Renew extends the lease.
func (c *Core) Renew(until Instant) { c.leaseUntil = max(c.leaseUntil, until) }

// Expire ends the lease: nothing is granted any more.
func (c *Core) Expire() { c.leaseUntil = 0 }

// inOpeningPeriod reports whether servers may be unconfirmed only because the term
// has just begun, or silent only because this process was paused.
func (c *Core) inOpeningPeriod(now Instant) bool {
	return now < c.EarliestConfirmation()+confirmGrace || now < c.reportsTrustedFrom
}

func (c *Core) holdsLease(now Instant) bool { return now < c.leaseUntil }

// Configure applies a configuration.
func (c *Core) Configure(now Instant, set *config.Set) {
	if set == nil {
		set = &config.Set{}
	}
	c.set = set
	for name := range set.Services {
		c.applyServiceConfig(name)
	}
	for name, w := range c.workspaces {
		w.applyConfig(c, name)
	}
	c.applyDataCentreConfig()
	for _, s := range c.servers {
		s.applyConfig(c)
	}
	c.rebuildPools()
	c.refreshLimits(now)
	if c.dataCentreOut {
		c.refuseDataCentreOut()
	}
	c.dispatchAll(now)
}

func (c *Core) serviceOf(name string) *service {
	if set := c.set.Services[name]; set == nil {
		return nil
	}
	if s, ok := c.services[name]; ok {
		return s
	}
	return c.applyServiceConfig(name)
}

// applyServiceConfig copies the declared values, or their defaults, into the
// service.
func (c *Core) applyServiceConfig(name string) *service {
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
	s.coldRamp = orDefault(p.ColdRamp.AsDuration(), defaultColdRamp)
	s.maxQueue = orDefault(p.MaxQueue, defaultMaxQueue)
	s.silenceLimit = orDefault(p.SilenceLimit.AsDuration(), defaultSilenceLimit)
	s.ejectAfter = orDefault(p.EjectAfter, defaultEjectAfter)
	s.ejectTime = orDefault(p.EjectTime.AsDuration(), defaultEjectTime)
	s.maxSubset = p.MaxServersPerWorkspace
	s.maxRunTime = 0
	for _, r := range d.Routes {
		s.maxRunTime = max(s.maxRunTime, orDefault(r.Deadline.AsDuration(), defaultDeadline))
	}
	s.maxRunTime = orDefault(s.maxRunTime, defaultDeadline)
	return s
}

func orDefault[T int | float64 | time.Duration](v, d T) T {
	if v <= 0 {
		return d
	}
	return v
}

// hasModel reports whether requests may name the model; the empty name selects the
// default model.
func (s *service) hasModel(model string) bool {
	return model == "" || len(s.models) == 0 || slices.Contains(s.models, model)
}

// advance records the time of an event and detects a pause of the process before
// it. It also refreshes the state that changes with time alone.
func (c *Core) advance(now Instant) {
	if now-c.lastEvent > c.options.Margin/2 && c.lastEvent > 0 {
		c.reportsTrustedFrom = now + c.options.Margin
	}
	c.lastEvent = now
	if now >= c.nextRefresh {
		c.nextRefresh = now + refreshInterval
		c.refreshLimits(now)
	}
}

// Tick handles what depends on time alone: expired waits, deadlines, ramps and
// silent servers. It must be called often; it returns quickly when nothing is due.
func (c *Core) Tick(now Instant) {
	c.advance(now)
	if !c.holdsLease(now) {
		return
	}
	if now >= c.nextSweep {
		c.nextSweep = now + refreshInterval
		c.expirePermits(now)
		c.auditServers(now)
		c.refreshLimits(now)
		c.dispatchAll(now)
		c.expireWaiters(now)
	}
	if now >= c.nextResize {
		c.nextResize = now + resizeInterval
		for _, p := range c.poolOrder {
			c.resizeSubsets(p)
		}
	}
}

// runTimeAverage is the smoothed run time of a pool's requests.
type runTimeAverage struct {
	mean  time.Duration
	valid bool
}

func (r *runTimeAverage) add(d time.Duration) {
	const smoothing = 32
	if !r.valid {
		r.mean, r.valid = d, true
		return
	}
	r.mean += (d - r.mean) / smoothing
}

// estimateWait estimates how long it takes until n slots of the pool become free;
// it returns 0 as long as no run has ended.
func (p *pool) estimateWait(n int) time.Duration {
	if !p.runTime.valid || p.totalLimit == 0 {
		return 0
	}
	return p.runTime.mean * time.Duration(n) / time.Duration(p.totalLimit)
}

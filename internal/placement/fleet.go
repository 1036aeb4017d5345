package placement

import (
	"cmp"
	"math"
	"slices"
	"sync/atomic"
	"time"

	"github.com/kumquathollow/kumquathollow/internal/catalog"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/inventory"
	"github.com/kumquathollow/kumquathollow/internal/routing"
)

// Bounds of the choice.
const (
	// A server takes a key's requests up to a bound on its load: a multiple of the
	// pool's mean, plus a slack. Prompts whose shared parts are costly to read again
	// stay at their home up to the upper bound; cheap ones leave at the lower, which
	// evens the load out. The upper bound lies under the deployment's limit on load
	// skew (2 x mean + 3), for what the counts lag.
	lowFactor, highFactor = 1.3, 1.9
	lowSlack, highSlack   = 1.0, 2.0
	// skewFactor and skewSlack bound a server's load against the mean of all servers
	// of its service, those included that are taken out: the limit on load skew
	// (2 x mean + 3), less what the counts lag.
	skewFactor, skewSlack = 2.0, 1.0
	// overStep is the difference of loads over the bound that matters.
	overStep = 4
	// costlyPrompt is the multiple of the mean shared prompt from which the upper
	// bound holds.
	costlyPrompt = 2.0
	// promptWeight is the weight of the newest prompt in the mean.
	promptWeight = 0.02
	// silenceLimit is how long a server may be silent before it gets nothing
	// more: four heartbeats of 1.2 s.
	silenceLimit = 5 * time.Second
	// coldSpan is the span over which a cold server's requests are counted.
	coldSpan = time.Second
	// coldMargin is the part of a cold server's bound that routers use together;
	// the rest covers routers that are not counted yet.
	coldMargin = 0.7
	// othersAge is how long the reports of other routers count.
	othersAge = 2 * time.Second
	// loadAge is how long a server's report of its load counts.
	loadAge = 500 * time.Millisecond
	// unknownLatency stands for a server that has not answered yet.
	unknownLatency = 10 * time.Millisecond
	// noServerRetry is the advice when no server can take a request: about the
	// time in which a crashed server is replaced or an avoided one is tried again.
	noServerRetry = 500 * time.Millisecond
)

// Bounds are the deployment's bounds on cold servers.
type Bounds struct {
	// ColdFactor and ColdSlack bound the requests that all routers together send
	// a cold server in a second: its rate times the factor, plus the slack.
	ColdFactor float64
	ColdSlack  float64
}

// Fleet holds the backend servers by service. Update is called by one goroutine;
// everything else is safe for concurrent use.
type Fleet struct {
	dataCentre string
	bounds     Bounds
	byID       map[string]*Server
	homes      map[string]*homes
	pools      atomic.Pointer[map[string]*pool]
	loads      atomic.Pointer[loads]
	out        atomic.Pointer[[]string]
	routers    atomic.Int64
	reach      reach
	// usualPrompt is the moving average of shared prompts, as the bits of a float64.
	usualPrompt atomic.Uint64
}

// pool is the ready servers of a service. It is immutable.
type pool struct {
	servers []*Server
	order   *order
	// leaving are the servers that finish what they run, by id.
	leaving map[string]*Server
}

// each visits the servers that may have requests in flight.
func (p *pool) each(visit func(*Server)) {
	for _, s := range p.servers {
		visit(s)
	}
	for _, s := range p.leaving {
		visit(s)
	}
}

// loads is what other routers have in flight, by the server's hash.
type loads struct {
	others map[uint32]int
	at     time.Time
}

// NewFleet returns an empty Fleet of a router in the data centre.
func NewFleet(dataCentre string, bounds Bounds) *Fleet {
	f := &Fleet{dataCentre: dataCentre, bounds: bounds, byID: map[string]*Server{}, homes: map[string]*homes{}}
	f.pools.Store(&map[string]*pool{})
	f.loads.Store(&loads{})
	f.out.Store(&[]string{})
	f.routers.Store(1)
	return f
}

// SetRouters tells how many routers share the backend servers.
func (f *Fleet) SetRouters(n int) { f.routers.Store(int64(max(1, n))) }

// Routers returns the number of routers that share the backend servers.
func (f *Fleet) Routers() int { return int(f.routers.Load()) }

// SetOut tells which data centres are taken out. Servers of one that comes back
// may be cold and count so for coldTime.
func (f *Fleet) SetOut(out []string, coldTime func(service string) time.Duration, now time.Time) {
	was := *f.out.Load()
	f.out.Store(&out)
	for _, dc := range was {
		if slices.Contains(out, dc) {
			continue
		}
		for _, s := range f.byID {
			if s.DataCentre == dc {
				s.chill(now.Add(coldTime(s.Service)))
			}
		}
	}
}

// Hear takes in an announcement that changed nothing but its time.
func (f *Fleet) Hear(s *inventory.Server) {
	if old := f.byID[s.ID]; old != nil && old.Born == s.Born {
		old.hear(s)
	}
}

// Update replaces the list of servers. A server keeps what is known of it as long
// as its incarnation lasts.
func (f *Fleet) Update(t *inventory.Table, now time.Time) {
	pools := map[string]*pool{}
	byID := map[string]*Server{}
	t.All(func(said *inventory.Server) {
		s := f.byID[said.ID]
		if s == nil || s.Born != said.Born || s.Address != said.Address || s.Service != said.Service {
			s = newServer(said)
		} else {
			s.hear(said)
		}
		byID[said.ID] = s
		p := pools[said.Service]
		if p == nil {
			p = &pool{leaving: map[string]*Server{}}
			pools[said.Service] = p
		}
		switch said.State {
		case inventory.Ready:
			p.servers = append(p.servers, s)
		case inventory.Draining:
			p.leaving[s.ID] = s
		}
	})
	for service, p := range pools {
		slices.SortFunc(p.servers, func(a, b *Server) int { return cmp.Compare(a.ID, b.ID) })
		if f.homes[service] == nil {
			f.homes[service] = &homes{}
		}
		f.homes[service].update(p.servers, now)
		p.order = f.homes[service].order()
	}
	f.byID = byID
	f.pools.Store(&pools)
}

// Servers returns the ready servers of a service. The slice must not be changed.
func (f *Fleet) Servers(service string) []*Server { return f.pool(service).servers }

func (f *Fleet) pool(service string) *pool {
	if p := (*f.pools.Load())[service]; p != nil {
		return p
	}
	return emptyPool
}

var emptyPool = &pool{order: &order{}}

// InFlight returns this router's requests in flight, by the server's hash.
func (f *Fleet) InFlight() map[uint32]int {
	out := map[uint32]int{}
	for _, p := range *f.pools.Load() {
		p.each(func(s *Server) {
			if n := s.reportInFlight(); n > 0 {
				out[uint32(s.hash)] = n
			}
		})
	}
	return out
}

// SetLoads takes in what all routers have reported, this one included.
func (f *Fleet) SetLoads(sum map[uint32]int, now time.Time) {
	for _, p := range *f.pools.Load() {
		p.each(func(s *Server) {
			if n, ok := sum[uint32(s.hash)]; ok {
				sum[uint32(s.hash)] = max(0, n-s.lastReport())
			}
		})
	}
	f.loads.Store(&loads{others: sum, at: now})
}

// Ask is what a choice depends on.
type Ask struct {
	Service *catalog.Service
	// Key is the hash of the prompt prefix; 0 if the request has none.
	Key uint64
	// Shared is the number of tokens of the prompt's shared parts.
	Shared int
	// Spread orders servers that are equally good, differently for each request.
	Spread uint64
	// Exclude are servers that the request was sent to before.
	Exclude []string
}

// Place is a place at a server; Done must be called once.
type Place struct {
	*Server
	fleet *Fleet
	// PoolSize is the number of usable servers that were compared.
	PoolSize int
	// Rank is the server's position in the key's order; 0 is its home.
	Rank int
	// Source is a server that probably keeps the prompt if this one lacks it; nil if
	// this one should have it.
	Source *Server
	// Load is the server's requests in flight at all routers, this one included.
	Load int
}

// Pick chooses a server. The error has kind no-backend or data-centre-out, with
// the time after which another attempt makes sense.
func (f *Fleet) Pick(a Ask, now time.Time) (*Place, error) {
	p := f.pool(a.Service.Name)
	out := *f.out.Load()
	all := make([]candidate, 0, len(p.servers))
	taken := 0
	others := f.loads.Load()
	if now.Sub(others.at) > othersAge {
		others = &loads{}
	}
	total, members := 0, 0
	for _, s := range p.leaving {
		total += s.running() + others.others[uint32(s.hash)]
		members++
	}
	for _, s := range p.servers {
		c := s.candidate(now, a)
		c.avoided = c.avoided || f.reach.isCut(s.DataCentre, now)
		c.load = c.inFlight + others.others[uint32(s.hash)]
		if a.Key != 0 {
			c.cost, c.spare = p.order.cost(a.Key, s)
		}
		switch {
		case slices.Contains(out, s.DataCentre):
			taken++
			c.barred = true
		case slices.Contains(a.Exclude, s.ID):
			c.barred = true
		}
		total += c.load
		members++
		all = append(all, c)
	}
	if a.Key != 0 {
		rank(all)
	}
	usable := without(all, func(c *candidate) bool { return c.barred })
	if len(usable) == 0 && taken > 0 {
		return nil, errkind.New(errkind.DataCentreOut, "every data centre with servers of %q is taken out", a.Service.Name).WithRetryAfter(noServerRetry)
	}
	usable = f.reachable(usable)
	f.order(usable, a, float64(total+1)/float64(max(1, members)))
	var source *Server
	for i := range usable {
		c := &usable[i]
		if c.take(f, a.Service, now) {
			if a.Key != 0 {
				source = p.source(c, all, now)
			}
			return &Place{Source: source, Server: c.Server, fleet: f, PoolSize: len(usable), Rank: c.rank, Load: c.load + 1}, nil
		}
	}
	return nil, errkind.New(errkind.NoBackend, "no server of %q can take the request: %d are known, %d usable", a.Service.Name, len(p.servers), len(usable)).WithRetryAfter(noServerRetry)
}

// candidate is a server's state at the time of one choice.
type candidate struct {
	*Server
	inFlight int
	// load is inFlight and what other routers have.
	load int
	rank int
	// barred servers may not get the request: they are taken out, or had it before.
	barred bool
	// spare servers take keys only when others are loaded.
	spare    bool
	silent   bool
	avoided  bool
	probe    bool
	expected time.Duration
	cost     uint64
}

func (s *Server) candidate(now time.Time, a Ask) candidate {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := candidate{Server: s, inFlight: s.inFlight, silent: now.Sub(s.said.Heard) > silenceLimit}
	if s.penalty > 0 {
		c.avoided = now.Before(s.avoidUntil) || s.probing
		c.probe = !c.avoided
	}
	latency := max(s.latency, unknownLatency)
	waiting := s.inFlight
	if now.Sub(s.loadAt) < loadAge {
		waiting = max(waiting, s.load.Waiting+max(0, s.load.Running-s.load.Slots/2))
	}
	c.expected = latency * time.Duration(1+waiting)
	c.cost = routing.Mix(a.Spread, s.hash)
	return c
}

// reachable leaves out servers that are silent or avoided, as long as others remain.
func (f *Fleet) reachable(cs []candidate) []candidate {
	for _, bad := range []func(*candidate) bool{
		func(c *candidate) bool { return c.silent || c.avoided },
		func(c *candidate) bool { return c.silent && c.avoided },
	} {
		if good := without(cs, bad); len(good) > 0 {
			return good
		}
	}
	return cs
}

func without(cs []candidate, bad func(*candidate) bool) []candidate {
	var out []candidate
	for i := range cs {
		if !bad(&cs[i]) {
			out = append(out, cs[i])
		}
	}
	return out
}

// rank sorts by a key's order: places before spares.
func rank(cs []candidate) {
	slices.SortFunc(cs, func(x, y candidate) int {
		return cmp.Or(compareBool(x.spare, y.spare), cmp.Compare(x.cost, y.cost))
	})
	for i := range cs {
		cs[i].rank = i
	}
}

// order sorts by preference. mean is the load of all the service's servers, those
// included that may take nothing: skew is measured against it.
func (f *Fleet) order(cs []candidate, a Ask, mean float64) {
	if a.Key == 0 {
		slices.SortFunc(cs, func(x, y candidate) int {
			return cmp.Or(cmp.Compare(x.expected/latencyStep, y.expected/latencyStep), f.distance(x)-f.distance(y), cmp.Compare(x.cost, y.cost))
		})
		return
	}
	f.notePrompt(a.Shared)
	usable := 0
	for i := range cs {
		usable += cs[i].load
	}
	bound := min(f.bound(a, float64(usable+1)/float64(max(1, len(cs)))), int(skewFactor*mean+skewSlack))
	// Below the bound a key goes to the first server of its order, spares last.
	// Above it the less loaded come first, but in steps: the counts lag, and all
	// routers would choose the one server that seems to have the least.
	slices.SortStableFunc(cs, func(x, y candidate) int {
		return cmp.Compare(over(x.load, bound), over(y.load, bound))
	})
}

// bound returns the load up to which a server takes the request.
func (f *Fleet) bound(a Ask, mean float64) int {
	costly := 1.0
	if usual := math.Float64frombits(f.usualPrompt.Load()); usual > 0 {
		costly = min(1, float64(a.Shared)/(costlyPrompt*usual))
	}
	factor := lowFactor + costly*(highFactor-lowFactor)
	slack := lowSlack + costly*(highSlack-lowSlack)
	return int(math.Ceil(factor*mean + slack))
}

// notePrompt keeps a moving average of the shared prompt.
func (f *Fleet) notePrompt(tokens int) {
	was := math.Float64frombits(f.usualPrompt.Load())
	if was == 0 {
		was = float64(tokens)
	}
	// A lost update of two requests at once does not matter.
	f.usualPrompt.Store(math.Float64bits(was + promptWeight*(float64(tokens)-was)))
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// latencyStep is the difference of expected times that matters; the delay between
// data centres is of this order.
const latencyStep = 5 * time.Millisecond

func over(load, bound int) int { return (max(0, load+1-bound) + overStep - 1) / overStep }

func (f *Fleet) distance(c candidate) int {
	if c.DataCentre == f.dataCentre {
		return 0
	}
	return 1
}

// take reserves a place unless the server is cold and has had its share.
func (c *candidate) take(f *Fleet, service *catalog.Service, now time.Time) bool {
	s := c.Server
	s.mu.Lock()
	defer s.mu.Unlock()
	if service.ColdRate > 0 && !s.takeCold(f, service, now) {
		return false
	}
	f.reach.trying(s.DataCentre, now)
	s.probing = s.probing || c.probe
	s.inFlight++
	return true
}

// takeCold counts a request to a server that may be cold.
func (s *Server) takeCold(f *Fleet, service *catalog.Service, now time.Time) bool {
	if !now.Before(s.coldUntil) {
		s.sent = nil
		return true
	}
	for len(s.sent) > 0 && now.Sub(s.sent[0]) > coldSpan {
		s.sent = s.sent[1:]
	}
	if len(s.sent) >= f.coldShare(service, s.hash) {
		return false
	}
	s.sent = append(s.sent, now)
	return true
}

// coldShare is the number of requests that this router may send a cold server
// in a second. Where the routers are more than the requests, each server is left
// to a few of them.
func (f *Fleet) coldShare(service *catalog.Service, _ uint64) int {
	total := (service.ColdRate*f.bounds.ColdFactor + f.bounds.ColdSlack) * coldMargin
	return int(total / float64(f.routers.Load()))
}

// source returns the server that probably keeps the key's prompt, if the chosen
// one may lack it: the key's home, the server whose place the chosen one took, or
// the next in the key's order, which served the key meanwhile.
// Servers that are taken out serve as sources: they get no request by it.
func (p *pool) source(c *candidate, all []candidate, now time.Time) *Server {
	if c.rank == 0 {
		previous, ok := p.order.settling(c.Server, now)
		if !ok {
			return nil
		}
		if s := p.leaving[previous]; s != nil {
			return s
		}
	}
	var best *candidate
	for i := range all {
		o := &all[i]
		if o.Server != c.Server && !o.silent && !o.avoided && (best == nil || o.rank < best.rank) {
			best = o
		}
	}
	if best == nil {
		return nil
	}
	return best.Server
}

// Done ends the attempt.
func (p *Place) Done(o Outcome, latency time.Duration, now time.Time) {
	p.Server.done(o, latency, p.fleet.failureRate(p.Service), now)
	p.fleet.reach.done(p.DataCentre, p.ID, o, now)
}

// Reported takes in the load that the server told in its answer.
func (p *Place) Reported(l Load, now time.Time) { p.Server.reported(l, now) }

// failureRate is the median failure rate of a pool, so that a fault of the whole
// pool does not count against each server.
func (f *Fleet) failureRate(service string) float64 {
	pool := f.Servers(service)
	if len(pool) == 0 {
		return 0
	}
	rates := make([]float64, 0, len(pool))
	for _, s := range pool {
		s.mu.Lock()
		rates = append(rates, s.failures)
		s.mu.Unlock()
	}
	slices.Sort(rates)
	return rates[(len(rates)-1)/2]
}

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
	// loadFactor and loadSlack bound a server's requests in flight at this router
	// against the mean of its pool. Reading a shared prompt part again costs more
	// than the skew that these allow (docs/design/platform.md).
	loadFactor = 1.5
	loadSlack  = 2
	// silenceLimit is how long a server may be silent before it gets nothing
	// more: four heartbeats of 1.2 s.
	silenceLimit = 5 * time.Second
	// coldSpan is the span over which a cold server's requests are counted.
	coldSpan = time.Second
	// coldMargin is the part of a cold server's bound that routers use together;
	// the rest covers routers that are not counted yet.
	coldMargin = 0.7
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
	pools      atomic.Pointer[map[string][]*Server]
	out        atomic.Pointer[[]string]
	routers    atomic.Int64
}

// NewFleet returns an empty Fleet of a router in the data centre.
func NewFleet(dataCentre string, bounds Bounds) *Fleet {
	f := &Fleet{dataCentre: dataCentre, bounds: bounds, byID: map[string]*Server{}}
	f.pools.Store(&map[string][]*Server{})
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
func (f *Fleet) Update(t *inventory.Table) {
	pools := map[string][]*Server{}
	byID := map[string]*Server{}
	t.All(func(said *inventory.Server) {
		s := f.byID[said.ID]
		if s == nil || s.Born != said.Born || s.Address != said.Address || s.Service != said.Service {
			s = newServer(said)
		} else {
			s.hear(said)
		}
		byID[said.ID] = s
		if said.State == inventory.Ready {
			pools[said.Service] = append(pools[said.Service], s)
		}
	})
	for _, pool := range pools {
		slices.SortFunc(pool, func(a, b *Server) int { return cmp.Compare(a.ID, b.ID) })
	}
	f.byID = byID
	f.pools.Store(&pools)
}

// Servers returns the ready servers of a service. The slice must not be changed.
func (f *Fleet) Servers(service string) []*Server { return (*f.pools.Load())[service] }

// Ask is what a choice depends on.
type Ask struct {
	Service *catalog.Service
	// Key is the hash of the prompt prefix; 0 if the request has none.
	Key uint64
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
	// Load is the server's requests in flight at this router, this one included.
	Load int
}

// Pick chooses a server. The error has kind no-backend or data-centre-out, with
// the time after which another attempt makes sense.
func (f *Fleet) Pick(a Ask, now time.Time) (*Place, error) {
	pool := f.Servers(a.Service.Name)
	out := *f.out.Load()
	usable := make([]candidate, 0, len(pool))
	taken := 0
	for _, s := range pool {
		switch {
		case slices.Contains(out, s.DataCentre):
			taken++
		case slices.Contains(a.Exclude, s.ID):
		default:
			usable = append(usable, s.candidate(now, a))
		}
	}
	if len(usable) == 0 && taken > 0 {
		return nil, errkind.New(errkind.DataCentreOut, "every data centre with servers of %q is taken out", a.Service.Name).WithRetryAfter(noServerRetry)
	}
	usable = f.reachable(usable)
	f.order(usable, a)
	for i := range usable {
		c := &usable[i]
		if load, ok := c.take(f, a.Service, now); ok {
			return &Place{Server: c.Server, fleet: f, PoolSize: len(usable), Rank: c.rank, Load: load}, nil
		}
	}
	return nil, errkind.New(errkind.NoBackend, "no server of %q can take the request: %d are known, %d usable", a.Service.Name, len(pool), len(usable)).WithRetryAfter(noServerRetry)
}

// candidate is a server's state at the time of one choice.
type candidate struct {
	*Server
	inFlight int
	rank     int
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
	key := a.Key
	if key == 0 {
		key = a.Spread
	}
	c.cost = routing.Mix(key, s.hash)
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

// order sorts by preference.
func (f *Fleet) order(cs []candidate, a Ask) {
	if a.Key == 0 {
		slices.SortFunc(cs, func(x, y candidate) int {
			return cmp.Or(cmp.Compare(x.expected/latencyStep, y.expected/latencyStep), f.distance(x)-f.distance(y), cmp.Compare(x.cost, y.cost))
		})
		return
	}
	slices.SortFunc(cs, func(x, y candidate) int { return cmp.Compare(x.cost, y.cost) })
	total := 0
	for i := range cs {
		cs[i].rank = i
		total += cs[i].inFlight
	}
	bound := int(math.Ceil(loadFactor*float64(total+1)/float64(max(1, len(cs))))) + loadSlack
	// Servers over the bound come last, the least loaded first.
	slices.SortStableFunc(cs, func(x, y candidate) int {
		return cmp.Compare(over(x.inFlight, bound), over(y.inFlight, bound))
	})
}

// latencyStep is the difference of expected times that matters; the delay between
// data centres is of this order.
const latencyStep = 5 * time.Millisecond

func over(load, bound int) int { return max(0, load+1-bound) }

func (f *Fleet) distance(c candidate) int {
	if c.DataCentre == f.dataCentre {
		return 0
	}
	return 1
}

// take reserves a place unless the server is cold and has had its share.
func (c *candidate) take(f *Fleet, service *catalog.Service, now time.Time) (int, bool) {
	s := c.Server
	s.mu.Lock()
	defer s.mu.Unlock()
	if service.ColdRate > 0 && !s.takeCold(f, service, now) {
		return 0, false
	}
	s.probing = s.probing || c.probe
	s.inFlight++
	return s.inFlight, true
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

// Done ends the attempt.
func (p *Place) Done(o Outcome, latency time.Duration, now time.Time) {
	p.Server.done(o, latency, p.fleet.failureRate(p.Service), now)
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
	return rates[len(rates)/2]
}

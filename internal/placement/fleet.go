package placement

import (
	"cmp"
	"slices"
	"sync/atomic"
	"time"

	"github.com/kumquathollow/kumquathollow/internal/homes"
	"github.com/kumquathollow/kumquathollow/internal/inventory"
	"github.com/kumquathollow/kumquathollow/internal/routing"
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
	// name is the hash of the router's name.
	name       uint64
	dataCentre string
	bounds     Bounds
	byID       map[string]*Server
	byHash     map[uint32]*Server
	orders     map[string]*order
	pools      atomic.Pointer[map[string]*pool]
	loads      atomic.Pointer[loads]
	out        atomic.Pointer[[]string]
	routers    atomic.Int64
	reach      reach
	recall     recall
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

func (l *loads) of(s *Server) int { return l.others[uint32(s.hash)] }

// NewFleet returns an empty Fleet of the named router in the data centre.
func NewFleet(router, dataCentre string, bounds Bounds) *Fleet {
	f := &Fleet{name: routing.Hash(router), dataCentre: dataCentre, bounds: bounds, byID: map[string]*Server{}, orders: map[string]*order{}}
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
				s.takeBack(now, coldTime(s.Service))
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

// HearAgain takes in that the server of that hash lives on as it was, and returns
// its id; "" if it is not known.
func (f *Fleet) HearAgain(hash uint32, now time.Time) string {
	s := f.byHash[hash]
	if s == nil {
		return ""
	}
	s.hearAgain(now)
	return s.ID
}

// Update replaces the list of servers. A server keeps what is known of it as long
// as its incarnation lasts.
func (f *Fleet) Update(t *inventory.Table, now time.Time) {
	pools := map[string]*pool{}
	byID := map[string]*Server{}
	t.All(func(said *inventory.Server) {
		s := f.byID[said.ID]
		if s == nil || s.Born != said.Born || s.Address != said.Address || s.Service != said.Service {
			again := s != nil && s.Born != said.Born
			if s = newServer(said); again {
				s.lacking(now)
			}
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
		p.order = f.order(service)
	}
	f.byID = byID
	f.byHash = make(map[uint32]*Server, len(byID))
	for _, s := range byID {
		f.byHash[uint32(s.hash)] = s
	}
	f.pools.Store(&pools)
}

// SetPlaces replaces the places of all pools. Like Update it is called by one
// goroutine.
func (f *Fleet) SetPlaces(places map[string][]homes.Place, now time.Time) {
	orders := make(map[string]*order, len(places))
	for service, ps := range places {
		orders[service] = newOrder(ps, f.orders[service], now)
	}
	f.orders = orders
	pools := map[string]*pool{}
	for service, p := range *f.pools.Load() {
		next := *p
		next.order = f.order(service)
		pools[service] = &next
	}
	f.pools.Store(&pools)
}

func (f *Fleet) order(service string) *order {
	if o := f.orders[service]; o != nil {
		return o
	}
	return noOrder
}

var noOrder = &order{}

// Servers returns the ready servers of a service. The slice must not be changed.
func (f *Fleet) Servers(service string) []*Server { return f.pool(service).servers }

func (f *Fleet) pool(service string) *pool {
	if p := (*f.pools.Load())[service]; p != nil {
		return p
	}
	return emptyPool
}

var emptyPool = &pool{order: noOrder}

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

// Done ends the attempt.
func (p *Place) Done(o Outcome, latency time.Duration, now time.Time) {
	var poolRate float64
	if o == Bad {
		poolRate = p.fleet.failureRate(p.Service) // It looks at all servers.
	}
	p.Server.done(o, latency, poolRate, now)
	p.fleet.reach.done(p.DataCentre, p.ID, o, now)
	if o == Good {
		p.fleet.recall.had(p.parts, p.Server)
	}
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

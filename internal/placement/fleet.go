package placement

import (
	"cmp"
	"slices"
	"sync/atomic"
	"time"

	"github.com/kumquathollow/kumquathollow/internal/assignment"
	"github.com/kumquathollow/kumquathollow/internal/clock"
	"github.com/kumquathollow/kumquathollow/internal/inventory"
	"github.com/kumquathollow/kumquathollow/internal/routing"
)

// Bounds are the deployment's limits on requests to cold servers.
type Bounds struct {
	// ColdFactor and ColdSlack bound the requests per second that all routers
	// together send to a cold server: the service's cold rate times the factor,
	// plus the slack.
	ColdFactor float64
	ColdSlack  float64
}

// Fleet holds the backend servers by service. Update, UpdateAnnouncement,
// RefreshHeartbeat, SetPlaces, SetEvacuated and SetServedVersions must be called by one goroutine; the
// other methods are safe for concurrent use.
type Fleet struct {
	// routerHash is the hash of the router's name.
	routerHash uint64
	dataCentre string
	bounds     Bounds
	byID       map[string]*Server
	// servers is byID for other goroutines.
	servers atomic.Pointer[map[string]*Server]
	byHash  map[uint32]*Server
	// departed holds the notices of servers that are no longer in the list.
	departed map[incarnation]*notices
	// replacedVersions holds when a server of a service and version was last replaced by an
	// incarnation with another one.
	replacedVersions map[inventory.ServedVersion]time.Time
	// servedVersions are those that the directory has recorded.
	servedVersions []inventory.ServedVersion
	// refusals are the limits of refusals by service.
	refusals     map[string]*serviceRefusals
	rankings     map[string]*ranking
	pools        atomic.Pointer[map[string]*pool]
	peerLoads    atomic.Pointer[peerLoads]
	evacuated    atomic.Pointer[[]string]
	routers      atomic.Int64
	reachability reachability
	partIndex    partIndex
	// meanSharedTokens is the moving average of PickRequest.SharedTokens, stored
	// as the bits of a float64.
	meanSharedTokens atomic.Uint64
}

// replacedVersionTime is how long the version of a server counts that has started again with another
// one: as long as servers that have left are listed.
const replacedVersionTime = 90 * time.Second

// pool holds the servers of a service. It is immutable.
type pool struct {
	servers []*Server
	ranking *ranking
	// draining are the servers that only complete their requests in flight, by id.
	draining map[string]*Server
	// versions are those of the software of all servers that are known, also of those that
	// are gone or that the directory alone knew.
	versions []string
}

func (p *pool) addVersion(version string) {
	if version != "" && !slices.Contains(p.versions, version) {
		p.versions = append(p.versions, version)
	}
}

// forEachServer visits the servers that may have requests in flight.
func (p *pool) forEachServer(visit func(*Server)) {
	for _, s := range p.servers {
		visit(s)
	}
	for _, s := range p.draining {
		visit(s)
	}
}

// peerLoads holds the requests that other routers have in flight, by the low 32
// bits of the server's hash.
type peerLoads struct {
	inFlight   map[uint32]int
	receivedAt time.Time
}

func (l *peerLoads) forServer(s *Server) int { return l.inFlight[uint32(s.hash)] }

// HasLaterIncarnation reports whether a server is known that was born later and has the id or the address.
func (f *Fleet) HasLaterIncarnation(id, address string, born int64) (found bool) {
	for _, p := range *f.pools.Load() {
		p.forEachServer(func(s *Server) {
			found = found || s.Born > born && (s.ID == id || s.Address == address)
		})
	}
	return found
}

// LatestIncarnation returns the latest incarnation of the server that is known, also if it has left, or nil. It must not
// be modified.
func (f *Fleet) LatestIncarnation(id string) *Server { return (*f.servers.Load())[id] }

// NewFleet returns an empty Fleet for the named router in the data centre.
func NewFleet(router, dataCentre string, bounds Bounds) *Fleet {
	f := &Fleet{routerHash: routing.Hash(router), dataCentre: dataCentre, bounds: bounds, byID: map[string]*Server{}, departed: map[incarnation]*notices{}, replacedVersions: map[inventory.ServedVersion]time.Time{}, refusals: map[string]*serviceRefusals{}, rankings: map[string]*ranking{}}
	f.pools.Store(&map[string]*pool{})
	f.servers.Store(&map[string]*Server{})
	f.peerLoads.Store(&peerLoads{})
	f.evacuated.Store(&[]string{})
	f.routers.Store(1)
	return f
}

// SetRouters sets the number of routers that share the backend servers.
func (f *Fleet) SetRouters(n int) { f.routers.Store(int64(max(1, n))) }

// Routers returns the number of routers that share the backend servers.
func (f *Fleet) Routers() int { return int(f.routers.Load()) }

// SetEvacuated sets the data centres that are evacuated. The servers of a data
// centre whose evacuation ends may be cold, and count as cold for coldTime.
func (f *Fleet) SetEvacuated(evacuated []string, coldTime func(service string) time.Duration, now time.Time) {
	previous := *f.evacuated.Load()
	f.evacuated.Store(&evacuated)
	for _, dc := range previous {
		if slices.Contains(evacuated, dc) {
			continue
		}
		for _, s := range f.byID {
			if s.DataCentre == dc {
				s.returnToService(now, coldTime(s.Service))
			}
		}
	}
}

// UpdateAnnouncement records an announcement that only repeats the server's state.
// It ignores unknown servers and other incarnations.
func (f *Fleet) UpdateAnnouncement(s *inventory.Server) {
	if old := f.byID[s.ID]; old != nil && old.Born == s.Born {
		old.updateAnnouncement(s)
	}
}

// RefreshHeartbeat records that the server with the given hash is alive and
// unchanged, and returns its id, or "" if the server is unknown.
func (f *Fleet) RefreshHeartbeat(hash uint32, now time.Time) string {
	s := f.byHash[hash]
	if s == nil {
		return ""
	}
	s.refreshHeartbeat(now)
	return s.ID
}

// Update replaces the list of servers. The statistics of a server are kept for as
// long as its incarnation, address, service, data centre and version stay the same.
func (f *Fleet) Update(t *inventory.Table, now time.Time) {
	pools := map[string]*pool{}
	byID := map[string]*Server{}
	t.All(func(announced *inventory.Server) {
		s := f.byID[announced.ID]
		if s == nil || s.Born != announced.Born || s.Address != announced.Address || s.Service != announced.Service || s.DataCentre != announced.DataCentre || s.Version != announced.Version {
			restarted := s != nil && s.Born != announced.Born
			if s != nil && (s.Version != announced.Version || s.Service != announced.Service) {
				f.replacedVersions[inventory.ServedVersion{Service: s.Service, Version: s.Version}] = now
			}
			former := s
			if s = newServer(announced, f.noticesOf(announced)); restarted {
				s.markCacheIncomplete(now)
			}
			s.VersionSince = clock.SinceBoot()
			if former != nil {
				s.inheritColdSends(former)
			}
			if former != nil && former.Service == s.Service && former.Version == s.Version {
				s.VersionSince = former.VersionSince
			}
		} else {
			s.updateAnnouncement(announced)
		}
		byID[announced.ID] = s
		p := pools[announced.Service]
		if p == nil {
			p = &pool{draining: map[string]*Server{}}
			pools[announced.Service] = p
		}
		p.addVersion(announced.Version)
		switch announced.State {
		case inventory.Ready:
			p.servers = append(p.servers, s)
		case inventory.Draining:
			p.draining[s.ID] = s
		}
	})
	former := slices.Clone(f.servedVersions)
	for v, at := range f.replacedVersions {
		if now.Sub(at) >= replacedVersionTime {
			delete(f.replacedVersions, v)
			continue
		}
		former = append(former, v)
	}
	for _, v := range former {
		if pools[v.Service] == nil {
			pools[v.Service] = &pool{}
		}
		pools[v.Service].addVersion(v.Version)
	}
	for service, p := range pools {
		slices.SortFunc(p.servers, func(a, b *Server) int { return cmp.Compare(a.ID, b.ID) })
		p.ranking = f.ranking(service)
	}
	f.keepDepartedNotices(byID, now)
	f.byID = byID
	f.servers.Store(&byID)
	f.byHash = make(map[uint32]*Server, len(byID))
	for _, s := range byID {
		f.byHash[uint32(s.hash)] = s
	}
	f.pools.Store(&pools)
}

// SetPlaces replaces the places of all pools. It must be called by the goroutine
// that calls Update.
func (f *Fleet) SetPlaces(places map[string][]assignment.Place, now time.Time) {
	rankings := make(map[string]*ranking, len(places))
	for service, ps := range places {
		rankings[service] = newRanking(ps, f.rankings[service], now)
	}
	f.rankings = rankings
	pools := map[string]*pool{}
	for service, p := range *f.pools.Load() {
		next := *p
		next.ranking = f.ranking(service)
		pools[service] = &next
	}
	f.pools.Store(&pools)
}

func (f *Fleet) ranking(service string) *ranking {
	if r := f.rankings[service]; r != nil {
		return r
	}
	return emptyRanking
}

var emptyRanking = &ranking{}

// SetServedVersions sets the software versions that the directory has recorded. They count from the next call of
// Update.
func (f *Fleet) SetServedVersions(versions []inventory.ServedVersion) { f.servedVersions = versions }

// Versions returns the software versions of a service's servers, the ones that have left
// lately included. The slice must not be modified.
func (f *Fleet) Versions(service string) []string { return f.pool(service).versions }

// Servers returns the ready servers of a service. The slice must not be modified.
func (f *Fleet) Servers(service string) []*Server { return f.pool(service).servers }

func (f *Fleet) pool(service string) *pool {
	if p := (*f.pools.Load())[service]; p != nil {
		return p
	}
	return emptyPool
}

var emptyPool = &pool{ranking: emptyRanking}

// InFlight returns this router's requests in flight, by the low 32 bits of the
// server's hash, and records them as reported.
func (f *Fleet) InFlight() map[uint32]int {
	out := map[uint32]int{}
	for _, p := range *f.pools.Load() {
		p.forEachServer(func(s *Server) {
			if n := s.reportInFlight(); n > 0 {
				out[uint32(s.hash)] = n
			}
		})
	}
	return out
}

// SetLoads sets the requests in flight that all routers have reported, this router
// included. It takes over sum and subtracts this router's own last report from it.
func (f *Fleet) SetLoads(sum map[uint32]int, now time.Time) {
	for _, p := range *f.pools.Load() {
		p.forEachServer(func(s *Server) {
			reported := s.loadsUpdated()
			if n, ok := sum[uint32(s.hash)]; ok {
				sum[uint32(s.hash)] = max(0, n-reported)
			}
		})
	}
	f.peerLoads.Store(&peerLoads{inFlight: sum, receivedAt: now})
}

// Done records the outcome of the attempt and releases its slot in the in-flight
// count.
func (p *PickResult) Done(o Outcome, latency time.Duration, now time.Time) {
	if o == Refused && p.notices.refusals.inForce(now) {
		p.notices.refusals.recordRefusal(p.currentInFlight()-1, p.fleet.Routers(), now)
		o = Neutral // The guard keeps the requests away; others would overload if this server were ejected.
	}
	var poolRate float64
	if o == Failure || o == Refused {
		poolRate = p.fleet.medianFailureRate(p.Service) // It scans all servers.
	}
	p.Server.recordOutcome(o, latency, poolRate, now)
	p.notices.refusals.recordEnd(latency, now)
	switch o {
	case Unreachable:
		p.fleet.reachability.recordUnreachable(p.DataCentre, p.ID, now)
	case Success:
		p.recordRunning(p.pickedAt, now)
		p.notices.refusals.recordSuccess(p.Slots, p.fleet.Routers(), now)
		p.fleet.partIndex.record(p.parts, p.Server)
	}
}

// RecordLoad records the load that the server reported in its response.
func (p *PickResult) RecordLoad(l Load, now time.Time) {
	p.Server.recordLoad(l, now)
	p.notices.refusals.recordLoad(l, p.fleet.Routers())
}

// medianFailureRate returns the median failure rate of a pool. Servers are
// compared with it, so that a fault of the whole pool does not eject each of its
// servers.
func (f *Fleet) medianFailureRate(service string) float64 {
	pool := f.Servers(service)
	if len(pool) == 0 {
		return 0
	}
	rates := make([]float64, 0, len(pool))
	for _, s := range pool {
		s.mu.Lock()
		rates = append(rates, s.failureRate)
		s.mu.Unlock()
	}
	slices.Sort(rates)
	return rates[(len(rates)-1)/2]
}

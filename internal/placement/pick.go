package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/kumquathollow/kumquathollow/internal/catalog"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/routing"
)

// Parameters of the choice of a server.
const (
	// A server takes a key's requests up to a bound on its load: a multiple of the
	// pool's mean plus a slack. Prompts whose shared parts are expensive to
	// compute again stay on their home up to the upper bound; cheap ones spill
	// over at the lower bound, which evens out the load. The upper bound is below
	// the deployment's limit on load skew (2 x mean + 3), because the in-flight
	// counts lag.
	minLoadFactor, maxLoadFactor = 1.3, 1.9
	minLoadSlack, maxLoadSlack   = 1.0, 2.0
	// skewFactor and skewSlack bound a server's load relative to the mean over all
	// servers of its service, evacuated ones included: the limit on load skew
	// (2 x mean + 3) less a margin for the lag of the in-flight counts. The margin grows
	// with the load, as the number of requests does that other routers start meanwhile.
	// The slack is maxSkewSlack up to a mean of 3 and falls to 0 at a mean of 9.
	skewFactor       = 2.0
	maxSkewSlack     = 1.0
	skewSlackAtZero  = 1.5
	skewSlackPerMean = -1.0 / 6
	// loadLagUpdates is how many updates of the loads it takes until they contain what a
	// router has started: its report, the exchange between the directory's processes
	// and the update itself take up to one interval each.
	loadLagUpdates = 3
	// loadStep is the granularity with which loads above the bound are compared.
	loadStep = 4
	// costlyPromptRatio is the ratio of a prompt's shared tokens to their mean
	// from which the upper bound applies in full.
	costlyPromptRatio = 2.0
	// sharedTokensWeight is the weight of the newest prompt in the mean of shared
	// tokens.
	sharedTokensWeight = 0.02
	// heartbeatTimeout is how long a server may be silent before it gets no more
	// requests: four heartbeat intervals of 1.2 s.
	heartbeatTimeout = 5 * time.Second
	// peerLoadMaxAge is the age up to which the in-flight counts of other routers
	// are used.
	peerLoadMaxAge = 2 * time.Second
	// reportedLoadMaxAge is the age up to which a server's report of its own load
	// is used.
	reportedLoadMaxAge = 500 * time.Millisecond
	// defaultLatency is assumed for a server that has not responded yet. It is also
	// the least latency that is assumed for any server.
	defaultLatency = 10 * time.Millisecond
	// noServerRetryAfter is the Retry-After when no server can take a request:
	// about the time until a crashed server is replaced or an ejected one is
	// probed.
	noServerRetryAfter = 500 * time.Millisecond
)

// PickRequest holds the properties of a request that the choice of a server
// depends on.
type PickRequest struct {
	Service *catalog.Service
	// Key is the hash of the prompt prefix; 0 if the request has none.
	Key uint64
	// Parts are the hashes of the prompt's shared parts, the most widely shared
	// first. The last one equals Key.
	Parts []uint64
	// SharedTokens is the number of tokens in the prompt's shared parts.
	SharedTokens int
	// TieBreaker orders equally good servers. It differs from request to request.
	TieBreaker uint64
	// Exclude are the ids of servers that the request was already sent to.
	Exclude []string
	// Version is the software version that the server must have; empty if any will do.
	Version string
	// ExcludedVersions are software versions that the server must not have.
	ExcludedVersions []string
}

// PickResult is the chosen server, on which the request counts as in flight until
// Done. Done must be called exactly once.
type PickResult struct {
	*Server
	fleet *Fleet
	// PoolSize is the number of usable servers that were compared.
	PoolSize int
	// Rank is the server's position in the key's order; 0 is its home.
	Rank int
	// CacheSource is a server that probably has the prompt in its cache when this
	// one probably does not; nil if this one should have it or no such server is
	// known.
	CacheSource *Server
	// Load is the number of requests that all routers have in flight on the
	// server, this request included.
	Load int

	pickedAt time.Time
	parts    []uint64
}

// Pick chooses a server. Its error has kind no-backend, data-centre-out or
// stream-not-resumable and carries the time after which to retry. It is caused by
// ErrUnreachable if only this router's connections stand in the way, and by ErrNoRoom if the
// request can be sent once another one of this router has ended.
func (f *Fleet) Pick(req PickRequest, now time.Time) (*PickResult, error) {
	p := f.pool(req.Service.Name)
	all, mean := f.candidates(p, req, now)
	usable := filterOut(all, func(c *candidate) bool { return c.evacuated || c.excluded || c.declines || c.otherVersion })
	if len(usable) == 0 && req.Version != "" && slices.ContainsFunc(all, func(c candidate) bool { return c.otherVersion }) {
		return nil, errkind.New(errkind.StreamNotResumable, "no server of service %q with version %q can take the request: %d of any version are ready", req.Service.Name, req.Version, len(p.servers)).
			WithRetryAfter(f.RetryAfter(req.Service.Name, req.TieBreaker, noServerRetryAfter, now))
	}
	if len(usable) == 0 && slices.ContainsFunc(all, func(c candidate) bool { return !c.evacuated && c.declines }) {
		return nil, errkind.New(errkind.NoBackend, "no server of service %q wants requests: %d are listed as ready, and those that the request was not sent to are leaving or have named a time", req.Service.Name, len(p.servers)).
			WithRetryAfter(f.RetryAfter(req.Service.Name, req.TieBreaker, noServerRetryAfter, now))
	}
	if len(usable) == 0 && slices.ContainsFunc(all, func(c candidate) bool { return c.evacuated }) {
		return nil, errkind.New(errkind.DataCentreOut, "every data centre with servers of service %q is evacuated", req.Service.Name).WithRetryAfter(noServerRetryAfter)
	}
	if err := f.checkReachable(usable, now); err != nil {
		return nil, err
	}
	usable = f.preferHealthy(usable)
	f.sortByPreference(usable, req, mean)
	noRoom := false
	for i := range usable {
		c := &usable[i]
		if !c.reserve(f, req.Service, now) {
			noRoom = noRoom || c.noRoom
			continue
		}
		result := &PickResult{Server: c.Server, fleet: f, PoolSize: len(usable), Rank: c.rank, Load: c.load + 1, pickedAt: now, parts: req.Parts}
		if req.Key != 0 {
			result.CacheSource = f.cacheSource(p, c, req, all, now)
		}
		return result, nil
	}
	err := errkind.New(errkind.NoBackend, "no server of service %q can take the request: %d are ready, %d of them usable", req.Service.Name, len(p.servers), len(usable))
	if noRoom {
		err = errkind.Wrap(ErrNoRoom, errkind.NoBackend, "no server of service %q has room for the request: %d are ready, %d of them usable", req.Service.Name, len(p.servers), len(usable))
	}
	return nil, err.WithRetryAfter(f.RetryAfter(req.Service.Name, req.TieBreaker, noServerRetryAfter, now))
}

// checkReachable returns an error if all candidates are in data centres that this router
// cannot reach. Requests would wait for one connection after the other that cannot be opened.
func (f *Fleet) checkReachable(cs []candidate, now time.Time) error {
	if len(cs) == 0 || !f.reachability.isPartitioned(cs[0].DataCentre) {
		return nil
	}
	dataCentres := map[string]bool{}
	for i := range cs {
		dataCentres[cs[i].DataCentre] = true
	}
	since, cutOff := f.reachability.cutOffSince(dataCentres)
	if !cutOff {
		return nil
	}
	retryAfter := minCutOffRetryAfter
	if len(dataCentres) >= minCutOffDataCentres {
		retryAfter = max(retryAfter, BalancerDetectionTime-now.Sub(since))
	}
	return errkind.Wrap(ErrUnreachable, errkind.NoBackend, "no server can be reached").WithRetryAfter(retryAfter)
}

// candidates returns all ready servers of a pool, ranked if the request has a key,
// and the mean load of the pool, draining servers and this request included.
func (f *Fleet) candidates(p *pool, req PickRequest, now time.Time) (all []candidate, mean float64) {
	peers := f.peerLoads.Load()
	if now.Sub(peers.receivedAt) > peerLoadMaxAge {
		peers = &peerLoads{}
	}
	total := 0
	for _, s := range p.draining {
		total += s.currentInFlight() + peers.forServer(s)
	}
	evacuated := *f.evacuated.Load()
	all = make([]candidate, 0, len(p.servers))
	for _, s := range p.servers {
		c := s.candidate(now, req)
		c.ejected = c.ejected || f.reachability.isPartitioned(s.DataCentre)
		c.evacuated = slices.Contains(evacuated, s.DataCentre)
		c.excluded = slices.Contains(req.Exclude, s.ID)
		c.otherVersion = req.Version != "" && s.Version != req.Version || slices.Contains(req.ExcludedVersions, s.Version)
		c.load = c.inFlight + peers.forServer(s)
		total += c.load
		if req.Key != 0 {
			c.cost, c.spare = p.ranking.cost(req.Key, s)
		}
		all = append(all, c)
	}
	if req.Key != 0 {
		rank(all)
	}
	return all, float64(total+1) / float64(max(1, len(all)+len(p.draining)))
}

// candidate is a server's state at the time of one choice.
type candidate struct {
	*Server
	inFlight int
	// load is inFlight plus the requests that other routers have in flight.
	load int
	rank int
	// evacuated is set if the server's data centre is evacuated, excluded if the
	// request was already sent to the server.
	evacuated, excluded bool
	// otherVersion is set if the server's software has a version that the request may not go
	// to.
	otherVersion bool
	// declines is set if the server has said that it is leaving, or that it wants no
	// requests from this router yet.
	declines bool
	// spare is set if the server has no place: it takes keys only when others are
	// loaded.
	spare bool
	// noRoom is set if reserve found that this router has as many requests on the server as
	// that bears.
	noRoom bool
	// silent is set if the last heartbeat is older than heartbeatTimeout.
	silent bool
	// ejected is set if the server is ejected or being probed, or if its data centre
	// is partitioned.
	ejected bool
	// probe is set if the request would be the probe after an ejection.
	probe           bool
	expectedLatency time.Duration
	// added is by how much inFlight grew while other routers may not have heard of it.
	added int
	// cost is the server's rendezvous cost for the key, or a tie-breaker if the
	// request has no key.
	cost uint64
	// steps orders the candidates for a key by their load.
	steps int
}

func (s *Server) candidate(now time.Time, req PickRequest) candidate {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := candidate{Server: s, inFlight: s.inFlight, added: s.inFlight - s.atUpdates[loadLagUpdates-1], silent: now.Sub(s.announced.LastSeen) > heartbeatTimeout}
	wait, leaving := s.notices.wait(now)
	c.declines = leaving || wait > 0
	if s.ejectionTime > 0 {
		c.ejected = now.Before(s.ejectedUntil) || s.probing
		c.probe = !c.ejected
	}
	latency := s.idleLatency(now)
	waiting := s.inFlight
	if now.Sub(s.loadReportedAt) < reportedLoadMaxAge {
		waiting = max(waiting, s.reportedLoad.Waiting+max(0, s.reportedLoad.Running-s.reportedLoad.Slots/2))
	}
	c.expectedLatency = latency * time.Duration(1+waiting)
	c.cost = routing.Mix(req.TieBreaker, s.hash)
	return c
}

// preferHealthy drops servers that are silent or ejected, as long as others
// remain; failing that, those that are both; failing that, none.
func (f *Fleet) preferHealthy(cs []candidate) []candidate {
	for _, reject := range []func(*candidate) bool{
		func(c *candidate) bool { return c.silent || c.ejected },
		func(c *candidate) bool { return c.silent && c.ejected },
	} {
		if kept := filterOut(cs, reject); len(kept) > 0 {
			return kept
		}
	}
	return cs
}

func filterOut(cs []candidate, reject func(*candidate) bool) []candidate {
	var kept []candidate
	for i := range cs {
		if !reject(&cs[i]) {
			kept = append(kept, cs[i])
		}
	}
	return kept
}

// rank sorts by the key's rendezvous order, servers with a place before spares.
func rank(cs []candidate) {
	slices.SortFunc(cs, func(x, y candidate) int {
		return cmp.Or(compareBool(x.spare, y.spare), cmp.Compare(x.cost, y.cost))
	})
	for i := range cs {
		cs[i].rank = i
	}
}

// sortByPreference sorts the best candidates first. mean is the mean load of all
// the service's servers, including those that may not take requests: load skew is
// measured against it.
func (f *Fleet) sortByPreference(cs []candidate, req PickRequest, mean float64) {
	if req.Key == 0 {
		slices.SortFunc(cs, func(x, y candidate) int {
			return cmp.Or(cmp.Compare(x.expectedLatency/latencyStep, y.expectedLatency/latencyStep), f.distance(x)-f.distance(y), cmp.Compare(x.cost, y.cost))
		})
		return
	}
	f.recordSharedTokens(req.SharedTokens)
	usableLoad := 0
	for i := range cs {
		usableLoad += cs[i].load
	}
	bound := min(f.loadBound(req, float64(usableLoad+1)/float64(max(1, len(cs)))), skewBound(mean))
	// Below the bound a key goes to its home, or else to the first server in its
	// rendezvous order, spares last, of whose room this router has a share left. Above it,
	// less loaded servers come first, but loads are compared in steps: the in-flight
	// counts lag, so that otherwise all routers would choose the one server that appears
	// to be the least loaded.
	for i := range cs {
		c := &cs[i]
		c.steps = 2 * stepsOverBound(c.load, bound)
		if c.steps == 0 && c.rank > 0 && c.added >= f.roomShare(c.Server, bound-(c.load-c.added), req.Key) {
			c.steps = 1
		}
	}
	slices.SortStableFunc(cs, func(x, y candidate) int { return cmp.Compare(x.steps, y.steps) })
}

// roomShareSalt makes the rounding of shares independent of the rendezvous order.
const roomShareSalt = 0x9E3779B97F4A7C15

// roomShare returns how many requests this router may add to a server until other routers
// hear of them, if all routers together are to fill the room that it had. The fraction is
// rounded up for as large a fraction of the keys, the same ones at all routers, so that
// the shares add up on average and a key finds the same server again.
func (f *Fleet) roomShare(s *Server, room int, key uint64) int {
	share := float64(room) / float64(f.routers.Load())
	draw := routing.Fraction(routing.Mix(key, s.hash^roomShareSalt))
	return int(share + draw)
}

// skewBound returns the load up to which a server takes any request.
func skewBound(mean float64) int {
	return int(skewFactor*mean + max(0, min(maxSkewSlack, skewSlackAtZero+skewSlackPerMean*mean)))
}

// loadBound returns the load up to which a server takes the request.
func (f *Fleet) loadBound(req PickRequest, mean float64) int {
	costliness := 1.0
	if meanTokens := math.Float64frombits(f.meanSharedTokens.Load()); meanTokens > 0 {
		costliness = min(1, float64(req.SharedTokens)/(costlyPromptRatio*meanTokens))
	}
	factor := minLoadFactor + costliness*(maxLoadFactor-minLoadFactor)
	slack := minLoadSlack + costliness*(maxLoadSlack-minLoadSlack)
	return int(math.Ceil(factor*mean + slack))
}

// recordSharedTokens updates the moving average of shared tokens.
func (f *Fleet) recordSharedTokens(tokens int) {
	mean := math.Float64frombits(f.meanSharedTokens.Load())
	if mean == 0 {
		mean = float64(tokens)
	}
	// Losing one of two concurrent updates is harmless to the average.
	f.meanSharedTokens.Store(math.Float64bits(mean + sharedTokensWeight*(float64(tokens)-mean)))
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

// latencyStep is the granularity with which expected latencies are compared. The
// delay between data centres is of this order.
const latencyStep = 5 * time.Millisecond

func stepsOverBound(load, bound int) int { return (max(0, load+1-bound) + loadStep - 1) / loadStep }

func (f *Fleet) distance(c candidate) int {
	if c.DataCentre == f.dataCentre {
		return 0
	}
	return 1
}

// reserve counts the request as in flight on the server, unless the server is cold or has
// named a limit, and this router's quota for it is used up.
func (c *candidate) reserve(f *Fleet, service *catalog.Service, now time.Time) bool {
	s := c.Server
	s.mu.Lock()
	defer s.mu.Unlock()
	if service.ColdRate > 0 && !s.admitCold(f, service, now) {
		return false
	}
	if !s.notices.refusals.admit(s.inFlight, s.Slots, f.Routers(), now) {
		c.noRoom = true
		return false
	}
	if !s.notices.limit.admit(f.Routers(), now) {
		return false
	}
	s.probing = s.probing || c.probe
	s.inFlight++
	return true
}

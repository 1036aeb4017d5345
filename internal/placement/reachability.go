package placement

import (
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// minUnreachableServers is how many servers of a data centre must be
	// unreachable, with no connection opened to any of its servers in between, for the
	// whole data centre to count as partitioned.
	minUnreachableServers = 2
	// unreachableTTL is how long an unreachable server counts towards that number.
	unreachableTTL = 3 * time.Second
	// probeInterval is how often connections to a partitioned data centre are tried.
	probeInterval = 200 * time.Millisecond
	// suspicionInterval is how often at most all data centres are probed because one
	// connection failed or no server responds.
	suspicionInterval = time.Second
	// minCutOffDataCentres is how many data centres must be partitioned, and no other be
	// left, for this router to count as cut off. The servers of one could have crashed.
	minCutOffDataCentres = 2
	// minCutOffRetryAfter is the shortest Retry-After of a router that is cut off.
	minCutOffRetryAfter = 500 * time.Millisecond
)

// ErrUnreachable is the cause of a Pick error if no connection can be opened to any data
// centre with servers that may take the request. Other routers may reach them.
var ErrUnreachable = errors.New("connections to all data centres with usable servers fail")

// BalancerDetectionTime is how long the load balancer may take to send new connections to
// other routers after a router has become unready: two health checks a second apart, and
// one more.
const BalancerDetectionTime = 2500 * time.Millisecond

// reachability tracks to which data centres this router can open connections. Without it a
// partition would be detected server by server, and each detection would cost one request
// its time-out. Responses do not count, since open connections may outlive the ability to
// open new ones.
type reachability struct {
	mu          sync.Mutex
	dataCentres map[string]*dcReachability
	// suspectedAt is when all data centres were last suspected.
	suspectedAt time.Time
}

type dcReachability struct {
	// unreachable holds when each server was last found unreachable, by id.
	unreachable map[string]time.Time
	partitioned bool
	// partitionedAt is when the data centre was found partitioned.
	partitionedAt time.Time
	// suspected is set until the next probe.
	suspected bool
	probedAt  time.Time
}

func (r *reachability) dataCentre(name string) *dcReachability {
	if r.dataCentres == nil {
		r.dataCentres = map[string]*dcReachability{}
	}
	d := r.dataCentres[name]
	if d == nil {
		// One that is not known yet missed earlier suspicions.
		d = &dcReachability{unreachable: map[string]time.Time{}, suspected: !r.suspectedAt.IsZero()}
		r.dataCentres[name] = d
	}
	return d
}

// recordOpened records that a connection to a server of the data centre was opened.
func (r *reachability) recordOpened(dc string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	d := r.dataCentre(dc)
	d.partitioned, d.suspected = false, false
	clear(d.unreachable)
}

// recordUnreachable records that no connection to a server of the data centre could be opened.
func (r *reachability) recordUnreachable(dc, server string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	d := r.dataCentre(dc)
	for id, at := range d.unreachable {
		if now.Sub(at) > unreachableTTL {
			delete(d.unreachable, id)
		}
	}
	d.unreachable[server] = now
	if d.partitioned {
		return
	}
	if len(d.unreachable) >= minUnreachableServers {
		d.partitioned, d.partitionedAt = true, now
	}
	d.suspected = true
	r.suspect(now)
}

// suspect marks all data centres to be probed, unless that happened a short while ago.
func (r *reachability) suspect(now time.Time) {
	if now.Sub(r.suspectedAt) < suspicionInterval {
		return
	}
	r.suspectedAt = now
	for _, d := range r.dataCentres {
		d.suspected = true
	}
}

// probes returns which servers of a data centre are to be probed now: as many as it takes to
// find it partitioned, those first that were not found unreachable.
func (r *reachability) probes(dc string, servers []*Server, now time.Time) []*Server {
	r.mu.Lock()
	defer r.mu.Unlock()
	d := r.dataCentre(dc)
	if !d.suspected && !d.partitioned || now.Sub(d.probedAt) < probeInterval {
		return nil
	}
	d.suspected, d.probedAt = false, now
	ordered := slices.Clone(servers)
	slices.SortStableFunc(ordered, func(a, b *Server) int { return d.unreachable[a.ID].Compare(d.unreachable[b.ID]) })
	return ordered[:min(len(ordered), minUnreachableServers)]
}

// wantsProbes reports whether any data centre is partitioned or may be.
func (r *reachability) wantsProbes() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, d := range r.dataCentres {
		if d.suspected || d.partitioned {
			return true
		}
	}
	return false
}

// isPartitioned reports whether the data centre is partitioned.
func (r *reachability) isPartitioned(dc string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	d := r.dataCentres[dc]
	return d != nil && d.partitioned
}

// cutOffSince returns since when all of the data centres are partitioned, or false if one is
// not.
func (r *reachability) cutOffSince(dataCentres map[string]bool) (time.Time, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var since time.Time
	for dc := range dataCentres {
		d := r.dataCentres[dc]
		if d == nil || !d.partitioned {
			return time.Time{}, false
		}
		if d.partitionedAt.After(since) {
			since = d.partitionedAt
		}
	}
	return since, len(dataCentres) > 0
}

// CutOff reports whether this router fails to reach any server that may take requests,
// in at least two data centres.
func (f *Fleet) CutOff() bool { return f.reachesNone(minCutOffDataCentres) }

// ReachesNoServer reports whether this router fails to reach any server that may take
// requests. If they are all in one data centre, they could have crashed.
func (f *Fleet) ReachesNoServer() bool { return f.reachesNone(1) }

// reachesNone reports whether all data centres with servers that may take requests, at least
// so many, are partitioned.
func (f *Fleet) reachesNone(leastDataCentres int) bool {
	dataCentres, evacuated := map[string]bool{}, *f.evacuated.Load()
	for _, p := range *f.pools.Load() {
		for _, s := range p.servers {
			if !slices.Contains(evacuated, s.DataCentre) {
				dataCentres[s.DataCentre] = true
			}
		}
	}
	_, cutOff := f.reachability.cutOffSince(dataCentres)
	return cutOff && len(dataCentres) >= leastDataCentres
}

// SuspectPartition has all data centres probed, since servers that should respond do not.
func (f *Fleet) SuspectPartition(now time.Time) {
	f.reachability.mu.Lock()
	defer f.reachability.mu.Unlock()
	f.reachability.suspect(now)
}

// Probes returns the servers to which a connection is to be tried now, because their data
// centre is partitioned or may be. RecordProbe must be called with each result.
func (f *Fleet) Probes(now time.Time) []*Server {
	if !f.reachability.wantsProbes() {
		return nil
	}
	byDataCentre := map[string][]*Server{}
	for _, p := range *f.pools.Load() {
		for _, s := range p.servers {
			byDataCentre[s.DataCentre] = append(byDataCentre[s.DataCentre], s)
		}
	}
	var out []*Server
	for dc, servers := range byDataCentre {
		out = append(out, f.reachability.probes(dc, servers, now)...)
	}
	return out
}

// RecordProbe records whether a connection to the server could be opened.
func (f *Fleet) RecordProbe(s *Server, opened bool, now time.Time) {
	if opened {
		f.reachability.recordOpened(s.DataCentre)
		return
	}
	f.reachability.recordUnreachable(s.DataCentre, s.ID, now)
}

// RecordOpened records that a connection to the server was opened for the attempt.
func (p *PickResult) RecordOpened() { p.fleet.reachability.recordOpened(p.DataCentre) }

package placement

import (
	"sync"
	"time"
)

const (
	// minUnreachableServers is how many servers of a data centre must be
	// unreachable, with no response from any of its servers in between, for the
	// whole data centre to count as partitioned.
	minUnreachableServers = 2
	// unreachableTTL is how long an unreachable server counts towards that number.
	unreachableTTL = 3 * time.Second
	// partitionProbeInterval is how long a partitioned data centre gets no
	// requests before a single one probes it.
	partitionProbeInterval = 700 * time.Millisecond
	// cutOffProbeInterval replaces partitionProbeInterval while no other data centre can
	// take the request.
	cutOffProbeInterval = 200 * time.Millisecond
	// minCutOffDataCentres is how many data centres must be partitioned, and no other be
	// left, for this router to count as cut off. The servers of one could have crashed.
	minCutOffDataCentres = 2
	// minCutOffRetryAfter is the shortest Retry-After of a router that is cut off.
	minCutOffRetryAfter = 500 * time.Millisecond
	// cutOffTTL is how long after the last failed connection a router without requests
	// still counts as cut off. Then it takes requests again, which probe.
	cutOffTTL = 2 * time.Second
)

// BalancerDetectionTime is how long the load balancer may take to send new connections to
// other routers after a router has become unready: two health checks a second apart, and
// one more.
const BalancerDetectionTime = 2500 * time.Millisecond

// reachability tracks which data centres this router can reach. Without it a
// partition would be detected server by server, and each detection would cost one
// request its time-out.
type reachability struct {
	mu          sync.Mutex
	dataCentres map[string]*dcReachability
}

type dcReachability struct {
	// unreachable holds when each server was last found unreachable, by id.
	unreachable map[string]time.Time
	partitioned bool
	// probeAt is when a request may next probe the partitioned data centre, and probedAt
	// when one last did.
	probeAt, probedAt time.Time
	// failedAt is when a server was last found unreachable, partitionedAt when the data
	// centre was found partitioned.
	failedAt, partitionedAt time.Time
}

func (r *reachability) dataCentre(name string) *dcReachability {
	if r.dataCentres == nil {
		r.dataCentres = map[string]*dcReachability{}
	}
	d := r.dataCentres[name]
	if d == nil {
		d = &dcReachability{unreachable: map[string]time.Time{}}
		r.dataCentres[name] = d
	}
	return d
}

// recordOutcome records whether a server of the data centre was reached.
func (r *reachability) recordOutcome(dc, server string, o Outcome, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	d := r.dataCentre(dc)
	switch o {
	case Success:
		d.partitioned = false
		clear(d.unreachable)
	case Unreachable:
		for id, at := range d.unreachable {
			if now.Sub(at) > unreachableTTL {
				delete(d.unreachable, id)
			}
		}
		d.unreachable[server], d.failedAt = now, now
		if d.partitioned || len(d.unreachable) >= minUnreachableServers {
			if !d.partitioned {
				d.partitioned, d.partitionedAt = true, now
			}
			d.probeAt = now.Add(partitionProbeInterval)
		}
	}
}

// isPartitioned reports whether the data centre is partitioned and no probe is
// due.
func (r *reachability) isPartitioned(dc string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	d := r.dataCentres[dc]
	return d != nil && d.partitioned && now.Before(d.probeAt)
}

// deferProbe is called when a request is sent to a server of the data centre. If
// the data centre is partitioned, that request is the probe, and others wait for
// its outcome.
func (r *reachability) deferProbe(dc string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if d := r.dataCentres[dc]; d != nil && d.partitioned {
		d.probeAt, d.probedAt = now.Add(partitionProbeInterval), now
	}
}

// isPartitionKnown reports whether the data centre is partitioned, also while a probe is
// due.
func (r *reachability) isPartitionKnown(dc string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	d := r.dataCentres[dc]
	return d != nil && d.partitioned
}

// cutOffState describes a router that reaches none of the data centres that it needs.
type cutOffState struct {
	// since is when it was cut off, and failedAt when a connection last failed.
	since, failedAt time.Time
	// probeDue are the data centres that a request may probe now.
	probeDue map[string]bool
}

// cutOff returns the state of a router all of whose data centres are partitioned, or nil.
func (r *reachability) cutOff(dataCentres map[string]bool, now time.Time) *cutOffState {
	if len(dataCentres) < minCutOffDataCentres {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	state := &cutOffState{probeDue: map[string]bool{}}
	for dc := range dataCentres {
		d := r.dataCentres[dc]
		if d == nil || !d.partitioned {
			return nil
		}
		state.since, state.failedAt = latest(state.since, d.partitionedAt), latest(state.failedAt, d.failedAt)
		if now.Sub(d.probedAt) >= cutOffProbeInterval {
			state.probeDue[dc] = true
		}
	}
	return state
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

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
)

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
	// probeAt is when a request may next probe the partitioned data centre.
	probeAt time.Time
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
		d.unreachable[server] = now
		if d.partitioned || len(d.unreachable) >= minUnreachableServers {
			d.partitioned, d.probeAt = true, now.Add(partitionProbeInterval)
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
		d.probeAt = now.Add(partitionProbeInterval)
	}
}

package replay

import (
	"sort"
	"time"

	"github.com/kumquathollow/kumquathollow/internal/standin"
)

// pool identifies the servers of a service in one data centre.
type pool struct{ service, dataCentre string }

// Skew holds the load imbalance of a pool.
type Skew struct {
	Service    string `json:"service"`
	DataCentre string `json:"dataCentre"`
	Servers    int    `json:"servers"`
	// Mean and Max are over the servers; the load of a server is its average number of
	// runs in flight during the replay.
	Mean float64 `json:"mean"`
	Max  float64 `json:"max"`
	// WorstWindow is the maximum ratio of a server's load to the mean in a window whose
	// mean reached the floor; 0 if there is none.
	WorstWindow float64 `json:"worstWindow"`
	// Windows is the number of windows whose mean reached the floor.
	Windows int `json:"windows"`
}

// loadHistory holds the time integral of runs in flight per server and window, and the
// state changes of each server.
type loadHistory struct {
	start  time.Time
	window time.Duration
	pools  map[pool]map[string][]time.Duration
	states map[string][]standin.Entry
}

// skewTolerance is one run, because a limit on whole numbers of runs cannot be more
// precise.
const skewTolerance = 1.0

func newLoadHistory(entries []standin.Entry, window time.Duration) loadHistory {
	l := loadHistory{window: window, pools: map[pool]map[string][]time.Duration{}, states: map[string][]standin.Entry{}}
	type runID struct {
		incarnation
		run uint64
	}
	begun := map[runID]standin.Entry{}
	for _, e := range entries {
		if e.Event == standin.EventBegin && (l.start.IsZero() || e.Time().Before(l.start)) {
			l.start = e.Time()
		}
	}
	for _, e := range entries {
		id := runID{incarnation{e.Server, e.Incarnation}, e.Run}
		switch e.Event {
		case standin.EventState:
			l.addServer(e)
			l.states[e.Server] = append(l.states[e.Server], e)
		case standin.EventBegin:
			begun[id] = e
		case standin.EventEnd:
			if b, ok := begun[id]; ok {
				l.add(e, b.Time(), e.Time())
			}
		}
	}
	return l
}

func (l loadHistory) addServer(e standin.Entry) pool {
	p := pool{e.Service, e.DataCentre}
	if l.pools[p] == nil {
		l.pools[p] = map[string][]time.Duration{}
	}
	if _, ok := l.pools[p][e.Server]; !ok {
		l.pools[p][e.Server] = nil
	}
	return p
}

// add adds a run to the windows that it overlaps.
func (l loadHistory) add(e standin.Entry, from, to time.Time) {
	p := l.addServer(e)
	busy := l.pools[p][e.Server]
	for from.Before(to) {
		i := int(from.Sub(l.start) / l.window)
		end := l.start.Add(time.Duration(i+1) * l.window)
		if end.After(to) {
			end = to
		}
		for len(busy) <= i {
			busy = append(busy, 0)
		}
		busy[i] += end.Sub(from)
		from = end
	}
	l.pools[p][e.Server] = busy
}

// average returns the average number of runs in flight of a server in a window.
func (l loadHistory) average(busy []time.Duration, i int) float64 {
	if i >= len(busy) {
		return 0
	}
	return float64(busy[i]) / float64(l.window)
}

// readiness returns whether the server was ready during the whole window, and
// whether it had reached its full capacity at the start of the window.
func (l loadHistory) readiness(server string, i int, ramp time.Duration) (ready, warm bool) {
	from := l.start.Add(time.Duration(i) * l.window)
	to := from.Add(l.window)
	var last standin.Entry
	for _, e := range l.states[server] {
		if e.Time().After(to) {
			break
		}
		if e.Time().After(from) {
			return false, false // its state changed within the window
		}
		last = e
	}
	ready = last.State == standin.StateReady
	return ready, ready && from.Sub(last.Time()) >= ramp
}

// members returns the servers whose mean load the bound of a window is computed
// from: those at full capacity, or all ready ones if none is at full capacity.
func (l loadHistory) members(servers map[string][]time.Duration, i int, ramp time.Duration) []string {
	var ready, warm []string
	for name := range servers {
		r, w := l.readiness(name, i, ramp)
		if r {
			ready = append(ready, name)
		}
		if w {
			warm = append(warm, name)
		}
	}
	if len(warm) > 0 {
		return warm
	}
	return ready
}

// skews returns the skew of each pool. It calls over for each server and window over
// the bound.
func (l loadHistory) skews(b Bounds, over func(p pool, window int, server string, load, mean float64)) []Skew {
	var out []Skew
	for p, servers := range l.pools {
		out = append(out, l.skew(p, servers, b, over))
	}
	sort.Slice(out, func(i, j int) bool {
		return out[i].Service+"/"+out[i].DataCentre < out[j].Service+"/"+out[j].DataCentre
	})
	return out
}

func (l loadHistory) skew(p pool, servers map[string][]time.Duration, b Bounds, over func(p pool, window int, server string, load, mean float64)) Skew {
	s := Skew{Service: p.service, DataCentre: p.dataCentre, Servers: len(servers)}
	n := 0
	for _, busy := range servers {
		n = max(n, len(busy))
	}
	for i := range n {
		members := l.members(servers, i, b.ColdRamp)
		mean := 0.0
		for _, name := range members {
			mean += l.average(servers[name], i) / float64(len(members))
		}
		if len(members) == 0 || mean < b.SkewFloor {
			continue
		}
		s.Windows++
		for name, busy := range servers {
			v := l.average(busy, i)
			s.WorstWindow = max(s.WorstWindow, v/mean)
			if v > b.SkewFactor*mean+skewTolerance {
				over(p, i, name, v, mean)
			}
		}
	}
	for _, busy := range servers {
		total := 0.0
		for i := range busy {
			total += l.average(busy, i)
		}
		average := total / float64(max(1, n))
		s.Mean += average / float64(len(servers))
		s.Max = max(s.Max, average)
	}
	return s
}

// checkSkew checks that the load of a server stays within the bound on the multiple
// of its pool's mean.
func checkSkew(o Observation) Promise {
	p := Promise{Name: "no server beyond a set multiple of its pool's mean load"}
	l := newLoadHistory(o.Ledger, o.Bounds.SkewWindow)
	skews := l.skews(o.Bounds, func(pl pool, window int, server string, load, mean float64) {
		p.addViolation("%s had %.1f in flight in window %d, the mean of %s in %s was %.1f", server, load, window, pl.service, pl.dataCentre, mean)
	})
	for _, s := range skews {
		p.Checked += s.Windows * s.Servers
	}
	return p
}

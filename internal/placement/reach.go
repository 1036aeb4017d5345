package placement

import (
	"sync"
	"time"
)

const (
	// cutServers is how many servers of a data centre must be unreachable, with
	// none answering meanwhile, for the whole of it to count as cut off.
	cutServers = 2
	// cutMemory is how long an unreachable server counts for that.
	cutMemory = 3 * time.Second
	// cutPause is how long a data centre that is cut off is left alone before one
	// request tries it again.
	cutPause = 700 * time.Millisecond
)

// reach tells which data centres this router can reach. A cut shows at one server
// after the other, each at the price of a request's patience, unless what is
// learned at one counts for its neighbours.
type reach struct {
	mu  sync.Mutex
	dcs map[string]*dcReach
}

type dcReach struct {
	// unreachable holds when servers could not be reached, by id.
	unreachable map[string]time.Time
	cut         bool
	// tryAt is when one request may try a data centre that is cut off.
	tryAt time.Time
}

func (r *reach) dc(name string) *dcReach {
	if r.dcs == nil {
		r.dcs = map[string]*dcReach{}
	}
	d := r.dcs[name]
	if d == nil {
		d = &dcReach{unreachable: map[string]time.Time{}}
		r.dcs[name] = d
	}
	return d
}

// done takes in whether a server of the data centre was reached.
func (r *reach) done(dc, server string, o Outcome, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	d := r.dc(dc)
	switch o {
	case Good:
		d.cut = false
		clear(d.unreachable)
	case Unreachable:
		for id, at := range d.unreachable {
			if now.Sub(at) > cutMemory {
				delete(d.unreachable, id)
			}
		}
		d.unreachable[server] = now
		if d.cut || len(d.unreachable) >= cutServers {
			d.cut, d.tryAt = true, now.Add(cutPause)
		}
	}
}

// isCut reports whether the data centre is left alone now.
func (r *reach) isCut(dc string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	d := r.dcs[dc]
	return d != nil && d.cut && now.Before(d.tryAt)
}

// trying is told when a request goes to a server of the data centre; others wait
// for what becomes of it.
func (r *reach) trying(dc string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if d := r.dcs[dc]; d != nil && d.cut {
		d.tryAt = now.Add(cutPause)
	}
}

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

// Ask is what a choice depends on.
type Ask struct {
	Service *catalog.Service
	// Key is the hash of the prompt prefix; 0 if the request has none.
	Key uint64
	// Parts are the hashes of the prompt's shared parts, the most shared first; the
	// last one is the key.
	Parts []uint64
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

	parts []uint64
}

// Pick chooses a server. The error has kind no-backend or data-centre-out, with
// the time after which another attempt makes sense.
func (f *Fleet) Pick(a Ask, now time.Time) (*Place, error) {
	p := f.pool(a.Service.Name)
	all, mean := f.candidates(p, a, now)
	usable := without(all, func(c *candidate) bool { return c.out || c.excluded })
	if len(usable) == 0 && slices.ContainsFunc(all, func(c candidate) bool { return c.out }) {
		return nil, errkind.New(errkind.DataCentreOut, "every data centre with servers of %q is taken out", a.Service.Name).WithRetryAfter(noServerRetry)
	}
	usable = f.reachable(usable)
	f.sortByPreference(usable, a, mean)
	for i := range usable {
		c := &usable[i]
		if !c.take(f, a.Service, now) {
			continue
		}
		place := &Place{Server: c.Server, fleet: f, PoolSize: len(usable), Rank: c.rank, Load: c.load + 1, parts: a.Parts}
		if a.Key != 0 {
			place.Source = f.source(p, c, a, all, now)
		}
		return place, nil
	}
	return nil, errkind.New(errkind.NoBackend, "no server of %q can take the request: %d are known, %d usable", a.Service.Name, len(p.servers), len(usable)).WithRetryAfter(noServerRetry)
}

// candidates returns all ready servers of a pool, ranked if the request has a key,
// and the mean load of the pool with the servers that leave.
func (f *Fleet) candidates(p *pool, a Ask, now time.Time) (all []candidate, mean float64) {
	others := f.loads.Load()
	if now.Sub(others.at) > othersAge {
		others = &loads{}
	}
	total := 0
	for _, s := range p.leaving {
		total += s.running() + others.of(s)
	}
	out := *f.out.Load()
	all = make([]candidate, 0, len(p.servers))
	for _, s := range p.servers {
		c := s.candidate(now, a)
		c.avoided = c.avoided || f.reach.isCut(s.DataCentre, now)
		c.out = slices.Contains(out, s.DataCentre)
		c.excluded = slices.Contains(a.Exclude, s.ID)
		c.load = c.inFlight + others.of(s)
		total += c.load
		if a.Key != 0 {
			c.cost, c.spare = p.order.cost(a.Key, s)
		}
		all = append(all, c)
	}
	if a.Key != 0 {
		rank(all)
	}
	return all, float64(total+1) / float64(max(1, len(all)+len(p.leaving)))
}

// candidate is a server's state at the time of one choice.
type candidate struct {
	*Server
	inFlight int
	// load is inFlight and what other routers have.
	load int
	rank int
	// out servers are in a data centre that is taken out; excluded ones had the
	// request before.
	out, excluded bool
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

// sortByPreference sorts so that the best comes first. mean is the load of all the
// service's servers, those included that may take nothing: skew is measured against
// it.
func (f *Fleet) sortByPreference(cs []candidate, a Ask, mean float64) {
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

// source returns a server that probably keeps what the chosen one may lack of the
// prompt. The server that read the key's part last, as far as this router knows,
// comes first; then whoever should keep it; then the one that last read a part
// which other keys share. Servers that are taken out serve as sources: they get
// no request by it.
func (f *Fleet) source(p *pool, c *candidate, a Ask, all []candidate, now time.Time) *Server {
	for _, part := range slices.Backward(a.Parts) {
		s := f.recall.at(part)
		if s == c.Server {
			return nil
		}
		if s != nil && p.answers(s, all) {
			return s
		}
		if s := p.keeper(c, all, now); part == a.Key && s != nil {
			return s
		}
	}
	return nil
}

// answers reports whether the server still runs and is not avoided.
func (p *pool) answers(s *Server, all []candidate) bool {
	if p.leaving[s.ID] == s {
		return true
	}
	return slices.ContainsFunc(all, func(c candidate) bool { return c.Server == s && !c.silent && !c.avoided })
}

// keeper returns the server that keeps the key's prompt by its order, if the
// chosen one may lack it: the key's home, the server whose place the chosen one
// took, or the next in the key's order, which served the key meanwhile.
func (p *pool) keeper(c *candidate, all []candidate, now time.Time) *Server {
	lacks := c.lacks(now)
	if c.rank == 0 {
		previous, ok := p.order.settling(c.Server, now)
		if !ok && !lacks {
			return nil
		}
		if s := p.leaving[previous]; s != nil {
			return s
		}
	}
	var best *candidate
	for i := range all {
		o := &all[i]
		if o.Server == c.Server || o.silent || o.avoided || lacks && o.lacks(now) {
			continue
		}
		if best == nil || o.rank < best.rank {
			best = o
		}
	}
	if best == nil {
		return nil
	}
	return best.Server
}

package routing

import (
	"slices"
	"time"

	"github.com/kumquathollow/kumquathollow/internal/config"
)

const (
	// defaultWeight is a data centre's weight when none is declared.
	defaultWeight = 100
	// defaultReturnRamp is used when a data centre declares none.
	defaultReturnRamp = 60 * time.Second
	// rampSteps is the number of steps of a return, so that routers whose
	// configuration came into force at slightly different times mostly agree.
	rampSteps = 30
	// maxDataCentres bounds the candidates of one decision.
	maxDataCentres = 64
)

// Returns remembers when data centres came back from the state out. A zero
// Returns knows of none. It is not safe for concurrent use; Clone gives an
// immutable copy for readers.
type Returns struct {
	state map[string]config.State
	since map[string]time.Time
}

// Observe notes the states of a set that came into force at now.
func (r *Returns) Observe(set *config.Set, now time.Time) {
	if r.state == nil {
		r.state = map[string]config.State{}
		r.since = map[string]time.Time{}
	}
	for name, dc := range set.DataCentres {
		if r.state[name] == config.Out && dc.State != config.Out {
			r.since[name] = now
		}
		r.state[name] = dc.State
	}
}

// Clone returns a copy that shares nothing with r.
func (r *Returns) Clone() *Returns {
	c := &Returns{state: map[string]config.State{}, since: map[string]time.Time{}}
	for k, v := range r.state {
		c.state[k] = v
	}
	for k, v := range r.since {
		c.since[k] = v
	}
	return c
}

// DataCentres returns the data centres of the region that may serve the
// service, in the chat's order. It is empty when all are out. returns may be nil.
func DataCentres(set *config.Set, region, service string, chat uint64, now time.Time, returns *Returns) []string {
	return AppendDataCentres(nil, set, region, service, chat, now, returns)
}

// AppendDataCentres is DataCentres that appends to dst.
func AppendDataCentres(dst []string, set *config.Set, region, service string, chat uint64, now time.Time, returns *Returns) []string {
	var costs [maxDataCentres]uint64
	first := len(dst)
	for name, dc := range set.DataCentres {
		if len(dst)-first == maxDataCentres {
			break
		}
		if dc.Region != region || dc.State == config.Out || !runsIn(set.Services[service], name) {
			continue
		}
		inverse := InverseWeight(rampedWeight(dc, now, returns))
		if inverse == 0 {
			continue
		}
		cost := Cost(chat, Hash(name), inverse)
		at := insertionPoint(costs[:len(dst)-first], dst[first:], cost, name)
		dst = slices.Insert(dst, first+at, name)
		copy(costs[at+1:len(dst)-first], costs[at:])
		costs[at] = cost
	}
	return dst
}

// insertionPoint keeps the order by cost, then by name.
func insertionPoint(costs []uint64, names []string, cost uint64, name string) int {
	for i, c := range costs {
		if cost < c || (cost == c && name < names[i]) {
			return i
		}
	}
	return len(costs)
}

func runsIn(s *config.Service, dataCentre string) bool {
	if s == nil {
		return false
	}
	return len(s.DataCentres) == 0 || slices.Contains(s.DataCentres, dataCentre)
}

// rampedWeight grows in steps from almost nothing to the declared weight. It
// is never zero for a data centre that is active, so that a lone one serves.
func rampedWeight(dc *config.DataCentre, now time.Time, returns *Returns) int {
	const resolution = 100 // weights are scaled so that a step of a small one counts
	weight := dc.Weight
	if weight <= 0 {
		weight = defaultWeight
	}
	if returns == nil {
		return weight * resolution
	}
	since, ok := returns.since[dc.Name]
	if !ok {
		return weight * resolution
	}
	ramp := dc.ReturnRamp.D()
	if ramp <= 0 {
		ramp = defaultReturnRamp
	}
	elapsed := now.Sub(since)
	if elapsed >= ramp {
		return weight * resolution
	}
	step := int(max(0, elapsed) * rampSteps / ramp)
	return max(1, weight*resolution*step/rampSteps)
}

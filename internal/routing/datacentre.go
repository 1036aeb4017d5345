package routing

import (
	"slices"
	"time"

	"github.com/kumquathollow/kumquathollow/internal/config"
)

const (
	// defaultWeight is the weight of a data centre that declares none.
	defaultWeight = 100
	// defaultReturnRamp is the return ramp of a data centre that declares none.
	defaultReturnRamp = 60 * time.Second
	// rampSteps is the number of steps of the weight ramp after a return. The
	// weight changes in steps so that routers whose configuration came into force
	// at slightly different times mostly compute the same weight.
	rampSteps = 30
	// maxDataCentres is the maximum number of candidates of one decision.
	maxDataCentres = 64
)

// ReturnTimes records when data centres returned from the state out. The zero value
// is empty and ready to use. It is not safe for concurrent use; Clone returns a
// copy that readers can share.
type ReturnTimes struct {
	lastState  map[string]config.State
	returnedAt map[string]time.Time
}

// Observe records the states of a configuration that came into force at now.
func (r *ReturnTimes) Observe(set *config.Set, now time.Time) {
	if r.lastState == nil {
		r.lastState = map[string]config.State{}
		r.returnedAt = map[string]time.Time{}
	}
	for name, dc := range set.DataCentres {
		if r.lastState[name] == config.StateOut && dc.State != config.StateOut {
			r.returnedAt[name] = now
		}
		r.lastState[name] = dc.State
	}
}

// Clone returns a deep copy of r.
func (r *ReturnTimes) Clone() *ReturnTimes {
	c := &ReturnTimes{lastState: map[string]config.State{}, returnedAt: map[string]time.Time{}}
	for k, v := range r.lastState {
		c.lastState[k] = v
	}
	for k, v := range r.returnedAt {
		c.returnedAt[k] = v
	}
	return c
}

// DataCentres returns the data centres of the region that may serve the service,
// in the chat's rendezvous order. The result is empty if all are out of service.
// returns may be nil.
func DataCentres(set *config.Set, region, service string, chat uint64, now time.Time, returns *ReturnTimes) []string {
	return AppendDataCentres(nil, set, region, service, chat, now, returns)
}

// AppendDataCentres is like DataCentres but appends to dst.
func AppendDataCentres(dst []string, set *config.Set, region, service string, chat uint64, now time.Time, returns *ReturnTimes) []string {
	var costs [maxDataCentres]uint64
	base := len(dst)
	for name, dc := range set.DataCentres {
		if len(dst)-base == maxDataCentres {
			break
		}
		if dc.Region != region || dc.State == config.StateOut || !deployedIn(set.Services[service], name) {
			continue
		}
		inverse := InverseWeight(rampedWeight(dc, now, returns))
		if inverse == 0 {
			continue
		}
		cost := Cost(chat, Hash(name), inverse)
		at := insertionPoint(costs[:len(dst)-base], dst[base:], cost, name)
		dst = slices.Insert(dst, base+at, name)
		copy(costs[at+1:len(dst)-base], costs[at:])
		costs[at] = cost
	}
	return dst
}

// insertionPoint returns the index at which the candidate is inserted to keep the
// order by cost, then by name.
func insertionPoint(costs []uint64, names []string, cost uint64, name string) int {
	for i, c := range costs {
		if cost < c || (cost == c && name < names[i]) {
			return i
		}
	}
	return len(costs)
}

func deployedIn(s *config.Service, dataCentre string) bool {
	if s == nil {
		return false
	}
	return len(s.DataCentres) == 0 || slices.Contains(s.DataCentres, dataCentre)
}

// rampedWeight returns the data centre's weight, which after a return grows in
// steps from almost zero to the declared weight. It is never zero for an active
// data centre, so that the only one of a region still serves.
func rampedWeight(dc *config.DataCentre, now time.Time, returns *ReturnTimes) int {
	const resolution = 100 // scales weights so that steps of small weights do not round to zero
	weight := dc.Weight
	if weight <= 0 {
		weight = defaultWeight
	}
	if returns == nil {
		return weight * resolution
	}
	since, ok := returns.returnedAt[dc.Name]
	if !ok {
		return weight * resolution
	}
	ramp := dc.ReturnRamp.AsDuration()
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

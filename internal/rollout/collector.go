package rollout

import (
	"time"

	"github.com/kumquathollow/kumquathollow/api/fleetpb"
)

// maxTallies limits the routers whose tallies of one rollout are kept, those of earlier runs of
// a router included.
const maxTallies = 4096

// Collector holds the tallies of all routers. It is not safe for concurrent use.
type Collector struct {
	services map[string]*collected
}

type collected struct {
	number   uint64
	byRouter map[string]*fleetpb.RolloutTally
}

// NewCollector returns a Collector without tallies.
func NewCollector() *Collector { return &Collector{services: map[string]*collected{}} }

// Record takes over a tally, and reports whether it is news. A tally counts from the order on,
// so that a repeated or overtaken one changes nothing.
func (c *Collector) Record(t *fleetpb.RolloutTally) bool {
	s := c.services[t.Service]
	if s == nil || s.number < t.Number {
		s = &collected{number: t.Number, byRouter: map[string]*fleetpb.RolloutTally{}}
		c.services[t.Service] = s
	}
	old := s.byRouter[t.Router]
	if s.number > t.Number || old == nil && len(s.byRouter) >= maxTallies || old != nil && weight(old) >= weight(t) {
		return false
	}
	s.byRouter[t.Router] = t
	return true
}

// weight grows with each change of a tally.
func weight(t *fleetpb.RolloutTally) (n uint64) {
	for _, o := range t.Outcomes {
		n += uint64(o.Sent) + uint64(o.Completed) + uint64(o.Failed) + uint64(o.Late)
		for _, p := range o.Pace {
			n += uint64(p)
		}
	}
	return n
}

// Forget drops the tallies of services for which keep returns false.
func (c *Collector) Forget(keep func(service string, number uint64) bool) {
	for service, s := range c.services {
		if !keep(service, s.number) {
			delete(c.services, service)
		}
	}
}

// All returns all tallies.
func (c *Collector) All() (out []*fleetpb.RolloutTally) {
	for _, s := range c.services {
		for _, t := range s.byRouter {
			out = append(out, t)
		}
	}
	return out
}

// Counts are outcomes of attempts at one group of versions on one route.
type Counts struct {
	Sent, Completed, Failed, Late int
	Pace                          [paceBuckets]int
	// Bad counts the attempts that failed or were late, by server.
	Bad map[uint32]int
	// servers is the number of servers of the target.
	servers int
}

// Totals are the outcomes of all routers.
type Totals struct {
	// Target and Others are the outcomes at the target and at other versions, by route.
	Target, Others map[uint64]*Counts
	// Longest is the longest time that an attempt took.
	Longest time.Duration
	Routers int
}

// Sent returns the attempts at the target and at all versions.
func (t *Totals) Sent() (target, all int) {
	for _, c := range t.Target {
		target += c.Sent
	}
	all = target
	for _, c := range t.Others {
		all += c.Sent
	}
	return target, all
}

// endedAtTarget returns how many attempts at the target have ended.
func (t *Totals) endedAtTarget() (n int) {
	for _, c := range t.Target {
		n += c.Completed + c.Failed
	}
	return n
}

// Totals adds the tallies of a rollout up, whose target has targetServers servers.
func (c *Collector) Totals(service string, number uint64, targetServers int) *Totals {
	out := &Totals{Target: map[uint64]*Counts{}, Others: map[uint64]*Counts{}}
	s := c.services[service]
	if s == nil || s.number != number {
		return out
	}
	out.Routers = len(s.byRouter)
	for _, t := range s.byRouter {
		out.Longest = max(out.Longest, time.Duration(t.LongestMs)*time.Millisecond)
		for _, o := range t.Outcomes {
			group := out.Others
			if o.Target {
				group = out.Target
			}
			counts := group[o.Route]
			if counts == nil {
				counts = &Counts{Bad: map[uint32]int{}, servers: targetServers}
				group[o.Route] = counts
			}
			counts.add(o)
		}
	}
	return out
}

func (c *Counts) add(o *fleetpb.RolloutOutcomes) {
	c.Sent += int(o.Sent)
	c.Completed += int(o.Completed)
	c.Failed += int(o.Failed)
	c.Late += int(o.Late)
	for i, n := range o.Pace[:min(len(o.Pace), paceBuckets)] {
		c.Pace[i] += int(n)
	}
	for i, server := range o.FailedServers[:min(len(o.FailedServers), len(o.FailedCounts))] {
		c.Bad[server] += int(o.FailedCounts[i])
	}
}

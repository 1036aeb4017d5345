package measure

import "time"

// Scenario describes the load and the faults of a run.
type Scenario struct {
	Name string
	// Surge multiplies the request rate of two workspaces by 20 in the middle third.
	Surge bool
	// Lag is the delay of load reports.
	Lag time.Duration
	// schedule schedules the faults.
	schedule func(s *Sim, length time.Duration)
}

// Timing of the faults.
const (
	normalLag     = 500 * time.Millisecond
	lateLag       = 5 * time.Second
	churnListLag  = 5 * time.Second
	churnInterval = 5 * time.Second
	downTime      = 15 * time.Second
	coldTime      = 10 * time.Second
	coldRamp      = 10 * time.Second
	returnRamp    = 30 * time.Second
)

// Scenarios returns the scenarios in the order of the tables.
func Scenarios() []Scenario {
	return []Scenario{
		{Name: "calm", Lag: normalLag},
		{Name: "churn", Lag: normalLag, schedule: churn},
		{Name: "surge 20x", Lag: normalLag, Surge: true},
		{Name: "data centre out and back", Lag: normalLag, schedule: evacuateAndReturn},
		{Name: "cold without warning", Lag: normalLag, schedule: unannouncedCold},
		{Name: "reports 5 s late", Lag: lateLag},
		{Name: "churn with reports 5 s late", Lag: lateLag, schedule: churn},
	}
}

// churn kills 1 % of the servers, at least one, every churnInterval. They rejoin
// cold after downTime.
func churn(s *Sim, length time.Duration) {
	s.cfg.ListLag = churnListLag
	n := max(1, s.cfg.Engines/100)
	for at := churnInterval; at < length; at += churnInterval {
		s.at(at, func() {
			for range n {
				e := s.engines[s.rng.IntN(len(s.engines))]
				if e.up {
					s.kill(e)
					s.after(downTime, func() { s.rejoin(e) })
				}
			}
		})
	}
}

// evacuateAndReturn evacuates the first data centre for the middle third of the run.
// Its servers return cold, with empty caches.
func evacuateAndReturn(s *Sim, length time.Duration) {
	s.at(length/3, func() {
		s.evacuated[0] = true
		s.metrics.evacuatedAt[0] = s.now
		s.metrics.fleetChanges++
		s.publish()
		s.policy.FleetChanged(s)
	})
	s.at(2*length/3, func() {
		for _, e := range s.engines {
			if e.dc == 0 {
				e.cache.clear()
				s.setCold(e)
			}
		}
		delete(s.evacuated, 0)
		delete(s.metrics.evacuatedAt, 0)
		s.metrics.fleetChanges++
		s.publish()
		s.policy.FleetChanged(s)
	})
}

// unannouncedCold clears the caches of servers and makes them cold, while they are
// still announced as ready.
func unannouncedCold(s *Sim, length time.Duration) {
	n := max(1, s.cfg.Engines/50)
	for at := 2 * churnInterval; at < length; at += 2 * churnInterval {
		s.at(at, func() {
			for range n {
				e := s.engines[s.rng.IntN(len(s.engines))]
				e.cache.clear()
				e.coldUntil = s.now + coldTime
				e.unannouncedCold = true
			}
		})
	}
}

func (s *Sim) at(at time.Duration, run func()) { s.after(at-s.now, run) }

// kill stops the server; all its attempts are lost.
func (s *Sim) kill(e *engine) {
	lost := append(e.running, e.waiting...)
	e.waiting, e.running = nil, nil
	e.up = false
	e.incarnation++
	e.cache.clear()
	s.metrics.inFlight[e.index] = 0
	s.metrics.fleetChanges++
	s.publish()
	for _, a := range lost {
		s.after(localHop, func() { a.done(s.now, 0, false) })
	}
	s.policy.FleetChanged(s)
}

// setCold makes an engine cold and announces it as cold.
func (s *Sim) setCold(e *engine) {
	e.coldUntil = s.now + coldTime
	e.rampEnd = e.coldUntil + coldRamp
	s.after(coldTime+coldRamp, func() { s.metrics.resetPools(s) })
}

func (s *Sim) rejoin(e *engine) {
	e.up = true
	e.unannouncedCold = false
	s.setCold(e)
	s.metrics.fleetChanges++
	s.publish()
	s.policy.FleetChanged(s)
}

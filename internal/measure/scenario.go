package measure

import "time"

// Scenario is what happens to the fleet during a run.
type Scenario struct {
	Name string
	// Surge makes two workspaces ask 20 times as much in the middle third.
	Surge bool
	// Lag of load reports.
	Lag time.Duration
	// play schedules the faults.
	play func(s *Sim, length time.Duration)
}

// Timing of the faults.
const (
	normalLag  = 500 * time.Millisecond
	lateLag    = 5 * time.Second
	churnLists = 5 * time.Second
	churnEvery = 5 * time.Second
	awayTime   = 15 * time.Second
	coldTime   = 10 * time.Second
	coldRamp   = 10 * time.Second
	returnRamp = 30 * time.Second
)

// Scenarios in the order of the tables.
func Scenarios() []Scenario {
	return []Scenario{
		{Name: "calm", Lag: normalLag},
		{Name: "churn", Lag: normalLag, play: churn},
		{Name: "surge 20x", Lag: normalLag, Surge: true},
		{Name: "data centre out and back", Lag: normalLag, play: outAndBack},
		{Name: "cold without warning", Lag: normalLag, play: silentCold},
		{Name: "reports 5 s late", Lag: lateLag},
		{Name: "churn with reports 5 s late", Lag: lateLag, play: churn},
	}
}

// churn takes a server down without notice every few seconds and brings it back cold.
func churn(s *Sim, length time.Duration) {
	s.cfg.ListLag = churnLists
	n := max(1, s.cfg.Engines/100)
	for at := churnEvery; at < length; at += churnEvery {
		s.at(at, func() {
			for range n {
				e := s.engines[s.rng.IntN(len(s.engines))]
				if e.up {
					s.kill(e)
					s.after(awayTime, func() { s.rejoin(e) })
				}
			}
		})
	}
}

// outAndBack takes the first data centre out for the middle third; its servers
// come back cold with empty caches.
func outAndBack(s *Sim, length time.Duration) {
	s.at(length/3, func() {
		s.outDC[0] = true
		s.m.outSince[0] = s.now
		s.m.memberships++
		s.publish()
		s.policy.Changed(s)
	})
	s.at(2*length/3, func() {
		for _, e := range s.engines {
			if e.dc == 0 {
				e.cache.clear()
				s.coolDown(e)
			}
		}
		delete(s.outDC, 0)
		delete(s.m.outSince, 0)
		s.m.memberships++
		s.publish()
		s.policy.Changed(s)
	})
}

// silentCold makes servers lose their caches and turn cold while they go on
// announcing themselves as before.
func silentCold(s *Sim, length time.Duration) {
	n := max(1, s.cfg.Engines/50)
	for at := 2 * churnEvery; at < length; at += 2 * churnEvery {
		s.at(at, func() {
			for range n {
				e := s.engines[s.rng.IntN(len(s.engines))]
				e.cache.clear()
				e.coldUntil = s.now + coldTime
				e.silentCold = true
			}
		})
	}
}

func (s *Sim) at(at time.Duration, run func()) { s.after(at-s.now, run) }

// kill drops the server and all that it runs.
func (s *Sim) kill(e *engine) {
	lost := append(e.running, e.waiting...)
	e.waiting, e.running = nil, nil
	e.up = false
	e.incarnation++
	e.cache.clear()
	s.m.inFlight[e.index] = 0
	s.m.memberships++
	s.publish()
	for _, a := range lost {
		s.after(localHop, func() { a.done(s.now, 0, false) })
	}
	s.policy.Changed(s)
}

// coolDown makes an engine cold, and says so.
func (s *Sim) coolDown(e *engine) {
	e.coldUntil = s.now + coldTime
	e.warmAt = e.coldUntil + coldRamp
	s.after(coldTime+coldRamp, func() { s.m.setPool(s) })
}

func (s *Sim) rejoin(e *engine) {
	e.up = true
	e.silentCold = false
	s.coolDown(e)
	s.m.memberships++
	s.publish()
	s.policy.Changed(s)
}

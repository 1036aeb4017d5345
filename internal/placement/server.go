package placement

import (
	"math"
	"sync"
	"time"

	"github.com/kumquathollow/kumquathollow/internal/clock"
	"github.com/kumquathollow/kumquathollow/internal/inventory"
	"github.com/kumquathollow/kumquathollow/internal/routing"
)

// Server is one incarnation of a backend server and this router's view of it. It
// is safe for concurrent use.
type Server struct {
	ID         string
	Service    string
	Address    string
	DataCentre string
	// Version is the version of the server's software; empty if it is unknown.
	Version string
	// VersionSince is the time, by the boot clock, since which all incarnations that this router has heard of have had
	// the service and the version.
	VersionSince time.Duration
	Slots        int
	Born         int64
	hash         uint64
	notices      *notices

	mu sync.Mutex
	// announced is the newest announcement.
	announced inventory.Server
	// heardAt is when it was last heard of, by the boot clock.
	heardAt time.Duration
	// coldUntil can be later than announced, after the return from an evacuation.
	coldUntil time.Time
	// cacheIncompleteSince is when the server's prompt cache last became
	// incomplete: at its return from an evacuation, during which other servers
	// computed its prompts, or at a restart, which emptied the cache.
	cacheIncompleteSince time.Time
	// endedAt is when this router found that the process had ended; zero if it has not. coldTime is how long
	// what starts then is cold.
	endedAt  time.Time
	coldTime time.Duration
	inFlight int
	// reportedInFlight is inFlight as last reported to other routers.
	reportedInFlight int
	// atUpdates is inFlight at the last updates of the loads, the newest first.
	atUpdates [loadLagUpdates]int
	// coldSends holds the times of the requests sent within the last coldWindow
	// while the server is cold.
	coldSends []time.Time
	// failureRate is an exponentially weighted moving average of failed attempts,
	// from 0 to 1, over outcomeCount outcomes.
	failureRate  float64
	outcomeCount int
	// ejectedUntil is the end of the last ejection. ejectionTime is its length, 0
	// once the server has recovered.
	ejectedUntil time.Time
	ejectionTime time.Duration
	// probing is set from the start of a probe until the next outcome of any attempt
	// at the server.
	probing bool
	// latency is an exponentially weighted moving average of the time to the
	// response or the first event, as of latencyAt.
	latency   time.Duration
	latencyAt time.Time
	// reportedLoad is the load that the server last reported, at loadReportedAt.
	reportedLoad   Load
	loadReportedAt time.Time
}

// Load is the load that a server reports in a response.
type Load struct {
	Running, Waiting, Slots int
}

func newServer(s *inventory.Server, n *notices) *Server {
	out := &Server{
		ID: s.ID, Service: s.Service, Address: s.Address, DataCentre: s.DataCentre, Version: s.Version, Slots: s.Slots, Born: s.Born,
		hash: routing.Hash(s.ID), notices: n,
	}
	out.updateAnnouncement(s)
	return out
}

func (s *Server) updateAnnouncement(announced *inventory.Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.announced = *announced
	s.heardAt = max(s.heardAt, clock.SinceBoot()-time.Since(announced.LastSeen))
	if announced.ColdUntil.After(s.coldUntil) {
		s.coldUntil = announced.ColdUntil
	}
}

func (s *Server) refreshHeartbeat(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.announced.LastSeen = now
	s.heardAt = clock.SinceBoot()
}

// HeardSince reports whether the incarnation has announced itself since a time by the boot clock.
func (s *Server) HeardSince(at time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.heardAt >= at
}

// returnToService is called when the evacuation of the server's data centre ends.
// The server counts as cold for the given time, and its cache lacks the prompts
// that other servers computed in its place during the evacuation.
func (s *Server) returnToService(now time.Time, cold time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cacheIncompleteSince = now
	if until := now.Add(cold); until.After(s.coldUntil) {
		s.coldUntil = until
	}
}

// markCacheIncomplete records that the server's prompt cache is incomplete from
// now on.
func (s *Server) markCacheIncomplete(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cacheIncompleteSince = now
}

// cacheIncomplete reports whether the server's prompt cache became incomplete
// within the last cacheWarmupTime.
func (s *Server) cacheIncomplete(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.cacheIncompleteSince.IsZero() && now.Sub(s.cacheIncompleteSince) < cacheWarmupTime
}

const (
	// ewmaWeight is the weight of the newest outcome in the moving averages, so
	// that about the last five outcomes dominate.
	ewmaWeight = 0.2
	// minOutcomes is how many outcomes a server must have before its failure rate
	// can eject it.
	minOutcomes = 4
	// ejectionThreshold is how far a server's failure rate must exceed the pool's
	// for the server to be ejected.
	ejectionThreshold = 0.35
	// minEjectionTime and maxEjectionTime bound the time for which a server is
	// ejected.
	minEjectionTime = 400 * time.Millisecond
	maxEjectionTime = 3 * time.Second
)

// Outcome is the result of an attempt as far as it reflects on the server.
type Outcome int

// The outcomes of attempts.
const (
	// Neutral outcomes say nothing about the server: the client disconnected, or
	// the request was refused.
	Neutral Outcome = iota
	// Success: the server responded.
	Success
	// Failure: the server failed, broke off its response or was too slow.
	Failure
	// Unreachable: the connection could not be opened, or it was lost.
	Unreachable
	// Refused: the server did not run the request.
	Refused
)

// latencyHalfLife is the time without a response in which the latency that is expected of a
// server halves. Without that, one that was slow once would get no request to show that it has
// recovered, as long as the others are not loaded.
const latencyHalfLife = time.Second

// idleLatency returns the latency that is expected of an idle server.
func (s *Server) idleLatency(now time.Time) time.Duration {
	idle := now.Sub(s.latencyAt).Seconds() / latencyHalfLife.Seconds()
	return max(defaultLatency, time.Duration(float64(s.latency)*math.Exp2(-max(0, idle))))
}

// recordOutcome records the outcome of an attempt that has ended. poolRate is the
// failure rate of the pool; it is used for the outcome Failure only.
func (s *Server) recordOutcome(o Outcome, latency time.Duration, poolRate float64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
	if o == Neutral {
		s.probing = false
		return
	}
	s.outcomeCount++
	value := 0.0
	if o != Success {
		value = 1
	}
	s.failureRate += ewmaWeight * (value - s.failureRate)
	switch {
	case o == Success:
		if s.probing || s.failureRate < ejectionThreshold {
			s.ejectionTime = 0
		}
		if s.latency == 0 {
			s.latency = latency
		}
		s.latency += time.Duration(ewmaWeight * float64(latency-s.latency))
		s.latencyAt = now
	case o == Unreachable, s.probing, s.outcomeCount >= minOutcomes && s.failureRate > poolRate+ejectionThreshold:
		s.ejectionTime = min(maxEjectionTime, max(minEjectionTime, 2*s.ejectionTime))
		s.ejectedUntil = now.Add(s.ejectionTime)
	}
	s.probing = false
}

// recordLoad records the load that the server reported in a response.
func (s *Server) recordLoad(l Load, now time.Time) {
	s.mu.Lock()
	s.reportedLoad, s.loadReportedAt = l, now
	s.mu.Unlock()
}

// reportInFlight returns the requests in flight and records the number as
// reported.
func (s *Server) reportInFlight() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reportedInFlight = s.inFlight
	return s.reportedInFlight
}

// loadsUpdated records that the loads of all routers were updated, and returns the
// requests in flight as last reported.
func (s *Server) loadsUpdated() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	copy(s.atUpdates[1:], s.atUpdates[:])
	s.atUpdates[0] = s.inFlight
	return s.reportedInFlight
}

// currentInFlight returns the number of this router's requests in flight.
func (s *Server) currentInFlight() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inFlight
}

package placement

import (
	"sync"
	"time"

	"github.com/kumquathollow/kumquathollow/internal/inventory"
	"github.com/kumquathollow/kumquathollow/internal/routing"
)

// Server is one incarnation of a backend server with what this router knows of
// it. It is safe for concurrent use.
type Server struct {
	ID         string
	Service    string
	Address    string
	DataCentre string
	Slots      int
	Born       int64
	hash       uint64

	mu sync.Mutex
	// said is the newest announcement.
	said inventory.Server
	// coldUntil may be later than announced, after a return from evacuation.
	coldUntil time.Time
	// lackingSince is when the server last began to lack prompts that others read
	// for it, or that it had before it started again.
	lackingSince time.Time
	inFlight     int
	// told is inFlight as last reported to other routers.
	told int
	// sent holds the times of the last sends while the server is cold.
	sent []time.Time
	// failures is a moving average of failed attempts, 0 to 1, over outcomes.
	failures float64
	outcomes int
	// avoidUntil and penalty keep a failing server out for a while.
	avoidUntil time.Time
	penalty    time.Duration
	probing    bool
	// latency is a moving average of the time to the answer or first event.
	latency time.Duration
	// load is the newest report of the server's own load.
	load   Load
	loadAt time.Time
}

// Load is what a server said of its load in an answer.
type Load struct {
	Running, Waiting, Slots int
}

func newServer(s *inventory.Server) *Server {
	out := &Server{
		ID: s.ID, Service: s.Service, Address: s.Address, DataCentre: s.DataCentre, Slots: s.Slots, Born: s.Born,
		hash: routing.Hash(s.ID),
	}
	out.hear(s)
	return out
}

func (s *Server) hear(said *inventory.Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.said = *said
	if said.ColdUntil.After(s.coldUntil) {
		s.coldUntil = said.ColdUntil
	}
}

func (s *Server) hearAgain(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.said.Heard = now
}

// takeBack is told when the server's data centre is no longer taken out. The
// server counts as cold for the time given, and lacks the prompts that others
// read for it meanwhile.
func (s *Server) takeBack(now time.Time, cold time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lackingSince = now
	if until := now.Add(cold); until.After(s.coldUntil) {
		s.coldUntil = until
	}
}

// lacking notes that the server lacks prompts from now on.
func (s *Server) lacking(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lackingSince = now
}

// lacks reports whether the server began to lack prompts a short time ago.
func (s *Server) lacks(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.lackingSince.IsZero() && now.Sub(s.lackingSince) < settleTime
}

const (
	// failureWeight is the weight of the newest outcome in the moving averages;
	// about the last five outcomes decide.
	failureWeight = 0.2
	// leastOutcomes is how many outcomes a server must have before it is avoided.
	leastOutcomes = 4
	// sickRate is the failure rate over the pool's at which a server is avoided.
	sickRate = 0.35
	// firstPenalty and maxPenalty bound the time for which a server is avoided.
	firstPenalty = 400 * time.Millisecond
	maxPenalty   = 3 * time.Second
)

// Outcome is what an attempt says about its server.
type Outcome int

// The outcomes of attempts.
const (
	// Neutral outcomes say nothing: the client left, or the request was refused.
	Neutral Outcome = iota
	// Good: the server answered.
	Good
	// Bad: the server failed, broke off or was too slow.
	Bad
	// Unreachable: no connection could be opened, or it was lost.
	Unreachable
)

// done takes an attempt's outcome in; poolRate is the failure rate
// of the pool, which only bad outcomes are compared with.
func (s *Server) done(o Outcome, latency time.Duration, poolRate float64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
	if o == Neutral {
		s.probing = false
		return
	}
	s.outcomes++
	value := 0.0
	if o != Good {
		value = 1
	}
	s.failures += failureWeight * (value - s.failures)
	switch {
	case o == Good:
		if s.probing || s.failures < sickRate {
			s.penalty = 0
		}
		if s.latency == 0 {
			s.latency = latency
		}
		s.latency += time.Duration(failureWeight * float64(latency-s.latency))
	case o == Unreachable, s.probing, s.outcomes >= leastOutcomes && s.failures > poolRate+sickRate:
		s.penalty = min(maxPenalty, max(firstPenalty, 2*s.penalty))
		s.avoidUntil = now.Add(s.penalty)
	}
	s.probing = false
}

// reported takes in the load that an answer told.
func (s *Server) reported(l Load, now time.Time) {
	s.mu.Lock()
	s.load, s.loadAt = l, now
	s.mu.Unlock()
}

// reportInFlight returns the requests in flight, and remembers that they were told.
func (s *Server) reportInFlight() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.told = s.inFlight
	return s.told
}

func (s *Server) lastReport() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.told
}

// running returns this router's requests in flight.
func (s *Server) running() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inFlight
}

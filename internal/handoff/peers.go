package handoff

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/kumquathollow/kumquathollow/internal/routing"
)

const (
	// minEjection and maxEjection limit for how long a router gets no requests after it
	// could not be reached or refused one for itself. The time doubles with each failure in
	// a row.
	minEjection = 500 * time.Millisecond
	maxEjection = 4 * time.Second
)

// Peers chooses the router to hand a request off to. It is safe for concurrent use.
type Peers struct {
	mu     sync.Mutex
	states map[string]*peerState
}

// peerState is what this router knows of another one.
type peerState struct {
	inFlight int
	// ejection is the length of the last ejection; 0 if the last request did not fail. After
	// it, a single request at a time finds out whether the router is usable again.
	ejection     time.Duration
	ejectedUntil time.Time
}

func (s *peerState) usable(now time.Time) bool {
	return s.ejection == 0 || s.inFlight == 0 && !now.Before(s.ejectedUntil)
}

// NewPeers returns a Peers that knows nothing of any router.
func NewPeers() *Peers { return &Peers{states: map[string]*peerState{}} }

// Choose returns the usable candidate with the fewest requests of this router in flight, or
// "" if there is none. One whose last request failed comes last. Among equals, the order
// depends on the request. The request counts as in flight until Done.
func (p *Peers) Choose(candidates, excluded []string, request uint64, now time.Time) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.forget(candidates)
	var best *peerState
	chosen, bestDraw := "", 0.0
	for _, address := range candidates {
		s := p.state(address)
		if slices.Contains(excluded, address) || !s.usable(now) {
			continue
		}
		draw := routing.Fraction(routing.Mix(request, routing.Hash(address)))
		if best == nil || cmp.Or(cmp.Compare(s.ejection, best.ejection), cmp.Compare(s.inFlight, best.inFlight), cmp.Compare(draw, bestDraw)) < 0 {
			best, chosen, bestDraw = s, address, draw
		}
	}
	if best != nil {
		best.inFlight++
	}
	return chosen
}

// ChooseAgain reports whether a request may be handed off once more to a router to which no connection could be opened in
// time: it is still a candidate, and other requests of this router are in flight there, so that it may only be busy. The
// request counts as in flight until Done then.
func (p *Peers) ChooseAgain(address string, candidates []string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.states[address]
	if s == nil || s.inFlight == 0 || !slices.Contains(candidates, address) {
		return false
	}
	s.inFlight++
	return true
}

// Available reports whether a candidate is usable.
func (p *Peers) Available(candidates []string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(candidates, func(address string) bool {
		s := p.states[address]
		return s == nil || s.usable(now)
	})
}

// Done records the end of a request. failed is set if the router could not be reached, broke
// off, or takes no requests of others.
func (p *Peers) Done(address string, failed bool, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.state(address)
	s.inFlight--
	if !failed {
		s.ejection = 0
		return
	}
	s.ejection = min(maxEjection, max(minEjection, 2*s.ejection))
	s.ejectedUntil = now.Add(s.ejection)
}

func (p *Peers) state(address string) *peerState {
	s := p.states[address]
	if s == nil {
		s = &peerState{}
		p.states[address] = s
	}
	return s
}

// forget drops the routers that are no longer candidates.
func (p *Peers) forget(candidates []string) {
	for address, s := range p.states {
		if s.inFlight == 0 && !slices.Contains(candidates, address) {
			delete(p.states, address)
		}
	}
}

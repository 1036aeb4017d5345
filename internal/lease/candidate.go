package lease

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Options are the durations that govern a lease.
type Options struct {
	// Duration is how long a granted vote is bound to its candidate.
	Duration time.Duration
	// DriftMargin is how much earlier than its votes the lease expires at the
	// candidate, to allow for clock drift.
	DriftMargin time.Duration
	// RenewInterval is the time between the rounds of a holder, and the minimum time
	// between the rounds of a candidate.
	RenewInterval time.Duration
}

// DefaultOptions returns the durations used in production.
func DefaultOptions() Options {
	return Options{Duration: 2 * time.Second, DriftMargin: 100 * time.Millisecond, RenewInterval: 400 * time.Millisecond}
}

// OutgoingRequest is a request to be sent to one voter. The caller passes Round to
// HandleResponse together with the response.
type OutgoingRequest struct {
	Voter   string
	Round   uint64
	Request Request
}

// Candidate acquires and renews the lease for one process.
type Candidate struct {
	options     Options
	name        string
	incarnation string
	address     string
	rand        *rand.Rand

	voters         []string
	previousVoters []string
	// jointUntil is the time until which a majority of the previous voter set is
	// needed as well.
	jointUntil Instant

	term        uint64
	highestTerm uint64
	holding     bool
	round       uint64
	nextRound   Instant
	sentAt      map[uint64]Instant
	// grantSentAt maps each voter to the time at which the latest request that it
	// granted in this term was sent.
	grantSentAt map[string]Instant
	// holder is the process believed to hold the lease until holderUntil.
	holder        string
	holderAddress string
	holderUntil   Instant
}

// NewCandidate returns a candidate; r is the source of its random backoff.
func NewCandidate(o Options, name, incarnation, address string, r *rand.Rand) *Candidate {
	return &Candidate{
		options: o, name: name, incarnation: incarnation, address: address, rand: r,
		sentAt: map[uint64]Instant{}, grantSentAt: map[string]Instant{},
	}
}

// SetVoters activates a declared voter set. A majority of the previous set is needed
// as well until all votes granted under it must have expired.
func (c *Candidate) SetVoters(now Instant, voters []string) {
	if slices.Equal(c.voters, voters) {
		return
	}
	if len(c.voters) > 0 {
		c.previousVoters = c.voters
		c.jointUntil = now + 2*c.options.Duration
	}
	c.voters = slices.Clone(voters)
}

// Tick returns the requests to send now. A new term is at least minTerm, which may be
// the wall clock in milliseconds, so that terms also grow when every voter has
// restarted; safety does not depend on it.
func (c *Candidate) Tick(now Instant, minTerm uint64) []OutgoingRequest {
	c.expire(now)
	holds := c.Holds(now)
	if now < c.nextRound || len(c.voters) == 0 || (!holds && c.heldByOther(now)) {
		return nil
	}
	if !holds {
		c.term = max(c.highestTerm+1, minTerm)
		c.highestTerm = c.term
		clear(c.grantSentAt)
		clear(c.sentAt)
	}
	return c.startRound(now, holds)
}

// expire drops all votes once the lease held has expired. Late responses cannot revive
// it: the next attempt to acquire the lease has a new term.
func (c *Candidate) expire(now Instant) {
	if !c.holding || c.Holds(now) {
		return
	}
	c.holding = false
	clear(c.grantSentAt)
	clear(c.sentAt)
	c.nextRound = now + c.backoff()
}

func (c *Candidate) startRound(now Instant, holds bool) []OutgoingRequest {
	c.round++
	c.sentAt[c.round] = now
	for round, at := range c.sentAt {
		if now-at > c.options.Duration {
			delete(c.sentAt, round)
		}
	}
	c.nextRound = now + c.options.RenewInterval
	if !holds {
		c.nextRound += c.backoff()
	}
	request := Request{Candidate: c.name, Incarnation: c.incarnation, Address: c.address, Term: c.term, Duration: c.options.Duration}
	var requests []OutgoingRequest
	for _, v := range c.allVoters(now) {
		requests = append(requests, OutgoingRequest{Voter: v, Round: c.round, Request: request})
	}
	return requests
}

// HandleResponse processes a voter's response to the request of the given round.
func (c *Candidate) HandleResponse(now Instant, voter string, round uint64, r Response) {
	c.expire(now)
	c.highestTerm = max(c.highestTerm, r.Term)
	sent, known := c.sentAt[round]
	if r.Granted && known && r.Term == c.term {
		c.grantSentAt[voter] = max(c.grantSentAt[voter], sent)
	}
	if c.Holds(now) {
		c.holding = true
		c.holder, c.holderAddress = c.name, c.address
		return
	}
	if !r.Granted && r.Holder != "" && r.Holder != c.name {
		c.holder, c.holderAddress = r.Holder, r.HolderAddress
		c.holderUntil = now + r.Remaining
		// Candidates that were refused each other's votes would otherwise ask again together.
		c.nextRound = max(c.nextRound, c.holderUntil+c.refusalBackoff())
	}
}

// Expiry returns when the lease expires at this process unless it is renewed. The time
// is not in the future if this process does not hold the lease.
func (c *Candidate) Expiry(now Instant) Instant {
	until := c.majorityExpiry(c.voters)
	if now < c.jointUntil {
		until = min(until, c.majorityExpiry(c.previousVoters))
	}
	return until
}

// Holds reports whether this process holds the lease at now.
func (c *Candidate) Holds(now Instant) bool { return now < c.Expiry(now) }

// Term returns the term of the lease held, or of the latest attempt to acquire it.
func (c *Candidate) Term() uint64 { return c.term }

// Holder returns the name and address of the process believed to hold the lease.
func (c *Candidate) Holder() (name, address string) { return c.holder, c.holderAddress }

// Abandon drops all votes, so that this process no longer holds the lease. The voters
// are not notified; the votes stay bound until they expire.
func (c *Candidate) Abandon(now Instant) {
	clear(c.grantSentAt)
	clear(c.sentAt)
	c.holding = false
	c.nextRound = now + c.backoff()
}

// Release gives up the lease, and returns its term and the voters to notify. The caller
// must already have stopped acting as the holder.
func (c *Candidate) Release(now Instant) (term uint64, voters []string) {
	clear(c.grantSentAt)
	clear(c.sentAt)
	c.holding = false
	c.nextRound = now + c.options.Duration
	return c.term, c.allVoters(now)
}

// majorityExpiry returns the time until which a majority of the voters is bound to c,
// less DriftMargin, or 0 if there is no such majority.
func (c *Candidate) majorityExpiry(voters []string) Instant {
	if len(voters) == 0 {
		return 0
	}
	expiries := make([]Instant, 0, len(voters))
	for _, v := range voters {
		if sent, ok := c.grantSentAt[v]; ok {
			expiries = append(expiries, sent+c.options.Duration-c.options.DriftMargin)
		}
	}
	majority := len(voters)/2 + 1
	if len(expiries) < majority {
		return 0
	}
	slices.Sort(expiries)
	return expiries[len(expiries)-majority]
}

func (c *Candidate) allVoters(now Instant) []string {
	all := slices.Clone(c.voters)
	if now < c.jointUntil {
		for _, v := range c.previousVoters {
			if !slices.Contains(all, v) {
				all = append(all, v)
			}
		}
	}
	return all
}

// heldByOther reports whether a voter has named another holder and its vote is still
// bound to that holder, so that a request would be refused.
func (c *Candidate) heldByOther(now Instant) bool {
	return c.holder != c.name && now < c.holderUntil
}

func (c *Candidate) backoff() time.Duration {
	return time.Duration(c.rand.Int64N(int64(c.options.RenewInterval)))
}

// refusalBackoff spreads the attempts of several candidates after a vote has expired. It is
// long against the time in which a vote reaches the others.
func (c *Candidate) refusalBackoff() time.Duration {
	return time.Duration(c.rand.Int64N(int64(c.options.Duration) / 2))
}

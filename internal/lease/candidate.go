package lease

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Options are the times of a lease.
type Options struct {
	// Lease is the time that a vote is bound.
	Lease time.Duration
	// DriftMargin is taken off the lease at the candidate.
	DriftMargin time.Duration
	// Renew is the time between rounds of a holder, and the least time between
	// the rounds of a candidate.
	Renew time.Duration
}

// DefaultOptions are the times that processes use.
func DefaultOptions() Options {
	return Options{Lease: 2 * time.Second, DriftMargin: 100 * time.Millisecond, Renew: 400 * time.Millisecond}
}

// Send is one request to a voter. Round comes back with the answer.
type Send struct {
	Voter   string
	Round   uint64
	Request Request
}

// Candidate tries to get and keep the lease.
type Candidate struct {
	options     Options
	name        string
	incarnation string
	address     string
	rand        *rand.Rand

	voters   []string
	previous []string
	// joint is until when the previous set's majority is needed as well.
	joint Instant

	term      uint64
	highest   uint64
	holding   bool
	round     uint64
	nextRound Instant
	sentAt    map[uint64]Instant
	// granted is, by voter, when the request was sent that the voter granted last in this term.
	granted map[string]Instant
	// holder is the process believed to hold the lease, until holderUntil.
	holder        string
	holderAddress string
	holderUntil   Instant
}

// NewCandidate returns a candidate; r drives the delay after a lost round.
func NewCandidate(o Options, name, incarnation, address string, r *rand.Rand) *Candidate {
	return &Candidate{
		options: o, name: name, incarnation: incarnation, address: address, rand: r,
		sentAt: map[uint64]Instant{}, granted: map[string]Instant{},
	}
}

// SetVoters puts a declared voter set in force. Until votes under the earlier
// set must have run out, a majority of that set is needed as well.
func (c *Candidate) SetVoters(now Instant, voters []string) {
	if slices.Equal(c.voters, voters) {
		return
	}
	if len(c.voters) > 0 {
		c.previous = c.voters
		c.joint = now + 2*c.options.Lease
	}
	c.voters = slices.Clone(voters)
}

// Tick returns the requests to send now. resumeFrom is a hint for new terms,
// such as the wall clock in milliseconds, so that terms grow across restarts of
// every voter; safety does not depend on it.
func (c *Candidate) Tick(now Instant, resumeFrom uint64) []Send {
	c.lapse(now)
	holds := c.Holds(now)
	if now < c.nextRound || len(c.voters) == 0 || (!holds && c.othersHold(now)) {
		return nil
	}
	if !holds {
		c.term = max(c.highest+1, resumeFrom)
		c.highest = c.term
		clear(c.granted)
		clear(c.sentAt)
	}
	return c.startRound(now, holds)
}

// lapse notes that the lease has ended. Late answers don't bring it back: the
// next tenure has another term.
func (c *Candidate) lapse(now Instant) {
	if !c.holding || c.Holds(now) {
		return
	}
	c.holding = false
	clear(c.granted)
	clear(c.sentAt)
	c.nextRound = now + c.backoff()
}

func (c *Candidate) startRound(now Instant, holds bool) []Send {
	c.round++
	c.sentAt[c.round] = now
	for round, at := range c.sentAt {
		if now-at > c.options.Lease {
			delete(c.sentAt, round)
		}
	}
	c.nextRound = now + c.options.Renew
	if !holds {
		c.nextRound += c.backoff()
	}
	request := Request{Candidate: c.name, Incarnation: c.incarnation, Address: c.address, Term: c.term, Lease: c.options.Lease}
	var sends []Send
	for _, v := range c.allVoters(now) {
		sends = append(sends, Send{Voter: v, Round: c.round, Request: request})
	}
	return sends
}

// Answer takes a voter's response to the round's request.
func (c *Candidate) Answer(now Instant, voter string, round uint64, r Response) {
	c.lapse(now)
	c.highest = max(c.highest, r.Term)
	sent, known := c.sentAt[round]
	if r.Granted && known && r.Term == c.term {
		c.granted[voter] = max(c.granted[voter], sent)
	}
	if c.Holds(now) {
		c.holding = true
		c.holder, c.holderAddress = c.name, c.address
		return
	}
	if !r.Granted && r.Holder != "" && r.Holder != c.name {
		c.holder, c.holderAddress = r.Holder, r.Address
		c.holderUntil = now + r.Remaining
	}
}

// Until returns when the lease ends at this process unless it is renewed; it
// is in the past for a process that does not hold it.
func (c *Candidate) Until(now Instant) Instant {
	until := c.majorityUntil(c.voters)
	if now < c.joint {
		until = min(until, c.majorityUntil(c.previous))
	}
	return until
}

// Holds reports whether this process holds the lease at now.
func (c *Candidate) Holds(now Instant) bool { return now < c.Until(now) }

// Term returns the term of the lease held, or of the latest attempt.
func (c *Candidate) Term() uint64 { return c.term }

// Holder returns the process believed to hold the lease, and its address.
func (c *Candidate) Holder() (name, address string) { return c.holder, c.holderAddress }

// Abandon forgets all votes, so that the lease is not held any more. The votes
// run out at the voters, which are not told.
func (c *Candidate) Abandon(now Instant) {
	clear(c.granted)
	clear(c.sentAt)
	c.holding = false
	c.nextRound = now + c.backoff()
}

// Release gives the lease up and returns the voters to tell. The caller must
// have stopped granting.
func (c *Candidate) Release(now Instant) (term uint64, voters []string) {
	clear(c.granted)
	clear(c.sentAt)
	c.holding = false
	c.nextRound = now + c.options.Lease
	return c.term, c.allVoters(now)
}

// majorityUntil returns until when a majority of the voters is bound to c.
func (c *Candidate) majorityUntil(voters []string) Instant {
	if len(voters) == 0 {
		return 0
	}
	ends := make([]Instant, 0, len(voters))
	for _, v := range voters {
		if sent, ok := c.granted[v]; ok {
			ends = append(ends, sent+c.options.Lease-c.options.DriftMargin)
		}
	}
	majority := len(voters)/2 + 1
	if len(ends) < majority {
		return 0
	}
	slices.Sort(ends)
	return ends[len(ends)-majority]
}

func (c *Candidate) allVoters(now Instant) []string {
	all := slices.Clone(c.voters)
	if now < c.joint {
		for _, v := range c.previous {
			if !slices.Contains(all, v) {
				all = append(all, v)
			}
		}
	}
	return all
}

// othersHold reports whether a voter has named another holder whose vote is
// still bound, so that asking would only lose.
func (c *Candidate) othersHold(now Instant) bool {
	return c.holder != c.name && now < c.holderUntil
}

func (c *Candidate) backoff() time.Duration {
	return time.Duration(c.rand.Int64N(int64(c.options.Renew)))
}

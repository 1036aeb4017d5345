package lease

import "time"

// Instant is a moment on the process's monotonic clock.
type Instant = time.Duration

// Request asks a voter for its vote, or renews it.
type Request struct {
	Candidate   string
	Incarnation string
	Address     string
	Term        uint64
	Lease       time.Duration
}

// Response is a voter's answer.
type Response struct {
	Granted bool
	// Holder and Address name the candidate that the vote is bound to, if any.
	Holder  string
	Address string
	// Term is the highest term that the voter has granted.
	Term uint64
	// Remaining is the time until the vote is free again.
	Remaining time.Duration
}

// Voter is one vote on one data centre's lease.
type Voter struct {
	maxLease    time.Duration
	quietUntil  Instant
	candidate   string
	incarnation string
	address     string
	term        uint64
	expires     Instant
}

// NewVoter returns a voter that started at now and knows nothing of the votes
// of an earlier incarnation.
func NewVoter(now Instant, maxLease time.Duration) *Voter {
	return &Voter{maxLease: maxLease, quietUntil: now + maxLease}
}

// Vote answers a request that arrived at now.
func (v *Voter) Vote(now Instant, r Request) Response {
	if now < v.quietUntil {
		return Response{Term: v.term, Remaining: v.quietUntil - now}
	}
	bound := now < v.expires
	same := v.candidate == r.Candidate && v.incarnation == r.Incarnation
	fresh := r.Term > v.term || (same && r.Term == v.term)
	if r.Lease > v.maxLease || !fresh || (bound && !same) {
		return v.response(now, false)
	}
	v.candidate, v.incarnation, v.address = r.Candidate, r.Incarnation, r.Address
	v.term = r.Term
	v.expires = max(v.expires, now+r.Lease)
	return v.response(now, true)
}

// Release frees the vote if it is bound to that candidate and term.
func (v *Voter) Release(now Instant, candidate, incarnation string, term uint64) {
	if v.candidate == candidate && v.incarnation == incarnation && v.term == term {
		v.expires = min(v.expires, now)
	}
}

// Holder returns the candidate that the vote is bound to, if any.
func (v *Voter) Holder(now Instant) (name, address string) {
	if now >= v.expires {
		return "", ""
	}
	return v.candidate, v.address
}

func (v *Voter) response(now Instant, granted bool) Response {
	r := Response{Granted: granted, Term: v.term, Remaining: max(0, v.expires-now)}
	r.Holder, r.Address = v.Holder(now)
	return r
}

package lease

import "time"

// Instant is a time on the process's monotonic clock.
type Instant = time.Duration

// Request asks a voter for its vote, or renews it.
type Request struct {
	Candidate   string
	Incarnation string
	Address     string
	Term        uint64
	Duration    time.Duration
}

// Response is a voter's response to a Request.
type Response struct {
	Granted bool
	// Holder and HolderAddress identify the candidate that the vote is bound to, if any.
	Holder        string
	HolderAddress string
	// Term is the highest term that the voter has granted.
	Term uint64
	// Remaining is the time until the vote may be granted to another candidate.
	Remaining time.Duration
}

// Voter holds one process's vote on the lease of one data centre.
type Voter struct {
	maxLease    time.Duration
	noVoteUntil Instant
	candidate   string
	incarnation string
	address     string
	term        uint64
	expires     Instant
}

// NewVoter returns a voter that started at now. It does not know the votes that an
// earlier incarnation granted, so it grants none until maxLease has passed.
func NewVoter(now Instant, maxLease time.Duration) *Voter {
	return &Voter{maxLease: maxLease, noVoteUntil: now + maxLease}
}

// Vote processes a request that arrived at now and returns the response.
func (v *Voter) Vote(now Instant, r Request) Response {
	if now < v.noVoteUntil {
		return Response{Term: v.term, Remaining: v.noVoteUntil - now}
	}
	bound := now < v.expires
	sameCandidate := v.candidate == r.Candidate && v.incarnation == r.Incarnation
	termAllowed := r.Term > v.term || (sameCandidate && r.Term == v.term)
	if r.Duration > v.maxLease || !termAllowed || (bound && !sameCandidate) {
		return v.response(now, false)
	}
	v.candidate, v.incarnation, v.address = r.Candidate, r.Incarnation, r.Address
	v.term = r.Term
	v.expires = max(v.expires, now+r.Duration)
	return v.response(now, true)
}

// Release frees the vote at once if it is bound to that candidate, incarnation and term.
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
	r.Holder, r.HolderAddress = v.Holder(now)
	return r
}

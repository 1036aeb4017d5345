package fleetview

import (
	"cmp"
	"slices"
	"time"

	"github.com/kumquathollow/kumquathollow/internal/routing"
)

const (
	// sessionCount is the number of directory processes that a router follows, so that
	// it stays confirmed while one of them fails.
	sessionCount = 2
	// maxLinks limits the links of a router, those that are being opened included: one
	// more than it follows, as the replacement of one that fails.
	maxLinks = sessionCount + 1
	// slowOpenTime is how long opening a session may take before another process is
	// tried as well.
	slowOpenTime = 300 * time.Millisecond
	// outOfQuorumTolerance is how long a process may be out of quorum before another
	// one is tried as well. It covers the leader elections of processes that all start
	// together.
	outOfQuorumTolerance = 2 * time.Second
	// minRedialDelay and maxRedialDelay limit the delay before a process is tried again.
	// The delay doubles with each failure and is spread by half of it either way, so
	// that routers that lose their sessions together do not return together.
	minRedialDelay = 80 * time.Millisecond
	maxRedialDelay = 2 * time.Second
)

// member is a directory process as the directory lists it. dataCentre is empty if it
// is not known yet.
type member struct {
	address, dataCentre string
}

// linkState is what the selector needs to know of a link. Times are by the boot clock.
type linkState struct {
	address   string
	connected bool
	openedAt  time.Duration
	// outOfQuorumSince is when the process was first heard to be out of quorum; 0 if it
	// is in quorum.
	outOfQuorumSince time.Duration
}

// selector chooses the directory processes that a router follows: one of its own data
// centre and another one, both by rendezvous hash, so that routers spread evenly over
// the processes and return to the same ones. It is not safe for concurrent use.
type selector struct {
	router     uint64
	dataCentre string
	failures   map[string]failure
}

// failure records the failed sessions with a process since the last lasting one.
type failure struct {
	count   int
	retryAt time.Duration
}

func newSelector(router, dataCentre string) *selector {
	return &selector{router: routing.Hash(router), dataCentre: dataCentre, failures: map[string]failure{}}
}

// preference returns the addresses of the processes, the most preferred first. Seeds
// that are not members come last: they matter only if no member answers.
func (s *selector) preference(members []member, seeds []string) []string {
	ordered := slices.Clone(members)
	slices.SortFunc(ordered, func(a, b member) int { return s.compare(a.address, b.address) })
	if i := slices.IndexFunc(ordered, func(m member) bool { return m.dataCentre == s.dataCentre }); i > 0 {
		nearest := ordered[i]
		ordered = slices.Insert(slices.Delete(ordered, i, i+1), 0, nearest)
	}
	out := make([]string, 0, len(ordered)+len(seeds))
	for _, m := range ordered {
		out = append(out, m.address)
	}
	rest := slices.DeleteFunc(slices.Clone(seeds), func(a string) bool { return slices.Contains(out, a) })
	slices.SortFunc(rest, s.compare)
	return append(out, rest...)
}

// compare compares two addresses by this router's rendezvous order.
func (s *selector) compare(a, b string) int {
	return cmp.Compare(routing.Mix(s.router, routing.Hash(a)), routing.Mix(s.router, routing.Hash(b)))
}

// recordEnd records the end of a session. lasting is true if the session was in use for
// a while, so that its process is worth trying again soon.
func (s *selector) recordEnd(address string, lasting bool, now time.Duration) {
	f := s.failures[address]
	if lasting {
		f.count = 0
	}
	f.count++
	delay := min(maxRedialDelay, minRedialDelay<<min(f.count-1, 10))
	spread := routing.Fraction(routing.Mix(s.router^routing.Hash(address), uint64(now)))
	f.retryAt = now + time.Duration((0.5+spread)*float64(delay))
	s.failures[address] = f
}

// choose returns which sessions to open and which to close so that want processes are
// followed, and when to call it again at the latest: 0 if only an event can change the
// choice.
func (s *selector) choose(preference []string, links []linkState, want int, now time.Duration) (open, closed []string, next time.Duration) {
	byAddress := make(map[string]*linkState, len(links))
	for i := range links {
		byAddress[links[i].address] = &links[i]
	}
	wake := func(at time.Duration) {
		if next == 0 || at < next {
			next = at
		}
	}
	// A process is passed over while it does not answer, is out of quorum, or failed more
	// than once and is not due for another try.
	wanted, usable := map[string]bool{}, 0
	for _, a := range preference {
		if len(wanted) == want {
			break
		}
		l, f := byAddress[a], s.failures[a]
		switch {
		case l == nil && now < f.retryAt:
			wake(f.retryAt)
			if f.count == 1 {
				wanted[a] = true
			}
		case l == nil:
			wanted[a] = true
			open = append(open, a)
		case !l.connected && now-l.openedAt < slowOpenTime:
			wanted[a] = true
			wake(l.openedAt + slowOpenTime)
		case l.connected && l.outOfQuorumSince == 0:
			wanted[a] = true
			usable++
		case l.connected && now-l.outOfQuorumSince < outOfQuorumTolerance:
			wanted[a] = true
			wake(l.outOfQuorumSince + outOfQuorumTolerance)
		}
	}
	open = open[:min(len(open), max(0, maxLinks-len(links)))]
	for _, l := range links {
		switch {
		case !slices.Contains(preference, l.address):
			closed = append(closed, l.address)
		case !wanted[l.address] && usable == want:
			closed = append(closed, l.address)
			if !l.connected || l.outOfQuorumSince != 0 {
				s.recordEnd(l.address, false, now)
			}
		}
	}
	return open, closed, next
}

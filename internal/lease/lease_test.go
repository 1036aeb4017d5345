package lease

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// message is a request, response or release in flight.
type message struct {
	deliverAt Instant
	voter     int
	from      int
	outgoing  OutgoingRequest
	response  *Response
	release   bool
	term      uint64
}

// process runs a candidate. While it is paused, it sends and handles nothing.
type process struct {
	candidate   *Candidate
	incarnation int
	pausedUntil Instant
}

// simulation runs candidates and voters with lost, delayed and duplicated messages,
// restarts and pauses.
type simulation struct {
	t         *testing.T
	seed      uint64
	rand      *rand.Rand
	now       Instant
	options   Options
	voters    []*Voter
	processes []*process
	inFlight  []message
	acquired  int
	lastTerm  uint64
}

func newSimulation(t *testing.T, seed uint64) *simulation {
	s := &simulation{t: t, seed: seed, rand: rand.New(rand.NewPCG(seed, 7)), options: DefaultOptions()}
	for range 3 + 2*s.rand.IntN(2) {
		s.voters = append(s.voters, NewVoter(0, s.options.Duration))
	}
	for i := range 3 {
		p := &process{}
		s.processes = append(s.processes, p)
		s.restart(i)
	}
	return s
}

func (s *simulation) restart(i int) {
	p := s.processes[i]
	p.incarnation++
	p.candidate = NewCandidate(s.options, fmt.Sprint("p", i), fmt.Sprint(p.incarnation), fmt.Sprint("addr", i), s.rand)
	p.candidate.SetVoters(s.now, voterNames(len(s.voters)))
}

func voterNames(n int) []string {
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprint(i)
	}
	return names
}

// send sends a message that may be lost, delayed or duplicated.
func (s *simulation) send(m message) {
	for range 1 + s.rand.IntN(2) {
		if s.rand.IntN(10) == 0 {
			continue
		}
		m.deliverAt = s.now + time.Duration(s.rand.IntN(40))*time.Millisecond
		if s.rand.IntN(20) == 0 {
			m.deliverAt += time.Duration(s.rand.IntN(4000)) * time.Millisecond
		}
		s.inFlight = append(s.inFlight, m)
	}
}

func (s *simulation) step() {
	s.now += time.Duration(1+s.rand.IntN(30)) * time.Millisecond
	s.injectFault()
	rest := s.inFlight[:0:0]
	due := s.inFlight
	s.inFlight = nil
	for _, m := range due {
		if m.deliverAt > s.now || (m.response != nil && s.processes[m.from].pausedUntil > s.now) {
			rest = append(rest, m)
			continue
		}
		s.deliver(m)
	}
	s.inFlight = append(s.inFlight, rest...)
	for i, p := range s.processes {
		if p.pausedUntil <= s.now {
			for _, outgoing := range p.candidate.Tick(s.now, 0) {
				s.send(message{from: i, voter: voterIndex(outgoing.Voter), outgoing: outgoing})
			}
		}
	}
	s.checkHolders()
}

func voterIndex(name string) int { return int(name[0] - '0') }

func (s *simulation) deliver(m message) {
	switch {
	case m.release:
		p := s.processes[m.from]
		s.voters[m.voter].Release(s.now, p.candidate.name, p.candidate.incarnation, m.term)
	case m.response != nil:
		p := s.processes[m.from].candidate
		if m.outgoing.Request.Incarnation == p.incarnation {
			p.HandleResponse(s.now, m.outgoing.Voter, m.outgoing.Round, *m.response)
		}
	default:
		r := s.voters[m.voter].Vote(s.now, m.outgoing.Request)
		s.send(message{from: m.from, voter: m.voter, outgoing: m.outgoing, response: &r})
	}
}

func (s *simulation) injectFault() {
	switch s.rand.IntN(400) {
	case 0:
		v := s.rand.IntN(len(s.voters))
		s.voters[v] = NewVoter(s.now, s.options.Duration)
	case 1:
		s.restart(s.rand.IntN(len(s.processes)))
	case 2:
		p := s.processes[s.rand.IntN(len(s.processes))]
		p.pausedUntil = s.now + time.Duration(s.rand.IntN(6000))*time.Millisecond
	case 3:
		i := s.rand.IntN(len(s.processes))
		if s.processes[i].candidate.Holds(s.now) {
			term, voters := s.processes[i].candidate.Release(s.now)
			for _, v := range voters {
				s.send(message{from: i, voter: voterIndex(v), release: true, term: term})
			}
		}
	}
}

// checkHolders fails the test if more than one process holds the lease.
func (s *simulation) checkHolders() {
	holders := 0
	for _, p := range s.processes {
		if !p.candidate.Holds(s.now) {
			continue
		}
		holders++
		if term := p.candidate.Term(); term != s.lastTerm {
			s.lastTerm = term
			s.acquired++
		}
	}
	if holders > 1 {
		s.t.Fatalf("seed %d: %d processes hold the lease at %v", s.seed, holders, s.now)
	}
}

func TestAtMostOneHolder(t *testing.T) {
	acquired := 0
	for seed := range uint64(300) {
		s := newSimulation(t, seed)
		for range 1500 {
			s.step()
		}
		acquired += s.acquired
	}
	if acquired < 600 {
		t.Errorf("the lease was acquired only %d times in 300 runs, want at least 600; the schedules do not exercise it", acquired)
	}
}

func TestVoter(t *testing.T) {
	const lease = 2 * time.Second
	request := func(candidate string, term uint64) Request {
		return Request{Candidate: candidate, Incarnation: "1", Term: term, Duration: lease}
	}
	v := NewVoter(0, lease)
	steps := []struct {
		at      Instant
		request Request
		want    bool
		why     string
	}{
		{lease - 1, request("a", 1), false, "a new voter grants no vote for one lease"},
		{lease, request("a", 1), true, "the vote is free"},
		{lease + 1, request("b", 2), false, "the vote is bound"},
		{lease + 2, request("a", 1), true, "the holder renews"},
		{2*lease + 1, request("b", 2), false, "the renewal has extended the vote"},
		{2*lease + 2, request("b", 1), false, "the term was granted to another"},
		{2*lease + 2, request("b", 2), true, "the vote is free again"},
		{2*lease + 3, Request{Candidate: "b", Incarnation: "2", Term: 3, Duration: lease}, false, "another incarnation is another candidate"},
		{4*lease + 3, Request{Candidate: "a", Incarnation: "1", Term: 9, Duration: lease + 1}, false, "the lease is longer than the maximum"},
	}
	for _, s := range steps {
		if got := v.Vote(s.at, s.request); got.Granted != s.want {
			t.Errorf("at %v %s term %d: granted %v, want %v: %s", s.at, s.request.Candidate, s.request.Term, got.Granted, s.want, s.why)
		}
	}
}

func TestVoterSetChangeNeedsBothMajorities(t *testing.T) {
	c := NewCandidate(DefaultOptions(), "a", "1", "", rand.New(rand.NewPCG(1, 1)))
	c.SetVoters(0, []string{"0", "1", "2"})
	c.SetVoters(time.Second, []string{"0", "3", "4"})
	requests := c.Tick(time.Second, 0)
	if len(requests) != 5 {
		t.Fatalf("sent requests to %d voters, want the 5 of both voter sets", len(requests))
	}
	for _, s := range requests {
		if s.Voter == "0" || s.Voter == "3" {
			c.HandleResponse(time.Second, s.Voter, s.Round, Response{Granted: true, Term: s.Request.Term})
		}
	}
	if c.Holds(time.Second) {
		t.Fatal("the lease is held with a majority of the new voter set only")
	}
	c.HandleResponse(time.Second, "1", requests[0].Round, Response{Granted: true, Term: requests[0].Request.Term})
	if !c.Holds(time.Second) {
		t.Fatal("the lease is not held with majorities of both voter sets")
	}
}

// TestAbandonedLeaseIsNotHeldAgainByLateAnswers checks that responses to requests sent
// before the lease was abandoned do not revive it, and that the lease can be acquired
// again under a new term.
func TestAbandonedLeaseIsNotHeldAgainByLateAnswers(t *testing.T) {
	o := DefaultOptions()
	c := NewCandidate(o, "a", "1", "addr", rand.New(rand.NewPCG(1, 1)))
	c.SetVoters(0, []string{"v1", "v2", "v3"})
	now := o.Duration
	voters := map[string]*Voter{}
	var late []OutgoingRequest
	for _, s := range c.Tick(now, 1) {
		voters[s.Voter] = NewVoter(0, o.Duration)
		c.HandleResponse(now, s.Voter, s.Round, voters[s.Voter].Vote(now, s.Request))
		late = append(late, s)
	}
	if !c.Holds(now) {
		t.Fatal("the lease was not granted")
	}
	c.Abandon(now)
	for _, s := range late {
		c.HandleResponse(now, s.Voter, s.Round, voters[s.Voter].Vote(now, s.Request))
	}
	if c.Holds(now) {
		t.Fatal("late responses revived an abandoned lease")
	}
	now += 2 * o.RenewInterval
	for _, s := range c.Tick(now, 1) {
		if s.Request.Term <= late[0].Request.Term {
			t.Errorf("term %d was used again after the lease was abandoned", s.Request.Term)
		}
		c.HandleResponse(now, s.Voter, s.Round, voters[s.Voter].Vote(now, s.Request))
	}
	if !c.Holds(now) {
		t.Error("the lease was not granted again under a new term")
	}
}

// Guards against candidates that keep the lease from each other. The pattern: the holder of
// three voters has just released the lease and is gone, and the two processes left find that
// out at the same time. Each has its own vote first and is refused the other's, so both wait
// until these votes expire. They must not ask in step again and again.
func TestTwoCandidatesThatAskTogetherAgreeSoon(t *testing.T) {
	const tick = 10 * time.Millisecond
	options := Options{Duration: time.Second, DriftMargin: 50 * time.Millisecond, RenewInterval: 200 * time.Millisecond}
	for _, latency := range []time.Duration{5 * time.Millisecond, 25 * time.Millisecond, 60 * time.Millisecond} {
		slow := 0
		const seeds = 200
		for seed := range uint64(seeds) {
			rng := rand.New(rand.NewPCG(seed, 11))
			candidates := make([]*Candidate, 2)
			voters := make([]*Voter, 2)
			for i := range candidates {
				candidates[i] = NewCandidate(options, fmt.Sprint(i), "1", "", rng)
				candidates[i].SetVoters(0, voterNames(3))
				voters[i] = NewVoter(-options.Duration, options.Duration)
			}
			type delivery struct {
				at Instant
				do func(now Instant)
			}
			var inFlight []delivery
			const limit = 10 * time.Second
			held := func(now Instant) bool { return candidates[0].Holds(now) || candidates[1].Holds(now) }
			now := Instant(0)
			for ; now < limit && !held(now); now += time.Millisecond {
				due := inFlight
				inFlight = nil
				for _, d := range due {
					if d.at > now {
						inFlight = append(inFlight, d)
						continue
					}
					d.do(now)
				}
				if now%tick != 0 {
					continue
				}
				for i, c := range candidates {
					for _, out := range c.Tick(now, 0) {
						v := voterIndex(out.Voter)
						if v == i {
							c.HandleResponse(now, out.Voter, out.Round, voters[v].Vote(now, out.Request))
						} else if v < len(voters) {
							jitter := time.Duration(rng.IntN(5)) * time.Millisecond
							inFlight = append(inFlight, delivery{now + latency + jitter, func(now Instant) {
								r := voters[v].Vote(now, out.Request)
								inFlight = append(inFlight, delivery{now + latency, func(now Instant) { c.HandleResponse(now, out.Voter, out.Round, r) }})
							}})
						}
					}
				}
			}
			if now >= 5*options.Duration {
				slow++
			}
		}
		if slow > seeds/100 {
			t.Errorf("latency %s: in %d of %d runs no candidate held the lease after five times its duration", latency, slow, seeds)
		}
	}
}

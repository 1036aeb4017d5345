package fleetview

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// simulation runs the selectors of many routers in virtual time against directory
// processes that accept sessions, refuse them or do not answer.
type simulation struct {
	now     time.Duration
	members []member
	// refusing processes reset connections at once, silent ones never answer.
	refusing, silent map[string]bool
	outOfQuorum      map[string]bool
	routers          []*simulatedRouter
	// opened counts the sessions opened, by process and by 100 ms since the start.
	opened map[string]map[int]int
}

type simulatedRouter struct {
	selector *selector
	links    map[string]*linkState
}

const (
	simulatedStep = 10 * time.Millisecond
	// simulatedRoundTrip is how long it takes to open a session.
	simulatedRoundTrip = 20 * time.Millisecond
	// simulatedDialTimeout is how long a silent process is waited for.
	simulatedDialTimeout = 400 * time.Millisecond
)

func newSimulation(routers, processes int) *simulation {
	s := &simulation{
		now: time.Second, refusing: map[string]bool{}, silent: map[string]bool{}, outOfQuorum: map[string]bool{},
		opened: map[string]map[int]int{},
	}
	for i := range processes {
		s.members = append(s.members, member{address: fmt.Sprintf("10.%d.0.1:7340", i), dataCentre: string(rune('a' + i))})
	}
	for i := range routers {
		r := &simulatedRouter{selector: newSelector(fmt.Sprint("r", i), string(rune('a'+i%processes))), links: map[string]*linkState{}}
		s.routers = append(s.routers, r)
	}
	return s
}

func (s *simulation) run(d time.Duration) {
	for end := s.now + d; s.now < end; s.now += simulatedStep {
		for _, r := range s.routers {
			s.step(r)
		}
	}
}

func (s *simulation) step(r *simulatedRouter) {
	for a, l := range r.links {
		age := s.now - l.openedAt
		switch {
		case s.refusing[a] && age >= simulatedRoundTrip, s.silent[a] && l.connected && age > receiveTimeout, s.silent[a] && !l.connected && age >= simulatedDialTimeout:
			r.selector.recordEnd(a, l.connected && age > receiveTimeout, s.now)
			delete(r.links, a)
			continue
		case !s.silent[a] && age >= simulatedRoundTrip:
			l.connected = true
		}
		switch {
		case !s.outOfQuorum[a]:
			l.outOfQuorumSince = 0
		case l.connected && l.outOfQuorumSince == 0:
			l.outOfQuorumSince = s.now
		}
	}
	states := []linkState{}
	for _, l := range r.links {
		states = append(states, *l)
	}
	open, closed, _ := r.selector.choose(r.selector.preference(s.members, nil), states, sessionCount, s.now)
	for _, a := range open {
		r.links[a] = &linkState{address: a, openedAt: s.now}
		if s.opened[a] == nil {
			s.opened[a] = map[int]int{}
		}
		s.opened[a][int(s.now/(100*time.Millisecond))]++
	}
	for _, a := range closed {
		delete(r.links, a)
	}
}

// sessions returns the sessions that are in use, by process, and the least number that
// any router has.
func (s *simulation) sessions() (byProcess map[string]int, least int) {
	byProcess, least = map[string]int{}, sessionCount
	for _, r := range s.routers {
		n := 0
		for a, l := range r.links {
			if l.connected && l.outOfQuorumSince == 0 {
				n++
				byProcess[a]++
			}
		}
		least = min(least, n)
	}
	return byProcess, least
}

func (s *simulation) checkEverySession(t *testing.T, when string) {
	t.Helper()
	byProcess, least := s.sessions()
	if least < sessionCount {
		t.Errorf("%s: a router has %d sessions, want %d", when, least, sessionCount)
	}
	live := 0
	for _, m := range s.members {
		if !s.refusing[m.address] && !s.silent[m.address] && !s.outOfQuorum[m.address] {
			live++
		}
	}
	mean := float64(sessionCount*len(s.routers)) / float64(live)
	for a, n := range byProcess {
		if float64(n) > 1.5*mean {
			t.Errorf("%s: %d sessions at %s, the mean is %.0f", when, n, a, mean)
		}
	}
}

// The pattern: 195 routers before five small directory processes, of which one is
// killed, freezes, loses the quorum or is cut off, and comes back. Every router keeps a
// session throughout and has both again within a second and a half of the failure being
// visible, no process is left with more than its share, and afterwards the routers are
// where they were.
func TestRoutersSpreadOverTheProcessesThatAnswer(t *testing.T) {
	for _, c := range []struct {
		name string
		fail func(s *simulation, a string, failed bool)
	}{
		{"killed", func(s *simulation, a string, failed bool) { s.refusing[a] = failed }},
		{"frozen", func(s *simulation, a string, failed bool) { s.silent[a] = failed }},
		{"out of quorum", func(s *simulation, a string, failed bool) { s.outOfQuorum[a] = failed }},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newSimulation(195, 5)
			s.run(time.Second)
			s.checkEverySession(t, "at the start")
			before, _ := s.sessions()
			for _, m := range s.members {
				if n := len(s.opened[m.address]); before[m.address] < 39 || n == 0 {
					t.Errorf("%d sessions at %s, of whose data centre are 39 routers", before[m.address], m.address)
				}
			}
			s.run(5 * time.Second)
			failed := s.members[2].address
			c.fail(s, failed, true)
			s.run(receiveTimeout + 100*time.Millisecond)
			if _, least := s.sessions(); least < sessionCount-1 {
				t.Error("a router is without a session though only one process failed")
			}
			s.run(outOfQuorumTolerance - 600*time.Millisecond)
			s.checkEverySession(t, "after the failure")
			s.run(20 * time.Second)
			s.checkEverySession(t, "20 s after the failure")
			tries := 0
			for _, n := range s.opened[failed] {
				tries += n
			}
			if perSecond := float64(tries) / 21; perSecond > float64(len(s.routers)) {
				t.Errorf("the process was tried %.0f times a second", perSecond)
			}
			c.fail(s, failed, false)
			s.run(2 * maxRedialDelay)
			s.checkEverySession(t, "after the return")
			if after, _ := s.sessions(); after[failed] != before[failed] {
				t.Errorf("%d sessions at the process that came back, %d before", after[failed], before[failed])
			}
		})
	}
}

// The pattern: the connections of half of the routers are reset together. They come back
// to the same processes, spread over time, instead of opening sessions with others too.
func TestRoutersReturnAfterAReset(t *testing.T) {
	s := newSimulation(195, 5)
	s.run(6 * time.Second)
	before, _ := s.sessions()
	clear(s.opened)
	start := s.now
	for _, r := range s.routers[:107] {
		for a := range r.links {
			r.selector.recordEnd(a, true, s.now)
			delete(r.links, a)
		}
	}
	s.run(300 * time.Millisecond)
	s.checkEverySession(t, "300 ms after the reset")
	total := 0
	for a, opened := range s.opened {
		for at, n := range opened {
			total += n
			if n > 40 {
				t.Errorf("%d sessions opened at %s within 100 ms, %d ms after the reset", n, a, at*100-int(start.Milliseconds()))
			}
		}
	}
	if total != sessionCount*107 {
		t.Errorf("%d sessions were opened for %d that were lost", total, sessionCount*107)
	}
	after, _ := s.sessions()
	for a := range before {
		if after[a] != before[a] {
			t.Errorf("%d sessions at %s, %d before the reset", after[a], a, before[a])
		}
	}
}

// Seeds that are not members are tried only if no member answers, and processes that are
// neither are left.
func TestSeedsAreTheLastResort(t *testing.T) {
	s := newSelector("r", "b")
	members := []member{{"m1", "a"}, {"m2", "b"}, {"m3", "c"}}
	order := s.preference(members, []string{"s1", "m3"})
	if len(order) != 4 || order[0] != "m2" || order[3] != "s1" {
		t.Errorf("order %v", order)
	}
	if open, _, _ := s.choose(order, nil, sessionCount, time.Second); !slices.Equal(open, order[:2]) {
		t.Errorf("opened %v", open)
	}
	for _, m := range members {
		s.recordEnd(m.address, false, time.Second)
		s.recordEnd(m.address, false, time.Second)
	}
	if open, _, next := s.choose(order, nil, sessionCount, time.Second); !slices.Equal(open, []string{"s1"}) || next <= time.Second {
		t.Errorf("opened %v, next at %s", open, next)
	}
	links := []linkState{{address: "s1", connected: true}, {address: "old", connected: true}}
	if _, closed, _ := s.choose(order, links, sessionCount, time.Second); !slices.Equal(closed, []string{"old"}) {
		t.Errorf("closed %v", closed)
	}
}

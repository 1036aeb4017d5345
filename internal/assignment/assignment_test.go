package assignment

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

var start = time.Unix(1_700_000_000, 0)

// poolSim drives an Assigner with servers that join and leave.
type poolSim struct {
	t        *testing.T
	assigner *Assigner
	places   []Place
	members  map[string]Member
	now      time.Time
	born     int64
}

func newPoolSim(t *testing.T) *poolSim {
	return &poolSim{t: t, assigner: NewAssigner(), members: map[string]Member{}, now: start}
}

func (s *poolSim) join(ids ...string) {
	for _, id := range ids {
		s.born++
		s.members[id] = Member{ID: id, Born: s.born, Ready: true}
	}
}

func (s *poolSim) leave(id string) {
	m := s.members[id]
	m.Ready = false
	s.members[id] = m
}

// converge applies the Assigner's changes until there are none left.
func (s *poolSim) converge() {
	s.t.Helper()
	for range 10 {
		var ms []Member
		for _, m := range s.members {
			ms = append(ms, m)
		}
		changes := s.assigner.Changes("chat", s.places, ms, s.now)
		if len(changes) == 0 {
			return
		}
		for _, c := range changes {
			s.places = Apply(s.places, c)
		}
	}
	s.t.Fatalf("the places do not converge in 10 rounds: %v", s.places)
}

func (s *poolSim) servers() (out []string) {
	for _, p := range s.places {
		out = append(out, p.Server)
	}
	slices.Sort(out)
	return out
}

func (s *poolSim) wantServers(servers ...string) {
	s.t.Helper()
	if got := s.servers(); !slices.Equal(got, servers) {
		s.t.Fatalf("places of %v, want %v", got, servers)
	}
}

func TestPlacesPassToTheServersThatWaitLongest(t *testing.T) {
	s := newPoolSim(t)
	s.join("a", "b")
	s.converge()
	s.now = s.now.Add(time.Second)
	s.join("c")
	s.converge()
	s.wantServers("a", "b", "c") // The initial servers share the keys.
	s.now = s.now.Add(bootstrapPeriod)
	s.join("e")
	s.converge()
	s.now = s.now.Add(time.Second)
	s.join("d")
	s.converge()
	s.wantServers("a", "b", "c")
	s.leave("b")
	s.converge()
	s.wantServers("a", "c", "e")
	s.leave("a")
	s.leave("c")
	s.converge()
	s.wantServers("a", "d", "e") // One place is vacant, held by "a" or "c".
}

func TestPlacesThatStayVacantAreDropped(t *testing.T) {
	s := newPoolSim(t)
	s.join("a", "b", "c")
	s.converge()
	s.leave("b")
	s.converge()
	s.wantServers("a", "b", "c")
	s.now = s.now.Add(ResizeDelay + time.Second)
	s.converge()
	s.wantServers("a", "c")
	// A spare that waits as long gets a place of its own, even if another server
	// holds the place that was first created for it.
	s.now = s.now.Add(time.Second)
	s.join("d")
	s.converge()
	s.wantServers("a", "c")
	s.leave("a")
	s.converge()
	s.wantServers("c", "d")
	s.join("a")
	s.converge()
	s.now = s.now.Add(ResizeDelay + time.Second)
	s.converge()
	s.wantServers("a", "c", "d")
}

// A new leader has had heartbeats from only a few servers. It must not reassign
// the places of servers that it has not heard from yet.
func TestANewLeaderWaitsForServersThatItHasNotHeard(t *testing.T) {
	s := newPoolSim(t)
	s.join("a", "b", "c")
	s.converge()
	before := slices.Clone(s.places)
	s.assigner = NewAssigner()
	s.members = map[string]Member{}
	s.converge()
	s.join("new")
	s.converge()
	s.now = s.now.Add(unseenGracePeriod - time.Second)
	s.converge()
	if !slices.Equal(s.places, before) {
		t.Errorf("places are %v, want %v", s.places, before)
	}
	s.join("a", "b")
	s.now = s.now.Add(2 * time.Second)
	s.converge()
	s.wantServers("a", "b", "new")
}

// If most servers of a pool are replaced at once, the few that were there first
// must not keep all keys.
func TestAPoolThatMoreThanDoublesSharesItsKeys(t *testing.T) {
	s := newPoolSim(t)
	s.join("a", "b")
	s.converge()
	s.assigner = NewAssigner()
	s.join("c", "d", "e")
	s.converge()
	s.wantServers("a", "b", "c", "d", "e")
}

// For any sequence of joins, leaves and leader changes: a place is never taken
// from a server that stays, no two places have the same server or the same hash,
// and in the end each ready server has one place.
func TestPlacesUnderRandomChanges(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 7))
		s := newPoolSim(t)
		for range 60 {
			s.now = s.now.Add(time.Duration(rng.IntN(4000)) * time.Millisecond)
			id := fmt.Sprint("s", rng.IntN(30))
			switch rng.IntN(5) {
			case 0, 1:
				s.leave(id)
			case 2:
				if seed%2 == 0 {
					s.assigner = NewAssigner()
				}
			default:
				s.join(id)
			}
			before := slices.Clone(s.places)
			s.converge()
			for _, was := range before {
				at := slices.IndexFunc(s.places, func(p Place) bool { return p.Hash == was.Hash })
				if s.members[was.Server].Ready && (at < 0 || s.places[at].Server != was.Server) {
					t.Fatalf("seed %d: place %x was taken from %s, which stays", seed, was.Hash, was.Server)
				}
			}
		}
		s.now = s.now.Add(ResizeDelay + unseenGracePeriod)
		s.converge()
		s.now = s.now.Add(ResizeDelay + unseenGracePeriod)
		s.converge()
		var ready []string
		for id, m := range s.members {
			if m.Ready {
				ready = append(ready, id)
			}
		}
		slices.Sort(ready)
		if got := s.servers(); !slices.Equal(got, ready) {
			t.Fatalf("seed %d: places of %v in the end, want %v", seed, got, ready)
		}
		if !slices.IsSortedFunc(s.places, func(a, b Place) int {
			if a.Hash < b.Hash {
				return -1
			}
			return 1
		}) {
			t.Fatalf("seed %d: hashes are not in order or not unique: %v", seed, s.places)
		}
	}
}

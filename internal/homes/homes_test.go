package homes

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

var start = time.Unix(1_700_000_000, 0)

// pool drives a keeper with servers that come and go.
type poolSim struct {
	t       *testing.T
	keeper  *Keeper
	places  []Place
	members map[string]Member
	now     time.Time
	born    int64
}

func newSim(t *testing.T) *poolSim {
	return &poolSim{t: t, keeper: NewKeeper(), members: map[string]Member{}, now: start}
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

// settle lets the keeper decide until nothing is to be changed.
func (s *poolSim) settle() {
	s.t.Helper()
	for range 10 {
		var ms []Member
		for _, m := range s.members {
			ms = append(ms, m)
		}
		changes := s.keeper.Next("chat", s.places, ms, s.now)
		if len(changes) == 0 {
			return
		}
		for _, c := range changes {
			s.places = Apply(s.places, c)
		}
	}
	s.t.Fatalf("the keeper goes on changing places: %v", s.places)
}

func (s *poolSim) servers() (out []string) {
	for _, p := range s.places {
		out = append(out, p.Server)
	}
	slices.Sort(out)
	return out
}

func (s *poolSim) want(servers ...string) {
	s.t.Helper()
	if got := s.servers(); !slices.Equal(got, servers) {
		s.t.Fatalf("places of %v, want %v", got, servers)
	}
}

func TestPlacesPassToTheServersThatWaitLongest(t *testing.T) {
	s := newSim(t)
	s.join("a", "b")
	s.settle()
	s.now = s.now.Add(time.Second)
	s.join("c")
	s.settle()
	s.want("a", "b", "c") // Founders share the keys.
	s.now = s.now.Add(foundingTime)
	s.join("e")
	s.settle()
	s.now = s.now.Add(time.Second)
	s.join("d")
	s.settle()
	s.want("a", "b", "c")
	s.leave("b")
	s.settle()
	s.want("a", "c", "e")
	s.leave("a")
	s.leave("c")
	s.settle()
	s.want("a", "d", "e") // One place is vacant, held by "a" or "c".
}

func TestPlacesThatStayVacantAreDropped(t *testing.T) {
	s := newSim(t)
	s.join("a", "b", "c")
	s.settle()
	s.leave("b")
	s.settle()
	s.want("a", "b", "c")
	s.now = s.now.Add(SpareTime + time.Second)
	s.settle()
	s.want("a", "c")
	// A server that waits as long gets a place of its own, also if another has the
	// one that it started with.
	s.now = s.now.Add(time.Second)
	s.join("d")
	s.settle()
	s.want("a", "c")
	s.leave("a")
	s.settle()
	s.want("c", "d")
	s.join("a")
	s.settle()
	s.now = s.now.Add(SpareTime + time.Second)
	s.settle()
	s.want("a", "c", "d")
}

// A leader that has just started knows few servers. It must not give away the
// places of those that it has not heard yet.
func TestANewLeaderWaitsForServersThatItHasNotHeard(t *testing.T) {
	s := newSim(t)
	s.join("a", "b", "c")
	s.settle()
	before := slices.Clone(s.places)
	s.keeper = NewKeeper()
	s.members = map[string]Member{}
	s.settle()
	s.join("new")
	s.settle()
	s.now = s.now.Add(unheardTime - time.Second)
	s.settle()
	if !slices.Equal(s.places, before) {
		t.Errorf("places became %v, were %v", s.places, before)
	}
	s.join("a", "b")
	s.now = s.now.Add(2 * time.Second)
	s.settle()
	s.want("a", "b", "new")
}

// A pool that is replaced as a whole is not left to a few founders.
func TestAPoolThatMoreThanDoublesSharesItsKeys(t *testing.T) {
	s := newSim(t)
	s.join("a", "b")
	s.settle()
	s.keeper = NewKeeper()
	s.join("c", "d", "e")
	s.settle()
	s.want("a", "b", "c", "d", "e")
}

// Whatever comes and goes: a place never passes from a server that stays, no two
// places are one server's or have one hash, and in the end each ready server has
// one place.
func TestPlacesUnderRandomChanges(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 7))
		s := newSim(t)
		for range 60 {
			s.now = s.now.Add(time.Duration(rng.IntN(4000)) * time.Millisecond)
			id := fmt.Sprint("s", rng.IntN(30))
			switch rng.IntN(5) {
			case 0, 1:
				s.leave(id)
			case 2:
				if seed%2 == 0 {
					s.keeper = NewKeeper()
				}
			default:
				s.join(id)
			}
			before := slices.Clone(s.places)
			s.settle()
			for _, was := range before {
				at := slices.IndexFunc(s.places, func(p Place) bool { return p.Hash == was.Hash })
				if s.members[was.Server].Ready && (at < 0 || s.places[at].Server != was.Server) {
					t.Fatalf("seed %d: place %x was taken from %s, which stays", seed, was.Hash, was.Server)
				}
			}
		}
		s.now = s.now.Add(SpareTime + unheardTime)
		s.settle()
		s.now = s.now.Add(SpareTime + unheardTime)
		s.settle()
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

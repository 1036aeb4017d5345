package placement

import (
	"slices"
	"testing"
	"time"

	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/inventory"
)

// A request that needs a version goes to no other one, whatever the load and the prompt
// suggest, and is refused if the version has no server left.
func TestARequestGoesToTheVersionThatItNeeds(t *testing.T) {
	w := newFleetSim(t)
	for i, version := range []string{"v1", "v1", "v2", "v2", "v2", "v2"} {
		s := w.server(string(rune('p'+i)), "a")
		s.Version = version
		w.announce(s)
	}
	if got := slices.Sorted(slices.Values(w.fleet.Versions("chat"))); !slices.Equal(got, []string{"v1", "v2"}) {
		t.Errorf("versions %v", got)
	}
	for i := range 40 {
		for _, version := range []string{"v1", "v2"} {
			if p := w.pick(PickRequest{Key: key(i), TieBreaker: uint64(i), Version: version}); p.Version != version {
				t.Fatalf("request %d for %s went to %s", i, version, p.Version)
			}
		}
	}
	w.drain("p")
	if p := w.pick(PickRequest{Version: "v1", TieBreaker: 1}); p.ID != "q" {
		t.Errorf("went to %s, want the only server of v1 that is left", p.ID)
	}
	w.drain("q")
	if _, err := w.fleet.Pick(PickRequest{Service: chat, Version: "v1"}, w.now); !errkind.Is(err, errkind.StreamNotResumable) {
		t.Errorf("no server of the version: %v", err)
	}
	w.advance(time.Second)
	if got := w.fleet.Versions("chat"); len(got) != 2 {
		t.Errorf("versions %v, want those of servers that leave as well", got)
	}
}

// Guards against a version that is forgotten because its server has started again, under the same id,
// with another one: streams that began at it may still be resumed.
func TestTheVersionOfAServerThatStartsAgainWithAnotherIsKnownForAWhile(t *testing.T) {
	w := newFleetSim(t)
	s := w.server("p", "a")
	s.Version = "v1"
	w.announce(s)
	s.Born, s.Sequence, s.Version = s.Born+1, 1, "v2"
	w.announce(s)
	if got := slices.Sorted(slices.Values(w.fleet.Versions("chat"))); !slices.Equal(got, []string{"v1", "v2"}) {
		t.Errorf("versions %v after the server has started again, want v1 and v2", got)
	}
	w.advance(replacedVersionTime)
	s.Sequence++
	s.State = inventory.Draining
	w.announce(s)
	if got := w.fleet.Versions("chat"); !slices.Equal(got, []string{"v2"}) {
		t.Errorf("versions %v long after that, want v2", got)
	}
}

package placement

import (
	"slices"
	"testing"
	"time"

	"github.com/kumquathollow/kumquathollow/internal/inventory"
)

// Guards against a departure that was recorded, or received by a process that does not know the
// server, and that makes a router forget which version and service the server had.
func TestADepartureWithoutDetailsKeepsTheVersionOfTheServer(t *testing.T) {
	w := newFleetSim(t)
	for i, version := range []string{"v1", "v2"} {
		s := w.server(string(rune('p'+i)), "a")
		s.Version = version
		w.announce(s)
	}
	held := w.server("q", "a")
	// What a process that does not know the server tells its routers (SetDepartures, Leave).
	w.announce(inventory.Server{ID: "q", Born: held.Born, Sequence: 1 << 60, State: inventory.Gone, LastSeen: w.now})
	w.advance(time.Second)
	if got := slices.Sorted(slices.Values(w.fleet.Versions("chat"))); !slices.Equal(got, []string{"v1", "v2"}) {
		t.Errorf("versions %v a second after the departure, want that of the server that left as well", got)
	}
}
